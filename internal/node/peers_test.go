package node

import (
	"errors"
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestFailedPeerSkippedDuringRetryPause checks that a peer is skipped for peerRetryPause after a failed call, is called again after
// that pause, and is called at once when a later call has succeeded.
func TestFailedPeerSkippedDuringRetryPause(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	p := newPeerNetwork(nil, c)
	if !p.reachable("n1") {
		t.Error("peer without a failed call is skipped")
	}
	p.recordResult("n1", errors.New("no answer"))
	if p.reachable("n1") || !p.reachable("n2") {
		t.Error("failed peer is not skipped, or another peer is")
	}
	c.now = c.now.Add(peerRetryPause + time.Millisecond)
	if !p.reachable("n1") {
		t.Error("peer is still skipped after the retry pause")
	}
	p.recordResult("n1", errors.New("no answer"))
	p.recordResult("n1", nil)
	if !p.reachable("n1") {
		t.Error("peer is skipped although its last call succeeded")
	}
}
