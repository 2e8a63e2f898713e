package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
)

// TestRunEndsWithItsContext: when its context ends a node stops serving, and all that it
// has started ends.
func TestRunEndsWithItsContext(t *testing.T) {
	b := newNodeFixture(t)
	b.n.settings.ClientListen, b.n.settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.n.Run(ctx) }()
	time.Sleep(200 * time.Millisecond)
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still runs")
	}
}

// TestRunEndsWithTheCore: a core that can't go on ends its node with the cause.
func TestRunEndsWithTheCore(t *testing.T) {
	b := newNodeFixture(t)
	b.n.settings.ClientListen, b.n.settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	cause := errors.New("record of a later schema")
	b.n.core.execute = func(context.Context, controller.Effect) error { return cause }
	b.n.core.tryPost(controller.ElectionInput{Input: election.LeaderKeysRead{OK: true}}) // it asks for a lease then
	ended := make(chan error, 1)
	go func() { ended <- b.n.Run(context.Background()) }()
	select {
	case err := <-ended:
		if !errors.Is(err, cause) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still runs")
	}
}

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
