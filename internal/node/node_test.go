package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
)

// TestRunEndsWithItsContext: when its context ends a node stops serving, and all that it
// has started ends.
func TestRunEndsWithItsContext(t *testing.T) {
	f := newNodeFixture(t)
	f.node.settings.ClientListen, f.node.settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.node.Run(ctx) }()
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
	f := newNodeFixture(t)
	f.node.settings.ClientListen, f.node.settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	cause := errors.New("record of a later schema")
	f.node.core.execute = func(context.Context, controller.Effect) error { return cause }
	f.node.core.tryPost(controller.ElectionInput{Input: election.LeaderKeysRead{OK: true}}) // it asks for a lease then
	ended := make(chan error, 1)
	go func() { ended <- f.node.Run(context.Background()) }()
	select {
	case err := <-ended:
		if !errors.Is(err, cause) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still runs")
	}
}
