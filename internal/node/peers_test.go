package node

import (
	"errors"
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestPeerThatFailedRests: a peer that did not answer is left alone for a while, and
// tried again after it.
func TestPeerThatFailedRests(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	p := newPeerNetwork(nil, c)
	if !p.reachable("n1") {
		t.Error("never tried")
	}
	p.record("n1", errors.New("no answer"))
	if p.reachable("n1") || !p.reachable("n2") {
		t.Error("tried at once after it failed, or another peer is not tried")
	}
	c.now = c.now.Add(peerRetryPause + time.Millisecond)
	if !p.reachable("n1") {
		t.Error("never tried again")
	}
	p.record("n1", errors.New("no answer"))
	p.record("n1", nil)
	if !p.reachable("n1") {
		t.Error("left alone although it answers again")
	}
}
