// Package relay carries reports of workers that can't reach the leader, and what
// users ask there, from the node that they can reach to the leader: over the mesh,
// or in batches through the state service when the mesh is cut. It decides who is
// relayed and what goes into a batch; it does no I/O.
package relay

import (
	"sync"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// redirectFailureWindow: a worker that comes back so soon after it was sent to the
	// leader could not reach it, and is relayed.
	redirectFailureWindow = 20 * time.Second
	// relayPeriod is how long a worker is relayed before it is sent to the leader
	// once more.
	relayPeriod = 45 * time.Second
	// maxTrackedWorkers bounds the workers that are remembered.
	maxTrackedWorkers = 10_000
)

// Router decides which workers are sent to the leader, and which of them are
// relayed because they could not reach it. It may be used by many requests at once;
// the zero value is ready for use.
type Router struct {
	mu     sync.Mutex
	routes map[ident.MachineID]*route
}

type route struct {
	leader       string
	redirectedAt clock.Instant // to the leader
	relayedSince clock.Instant // relayed since; 0: not
	peerFailed   bool          // the leader could not be reached over the mesh either
}

// ShouldRedirect tells whether a worker should be sent to the leader rather than be
// relayed. meshWorks tells whether the leader is reached over the mesh.
func (r *Router) ShouldRedirect(now clock.Instant, id ident.MachineID, leader string, meshWorks func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil || len(r.routes) > maxTrackedWorkers {
		r.routes = map[ident.MachineID]*route{}
	}
	w := r.routes[id]
	switch {
	case w == nil, w.leader != leader:
		// Where the last leader was out of reach, the next may not be.
		r.routes[id] = &route{leader: leader, redirectedAt: now}
		return true
	case w.relayedSince != 0:
		if now.Sub(w.relayedSince) < relayPeriod || w.peerFailed && !meshWorks() {
			return false
		}
	case now.Sub(w.redirectedAt) < redirectFailureWindow:
		w.relayedSince = now
		return false
	}
	w.redirectedAt, w.relayedSince, w.peerFailed = now, 0, false
	return true
}

// RecordPeerFailure notes that a worker's report did not reach the leader over the mesh.
func (r *Router) RecordPeerFailure(id ident.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.routes[id]; w != nil {
		w.peerFailed = true
	}
}
