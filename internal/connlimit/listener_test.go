package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestListenerServesMoreWorkersThanConnections checks that all workers, users and probes
// get responses although there are more workers than allowed connections, and some
// connections are idle. It guards against a listener that stops accepting at its limit,
// so that clients never get a response.
func TestListenerServesMoreWorkersThanConnections(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	limited := NewListener(l, Limits{MaxConnections: 40, IdleTimeout: time.Minute}, func() clock.Instant { return clock.Instant(time.Hour + time.Since(start)) })
	kind := func(r *http.Request) ClientKind {
		if r.URL.Path == "/agent/beat" {
			return Worker
		}
		return User
	}
	served := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	srv := &http.Server{Handler: limited.Handler(kind, served), ConnContext: limited.ConnContext}
	go srv.Serve(limited)
	t.Cleanup(func() { srv.Close() })
	addr := l.Addr().String()
	for range 15 { // clients that connect and send nothing
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
			t.Fatalf("probe failed: %v", err)
		}
		resp.Body.Close()
	}
	if s := limited.Stats(); s.Open > 40 || s.Workers > 36 {
		t.Errorf("%+v: want at most 40 open connections and 36 workers", s)
	}
}

// sendHeartbeats acts as a worker that sends three heartbeats. It reuses its connection
// and reconnects when the server has closed it.
func sendHeartbeats(t *testing.T, addr string, worker int) {
	const heartbeats, maxTries = 3, 100
	var conn net.Conn
	for answered, tries := 0, 0; answered < heartbeats; tries++ {
		if tries == maxTries {
			t.Errorf("worker %d got too few responses in %d tries", worker, maxTries)
			return
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp4", addr); err != nil {
				t.Error(err)
				return
			}
		}
		conn.SetDeadline(time.Now().Add(4 * time.Second))
		fmt.Fprintf(conn, "POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("worker %d got no response before its deadline", worker)
			return
		}
		if err == nil {
			answered++
			resp.Body.Close()
		}
		if err != nil || resp.Close {
			conn.Close()
			conn = nil
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Cleanup(func() {
		if conn != nil {
			conn.Close()
		}
	})
}
