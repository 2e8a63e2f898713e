package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, tokens: rate, last: time.Now()} }

// take takes n tokens if there are so many, and reports whether there were.
func (b *bucket) take(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// stateServer serves a store with the state service's protocol, its rate limits and its latency.
type stateServer struct {
	store    *store
	rec      *recorder
	requests *bucket
	writes   *bucket
	latency  time.Duration
	limited  atomic.Bool // whether the rate limits apply

	served, throttled atomic.Int64
	pages             atomic.Int64 // pages of job records that were served
}

func writeBody(w http.ResponseWriter, code int, v any) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	w.Write(data)
}

func (s *stateServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*maxTxnBytes))
	if err != nil {
		return
	}
	if s.limited.Load() && !s.requests.take(1) {
		s.throttled.Add(1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.served.Add(1)
	if s.latency > 0 {
		time.Sleep(s.latency)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.URL.Path == "/kv":
		s.serveList(w, r)
	case r.URL.Path == "/multi":
		s.serveMulti(w, body)
	case r.URL.Path == "/watch":
		s.serveWatch(w, r)
	case strings.HasPrefix(r.URL.Path, "/leases"):
		s.serveLeases(w, r, body)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *stateServer) serveGet(w http.ResponseWriter, key string) {
	it, found, journal := s.store.get(key)
	if !found {
		writeBody(w, http.StatusNotFound, map[string]any{"journalNo": journal})
		return
	}
	body := map[string]any{"key": key, "value": it.value, "stamp": it.stamp}
	if it.tenure != 0 {
		body["tenure"] = it.tenure
	}
	writeBody(w, http.StatusOK, body)
}

func (s *stateServer) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("page"))
	if err != nil || limit < 1 {
		limit = maxPageItems
	}
	pairs, more, journal := s.store.list(query.Get("prefix"), query.Get("since"), limit)
	if query.Get("prefix") == jobPrefix {
		s.pages.Add(1)
	}
	if pairs == nil {
		pairs = []msgpack.RawMessage{}
	}
	writeBody(w, http.StatusOK, map[string]any{"pairs": pairs, "more": more, "journalNo": journal})
}

func (s *stateServer) serveMulti(w http.ResponseWriter, body []byte) {
	var in struct {
		Guards []guard `msgpack:"guards"`
		Writes []write `msgpack:"writes"`
	}
	if msgpack.Unmarshal(body, &in) != nil {
		writeBody(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	if s.limited.Load() && !s.writes.take(float64(len(in.Writes))) {
		s.throttled.Add(1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	failed, journal, err := s.store.commit(in.Guards, in.Writes)
	switch {
	case err != nil:
		if !errors.Is(err, errNoLease) {
			s.rec.logf("state: transaction rejected: %v", err)
		}
		writeBody(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
	case len(failed) > 0:
		writeBody(w, http.StatusConflict, map[string]any{"failed": failed, "journalNo": journal})
	default:
		writeBody(w, http.StatusOK, map[string]any{"journalNo": journal})
	}
}

func (s *stateServer) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("holdMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(hold, 60_000))*time.Millisecond)
	defer cancel()
	for {
		changes, journal, complete, next := s.store.watch(query.Get("prefix"), since)
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(changes) > 0 || ctx.Err() != nil {
			if changes == nil {
				changes = []change{}
			}
			writeBody(w, http.StatusOK, map[string]any{"journalNo": journal, "log": changes})
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
		}
	}
}

func (s *stateServer) serveLeases(w http.ResponseWriter, r *http.Request, body []byte) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var in struct {
			LifeMs int64 `msgpack:"lifeMs"`
		}
		if msgpack.Unmarshal(body, &in) != nil || in.LifeMs < 100 || in.LifeMs > 600_000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeBody(w, http.StatusOK, map[string]any{"tenure": s.store.grant(time.Duration(in.LifeMs) * time.Millisecond)})
		return
	}
	id, err := strconv.ParseUint(parts[1], 10, 64)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case r.Method == http.MethodDelete:
		s.store.end(id)
		w.WriteHeader(http.StatusOK)
	case s.store.extend(id):
		writeBody(w, http.StatusOK, map[string]any{"tenure": id})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// run expires leases and records the load of each second until ctx ends.
func (s *stateServer) run(ctx context.Context) {
	expiry := time.NewTicker(leaseLateLimit / 2)
	defer expiry.Stop()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case <-expiry.C:
			s.store.expire()
		case <-report.C:
			s.rec.logf("state: %d requests served (%d pages of job records), %d answered 429",
				s.served.Swap(0), s.pages.Swap(0), s.throttled.Swap(0))
		case <-ctx.Done():
			return
		}
	}
}

// leaderName returns the node that the leader key names, or "" if there is none.
func (s *stateServer) leaderName() string {
	it, found, _ := s.store.get("leader")
	var leader struct {
		Node string `msgpack:"node"`
	}
	if !found || msgpack.Unmarshal(it.value, &leader) != nil {
		return ""
	}
	return leader.Node
}

// serve serves a handler on a free loopback port and returns its address.
func serve(ctx context.Context, h http.Handler) (string, error) {
	listener, err := listenLoopback()
	if err != nil {
		return "", fmt.Errorf("listening: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	return listener.Addr().String(), nil
}
