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

// TestUserRequests checks the status codes of submissions, status queries and cancel requests, and that every refusal
// that asks the user to retry has a Retry-After header.
func TestUserRequests(t *testing.T) {
	f := newNodeFixture(t)
	want := func(code int, w *httptest.ResponseRecorder) {
		t.Helper()
		if w.Code != code {
			t.Errorf("status %d, want %d", w.Code, code)
		}
		if (w.Code == 503 || w.Code == 429) && w.Header().Get("Retry-After") == "" {
			t.Errorf("status %d without Retry-After", w.Code)
		}
	}
	want(201, f.call("POST", "/submissions", submissionBody("wk-000001")))
	want(200, f.call("POST", "/submissions", submissionBody("wk-000001")))
	want(200, f.call("GET", "/submissions/wk-000001", nil))
	want(404, f.call("GET", "/submissions/wk-000002", nil))
	want(404, f.call("GET", "/submissions/unheard-of", nil))
	want(400, f.call("POST", "/submissions", []byte("not msgpack")))
	oversized := submissionBody("wk-000003")
	oversized["cpus"] = 400.0
	want(422, f.call("POST", "/submissions", oversized))
	want(503, f.call("POST", "/submissions/wk-000001/withdraw", nil)) // there is no leader
	f.kv.Store.Down = true
	want(503, f.call("POST", "/submissions", submissionBody("wk-000004")))
	want(503, f.call("GET", "/submissions/wk-000002", nil))
}

// TestSubmissionsBeyondWriteBudgetAreRejected checks that submissions beyond the write budget are rejected at once,
// with a Retry-After header, instead of being held until the budget allows them.
func TestSubmissionsBeyondWriteBudgetAreRejected(t *testing.T) {
	f := newNodeFixture(t)
	codes := map[int]int{}
	for i := range 40 {
		w := f.call("POST", "/submissions", submissionBody(fmt.Sprintf("wk-%06d", i)))
		codes[w.Code]++
		if w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Fatal("submission rejected without Retry-After")
		}
	}
	if codes[201] == 0 || codes[503] == 0 || codes[201]+codes[503] != 40 {
		t.Errorf("responses by status %v, want some submissions stored (201) and the rest rejected (503)", codes)
	}
}

// TestSubmissionsAreForwarded checks that a node forwards a submission to another node if the state service does not
// answer, early enough for the user's time limit, or if its own write budget is exhausted.
func TestSubmissionsAreForwarded(t *testing.T) {
	f, other := newNodeFixture(t), newNodeFixture(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go peer.Serve(t.Context(), listener, other.node.newPeerServer(), minQueuedRequests)
	if f.node.peers.Clients, err = peer.Dial([]config.Peer{{NodeName: "n1", Addr: listener.Addr().String()}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.node.peers.Close)
	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	f.kv.Override = func(*http.Request) (*http.Response, error) { <-unblock; return nil, io.EOF }
	startedAt := time.Now()
	if w := f.call("POST", "/submissions", submissionBody("wk-000001")); w.Code != 201 {
		t.Errorf("status %d although another node can store the job, want 201", w.Code)
	}
	if duration := time.Since(startedAt); duration > 2*time.Second {
		t.Errorf("submission accepted after %v, want at most 2s", duration)
	}
	if item, err := other.kv.Store.Get(jobs.Key("wk-000001")); err != nil || item.ModRevision == 0 {
		t.Errorf("job accepted but not stored: %v", err)
	}
	for f.node.store.budget.TakeWrites(f.clock.now, kvstore.PurposeSubmission, 1) {
	}
	if w := f.call("POST", "/submissions", submissionBody("wk-000002")); w.Code != 201 {
		t.Errorf("status %d although another node has write budget left, want 201", w.Code)
	}
}
