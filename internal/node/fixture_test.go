package node

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/policy"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }
func (*manualClock) Wall() time.Time      { return time.UnixMilli(1_700_000_000_000) }

func testSettings() *config.Settings {
	return &config.Settings{NodeName: "n0", Params: config.Params{Nodes: 3, Zones: []ident.Zone{"a", "b"},
		Teams:        []config.Team{{Name: "red", CPUGuarantee: 16, CPULimit: 40}, {Name: "blue", CPUGuarantee: 16, CPULimit: 24}},
		Objectives:   []config.Objective{{Kind: "wait", Class: "svc", WithinSeconds: 5}},
		Workers:      config.Workers{HeartbeatSeconds: 3, LeaseSeconds: 27, CancelSeconds: 50, GangWaitSeconds: 20, GangPeerSeconds: 8},
		StateService: config.State{RPS: 80, WriteRPS: 25, MaxValueKB: 8, MaxTxnOps: 8},
		Cloud:        config.Cloud{RPS: 5, ListLagSeconds: 1}}}
}

// nodeFixture is a node without a network. Its state service is a fake, and its core receives only the inputs that the
// handlers and tests post, without ticks.
type nodeFixture struct {
	node  *Node
	kv    *fake.KVServer
	clock *manualClock
	http  http.Handler
}

func newNodeFixture(t *testing.T) *nodeFixture {
	t.Helper()
	settings := testSettings()
	settings.Peers = []config.Peer{{NodeName: "n1", Addr: "127.0.0.1:1"}}
	pol, err := policy.Default()
	if err != nil {
		t.Fatal(err)
	}
	f := &nodeFixture{kv: &fake.KVServer{Store: fake.NewKVStore()}, clock: &manualClock{now: clock.Instant(time.Hour)}}
	f.node, err = newNode(settings, pol, slog.New(slog.NewTextHandler(io.Discard, nil)),
		dependencies{clock: f.clock, state: f.kv, cloud: unavailableTransport{}, worker: unavailableTransport{}})
	if err != nil {
		t.Fatal(err)
	}
	types := []*fleet.MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, Zones: []ident.Zone{"a"}}}
	f.node.core.core.Step(f.clock.now, controller.MachineTypesRead{Types: types})
	f.node.core.published.Store(&coreView{machineTypes: types})
	f.http = f.node.routes()
	return f
}

// becomeLeader makes the node the leader, with all records read, and runs its core.
func (f *nodeFixture) becomeLeader(t *testing.T) {
	t.Helper()
	c := f.node.core.core
	c.Step(f.clock.now, controller.ElectionInput{Input: election.LeaderKeysRead{OK: true}})
	c.Step(f.clock.now, controller.ElectionInput{Input: election.LeaseGranted{OK: true, LeaseID: 1, SentAt: f.clock.now}})
	c.Step(f.clock.now, controller.ElectionInput{Input: election.LeaderKeyAcquired{Outcome: election.OutcomeOK, Epoch: 77}})
	c.Step(f.clock.now, controller.RecordsRead{Epoch: 77, OK: true})
	f.node.core.published.Store(&coreView{leader: "n0", machineTypes: c.MachineTypes(), epoch: 77})
	f.runCore(t)
}

// runCore passes posted inputs to the core, without ticks, until the test ends.
func (f *nodeFixture) runCore(t *testing.T) {
	ctx := t.Context()
	go func() {
		for {
			select {
			case in := <-f.node.core.inbox:
				if err := f.node.core.step(ctx, in); err != nil {
					t.Errorf("core stopped the node: %v", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
}

// call sends an HTTP request to the node. A body that is neither a reader nor bytes is encoded as MessagePack.
func (f *nodeFixture) call(method, path string, body any) *httptest.ResponseRecorder {
	var reader io.Reader
	switch v := body.(type) {
	case nil:
	case io.Reader:
		reader = v
	case []byte:
		reader = bytes.NewReader(v)
	default:
		data, err := msgpack.Marshal(v)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	w := httptest.NewRecorder()
	f.http.ServeHTTP(w, httptest.NewRequest(method, path, reader))
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

// unavailableTransport answers every request with status 503.
type unavailableTransport struct{}

func (unavailableTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 503, Body: io.NopCloser(strings.NewReader(""))}, nil
}
