package node

import (
	"strings"
	"testing"
)

// endlessReader is a request body that never ends. It counts the bytes that are read.
type endlessReader struct{ read int }

func (e *endlessReader) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// TestOversizedOrMalformedBodyIsRejected checks that a body over the limit is rejected without reading much of it, and
// that a heartbeat that can't be decoded is rejected.
func TestOversizedOrMalformedBodyIsRejected(t *testing.T) {
	f := newNodeFixture(t)
	body := &endlessReader{}
	if w := f.call("POST", "/submissions", body); w.Code != 400 {
		t.Errorf("oversized submission: status %d, want 400", w.Code)
	}
	if body.read > 256<<10 {
		t.Errorf("%d bytes were read of a body over the limit of 64 KiB, want at most 256 KiB", body.read)
	}
	if w := f.call("POST", "/agent/beat", strings.NewReader("garbage")); w.Code != 400 {
		t.Errorf("malformed heartbeat: status %d, want 400", w.Code)
	}
}

// TestHealthEndpoint checks that a node fails the health check until the state service has answered it, and that the
// metrics are served.
func TestHealthEndpoint(t *testing.T) {
	f := newNodeFixture(t)
	if w := f.call("GET", "/up", nil); w.Code != 503 {
		t.Errorf("status %d before the state service has answered, want 503", w.Code)
	}
	f.node.store.record(nil)
	if w := f.call("GET", "/up", nil); w.Code != 200 {
		t.Errorf("status %d after the state service has answered, want 200", w.Code)
	}
	if w := f.call("GET", "/metrics", nil); w.Code != 200 || !strings.Contains(w.Body.String(), "badgerbay_epoch_changes_total") {
		t.Errorf("metrics: status %d, or the epoch change counter is missing", w.Code)
	}
}
