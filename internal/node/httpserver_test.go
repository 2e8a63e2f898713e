package node

import (
	"strings"
	"testing"
)

// endlessReader is a body that never ends; reading much of it is an error.
type endlessReader struct{ read int }

func (e *endlessReader) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

func TestOversizedOrMalformedBodyIsRejected(t *testing.T) {
	f := newNodeFixture(t)
	body := &endlessReader{}
	if w := f.call("POST", "/submissions", body); w.Code != 400 {
		t.Errorf("%d, want 400", w.Code)
	}
	if body.read > 256<<10 {
		t.Errorf("%d bytes were read of a body over 64 KiB", body.read)
	}
	if w := f.call("POST", "/agent/beat", strings.NewReader("garbage")); w.Code != 400 {
		t.Errorf("garbage heartbeat: %d, want 400", w.Code)
	}
}

func TestHealthEndpoint(t *testing.T) {
	f := newNodeFixture(t)
	if w := f.call("GET", "/up", nil); w.Code != 503 {
		t.Errorf("%d before the state service was reached", w.Code)
	}
	f.node.store.record(nil)
	if w := f.call("GET", "/up", nil); w.Code != 200 {
		t.Errorf("%d, want 200", w.Code)
	}
	if w := f.call("GET", "/metrics", nil); w.Code != 200 || !strings.Contains(w.Body.String(), "badgerbay_epoch_changes_total") {
		t.Errorf("metrics: %d", w.Code)
	}
}
