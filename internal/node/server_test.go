package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/policy"
)

// manualClock is a clock that a test turns.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }
func (c *manualClock) Wall() time.Time    { return time.UnixMilli(1_700_000_000_000) }

func testSettings() *config.Settings {
	return &config.Settings{NodeName: "n0", Params: config.Params{Nodes: 3, Zones: []ident.Zone{"a", "b"},
		Teams:        []config.Team{{Name: "red", CPUGuarantee: 16, CPULimit: 40}, {Name: "blue", CPUGuarantee: 16, CPULimit: 24}},
		Objectives:   []config.Objective{{Kind: "wait", Class: "svc", WithinSeconds: 5}},
		Workers:      config.Workers{HeartbeatSeconds: 3, LeaseSeconds: 27, CancelSeconds: 50, GangWaitSeconds: 20, GangPeerSeconds: 8},
		StateService: config.State{RPS: 80, WriteRPS: 25, MaxValueKB: 8, MaxTxnOps: 8},
		Cloud:        config.Cloud{RPS: 5, ListLagSeconds: 1}}}
}

// nodeFixture is a node without a network: its state service is a stand-in, and its
// actor runs on what the handlers send it, without ticks.
type nodeFixture struct {
	n     *Node
	srv   *fake.KVServer
	clock *manualClock
	http  http.Handler
}

func newNodeFixture(t *testing.T) *nodeFixture {
	t.Helper()
	set := testSettings()
	set.Peers = []config.Peer{{NodeName: "n1", Addr: "127.0.0.1:1"}}
	pol, err := policy.Default()
	if err != nil {
		t.Fatal(err)
	}
	b := &nodeFixture{srv: &fake.KVServer{Store: fake.NewKVStore()}, clock: &manualClock{now: clock.Instant(time.Hour)}}
	b.n, err = newNode(set, pol, slog.New(slog.NewTextHandler(io.Discard, nil)),
		dependencies{clock: b.clock, state: b.srv, cloud: unavailableCloud{}, worker: unavailableCloud{}})
	if err != nil {
		t.Fatal(err)
	}
	types := []*fleet.MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, Zones: []ident.Zone{"a"}}}
	b.n.core.core.Step(b.clock.now, controller.MachineTypesRead{Types: types})
	b.n.core.published.Store(&coreView{machineTypes: types})
	b.http = b.n.routes()
	return b
}

// becomeLeader makes the node the leader, with everything read.
func (b *nodeFixture) becomeLeader(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := b.n.core.core
	c.Step(b.clock.now, controller.ElectionInput{Input: election.LeaderKeysRead{OK: true}})
	c.Step(b.clock.now, controller.ElectionInput{Input: election.LeaseGranted{OK: true, LeaseID: 1, SentAt: b.clock.now}})
	c.Step(b.clock.now, controller.ElectionInput{Input: election.LeaderKeyAcquired{Outcome: election.OutcomeOK, Epoch: 77}})
	c.Step(b.clock.now, controller.RecordsRead{Epoch: 77, OK: true})
	b.n.core.published.Store(&coreView{leader: "n0", machineTypes: c.MachineTypes(), epoch: 77})
	go func() {
		for {
			select {
			case in := <-b.n.core.inbox:
				b.n.core.step(ctx, in)
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (b *nodeFixture) call(method, path string, body any) *httptest.ResponseRecorder {
	var rd io.Reader
	switch v := body.(type) {
	case nil:
	case io.Reader:
		rd = v
	case []byte:
		rd = bytes.NewReader(v)
	default:
		data, err := msgpack.Marshal(v)
		if err != nil {
			panic(err)
		}
		rd = bytes.NewReader(data)
	}
	w := httptest.NewRecorder()
	b.http.ServeHTTP(w, httptest.NewRequest(method, path, rd))
	return w
}

func submissionBody(id string) map[string]any {
	return map[string]any{"id": id, "ledgerClass": "arr", "desk": "red", "shape": "batch", "rank": "standard", "entries": 2,
		"cpus": 1.0, "accelerators": 0.0, "memoryGb": 1.0, "bundle": "i", "imageGb": 1.0, "samePlace": false, "apart": false,
		"loaner": true, "expectedS": 10.0, "folioS": 0.0, "bindS": 0.0}
}

func heartbeatBody(token ident.Epoch) map[string]any {
	return map[string]any{"shamba": "host-000001", "addr": "127.0.0.1:1", "frame": "m", "hall": "a", "loaner": false,
		"shift": 1, "tally": 1, "seal": token, "entries": []any{}}
}

func TestUserRequests(t *testing.T) {
	b := newNodeFixture(t)
	want := func(code int, w *httptest.ResponseRecorder) {
		t.Helper()
		if w.Code != code {
			t.Errorf("%d, want %d", w.Code, code)
		}
		if (w.Code == 503 || w.Code == 429) && w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	want(201, b.call("POST", "/submissions", submissionBody("wk-000001")))
	want(200, b.call("POST", "/submissions", submissionBody("wk-000001")))
	want(200, b.call("GET", "/submissions/wk-000001", nil))
	want(404, b.call("GET", "/submissions/wk-000002", nil))
	want(404, b.call("GET", "/submissions/unheard-of", nil))
	want(400, b.call("POST", "/submissions", []byte("not msgpack")))
	big := submissionBody("wk-000003")
	big["cpus"] = 400.0
	want(422, b.call("POST", "/submissions", big))
	want(503, b.call("POST", "/submissions/wk-000001/withdraw", nil)) // nobody leads
	b.srv.Store.Down = true
	want(503, b.call("POST", "/submissions", submissionBody("wk-000004")))
	want(503, b.call("GET", "/submissions/wk-000002", nil))
}

// TestSubmissionsBeyondTheBudget are refused at once, with the time to come
// back, and never held.
func TestSubmissionsBeyondTheBudget(t *testing.T) {
	b := newNodeFixture(t)
	codes := map[int]int{}
	for i := range 40 {
		w := b.call("POST", "/submissions", submissionBody(fmt.Sprintf("wk-%06d", i)))
		codes[w.Code]++
		if w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Fatal("refused without Retry-After")
		}
	}
	if codes[201] == 0 || codes[503] == 0 || codes[201]+codes[503] != 40 {
		t.Errorf("answers %v, want some taken and the rest refused", codes)
	}
}

// TestSubmissionsAreForwarded: a node that the state service does not
// answer has another store the job, soon enough for its user; one that has no
// changes left asks others before it refuses.
func TestSubmissionsAreForwarded(t *testing.T) {
	b, other := newNodeFixture(t), newNodeFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go peer.Serve(t.Context(), l, other.n.newPeerServer(), minQueuedRequests)
	if b.n.peers.Clients, err = peer.Dial([]config.Peer{{NodeName: "n1", Addr: l.Addr().String()}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.n.peers.Close)
	hangs := make(chan struct{})
	t.Cleanup(func() { close(hangs) })
	b.srv.Override = func(*http.Request) (*http.Response, error) { <-hangs; return nil, io.EOF }
	begun := time.Now()
	if w := b.call("POST", "/submissions", submissionBody("wk-000001")); w.Code != 201 {
		t.Errorf("%d although another node can store it", w.Code)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("taken after %v", took)
	}
	if item, err := other.srv.Store.Get(jobs.Key("wk-000001")); err != nil || item.ModRevision == 0 {
		t.Errorf("accepted and not stored: %v", err)
	}
	for b.n.store.budget.TakeWrites(b.clock.now, kvstore.PurposeSubmission, 1) {
	}
	if w := b.call("POST", "/submissions", submissionBody("wk-000002")); w.Code != 201 {
		t.Errorf("%d with no changes left here, and some there", w.Code)
	}
}

// endlessReader is a body that never ends; reading much of it is an error.
type endlessReader struct{ read int }

func (e *endlessReader) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

func TestBodyOverTheLimit(t *testing.T) {
	b := newNodeFixture(t)
	body := &endlessReader{}
	if w := b.call("POST", "/submissions", body); w.Code != 400 {
		t.Errorf("%d, want 400", w.Code)
	}
	if body.read > 256<<10 {
		t.Errorf("%d bytes were read of a body over 64 KiB", body.read)
	}
	if w := b.call("POST", "/agent/beat", strings.NewReader("garbage")); w.Code != 400 {
		t.Errorf("garbage report: %d, want 400", w.Code)
	}
}

// TestHeartbeatsAnsweredOnlyWhileEntitled: whoever is not entitled must refuse workers,
// up to the moment the answer leaves, so that their leases really run out.
func TestHeartbeatsAnsweredOnlyWhileEntitled(t *testing.T) {
	b := newNodeFixture(t)
	b.n.core.core.Step(b.clock.now, controller.ElectionInput{Input: election.LeaderKeysRead{OK: true, Leader: election.LeaderRecord{Node: "n1"}, Epoch: 5}})
	replies := make(replyChannel[controller.HeartbeatReply], 1)
	r := &fleet.Heartbeat{Machine: "host-000001", Session: 1, HeartbeatSeq: 1}
	b.n.core.step(context.Background(), controller.HeartbeatReceived{Responder: replies, Heartbeat: r})
	if got := <-replies; statusOf(got.Outcome) != 421 || got.Leader != "n1" {
		t.Errorf("follower answers %+v", got)
	}

	b = newNodeFixture(t)
	b.becomeLeader(t)
	if w := b.call("POST", "/agent/beat", heartbeatBody(0)); w.Code != 200 {
		t.Fatalf("leader answers %d", w.Code)
	}
	w := httptest.NewRecorder()
	b.n.workers.write(w, controller.HeartbeatReply{Outcome: controller.HeartbeatAccepted, Epoch: 77, ValidUntil: b.clock.now})
	if w.Code != 503 {
		t.Errorf("an answer that leaves too late has status %d", w.Code)
	}
	b.clock.now = b.clock.now.Add(time.Minute)
	if w := b.call("POST", "/agent/beat", heartbeatBody(0)); w.Code != 503 {
		t.Errorf("a leader that lost its entitlement answers %d", w.Code)
	}
	if w := b.call("GET", "/submissions/wk-000009", nil); w.Code != 404 {
		t.Errorf("poll of an unknown job: %d, want 404 from the state service", w.Code)
	}
}

// TestHigherFencingTokenDeposes: a worker that has seen a higher token proves that
// somebody else was elected.
func TestHigherFencingTokenDeposes(t *testing.T) {
	b := newNodeFixture(t)
	b.srv.Store.Down = true // it can't be elected again
	b.becomeLeader(t)
	if w := b.call("POST", "/agent/beat", heartbeatBody(78)); w.Code != 503 {
		t.Errorf("%d, want 503", w.Code)
	}
	if w := b.call("POST", "/agent/beat", heartbeatBody(0)); w.Code == 200 {
		t.Error("still answers as leader")
	}
}

func TestHealthEndpoint(t *testing.T) {
	b := newNodeFixture(t)
	if w := b.call("GET", "/up", nil); w.Code != 503 {
		t.Errorf("%d before the state service was reached", w.Code)
	}
	b.n.store.record(nil)
	if w := b.call("GET", "/up", nil); w.Code != 200 {
		t.Errorf("%d, want 200", w.Code)
	}
	if w := b.call("GET", "/metrics", nil); w.Code != 200 || !strings.Contains(w.Body.String(), "badgerbay_epoch_changes_total") {
		t.Errorf("metrics: %d", w.Code)
	}
}

// unavailableCloud is a cloud that answers nothing but trouble.
type unavailableCloud struct{}

func (unavailableCloud) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 503, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// TestMachineTypesOutliveCloudOutage: a node that starts while the cloud is down
// takes the machine types that a leader has kept, and can validate.
func TestMachineTypesOutliveCloudOutage(t *testing.T) {
	b := newNodeFixture(t)
	holder := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: election.LeaderRecord{Node: "n0"}}}}
	epoch, err := b.srv.Store.Commit(holder)
	if err != nil {
		t.Fatal(err)
	}
	types := b.n.core.core.MachineTypes()
	b.n.core.published.Store(&coreView{leader: "n0", machineTypes: types, epoch: ident.Epoch(epoch)})
	b.n.cloud.storeMachineTypes(context.Background(), types)
	b.n.core.published.Store(&coreView{})
	b.n.cloud.readMachineTypes(context.Background())
	in, ok := (<-b.n.core.inbox).(controller.MachineTypesRead)
	if !ok || len(in.Types) != 1 || in.Types[0].Name != "m" || !in.Types[0].Capacity.Fits(types[0].Capacity) {
		t.Errorf("machine types %+v", in.Types)
	}
}

// TestQueuesHoldARequestOfEachConnection: a request of each connection that may be open fits
// into the queue of the core, and into that of the relay.
func TestQueuesHoldARequestOfEachConnection(t *testing.T) {
	for _, most := range []int{32, 800, 6000} {
		set := testSettings()
		set.Params.MachineLimits.MaxSockets = most
		if n := maxQueuedRequests(set); n < most || n < minQueuedRequests {
			t.Errorf("%d requests may wait, with %d sockets", n, most)
		}
	}
}
