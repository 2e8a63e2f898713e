package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/peer"
	"badgerbay/internal/peer/meshpb"
)

// peerRetryPause is how long a peer is skipped after a failed call, by callers that have an alternative to it.
const peerRetryPause = 2 * time.Second

var (
	// errPeerUnreachable is returned when a peer is skipped because a recent call to it failed.
	errPeerUnreachable = errors.New("peer skipped after a recent failure")
	// errNoDelegation is returned when the reply of a peer lacks the requested delegation status.
	errNoDelegation = errors.New("peer sent no delegation status")
	// errMalformedReply is returned when the reply of a peer cannot be decoded.
	errMalformedReply = errors.New("malformed peer reply")
)

// peerNetwork calls the other nodes and records which of them failed to answer. It is safe for concurrent use.
type peerNetwork struct {
	*peer.Clients
	clock clock.Clock

	mu          sync.Mutex
	lastFailure map[string]clock.Instant // by peer; absent if its last call succeeded or none was made
}

func newPeerNetwork(clients *peer.Clients, c clock.Clock) *peerNetwork {
	return &peerNetwork{Clients: clients, clock: c, lastFailure: map[string]clock.Instant{}}
}

// reachable reports whether the peer should be called: its last call succeeded, or failed more than peerRetryPause ago.
func (p *peerNetwork) reachable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed, ok := p.lastFailure[name]
	return !ok || p.clock.Now().Sub(failed) > peerRetryPause
}

// recordResult stores whether a call to the peer succeeded.
func (p *peerNetwork) recordResult(name string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lastFailure[name] = p.clock.Now()
		return
	}
	delete(p.lastFailure, name)
}

// exchange sends a batch to the peer and returns its reply. It returns errPeerUnreachable if the peer was skipped, and
// errMalformedReply if its reply cannot be decoded.
func (p *peerNetwork) exchange(ctx context.Context, name string, batch *peer.Batch) (*peer.BatchReply, error) {
	if !p.reachable(name) {
		return nil, fmt.Errorf("relaying to %s: %w", name, errPeerUnreachable)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encoding a batch for %s: %w", name, err)
	}
	replyData, err := p.RelayBatch(ctx, name, data)
	p.recordResult(name, err)
	if err != nil {
		return nil, fmt.Errorf("relaying to %s: %w", name, err)
	}
	reply, err := peer.DecodeReply(replyData)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errMalformedReply, name, err)
	}
	return reply, nil
}

// checkHealth returns what the peer can reach, and records whether the peer answered.
func (p *peerNetwork) checkHealth(ctx context.Context, name string) (*meshpb.HealthReply, error) {
	reply, err := p.Health(ctx, name)
	p.recordResult(name, err)
	return reply, err
}
