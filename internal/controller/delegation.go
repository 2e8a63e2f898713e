package controller

import (
	"maps"
	"net/http"
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/mesh"
	"badgerbay/internal/unit"
)

// keep answers a report that came to a node which is cut off: by the grant that
// it holds, or at once that the worker should try another node. It returns
// false if the node is not cut off, so that the leader is to answer.
func (c *Core) keep(now unit.Instant, in Reported) bool {
	if c.term != nil {
		c.grantSelf(now, c.lead.Epoch())
	}
	switch c.keeper.Decide(now, c.from, in.Report) {
	case delegation.RenewLease:
		if c.term != nil {
			// Should this node lead on, it must count what it did.
			m := c.term.fleet.Ensure(now, in.Report.Machine)
			m.LastRenewal = max(m.LastRenewal, now)
		}
		c.met.Kept.Inc()
		c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusOK, Epoch: c.keeper.GrantEpoch(), Until: c.keeper.GrantExpiresAt(), Final: true})
	case delegation.RedirectOutside:
		c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusMisdirectedRequest, Leader: c.outside, Final: true})
	case delegation.RefuseHeartbeat:
		c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusMisdirectedRequest, Final: true})
	default:
		return false
	}
	return true
}

// grantSelf grants this node, which led in the epoch, what it would have granted
// another at the last moment of its entitlement. Until then nobody else can have
// confirmed a cancellation, and those that it confirmed itself it knows; who
// leads next acquires the key later, and counts every grant from there. A leader
// that resigns is not entitled from that moment on, whatever its lease allows.
func (c *Core) grantSelf(now unit.Instant, epoch unit.Epoch) {
	base := min(c.lead.LastLeaseDeadline(), now)
	if !c.term.loaded || base == 0 || base == c.keeper.GrantRequestedAt() {
		return
	}
	c.keeper.AcceptStatus(base, c.term.grant(epoch))
}

// outsideNode is the last node before this one, in the order of their names, in
// another zone. A worker that it doesn't answer tries the nodes after it, so it
// comes back to this zone next; without a name it would try every other node,
// 5 s each, and be back only when the grant has ended.
func outsideNode(set *config.Settings) string {
	labels := append(set.PeerNames(), set.NodeName)
	slices.Sort(labels)
	zones := map[string]string{set.NodeName: set.Zone}
	for _, p := range set.Peers {
		zones[p.NodeName] = p.Zone
	}
	own := slices.Index(labels, set.NodeName)
	for back := 1; back < len(labels); back++ {
		label := labels[(own-back+len(labels))%len(labels)]
		if zones[label] != set.Zone {
			return label
		}
	}
	return ""
}

// peerAsked says what this node has done by its grant and, if it leads, grants
// the one that asks the right to keep workers should it be cut off.
func (c *Core) peerAsked(now unit.Instant, in PeerAsked) {
	var status delegation.Status
	if c.term != nil && c.term.loaded && c.lead.LeaseValid(now) {
		status = c.term.grant(c.lead.Epoch())
		if status.GrantDuration > 0 {
			status.GrantDuration = c.term.ledger.Grant(now, in.Node)
		}
	}
	status.IdleFor = c.keeper.IdleFor(now)
	c.emit(ReplyPeer{Ticket: in.Ticket, Status: status})
}

// grant is what the leader lets others do. Machines with tasks of cancelled
// jobs are left out: those must be gone in time, whatever is cut. If their names
// do not fit into a message, nothing is granted.
func (t *term) grant(epoch unit.Epoch) delegation.Status {
	s := delegation.Status{Epoch: epoch, GrantDuration: delegation.GrantDuration(t.c.set.Params.Workers)}
	excluded := map[unit.MachineID]bool{}
	for _, j := range t.jobs {
		if j.Phase != checkpoint.PhaseCancelled {
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
	s.ExcludedMachines = slices.Collect(maps.Keys(excluded))
	if !mesh.MachineIDsFit(s.ExcludedMachines) {
		s.GrantDuration, s.ExcludedMachines = 0, nil
	}
	return s
}
