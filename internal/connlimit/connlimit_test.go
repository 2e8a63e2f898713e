package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestLimiterEviction: a connection finds room as long as another is missed less, and is
// refused otherwise; strangers go before workers.
func TestLimiterEviction(t *testing.T) {
	limiter := NewLimiter(Limits{MaxConnections: 3, IdleTimeout: 10 * time.Second})
	now := clock.Instant(time.Hour)
	enter := func() (*Entry, *Entry) { return limiter.Admit(now, func() {}) }
	worker, _ := enter()
	limiter.BeginRequest(worker, Worker)
	limiter.EndRequest(now, worker)
	now = now.Add(3 * time.Second)
	silent, _ := enter()
	busy, _ := enter()
	limiter.BeginRequest(busy, User)
	if v, _ := enter(); v != nil || limiter.Rejected != 1 {
		t.Error("a fourth of three was let in, and nobody had waited long")
	}
	now = now.Add(2 * time.Second)
	if v, evict := enter(); v == nil || evict != silent {
		t.Error("who has said nothing must make room, before a worker that waits for its turn")
	}
	if v, _ := enter(); v != nil {
		t.Error("a worker's connection was given up within its timeout")
	}
	now = now.Add(6 * time.Second)
	first := limiter.idleByKind[Unidentified].Front().Value.(*Entry)
	limiter.BeginRequest(first, User)
	if v, evict := enter(); v == nil || evict != worker {
		t.Error("a worker that was silent for too long must make room")
	}
	limiter.Remove(worker) // its connection closes after it was evicted
	if limiter.OpenCount() != 3 || limiter.Count(User) != 2 || limiter.Count(Worker) != 0 || limiter.Count(Unidentified) != 1 {
		t.Errorf("%d open: %d users, %d workers, %d unidentified", limiter.OpenCount(), limiter.Count(User), limiter.Count(Worker), limiter.Count(Unidentified))
	}
	if limiter.BeginRequest(worker, Worker) {
		t.Error("an evicted connection is kept")
	}
}

// TestListenerServesMoreWorkersThanConnections: with more workers than the listener takes,
// connections that say nothing among them, all workers are answered, and so are
// users and probes. The listener before it stopped accepting, and left them
// without an answer.
func TestListenerServesMoreWorkersThanConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	limited := NewListener(l, Limits{MaxConnections: 40, IdleTimeout: time.Minute}, func() clock.Instant { return clock.Instant(time.Hour + time.Since(begun)) })
	kind := func(r *http.Request) ClientKind {
		if r.URL.Path == "/agent/beat" {
			return Worker
		}
		return User
	}
	served := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") })
	srv := &http.Server{Handler: limited.Handler(kind, served), ConnContext: limited.ConnContext}
	go srv.Serve(limited)
	t.Cleanup(func() { srv.Close() })
	addr := l.Addr().String()
	for range 15 { // they connect and say nothing
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { sendHeartbeats(t, addr, i) })
	}
	wg.Wait()
	for range 10 {
		resp, err := (&http.Client{Timeout: 2 * time.Second}).Get("http://" + addr + "/up")
		if err != nil {
			t.Fatalf("a probe among the workers: %v", err)
		}
		resp.Body.Close()
	}
	if s := limited.Stats(); s.Open > 40 || s.Workers > 36 {
		t.Errorf("%+v: more than there is room for", s)
	}
}

// sendHeartbeats plays a worker: it reports three times, on the connection that it has
// as long as that is kept, and tries again when it is refused.
func sendHeartbeats(t *testing.T, addr string, i int) {
	var c net.Conn
	for n, tries := 0, 0; n < 3; tries++ {
		if tries == 100 {
			t.Errorf("worker %d was not answered", i)
			return
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp4", addr); err != nil {
				t.Error(err)
				return
			}
		}
		c.SetDeadline(time.Now().Add(4 * time.Second))
		fmt.Fprintf(c, "POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("worker %d was left without an answer", i)
			return
		}
		if err == nil {
			n++
			resp.Body.Close()
		}
		if err != nil || resp.Close {
			c.Close()
			c = nil
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Cleanup(func() {
		if c != nil {
			c.Close()
		}
	})
}
