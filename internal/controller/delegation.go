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

// DelegationRequest asks this node, on behalf of another, for a grant and for what it has renewed by its own.
type DelegationRequest struct {
	Responder Responder[DelegationReply]
	Node      string
}

// DelegationReply answers a DelegationRequest.
type DelegationReply struct {
	Responder Responder[DelegationReply]
	Status    leasedelegation.Status
}

// PeerStatusReceived is what another node answered to the same question.
type PeerStatusReceived struct {
	Node           string
	SentAt         clock.Instant // of the question
	Status         leasedelegation.Status
	SchemaVersion  schemaversion.Version // the newest that the node can read; 0: it does not say
	EnforcesQuotas bool                  // whether the node, as leader, enforces quota allocations
}

// IsolationChanged tells what this node is cut off from.
type IsolationChanged struct{ Isolation leasedelegation.Isolation }

// PeerReachabilityChanged tells whether some other node is unreachable.
type PeerReachabilityChanged struct{ Unreachable bool }

// Deliver hands the reply to the node that asked.
func (r DelegationReply) Deliver() { r.Responder.Respond(r) }

func (DelegationRequest) input()       {}
func (PeerStatusReceived) input()      {}
func (IsolationChanged) input()        {}
func (PeerReachabilityChanged) input() {}
func (DelegationReply) effect()        {}

// handlePeerStatus takes in what another node says of itself.
func (c *Core) handlePeerStatus(now clock.Instant, in PeerStatusReceived) {
	c.delegate.AcceptStatus(in.SentAt, in.Status)
	if c.term == nil {
		return
	}
	c.term.delegations.ConfirmIdle(in.Node, in.SentAt, now, in.Status.IdleFor)
	c.term.schema.nodeReported(now, in.Node, in.SchemaVersion)
	if in.EnforcesQuotas {
		c.term.quotas.nodeEnforces(now, in.Node)
	}
}

// answerDelegated answers a heartbeat that came to an isolated node: by the grant that it holds, or at once that the
// worker should try another node. It returns false if the node is not isolated, so that the leader is to answer.
func (c *Core) answerDelegated(now clock.Instant, in HeartbeatReceived) bool {
	if c.term != nil {
		c.grantOwnDelegation(now, c.election.Epoch())
	}
	switch c.delegate.Decide(now, c.isolation, in.Heartbeat) {
	case leasedelegation.RenewLease:
		if c.term != nil {
			// Should this node lead on, it must count what it did.
			m := c.term.fleet.Ensure(now, in.Heartbeat.Machine)
			m.LastRenewal = max(m.LastRenewal, now)
		}
		c.metrics.DelegatedRenewals.Inc()
		c.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatAccepted, Epoch: c.delegate.GrantEpoch(),
			ValidUntil: c.delegate.GrantExpiresAt(), Final: true})
	case leasedelegation.RedirectOutside:
		c.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatRedirected, Leader: c.probeNode, Final: true})
	case leasedelegation.RefuseHeartbeat:
		c.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatRedirected, Final: true})
	default:
		return false
	}
	return true
}

// grantOwnDelegation grants this node, which led in the epoch, what it would have granted another at the last moment of
// its lease. Until then no other can have confirmed a cancellation, and those that it confirmed itself it knows; who leads
// next acquires the key later, and counts every grant from there. For a leader that resigns that moment is the
// resignation, whatever its lease allows.
func (c *Core) grantOwnDelegation(now clock.Instant, epoch ident.Epoch) {
	base := min(c.election.LastLeaseDeadline(), now)
	if !c.term.recovery.isLoaded() || base == 0 || base == c.delegate.GrantRequestedAt() {
		return
	}
	c.delegate.AcceptStatus(base, c.term.delegationGrant(epoch))
}

// nodeOutsideZone is the last node before this one, in the order of their names, in another zone. A worker that it doesn't
// answer tries the nodes after it, so it comes back to this zone next; without a name it would try every other node, 5 s
// each, and be back only when the grant has ended.
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

// handleDelegationRequest says what this node has renewed by its grant and, if it leads, grants the one that asks the
// right to renew leases should it be isolated.
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

// delegationGrant is what the leader lets others do. Machines with tasks of cancelled jobs are left out: those must be gone
// in time, whatever is partitioned. If their names do not fit into a message, nothing is granted.
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
		if m.HasRunningStray() {
			// No placement tells whose it is.
			excluded[m.ID] = true
		}
	}
	status.ExcludedMachines = slices.Sorted(maps.Keys(excluded))
	if !peer.MachineIDsFit(status.ExcludedMachines) {
		status.GrantDuration, status.ExcludedMachines = 0, nil
	}
	return status
}
