// Package leasedelegation lets a node that is cut off together with its zone's workers renew
// their leases for a while. The leader grants it that beforehand, in its epoch and for a
// bounded time; the node sends no commands under the grant. It owns both sides: the Delegate
// that holds a grant, and the GrantTracker by which a leader bounds what others may have
// done. Asking for grants and telling what a node is cut off from are left to the node and
// the controller.
package leasedelegation

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

const (
	// leaderLossThreshold: a node that no leader has answered for so long does not reach
	// one.
	leaderLossThreshold = 2500 * time.Millisecond
	// contactMaxAge is how long it counts that a worker was sent to another node: time for
	// it to find one, or to come back.
	contactMaxAge = 30 * time.Second
	// probeDuration is how long a worker is away that tries one node in vain: it goes
	// there within half a second, waits 4 s for an answer and tries the next node a
	// second later.
	probeDuration = 6 * time.Second
	// maxTrackedWorkers bounds the workers that are remembered.
	maxTrackedWorkers = 10_000
)

// Isolation tells what a node is cut off from.
type Isolation int

// Isolations.
const (
	Connected Isolation = iota
	// NodeIsolated means that the state service does not answer this node.
	NodeIsolated
	// StateServiceOutage means that it answers none of the nodes, and all of these are
	// reachable.
	StateServiceOutage
)

// String names the isolation for logs.
func (i Isolation) String() string {
	switch i {
	case Connected:
		return "connected"
	case NodeIsolated:
		return "node isolated"
	case StateServiceOutage:
		return "state service outage"
	}
	return "unknown"
}

// Disposition tells what to do with a heartbeat at a node that does not lead.
type Disposition int

// Dispositions.
const (
	ForwardToLeader Disposition = iota // not cut off: the leader is to answer
	RefuseHeartbeat                    // cut off, but the worker may reach other nodes
	RedirectOutside                    // likewise: the worker tries one node outside the zone and comes back
	RenewLease                         // answer it under the grant
)

// Status is what a node answers to another that asks for it.
type Status struct {
	// Epoch and GrantDuration are of a grant; GrantDuration 0: none is given.
	Epoch         ident.Epoch
	GrantDuration time.Duration
	// ExcludedMachines must end some task: their leases are not renewed.
	ExcludedMachines []ident.MachineID
	// IdleFor is how long ago, at least, the node last renewed a lease under a grant.
	IdleFor time.Duration
}

// Delegate holds the grant of a node, and what the node did under it. It renews leases of
// its own zone's workers only: a node that restarts can't say what it did before, so
// whatever it may have renewed is given up later when it does. When all nodes might renew
// the leases of a zone that has no node, one crash held dead machines there for 10 s more.
type Delegate struct {
	zone      ident.Zone // of the node
	startedAt clock.Instant
	// canProbeBeforeRenewal: a worker that has waited in vain for the node that it came from can
	// bear another such wait before its lease expires.
	canProbeBeforeRenewal bool
	lastLeaderContactAt   clock.Instant // when the last request left that the leader answered

	epoch            ident.Epoch // of the grant; 0: there was none
	grantRequestedAt clock.Instant
	grantExpiresAt   clock.Instant
	excluded         map[ident.MachineID]bool

	lastRenewal clock.Instant // 0: never
	contacts    map[ident.MachineID]contact
}

// contact is the last heartbeat of a worker while the node is cut off.
type contact struct {
	at     clock.Instant
	probed bool // it was sent to another node
}

// NewDelegate returns the delegate of a process that started at now.
func NewDelegate(zone ident.Zone, workers config.Workers, now clock.Instant) *Delegate {
	return &Delegate{
		zone:                  zone,
		startedAt:             now,
		canProbeBeforeRenewal: workers.FailoverTime() > probeDuration,
		contacts:              map[ident.MachineID]contact{},
	}
}

// AcceptStatus applies a status, and the grant in it if it is the newest, by when the
// request for it left.
func (d *Delegate) AcceptStatus(requestedAt clock.Instant, status Status) {
	if status.Epoch != 0 {
		d.lastLeaderContactAt = max(d.lastLeaderContactAt, requestedAt)
	}
	outdated := status.Epoch < d.epoch || status.Epoch == d.epoch && requestedAt < d.grantRequestedAt
	if status.GrantDuration <= 0 || outdated {
		return
	}
	d.epoch = status.Epoch
	d.grantRequestedAt, d.grantExpiresAt = requestedAt, requestedAt.Add(status.GrantDuration)
	d.excluded = make(map[ident.MachineID]bool, len(status.ExcludedMachines))
	for _, id := range status.ExcludedMachines {
		d.excluded[id] = true
	}
}

// GrantRequestedAt is when the request for the grant left.
func (d *Delegate) GrantRequestedAt() clock.Instant { return d.grantRequestedAt }

// GrantExpiresAt is when the grant expires.
func (d *Delegate) GrantExpiresAt() clock.Instant { return d.grantExpiresAt }

// GrantEpoch is the epoch of the grant.
func (d *Delegate) GrantEpoch() ident.Epoch { return d.epoch }

// Decide decides on a heartbeat. A worker that may reach another node probes one first: the
// leader, if there is one, does better by it. It must be back before the grant expires, or
// the probe would cost it the last renewal of its lease. Where leases are short its lease
// is renewed once before it probes: it comes from a node that did not answer, and a second
// wait of 4 s cost it a lease of 10 s.
func (d *Delegate) Decide(now clock.Instant, isolation Isolation, h *fleet.Heartbeat) Disposition {
	if isolation == Connected || d.epoch == 0 || now.Sub(d.lastLeaderContactAt) < leaderLossThreshold {
		return ForwardToLeader
	}
	if !d.mayRenew(now, h) {
		return RefuseHeartbeat
	}
	last, known := d.lastContact(now, h.Machine)
	if !last.probed && (known || d.canProbeBeforeRenewal) && d.canProbe(now, isolation) {
		d.contacts[h.Machine] = contact{at: now, probed: true}
		return RedirectOutside
	}
	d.contacts[h.Machine] = contact{at: now, probed: last.probed}
	d.lastRenewal = now
	return RenewLease
}

// mayRenew tells whether the grant covers the worker's lease now.
func (d *Delegate) mayRenew(now clock.Instant, h *fleet.Heartbeat) bool {
	return now.Before(d.grantExpiresAt) && h.Zone == d.zone && h.FencingToken <= d.epoch && !d.excluded[h.Machine]
}

// lastContact returns the worker's last heartbeat, if it still counts. It forgets all
// workers when they are too many.
func (d *Delegate) lastContact(now clock.Instant, id ident.MachineID) (contact, bool) {
	if len(d.contacts) > maxTrackedWorkers {
		clear(d.contacts)
	}
	last, known := d.contacts[id]
	if !known || now.Sub(last.at) > contactMaxAge {
		return contact{}, false
	}
	return last, true
}

// canProbe tells whether a worker that looks for another node is back before the grant
// expires if it finds none.
func (d *Delegate) canProbe(now clock.Instant, isolation Isolation) bool {
	return isolation != StateServiceOutage && !d.grantExpiresAt.Before(now.Add(probeDuration))
}

// IdleFor is how long ago, at least, this node renewed a lease; what an earlier process of
// it did was before this one started.
func (d *Delegate) IdleFor(now clock.Instant) time.Duration { return now.Sub(d.IdleSince()) }

// IdleSince is since when, at the latest, this node has renewed no lease.
func (d *Delegate) IdleSince() clock.Instant { return max(d.lastRenewal, d.startedAt) }
