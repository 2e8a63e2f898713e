// Package relay relays heartbeats and cancel requests to a leader that their senders cannot
// reach. A node that the senders can reach forwards them over gRPC or, in a network
// partition, in batches through the state service. The package decides which workers are
// relayed, which requests a batch contains, and which request a reply belongs to. It does
// no I/O: package node sends the messages, which package peer defines.
package relay

import (
	"sync"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// redirectFailureWindow is the time after a redirect within which a worker that
	// returns to this node is assumed to be unable to reach the leader, and is relayed.
	redirectFailureWindow = 20 * time.Second
	// relayPeriod is the time for which a worker is relayed before it is redirected to
	// the leader again.
	relayPeriod = 45 * time.Second
	// maxTrackedWorkers limits the workers that a Router tracks. When there are more, it
	// discards the routes of all of them.
	maxTrackedWorkers = 10_000
)

// Router decides which workers are redirected to the leader, and which are relayed
// because they could not reach it. It is safe for concurrent use. Its zero value is
// ready to use.
type Router struct {
	mu     sync.Mutex
	routes map[ident.MachineID]*route
}

// route is the state of one worker.
type route struct {
	leader       string
	redirectedAt clock.Instant
	relayedSince clock.Instant // 0 if the worker is not relayed
	grpcFailed   bool          // whether this node failed to relay to the leader over gRPC
}

// ShouldRedirect reports whether a worker should be redirected to the leader instead of
// being relayed. peerReachable reports whether this node reaches the leader over gRPC.
func (r *Router) ShouldRedirect(now clock.Instant, id ident.MachineID, leader string, peerReachable func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil || len(r.routes) > maxTrackedWorkers {
		r.routes = map[ident.MachineID]*route{}
	}
	known := r.routes[id]
	switch {
	case known == nil, known.leader != leader:
		// The worker may be able to reach this leader even if it could not reach the
		// previous one.
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

// RecordPeerFailure records that a worker's heartbeat could not be relayed to the leader
// over gRPC.
func (r *Router) RecordPeerFailure(id ident.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.routes[id]; known != nil {
		known.grpcFailed = true
	}
}
