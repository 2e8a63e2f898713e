package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
)

// TestRunStopsWhenContextEnds checks that Run returns without an error soon after its context ends. A goroutine or server
// that does not stop would keep Run from returning.
func TestRunStopsWhenContextEnds(t *testing.T) {
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
			t.Errorf("Run returned %v, want nil", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return within 5 s")
	}
}

// TestRunReturnsCoreFailure checks that Run returns the error with which an effect of the core stops the node. Otherwise
// the node would go on without its core.
func TestRunReturnsCoreFailure(t *testing.T) {
	f := newNodeFixture(t)
	f.node.settings.ClientListen, f.node.settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	cause := errors.New("record of a later schema")
	f.node.core.execute = func(context.Context, controller.Effect) error { return cause }
	f.node.core.tryPost(controller.ElectionInput{Input: election.LeaderKeysRead{OK: true}}) // makes the core request a lease
	ended := make(chan error, 1)
	go func() { ended <- f.node.Run(context.Background()) }()
	select {
	case err := <-ended:
		if !errors.Is(err, cause) {
			t.Errorf("Run returned %v, want %v", err, cause)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return within 5 s")
	}
}
