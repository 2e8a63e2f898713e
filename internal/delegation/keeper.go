// Package delegation lets a node that is cut off together with its zone's workers
// keep their leases for a while. The leader grants it the right beforehand, in
// its epoch and for a bounded time; the node gives no orders by it. Whoever
// leads counts a lease from the last moment at which it may have been used.
package delegation

import (
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

const (
	// slack is what is left of the time in which a cancelled job's tasks must be
	// gone: for drift, for reports that are under way, and for the list of the
	// machines that owe an exit, which is as old as the grant.
	slack = 3 * time.Second
	// leastLife and mostLife bound the life of a grant: less is of no use, and
	// a longer one keeps lost work from being placed anew.
	leastLife = 5 * time.Second
	mostLife  = 30 * time.Second
)

// Life is how long a grant lasts from the request for it, or 0 if none is
// given. A worker may be kept to the end of a grant and lives for a lease after
// that; a job cancelled just after the grant must be gone by then.
func Life(w config.Workers) time.Duration {
	life := w.Cancel() - w.Lease() - slack
	if life < leastLife {
		return 0
	}
	return min(life, mostLife)
}

// Status is what a node answers to another that asks it.
type Status struct {
	// Epoch and Life are of a grant; Life 0: none is given.
	Epoch unit.Epoch
	Life  time.Duration
	// Excluded are the machines that must end something: they are not kept.
	Excluded []unit.MachineID
	// IdleFor is how long ago, at least, the node kept a worker by a grant.
	IdleFor time.Duration
}

// Verdict on a report that this node can't answer as leader.
type Verdict int

// Verdicts.
const (
	Pass   Verdict = iota // not cut off: the leader is to answer it
	Refuse                // cut off, but the worker may reach others
	Probe                 // likewise: one outside node is tried, and the worker comes back
	Keep                  // answer it by the grant
)

// Isolation tells what a node is cut off from.
type Isolation int

// Isolations.
const (
	Connected Isolation = iota
	// Alone: the state service does not answer this node.
	Alone
	// Outage: it answers none of the nodes, and all of these are heard.
	Outage
)

const (
	// lost: a node that no leader has answered for so long does not reach one.
	lost = 2500 * time.Millisecond
	// tried is how long it counts that a worker was sent on: time for it to
	// find another node, or to come back.
	tried = 30 * time.Second
	// probeTime is how long a worker is away that tries one node in vain: it
	// goes there within half a second, waits 4 s for an answer and tries the
	// next node a second later.
	probeTime = 6 * time.Second
	// known bounds the workers that are remembered.
	known = 10_000
)

// Keeper is the grant that a node holds, and what it did by it. It keeps workers
// of its own zone only: who restarts can't say what it did before, so whatever a
// node may keep is given up later when it does. When all nodes might keep those of
// a zone that has none, one crash held dead machines there for 10 s more.
type Keeper struct {
	zone    unit.Zone // of the node: it keeps no others' workers
	started unit.Instant
	// probeFirst: a worker that has waited in vain for the node that it came from
	// can bear another such wait before its lease ends.
	probeFirst bool
	epoch      unit.Epoch
	heard      unit.Instant // when the last request left that the leader answered
	base       unit.Instant // when the request for the grant left
	until      unit.Instant
	excluded   map[unit.MachineID]bool
	last       unit.Instant // 0: never kept a worker
	workers    map[unit.MachineID]contact
}

// contact is the last report of a worker during a cut.
type contact struct {
	at     unit.Instant
	probed bool // it has been sent to another node
}

// NewKeeper returns the keeper of a process that has started at now.
func NewKeeper(zone unit.Zone, w config.Workers, now unit.Instant) *Keeper {
	return &Keeper{zone: zone, started: now, probeFirst: w.TakeoverTime() > probeTime, workers: map[unit.MachineID]contact{}}
}

// Take takes in a grant that was asked for at base.
func (k *Keeper) Take(base unit.Instant, s Status) {
	if s.Epoch != 0 {
		k.heard = max(k.heard, base)
	}
	if s.Life <= 0 || s.Epoch < k.epoch || s.Epoch == k.epoch && base < k.base {
		return
	}
	k.epoch, k.base, k.until = s.Epoch, base, base.Add(s.Life)
	k.excluded = make(map[unit.MachineID]bool, len(s.Excluded))
	for _, id := range s.Excluded {
		k.excluded[id] = true
	}
}

// Base is when the request for the grant left.
func (k *Keeper) Base() unit.Instant { return k.base }

// Until is when the grant ends.
func (k *Keeper) Until() unit.Instant { return k.until }

// Epoch is the epoch of the grant.
func (k *Keeper) Epoch() unit.Epoch { return k.epoch }

// Judge decides on a report. A worker that may reach another node probes one
// first: the leader, if there is one, does better by it. It must be back before
// the grant ends, or the probe would cost it the last renewal of its lease. Where
// leases are short it is kept once before it probes: it comes from a node that did
// not answer, and a second wait of 4 s cost it a lease of 10 s.
func (k *Keeper) Judge(now unit.Instant, cut Isolation, r *fleet.Report) Verdict {
	if cut == Connected || k.epoch == 0 || now.Sub(k.heard) < lost {
		return Pass
	}
	may := now.Before(k.until) && r.Zone == k.zone && r.Token <= k.epoch && !k.excluded[r.Machine]
	if !may {
		return Refuse
	}
	if len(k.workers) > known {
		clear(k.workers)
	}
	last, here := k.workers[r.Machine]
	if here = here && now.Sub(last.at) <= tried; !here {
		last = contact{}
	}
	if k.mayProbe(now, cut) && !last.probed && (here || k.probeFirst) {
		k.workers[r.Machine] = contact{at: now, probed: true}
		return Probe
	}
	k.workers[r.Machine], k.last = contact{at: now, probed: last.probed}, now
	return Keep
}

// mayProbe tells whether a worker that looks for another node is back before the
// grant ends if it finds none.
func (k *Keeper) mayProbe(now unit.Instant, cut Isolation) bool {
	return cut != Outage && !k.until.Before(now.Add(probeTime))
}

// IdleFor is how long ago, at least, this node kept a worker; what an earlier
// process of it did was before this one started.
func (k *Keeper) IdleFor(now unit.Instant) time.Duration { return now.Sub(k.IdleSince()) }

// IdleSince is since when, at the latest, this node has kept no worker.
func (k *Keeper) IdleSince() unit.Instant { return max(k.last, k.started) }
