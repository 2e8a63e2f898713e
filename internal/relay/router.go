// Package relay brings heartbeats and cancel requests to a leader that their senders
// can't reach, through a node that they can: over gRPC or, in a network partition, in
// batches through the key-value store. It owns the decision which workers are relayed,
// what goes into a batch, and to whom its replies belong. It does no I/O, which is left
// to package node; the messages are those of package peer.
package relay

import (
	"sync"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// redirectFailureWindow: a worker that comes back so soon after it was redirected
	// to the leader could not reach it, and is relayed.
	redirectFailureWindow = 20 * time.Second
	// relayPeriod is how long a worker is relayed before it is redirected once more.
	relayPeriod = 45 * time.Second
	// maxTrackedWorkers bounds the workers that are remembered.
	maxTrackedWorkers = 10_000
)

// Router decides which workers are redirected to the leader, and which are relayed
// because they could not reach it. It is safe for concurrent use; the zero value is
// ready for use.
type Router struct {
	mu     sync.Mutex
	routes map[ident.MachineID]*route
}

type route struct {
	leader       string
	redirectedAt clock.Instant
	relayedSince clock.Instant // 0: not relayed
	grpcFailed   bool          // this node could not reach the leader over gRPC either
}

// ShouldRedirect reports whether a worker should be redirected to the leader rather
// than be relayed. peerReachable tells whether this node reaches the leader over gRPC.
func (r *Router) ShouldRedirect(now clock.Instant, id ident.MachineID, leader string, peerReachable func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil || len(r.routes) > maxTrackedWorkers {
		r.routes = map[ident.MachineID]*route{}
	}
	known := r.routes[id]
	switch {
	case known == nil, known.leader != leader:
		// Where the previous leader was out of reach, this one may not be.
		r.routes[id] = &route{leader: leader, redirectedAt: now}
		return true
	case known.relayedSince != 0:
		if now.Sub(known.relayedSince) < relayPeriod || known.grpcFailed && !peerReachable() {
			return false
		}
	case now.Sub(known.redirectedAt) < redirectFailureWindow:
		known.relayedSince = now
		return false
	}
	*known = route{leader: leader, redirectedAt: now}
	return true
}

// RecordPeerFailure notes that a worker's heartbeat did not reach the leader over gRPC.
func (r *Router) RecordPeerFailure(id ident.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.routes[id]; known != nil {
		known.grpcFailed = true
	}
}
