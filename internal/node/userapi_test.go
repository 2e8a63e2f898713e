package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
)

func TestUserRequests(t *testing.T) {
	f := newNodeFixture(t)
	want := func(code int, w *httptest.ResponseRecorder) {
		t.Helper()
		if w.Code != code {
			t.Errorf("%d, want %d", w.Code, code)
		}
		if (w.Code == 503 || w.Code == 429) && w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	want(201, f.call("POST", "/submissions", submissionBody("wk-000001")))
	want(200, f.call("POST", "/submissions", submissionBody("wk-000001")))
	want(200, f.call("GET", "/submissions/wk-000001", nil))
	want(404, f.call("GET", "/submissions/wk-000002", nil))
	want(404, f.call("GET", "/submissions/unheard-of", nil))
	want(400, f.call("POST", "/submissions", []byte("not msgpack")))
	big := submissionBody("wk-000003")
	big["cpus"] = 400.0
	want(422, f.call("POST", "/submissions", big))
	want(503, f.call("POST", "/submissions/wk-000001/withdraw", nil)) // nobody leads
	f.kv.Store.Down = true
	want(503, f.call("POST", "/submissions", submissionBody("wk-000004")))
	want(503, f.call("GET", "/submissions/wk-000002", nil))
}

// TestSubmissionsBeyondWriteBudgetAreRejected are refused at once, with the time to come
// back, and never held.
func TestSubmissionsBeyondWriteBudgetAreRejected(t *testing.T) {
	f := newNodeFixture(t)
	codes := map[int]int{}
	for i := range 40 {
		w := f.call("POST", "/submissions", submissionBody(fmt.Sprintf("wk-%06d", i)))
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
	f, other := newNodeFixture(t), newNodeFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go peer.Serve(t.Context(), l, other.node.newPeerServer(), minQueuedRequests)
	if f.node.peers.Clients, err = peer.Dial([]config.Peer{{NodeName: "n1", Addr: l.Addr().String()}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.node.peers.Close)
	hangs := make(chan struct{})
	t.Cleanup(func() { close(hangs) })
	f.kv.Override = func(*http.Request) (*http.Response, error) { <-hangs; return nil, io.EOF }
	startedAt := time.Now()
	if w := f.call("POST", "/submissions", submissionBody("wk-000001")); w.Code != 201 {
		t.Errorf("%d although another node can store it", w.Code)
	}
	if took := time.Since(startedAt); took > 2*time.Second {
		t.Errorf("taken after %v", took)
	}
	if item, err := other.kv.Store.Get(jobs.Key("wk-000001")); err != nil || item.ModRevision == 0 {
		t.Errorf("accepted and not stored: %v", err)
	}
	for f.node.store.budget.TakeWrites(f.clock.now, kvstore.PurposeSubmission, 1) {
	}
	if w := f.call("POST", "/submissions", submissionBody("wk-000002")); w.Code != 201 {
		t.Errorf("%d with no changes left here, and some there", w.Code)
	}
}
