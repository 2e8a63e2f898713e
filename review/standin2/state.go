package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/fake"
	"badgerbay/internal/kvstore"
)

// stateService serves the project's fake of the state service over HTTP. Each controller has a listener and a link of its
// own.
type stateService struct {
	ctx     context.Context
	clock   clock.Clock
	links   []*link
	addrs   []string
	latency time.Duration
	// fault, if set, returns what happens to a request of a controller.
	fault func(node int, method, path string) requestFault

	mu       sync.Mutex
	kv       *fake.KVServer
	requests *kvstore.TokenBucket
	writes   *kvstore.TokenBucket
	leaders  map[uint64]string // controller by epoch
	outage   bool
	log      *recorder
}

// requestFault is what happens to one request.
type requestFault struct {
	before, after time.Duration // delays before and after its execution
	lost          bool          // its response is lost
}

func startStateService(ctx context.Context, clk clock.Clock, nodes int, p stateParams, log *recorder) (*stateService, error) {
	s := &stateService{ctx: ctx, clock: clk, latency: 2 * time.Millisecond, kv: &fake.KVServer{Store: fake.NewKVStore()},
		requests: kvstore.NewTokenBucket(p.RPS, p.RPS), writes: kvstore.NewTokenBucket(p.WriteRPS, p.WriteRPS),
		leaders: map[uint64]string{}, log: log}
	s.kv.Store.MaxTxnOps, s.kv.Store.MaxValueBytes, s.kv.Store.RetainedChanges = p.TxnOps, int(p.ValueKB*1024), 10_000
	for node := range nodes {
		listener, err := net.Listen("tcp4", loopback+":0")
		if err != nil {
			return nil, err
		}
		s.links, s.addrs = append(s.links, newLink()), append(s.addrs, listener.Addr().String())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
		go server.Serve(listener)
		context.AfterFunc(ctx, func() { server.Close() })
	}
	go s.tick()
	return s, nil
}

// tick ends expired leases in time, and during an outage renews all of them.
func (s *stateService) tick() {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		s.kv.Store.Expire(s.clock.Now())
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *stateService) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.Store.Expire(s.clock.Now())
	s.outage, s.kv.Store.Down = on, on
	if !on {
		return
	}
	s.kv.Store.Expire(s.clock.Now())
}

func (s *stateService) serve(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 256<<10))
	if err != nil {
		return
	}
	time.Sleep(s.latency)
	l := s.links[node]
	switch l.await(s.ctx) {
	case linkRefuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case linkReset, linkHeld:
		panic(http.ErrAbortHandler)
	}
	var f requestFault
	if s.fault != nil {
		f = s.fault(node, r.Method, r.URL.Path)
	}
	time.Sleep(f.before)
	var status int
	var data []byte
	if r.URL.Path == "/watch" {
		status, data = s.watch(l, r)
	} else {
		status, data = s.execute(r.Method, r.URL.RequestURI(), body)
	}
	time.Sleep(f.after)
	if l.await(s.ctx) == linkReset || f.lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	w.Write(data)
}

// watch waits until a key has changed or the hold time is over. Open watches wait during an outage.
func (s *stateService) watch(l *link, r *http.Request) (int, []byte) {
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("holdMs"))
	deadline := time.Now().Add(time.Duration(min(holdMs, 60_000)) * time.Millisecond)
	first := true
	for {
		waits := l.current() == linkRefuse
		if !waits || first {
			status, data := s.executeOnce(r.Method, r.URL.RequestURI(), nil, first)
			var answer struct {
				Log []msgpack.RawMessage `msgpack:"log"`
			}
			switch {
			case status == http.StatusServiceUnavailable && !first:
			case status != http.StatusOK:
				return status, data
			case msgpack.Unmarshal(data, &answer) != nil || len(answer.Log) > 0 || !time.Now().Before(deadline):
				return status, data
			}
			first = false
		}
		if s.ctx.Err() != nil || r.Context().Err() != nil {
			return http.StatusServiceUnavailable, nil
		}
		if waits && !time.Now().Before(deadline) {
			return http.StatusServiceUnavailable, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *stateService) execute(method, uri string, body []byte) (int, []byte) {
	return s.executeOnce(method, uri, body, true)
}

// executeOnce executes a request. Only counted requests count for the rate limits.
func (s *stateService) executeOnce(method, uri string, body []byte, counted bool) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.outage {
		return http.StatusServiceUnavailable, nil
	}
	if counted && !s.requests.Take(now, 1, 0) {
		return http.StatusTooManyRequests, nil
	}
	isTxn := strings.HasPrefix(uri, "/multi")
	if isTxn {
		var txn struct {
			Writes []msgpack.RawMessage `msgpack:"writes"`
		}
		if msgpack.Unmarshal(body, &txn) == nil && len(txn.Writes) > 0 && !s.writes.Take(now, float64(len(txn.Writes)), 0) {
			return http.StatusTooManyRequests, nil
		}
	}
	request, err := http.NewRequest(method, "http://state"+uri, bytes.NewReader(body))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.kv.Now = now
	response, err := s.kv.RoundTrip(request)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	data, _ := io.ReadAll(response.Body)
	if isTxn && response.StatusCode == http.StatusOK {
		s.recordLeader()
	}
	s.kv.Store.LimitViolation = ""
	return response.StatusCode, data
}

// recordLeader records which controller has the epoch of the key leader.
func (s *stateService) recordLeader() {
	item, err := s.kv.Store.Get("leader")
	epoch := uint64(item.ModRevision)
	if err != nil || epoch == 0 || s.leaders[epoch] != "" {
		return
	}
	var leader struct {
		Node string `msgpack:"node"`
	}
	if msgpack.Unmarshal(item.Value, &leader) == nil {
		s.leaders[epoch] = leader.Node
		s.log.add("state: leader %s epoch %d", leader.Node, epoch)
	}
}

// leader returns the controller that the key leader names, or "".
func (s *stateService) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := s.kv.Store.Down
	s.kv.Store.Down = false
	item, _ := s.kv.Store.Get("leader")
	s.kv.Store.Down = down
	return s.leaders[uint64(item.ModRevision)]
}

func (s *stateService) leaderOfEpoch(epoch uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaders[epoch]
}
