package controller

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// HeartbeatReceived is a heartbeat of a worker.
type HeartbeatReceived struct {
	Responder Responder[HeartbeatReply]
	Heartbeat *fleet.Heartbeat
	RelayedBy string // the node that relayed the heartbeat, or "" if it came directly
}

// HeartbeatOutcome is the outcome of a heartbeat, which determines the kind of reply.
type HeartbeatOutcome int

const (
	// HeartbeatUnavailable refuses the heartbeat; the worker tries another node.
	HeartbeatUnavailable HeartbeatOutcome = iota
	// HeartbeatAccepted renews the worker's lease.
	HeartbeatAccepted
	// HeartbeatRedirected sends the worker to another node.
	HeartbeatRedirected
)

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	Responder Responder[HeartbeatReply]
	Outcome   HeartbeatOutcome
	Epoch     ident.Epoch
	Commands  []fleet.Command
	Leader    string // the node to redirect to, or "" if unknown
	// ValidUntil is the deadline for sending an accepting reply. It is not checked if Relayed is set.
	ValidUntil clock.Instant
	// Relayed is set if another node has already checked ValidUntil.
	Relayed bool
	// Final is set if the heartbeat must not be forwarded to another node.
	Final bool
}

// Deliver passes the reply to the sender of the heartbeat.
func (r HeartbeatReply) Deliver() { r.Responder.Respond(r) }

func (HeartbeatReceived) input() {}
func (HeartbeatReply) effect()   {}

// maxHeartbeatDeferral bounds how long a heartbeat is held until the records are read, since the worker blocks on the
// reply.
const maxHeartbeatDeferral = 1500 * time.Millisecond

// deferredHeartbeats holds the heartbeats that arrive before the records are read. Without the records the leader does
// not know which tasks must stop. A reply without the stop commands would renew the lease of tasks whose cancellation
// has already been confirmed to a user. A series of leaders that each lost leadership before reading the records kept
// such tasks running for as long as the series lasted.
type deferredHeartbeats struct {
	*environment
	waiting []deferredHeartbeat
}

type deferredHeartbeat struct {
	received HeartbeatReceived
	deadline clock.Instant
}

// add holds a heartbeat until the records are read or its deadline passes.
func (d *deferredHeartbeats) add(now clock.Instant, in HeartbeatReceived) {
	d.waiting = append(d.waiting, deferredHeartbeat{in, now.Add(maxHeartbeatDeferral)})
}

// takeAll removes and returns all held heartbeats.
func (d *deferredHeartbeats) takeAll() []deferredHeartbeat {
	waiting := d.waiting
	d.waiting = nil
	return waiting
}

// refuseOverdue removes and refuses the heartbeats whose deadline has passed.
func (d *deferredHeartbeats) refuseOverdue(now clock.Instant) {
	d.refuseIf(func(h deferredHeartbeat) bool { return !now.Before(h.deadline) })
}

// refuseAll removes and refuses all heartbeats. It is called when leadership ends.
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

// refuseHeartbeat refuses the heartbeat, so that the worker tries another node.
func (e *environment) refuseHeartbeat(in HeartbeatReceived) {
	e.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatUnavailable})
}

// handleDeferred handles the heartbeats that were held until the records were read.
func (t *term) handleDeferred(now clock.Instant) {
	for _, h := range t.deferred.takeAll() {
		if t.core.term != t {
			// An earlier heartbeat of this batch carried a newer fencing token, which ended this term.
			t.refuseHeartbeat(h.received)
			continue
		}
		t.core.handleHeartbeat(now, h.received)
	}
}

// handleHeartbeat answers a worker. A node without a valid leader lease must not renew the worker's lease: the lease of
// a worker that has lost contact with the leader has to expire. Unless a delegation grant applies, such a node
// redirects the worker to the leader or refuses the heartbeat.
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

// handleHeartbeat applies a heartbeat to the leader's state and answers it.
func (t *term) handleHeartbeat(now clock.Instant, in HeartbeatReceived) {
	validUntil := t.core.election.LeaseValidUntil()
	t.monitor.recordHeartbeat(now, in)
	switch {
	case in.Heartbeat.FencingToken > t.epoch:
		// Another node was elected, or an epoch advance of this node was applied late.
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
		// The lease of an earlier session has certainly expired, and the worker would discard the reply.
		t.refuseHeartbeat(in)
		return
	}
	t.monitor.recordReconnect(now, t.acquiredAt, m)
	// A heartbeat that arrives after the response to a later direct command is stale, but the worker still needs a reply.
	if changes := t.fleet.ApplyHeartbeat(now, in.Heartbeat); !changes.Stale {
		t.applyChanges(now, m, changes)
	}
	t.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatAccepted, Epoch: t.epoch,
		Commands: t.fleet.Commands(m, true), ValidUntil: validUntil})
}

// applyChanges acts on the state changes that a heartbeat caused.
func (t *term) applyChanges(now clock.Instant, m *fleet.Machine, ch fleet.Changes) {
	if ch.CameUp {
		t.rounds.requestPlan()
		t.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "session", m.Session, "epoch", t.epoch)
	}
	if ch.InterruptionNoticed {
		t.stopForInterruption(now, m)
	}
	for _, s := range ch.Started {
		t.log.Debug("task running", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", m.ID, "epoch", t.epoch)
	}
	t.tasksEnded(now, ch)
}

// stopForInterruption stops the tasks on a machine that the cloud provider is about to reclaim. The grace period lets a
// task write a checkpoint, as far as the notice period allows.
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
