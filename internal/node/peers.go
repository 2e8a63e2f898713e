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

// peerRetryPause is how long a peer that did not answer is not tried again by what
// has another way.
const peerRetryPause = 2 * time.Second

var (
	// errPeerUnreachable says that a peer did not answer a moment ago, and was not tried.
	errPeerUnreachable = errors.New("peer did not answer a moment ago")
	// errNoDelegation says that a peer was asked for its delegation status and said nothing.
	errNoDelegation = errors.New("peer sent no delegation status")
	// errMalformedReply says that a peer's reply can't be read.
	errMalformedReply = errors.New("malformed reply of a peer")
)

// peerNetwork is the node's access to the other nodes. It remembers which of them did
// not answer. It is safe for concurrent use.
type peerNetwork struct {
	*peer.Clients
	clock clock.Clock

	mu          sync.Mutex
	lastFailure map[string]clock.Instant // by peer; missing: it answered last time
}

func newPeerNetwork(clients *peer.Clients, c clock.Clock) *peerNetwork {
	return &peerNetwork{Clients: clients, clock: c, lastFailure: map[string]clock.Instant{}}
}

// reachable tells whether the peer may be tried: it answered last time, or its failure
// is some time ago.
func (p *peerNetwork) reachable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed, ok := p.lastFailure[name]
	return !ok || p.clock.Now().Sub(failed) > peerRetryPause
}

// record takes in the result of a call to the peer.
func (p *peerNetwork) record(name string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lastFailure[name] = p.clock.Now()
		return
	}
	delete(p.lastFailure, name)
}

// exchange hands a batch to the peer and returns its reply. The error is
// errPeerUnreachable if the peer was not tried, and errMalformedReply if its reply can't
// be read.
func (p *peerNetwork) exchange(ctx context.Context, name string, batch *peer.Batch) (*peer.BatchReply, error) {
	if !p.reachable(name) {
		return nil, fmt.Errorf("relaying to %s: %w", name, errPeerUnreachable)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encoding a batch for %s: %w", name, err)
	}
	replyData, err := p.RelayBatch(ctx, name, data)
	p.record(name, err)
	if err != nil {
		return nil, fmt.Errorf("relaying to %s: %w", name, err)
	}
	reply, err := peer.DecodeReply(replyData)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errMalformedReply, name, err)
	}
	return reply, nil
}

// checkHealth asks what the peer can reach.
func (p *peerNetwork) checkHealth(ctx context.Context, name string) (*meshpb.HealthReply, error) {
	reply, err := p.Health(ctx, name)
	p.record(name, err)
	return reply, err
}
