// Package leasedelegation lets a node that is isolated together with the workers of its zone renew their leases for a
// limited time. The leader grants this right in advance, for its epoch and a bounded duration; the node sends no
// commands under the grant. The package owns both sides: the Delegate, which holds a grant, and the GrantTracker, with
// which a leader bounds the renewals that other nodes may have made. The node and the controller request grants and
// determine the isolation of a node.
package leasedelegation

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

const (
	// leaderLossThreshold is the time without an answer from a leader after which a node treats the leader as
	// unreachable.
	leaderLossThreshold = 2500 * time.Millisecond
	// contactMaxAge is how long a worker's last contact, and thus its redirect to another node, is taken into account.
	// It leaves the worker time to find another node or to return.
	contactMaxAge = 30 * time.Second
	// probeDuration bounds how long a worker is away while it tries one other node without success: it connects to that
	// node within half a second, waits 4 s for an answer and tries the next node one second later.
	probeDuration = 6 * time.Second
	// maxTrackedWorkers limits the number of workers whose contacts are kept.
	maxTrackedWorkers = 10_000
)

// Isolation describes whether and how a node is isolated.
type Isolation int

// Kinds of isolation.
const (
	Connected Isolation = iota
	// NodeIsolated means that the state service does not answer this node.
	NodeIsolated
	// StateServiceOutage means that the state service answers none of the nodes, and that this node reaches all other
	// nodes.
	StateServiceOutage
)

// String returns the name of the isolation for logs.
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

// Disposition is the decision of a node that does not act as leader on how to handle a worker's heartbeat.
type Disposition int

// Dispositions.
const (
	ForwardToLeader     Disposition = iota // this node is not isolated, so the leader answers
	RefuseHeartbeat                        // this node is isolated, but the worker may reach another node
	RedirectToOtherZone                    // this node is isolated; the worker probes one node outside the zone and returns
	RenewLease                             // this node answers and renews the lease under the grant
)

// Status is the reply of a node to a status request by another node.
type Status struct {
	// Epoch is the epoch of the answering leader, 0 if the node does not act as leader. GrantDuration is the duration
	// of the grant in that epoch, 0 if none is given.
	Epoch         ident.Epoch
	GrantDuration time.Duration
	// ExcludedMachines are machines that must end some task, so their leases must not be renewed under the grant.
	ExcludedMachines []ident.MachineID
	// IdleFor is the minimum time since the node last renewed a lease under a grant.
	IdleFor time.Duration
}

// Delegate holds the grant of a node and tracks the renewals that the node makes under it. It renews leases only for
// workers of the node's own zone: a restarted node does not know which leases it renewed before the restart, so the
// leader has to assume that it renewed all that it was allowed to, and lets those leases expire later. When every node
// was allowed to renew the leases of a zone without a node, one node crash kept dead machines in that zone 10 s longer.
type Delegate struct {
	zone      ident.Zone // zone of the node
	startedAt clock.Instant
	// canProbeBeforeRenewal is whether a worker that has already waited for an unresponsive node can wait for a second
	// one before its lease expires.
	canProbeBeforeRenewal bool
	lastLeaderContactAt   clock.Instant // when the last request that a leader answered was sent

	epoch            ident.Epoch // epoch of the grant; 0: no grant was received
	grantRequestedAt clock.Instant
	grantExpiresAt   clock.Instant
	excluded         map[ident.MachineID]bool

	lastRenewal clock.Instant // 0: never
	contacts    map[ident.MachineID]contact
}

// contact records the last heartbeat of a worker that reached the node while the node was isolated.
type contact struct {
	at     clock.Instant
	probed bool // the worker was redirected to another node
}

// NewDelegate returns the delegate of a process that started at now.
func NewDelegate(zone ident.Zone, workers config.Workers, now clock.Instant) *Delegate {
	return &Delegate{
		zone:                  zone,
		startedAt:             now,
		canProbeBeforeRenewal: workers.MaxFailoverTime() > probeDuration,
		contacts:              map[ident.MachineID]contact{},
	}
}

// AcceptStatus applies a status that this node requested at requestedAt. It replaces the current grant by the one in
// the status if that one has a later epoch, or the same epoch and no earlier request time.
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

// GrantRequestedAt returns when the request for the grant was sent.
func (d *Delegate) GrantRequestedAt() clock.Instant { return d.grantRequestedAt }

// GrantExpiresAt returns when the grant expires.
func (d *Delegate) GrantExpiresAt() clock.Instant { return d.grantExpiresAt }

// GrantEpoch returns the epoch of the grant.
func (d *Delegate) GrantEpoch() ident.Epoch { return d.epoch }

// Decide returns the disposition of a heartbeat:
//
//  1. If the node is not isolated, holds no grant or had recent contact with a leader, the leader answers.
//  2. If the grant does not cover the worker's lease, the heartbeat is refused.
//  3. A worker that was not redirected recently and may reach another node is redirected to one first, because the
//     leader, if there is one, can do more for the worker than renew its lease. The worker must be able to return
//     before the grant expires; otherwise the probe would cost it the last renewal of its lease.
//  4. In all other cases the node renews the lease.
//
// Where leases are short the lease is renewed once before the probe: the worker has already waited for a node that did
// not answer, and a second wait of 4 s made a lease of 10 s expire.
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
		return RedirectToOtherZone
	}
	d.contacts[h.Machine] = contact{at: now, probed: last.probed}
	d.lastRenewal = now
	return RenewLease
}

// mayRenew reports whether the grant allows this node to renew the worker's lease at now.
func (d *Delegate) mayRenew(now clock.Instant, h *fleet.Heartbeat) bool {
	return now.Before(d.grantExpiresAt) && h.Zone == d.zone && h.FencingToken <= d.epoch && !d.excluded[h.Machine]
}

// lastContact returns the worker's last contact and whether there is one that is no older than contactMaxAge. It
// removes the contacts of all workers if there are more than maxTrackedWorkers.
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

// canProbe reports whether a worker may try another node: not during an outage of the state service, and only if it
// would return before the grant expires.
func (d *Delegate) canProbe(now clock.Instant, isolation Isolation) bool {
	return isolation != StateServiceOutage && !d.grantExpiresAt.Before(now.Add(probeDuration))
}

// IdleFor returns the minimum time since this node last renewed a lease. Renewals by an earlier process of the node
// were made before this process started.
func (d *Delegate) IdleFor(now clock.Instant) time.Duration { return now.Sub(d.IdleSince()) }

// IdleSince returns the latest time at which this node may have renewed a lease.
func (d *Delegate) IdleSince() clock.Instant { return max(d.lastRenewal, d.startedAt) }
