package controller

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer"
	"badgerbay/internal/schemaversion"
)

// DelegationRequest is the request of another node for a delegation grant, and for the time since this node last
// renewed a lease under its own grant.
type DelegationRequest struct {
	Responder Responder[DelegationReply]
	Node      string
}

// DelegationReply is the reply to a DelegationRequest.
type DelegationReply struct {
	Responder Responder[DelegationReply]
	Status    leasedelegation.Status
}

// PeerStatusReceived is the reply of another node to a delegation request of this node.
type PeerStatusReceived struct {
	Node           string
	SentAt         clock.Instant // when the request was sent
	Status         leasedelegation.Status
	SchemaVersion  schemaversion.Version // the newest that the node can read; 0 if not reported
	EnforcesQuotas bool                  // whether the node, as leader, enforces quota allocations
}

// IsolationChanged reports whether the state service is now out of reach of this node, or of every node.
type IsolationChanged struct{ Isolation leasedelegation.Isolation }

// PeerReachabilityChanged reports whether any other node is unreachable.
type PeerReachabilityChanged struct{ Unreachable bool }

// Deliver passes the reply to the node that sent the request.
func (r DelegationReply) Deliver() { r.Responder.Respond(r) }

func (DelegationRequest) input()       {}
func (PeerStatusReceived) input()      {}
func (IsolationChanged) input()        {}
func (PeerReachabilityChanged) input() {}
func (DelegationReply) effect()        {}

// handlePeerStatus applies the status that another node reports of itself.
func (c *Core) handlePeerStatus(now clock.Instant, in PeerStatusReceived) {
	c.delegate.AcceptStatus(in.SentAt, in.Status)
	if c.term == nil {
		return
	}
	c.term.delegations.ConfirmIdle(in.Node, in.SentAt, now, in.Status.IdleFor)
	c.term.schema.nodeReported(now, in.Node, in.SchemaVersion)
	if in.EnforcesQuotas {
		c.term.quotas.recordEnforcer(now, in.Node)
	}
}

// answerDelegated answers a heartbeat if this node is isolated: it renews the worker's lease under the delegation grant
// or redirects the worker to another node, in both cases without forwarding the heartbeat. It reports whether the
// heartbeat was answered. If not, the leader must answer it: the node is not isolated or has never had a grant.
func (c *Core) answerDelegated(now clock.Instant, in HeartbeatReceived) bool {
	if c.term != nil {
		c.grantOwnDelegation(now, c.election.Epoch())
	}
	switch c.delegate.Decide(now, c.isolation, in.Heartbeat) {
	case leasedelegation.RenewLease:
		if c.term != nil {
			// If this node continues to lead, it must account for the lease that it renews here.
			m := c.term.fleet.Ensure(now, in.Heartbeat.Machine)
			m.LastRenewal = max(m.LastRenewal, now)
		}
		c.metrics.DelegatedRenewals.Inc()
		c.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatAccepted, Epoch: c.delegate.GrantEpoch(),
			ValidUntil: c.delegate.GrantExpiresAt(), Final: true})
	case leasedelegation.RedirectToOtherZone:
		c.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatRedirected, Leader: c.probeNode, Final: true})
	case leasedelegation.RefuseHeartbeat:
		c.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatRedirected, Final: true})
	default:
		return false
	}
	return true
}

// grantOwnDelegation gives this node, the leader of the epoch, the delegation grant that it would have given another
// node at the end of its leader lease, or at the resignation if it resigns earlier. This is safe:
//
//  1. Until that time no other node can have confirmed a cancellation, and this node knows those that it confirmed
//     itself.
//  2. The next leader acquires the leader key later than that, and assumes that every earlier grant lasts for its full
//     duration from the acquisition.
func (c *Core) grantOwnDelegation(now clock.Instant, epoch ident.Epoch) {
	base := min(c.election.LastLeaseDeadline(), now)
	if !c.term.recovery.isLoaded() || base == 0 || base == c.delegate.GrantRequestedAt() {
		return
	}
	c.delegate.AcceptStatus(base, c.term.delegationGrant(epoch))
}

// nodeOutsideZone returns the closest node before this one in name order, cyclically, that is in another zone, or "" if
// there is none. A worker that gets no answer there tries the following nodes by name and so returns to this zone next.
// If the redirect named no node, the worker would try every other node, 5 s each, and return only after the grant
// expired.
func nodeOutsideZone(settings *config.Settings) string {
	names := append(settings.PeerNames(), settings.NodeName)
	slices.Sort(names)
	zones := map[string]string{settings.NodeName: settings.Zone}
	for _, p := range settings.Peers {
		zones[p.NodeName] = p.Zone
	}
	own := slices.Index(names, settings.NodeName)
	for back := 1; back < len(names); back++ {
		name := names[(own-back+len(names))%len(names)]
		if zones[name] != settings.Zone {
			return name
		}
	}
	return ""
}

// handleDelegationRequest replies with the time since this node last renewed a lease under its grant. If this node is
// the leader, the reply also grants the requesting node the right to renew leases while it is isolated.
func (c *Core) handleDelegationRequest(now clock.Instant, in DelegationRequest) {
	var status leasedelegation.Status
	if c.term != nil && c.term.recovery.isLoaded() && c.election.LeaseValid(now) {
		status = c.term.delegationGrant(c.election.Epoch())
		if status.GrantDuration > 0 {
			status.GrantDuration = c.term.delegations.Grant(now, in.Node)
		}
	}
	status.IdleFor = c.delegate.IdleFor(now)
	c.emit(DelegationReply{Responder: in.Responder, Status: status})
}

// delegationGrant returns the grant that the leader gives to other nodes. It excludes machines with tasks of cancelled
// jobs, because these tasks must end in time even during a network partition. If the IDs of the excluded machines do
// not fit into a message, nothing is granted.
func (t *term) delegationGrant(epoch ident.Epoch) leasedelegation.Status {
	status := leasedelegation.Status{Epoch: epoch, GrantDuration: leasedelegation.GrantDuration(t.settings.Params.Workers)}
	excluded := map[ident.MachineID]bool{}
	for j := range t.jobs.all() {
		if j.Phase != jobs.PhaseCancelled {
			continue
		}
		for _, p := range j.Placements {
			excluded[p.Machine] = true
		}
	}
	for _, m := range t.fleet.Machines() {
		if m.HasRunningOrphan() {
			// An orphan has no placement, so its job is unknown and may be cancelled.
			excluded[m.ID] = true
		}
	}
	status.ExcludedMachines = slices.Sorted(maps.Keys(excluded))
	if !peer.MachineIDsFit(status.ExcludedMachines) {
		status.GrantDuration, status.ExcludedMachines = 0, nil
	}
	return status
}
