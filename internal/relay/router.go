// Package relay carries reports of workers that can't reach the leader, and what
// users ask there, from the node that they can reach to the leader: over the mesh,
// or in batches through the state service when the mesh is cut. It decides who is
// relayed and what goes into a batch; it does no I/O.
package relay

import (
	"sync"
	"time"

	"badgerbay/internal/unit"
)

const (
	// returnedWithin: a worker that comes back so soon after it was sent to the
	// leader could not reach it, and is relayed.
	returnedWithin = 20 * time.Second
	// relayedFor is how long a worker is relayed before it is sent to the leader
	// once more.
	relayedFor = 45 * time.Second
	// mostWorkers bounds the workers that are remembered.
	mostWorkers = 10_000
)

// Router decides which workers are sent to the leader, and which of them are
// relayed because they could not reach it. It may be used by many requests at once;
// the zero value is ready for use.
type Router struct {
	mu      sync.Mutex
	workers map[unit.MachineID]*route
}

type route struct {
	leader   string
	sent     unit.Instant // to the leader
	since    unit.Instant // relayed since; 0: not
	meshFail bool         // the leader could not be reached over the mesh either
}

// Direct tells whether a worker should be sent to the leader rather than be
// relayed. meshWorks tells whether the leader is reached over the mesh.
func (r *Router) Direct(now unit.Instant, id unit.MachineID, leader string, meshWorks func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workers == nil || len(r.workers) > mostWorkers {
		r.workers = map[unit.MachineID]*route{}
	}
	w := r.workers[id]
	switch {
	case w == nil, w.leader != leader:
		// Where the last leader was out of reach, the next may not be.
		r.workers[id] = &route{leader: leader, sent: now}
		return true
	case w.since != 0:
		if now.Sub(w.since) < relayedFor || w.meshFail && !meshWorks() {
			return false
		}
	case now.Sub(w.sent) < returnedWithin:
		w.since = now
		return false
	}
	w.sent, w.since, w.meshFail = now, 0, false
	return true
}

// MeshFailed notes that a worker's report did not reach the leader over the mesh.
func (r *Router) MeshFailed(id unit.MachineID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[id]; w != nil {
		w.meshFail = true
	}
}
