package controller

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// HeartbeatReceived is a worker's heartbeat.
type HeartbeatReceived struct {
	Responder Responder[HeartbeatReply]
	Heartbeat *fleet.Heartbeat
	RelayedBy string // the node that relays the heartbeat, or ""
}

// HeartbeatOutcome tells how a heartbeat is answered.
type HeartbeatOutcome int

const (
	// HeartbeatUnavailable refuses: the worker tries another node.
	HeartbeatUnavailable HeartbeatOutcome = iota
	// HeartbeatAccepted renews the worker's lease.
	HeartbeatAccepted
	// HeartbeatRedirected sends the worker to another node.
	HeartbeatRedirected
)

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Responder Responder[HeartbeatReply]
	Outcome   HeartbeatOutcome
	Epoch     ident.Epoch
	Commands  []fleet.Command
	Leader    string // the node to go to, if it is known
	// ValidUntil is when an accepting reply must have left, unless it is relayed.
	ValidUntil clock.Instant
	// Relayed tells that another node has checked ValidUntil.
	Relayed bool
	// Final tells that no other node is to be asked.
	Final bool
}

// Deliver hands the reply to whoever sent the heartbeat.
func (r HeartbeatReply) Deliver() { r.Responder.Respond(r) }

func (HeartbeatReceived) input() {}
func (HeartbeatReply) effect()   {}

// heartbeatDeferral bounds how long a heartbeat waits for the records: its worker waits for the answer.
const heartbeatDeferral = 1500 * time.Millisecond

// deferredHeartbeats are the heartbeats that came before the records were read. Without the records nobody knows which
// tasks must stop, and an answer without that command renews the lease of what a user was told is cancelled: leaders that
// came and went before they had read anything kept such tasks running for as long as they did.
type deferredHeartbeats struct {
	*environment
	waiting []deferredHeartbeat
}

type deferredHeartbeat struct {
	received HeartbeatReceived
	deadline clock.Instant
}

func (d *deferredHeartbeats) add(now clock.Instant, in HeartbeatReceived) {
	d.waiting = append(d.waiting, deferredHeartbeat{in, now.Add(heartbeatDeferral)})
}

// take returns all heartbeats that wait; none waits any more.
func (d *deferredHeartbeats) take() []deferredHeartbeat {
	waiting := d.waiting
	d.waiting = nil
	return waiting
}

// refuseOverdue refuses the heartbeats whose deadline has passed.
func (d *deferredHeartbeats) refuseOverdue(now clock.Instant) {
	d.refuseIf(func(h deferredHeartbeat) bool { return !now.Before(h.deadline) })
}

// refuseAll refuses all heartbeats, when leadership ends.
func (d *deferredHeartbeats) refuseAll() { d.refuseIf(func(deferredHeartbeat) bool { return true }) }

func (d *deferredHeartbeats) refuseIf(due func(deferredHeartbeat) bool) {
	d.waiting = slices.DeleteFunc(d.waiting, func(h deferredHeartbeat) bool {
		if !due(h) {
			return false
		}
		d.refuseHeartbeat(h.received)
		return true
	})
}

// refuseHeartbeat has the worker try another node.
func (e *environment) refuseHeartbeat(in HeartbeatReceived) {
	e.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatUnavailable})
}

// handleDeferred handles the heartbeats that waited for the records.
func (t *term) handleDeferred(now clock.Instant) {
	for _, h := range t.deferred.take() {
		if t.core.term != t {
			// One of them has shown a later leader.
			t.refuseHeartbeat(h.received)
			continue
		}
		t.core.handleHeartbeat(now, h.received)
	}
}

// handleHeartbeat answers a worker. A node without a valid lease of its own must not renew the worker's, so that leases
// really expire: it names the leader, or refuses.
func (c *Core) handleHeartbeat(now clock.Instant, in HeartbeatReceived) {
	if !c.election.LeaseValid(now) || c.term == nil {
		if in.RelayedBy == "" && c.answerDelegated(now, in) {
			return
		}
		reply := HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatRedirected, Leader: c.Leader()}
		if c.election.IsLeader() {
			reply.Outcome = HeartbeatUnavailable
		}
		c.emit(reply)
		return
	}
	c.term.handleHeartbeat(now, in)
}

// handleHeartbeat takes in a heartbeat and answers it.
func (t *term) handleHeartbeat(now clock.Instant, in HeartbeatReceived) {
	validUntil := t.core.election.LeaseValidUntil()
	t.monitor.recordHeartbeat(now, in)
	switch {
	case in.Heartbeat.FencingToken > t.epoch:
		// Another node was elected, or an advance of ours came through late.
		t.core.stepElection(now, election.LeadershipLost{})
		t.refuseHeartbeat(in)
		return
	case !t.recovery.isLoaded():
		t.deferred.add(now, in)
		return
	case t.fleet.WasRemoved(in.Heartbeat.Machine):
		t.refuseHeartbeat(in)
		return
	}
	m := t.fleet.Ensure(now, in.Heartbeat.Machine)
	if in.Heartbeat.Session < m.Session {
		// Its lease is surely over; the answer would be dropped.
		t.refuseHeartbeat(in)
		return
	}
	t.monitor.recordReconnect(now, t.acquiredAt, m)
	// A heartbeat overtaken by the answer to a direct command is stale, and the worker still waits for its answer.
	if changes := t.fleet.ApplyHeartbeat(now, in.Heartbeat); !changes.Stale {
		t.applyChanges(now, m, changes)
	}
	t.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatAccepted, Epoch: t.epoch,
		Commands: t.fleet.Commands(m, true), ValidUntil: validUntil})
}

// applyChanges follows what a heartbeat brought.
func (t *term) applyChanges(now clock.Instant, m *fleet.Machine, ch fleet.Changes) {
	if ch.CameUp {
		t.rounds.requestPlan()
		t.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "session", m.Session, "epoch", t.epoch)
	}
	if ch.InterruptionNoticed {
		t.stopForInterruption(now, m)
	}
	for _, s := range ch.Started {
		m.ConsecutiveFailures = 0
		t.log.Debug("task running", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", m.ID, "epoch", t.epoch)
	}
	t.tasksEnded(now, ch)
}

// stopForInterruption stops what is on a machine that the cloud takes away, with time to write a checkpoint as far as the
// notice allows.
func (t *term) stopForInterruption(now clock.Instant, m *fleet.Machine) {
	t.rounds.requestPlan()
	t.log.Info("machine interruption noticed", "machine", m.ID, "in", m.InterruptionAt.Sub(now), "epoch", t.epoch)
	for _, p := range m.LivePlacements() {
		gracePeriod := clock.Seconds(p.Job.Spec.CheckpointSeconds)
		if p.Job.Spec.Gang {
			t.stopGang(now, p.Job, gracePeriod)
			continue
		}
		t.fleet.StopPlacement(now, p, gracePeriod)
	}
}
