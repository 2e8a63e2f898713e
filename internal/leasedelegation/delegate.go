// Package leasedelegation lets a node that is cut off together with its zone's workers
// keep their leases for a while. The leader grants it the right beforehand, in
// its epoch and for a bounded time; the node gives no orders by it. Whoever
// leads counts a lease from the last moment at which it may have been used.
package leasedelegation

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
)

const (
	// cancellationMargin is what is left of the time in which a cancelled job's tasks must be
	// gone: for drift, for reports that are under way, and for the list of the
	// machines that owe an exit, which is as old as the grant.
	cancellationMargin = 3 * time.Second
	// minGrantDuration and mostLife bound the life of a grant: less is of no use, and
	// a longer one keeps lost work from being placed anew.
	minGrantDuration = 5 * time.Second
	maxGrantDuration = 30 * time.Second
)

// GrantDuration is how long a grant lasts from the request for it, or 0 if none is
// given. A worker may be kept to the end of a grant and lives for a lease after
// that; a job cancelled just after the grant must be gone by then.
func GrantDuration(w config.Workers) time.Duration {
	life := w.CancelTimeout() - w.LeaseTTL() - cancellationMargin
	if life < minGrantDuration {
		return 0
	}
	return min(life, maxGrantDuration)
}

// Status is what a node answers to another that asks it.
type Status struct {
	// Epoch and Life are of a grant; Life 0: none is given.
	Epoch         ident.Epoch
	GrantDuration time.Duration
	// ExcludedMachines are the machines that must end something: they are not kept.
	ExcludedMachines []ident.MachineID
	// IdleFor is how long ago, at least, the node kept a worker by a grant.
	IdleFor time.Duration
}

// Disposition on a report that this node can't answer as leader.
type Disposition int

// Verdicts.
const (
	ForwardToLeader Disposition = iota // not cut off: the leader is to answer it
	RefuseHeartbeat                    // cut off, but the worker may reach others
	RedirectOutside                    // likewise: one outside node is tried, and the worker comes back
	RenewLease                         // answer it by the grant
)

// Isolation tells what a node is cut off from.
type Isolation int

// Isolations.
const (
	Connected Isolation = iota
	// NodeIsolated: the state service does not answer this node.
	NodeIsolated
	// StateServiceOutage: it answers none of the nodes, and all of these are heard.
	StateServiceOutage
)

const (
	// leaderLossThreshold: a node that no leader has answered for so long does not reach one.
	leaderLossThreshold = 2500 * time.Millisecond
	// probeMemory is how long it counts that a worker was sent on: time for it to
	// find another node, or to come back.
	probeMemory = 30 * time.Second
	// probeDuration is how long a worker is away that tries one node in vain: it
	// goes there within half a second, waits 4 s for an answer and tries the
	// next node a second later.
	probeDuration = 6 * time.Second
	// maxTrackedWorkers bounds the workers that are remembered.
	maxTrackedWorkers = 10_000
)

// Delegate is the grant that a node holds, and what it did by it. It keeps workers
// of its own zone only: who restarts can't say what it did before, so whatever a
// node may keep is given up later when it does. When all nodes might keep those of
// a zone that has none, one crash held dead machines there for 10 s more.
type Delegate struct {
	zone      ident.Zone // of the node: it keeps no others' workers
	startedAt clock.Instant
	// canProbeFirst: a worker that has waited in vain for the node that it came from
	// can bear another such wait before its lease ends.
	canProbeFirst    bool
	epoch            ident.Epoch
	leaderHeardAt    clock.Instant // when the last request left that the leader answered
	grantRequestedAt clock.Instant // when the request for the grant left
	grantExpiresAt   clock.Instant
	excluded         map[ident.MachineID]bool
	lastRenewal      clock.Instant // 0: never kept a worker
	contacts         map[ident.MachineID]contact
}

// contact is the last report of a worker during a cut.
type contact struct {
	at     clock.Instant
	probed bool // it has been sent to another node
}

// NewDelegate returns the keeper of a process that has started at now.
func NewDelegate(zone ident.Zone, w config.Workers, now clock.Instant) *Delegate {
	return &Delegate{zone: zone, startedAt: now, canProbeFirst: w.FailoverTime() > probeDuration, contacts: map[ident.MachineID]contact{}}
}

// AcceptStatus takes in a grant that was asked for at base.
func (k *Delegate) AcceptStatus(base clock.Instant, s Status) {
	if s.Epoch != 0 {
		k.leaderHeardAt = max(k.leaderHeardAt, base)
	}
	if s.GrantDuration <= 0 || s.Epoch < k.epoch || s.Epoch == k.epoch && base < k.grantRequestedAt {
		return
	}
	k.epoch, k.grantRequestedAt, k.grantExpiresAt = s.Epoch, base, base.Add(s.GrantDuration)
	k.excluded = make(map[ident.MachineID]bool, len(s.ExcludedMachines))
	for _, id := range s.ExcludedMachines {
		k.excluded[id] = true
	}
}

// GrantRequestedAt is when the request for the grant left.
func (k *Delegate) GrantRequestedAt() clock.Instant { return k.grantRequestedAt }

// GrantExpiresAt is when the grant ends.
func (k *Delegate) GrantExpiresAt() clock.Instant { return k.grantExpiresAt }

// GrantEpoch is the epoch of the grant.
func (k *Delegate) GrantEpoch() ident.Epoch { return k.epoch }

// Decide decides on a report. A worker that may reach another node probes one
// first: the leader, if there is one, does better by it. It must be back before
// the grant ends, or the probe would cost it the last renewal of its lease. Where
// leases are short it is kept once before it probes: it comes from a node that did
// not answer, and a second wait of 4 s cost it a lease of 10 s.
func (k *Delegate) Decide(now clock.Instant, cut Isolation, r *fleet.Heartbeat) Disposition {
	if cut == Connected || k.epoch == 0 || now.Sub(k.leaderHeardAt) < leaderLossThreshold {
		return ForwardToLeader
	}
	may := now.Before(k.grantExpiresAt) && r.Zone == k.zone && r.FencingToken <= k.epoch && !k.excluded[r.Machine]
	if !may {
		return RefuseHeartbeat
	}
	if len(k.contacts) > maxTrackedWorkers {
		clear(k.contacts)
	}
	last, here := k.contacts[r.Machine]
	if here = here && now.Sub(last.at) <= probeMemory; !here {
		last = contact{}
	}
	if k.canProbe(now, cut) && !last.probed && (here || k.canProbeFirst) {
		k.contacts[r.Machine] = contact{at: now, probed: true}
		return RedirectOutside
	}
	k.contacts[r.Machine], k.lastRenewal = contact{at: now, probed: last.probed}, now
	return RenewLease
}

// canProbe tells whether a worker that looks for another node is back before the
// grant ends if it finds none.
func (k *Delegate) canProbe(now clock.Instant, cut Isolation) bool {
	return cut != StateServiceOutage && !k.grantExpiresAt.Before(now.Add(probeDuration))
}

// IdleFor is how long ago, at least, this node kept a worker; what an earlier
// process of it did was before this one started.
func (k *Delegate) IdleFor(now clock.Instant) time.Duration { return now.Sub(k.IdleSince()) }

// IdleSince is since when, at the latest, this node has kept no worker.
func (k *Delegate) IdleSince() clock.Instant { return max(k.lastRenewal, k.startedAt) }
