package controller

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
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

// CommandsAcknowledged is what came of a SendCommands.
type CommandsAcknowledged struct {
	Machine   ident.MachineID
	Epoch     ident.Epoch
	Heartbeat *fleet.Heartbeat // nil: no answer
}

// SendCommands is the effect that sends commands to a worker without waiting for its next heartbeat.
type SendCommands struct {
	Machine  ident.MachineID
	Addr     string
	Epoch    ident.Epoch
	Session  ident.Session
	Commands []fleet.Command
}

// Deliver hands the reply to whoever sent the heartbeat.
func (r HeartbeatReply) Deliver() { r.Responder.Respond(r) }

func (HeartbeatReceived) input()    {}
func (CommandsAcknowledged) input() {}
func (HeartbeatReply) effect()      {}
func (SendCommands) effect()        {}

// deferredHeartbeat is a report that came before the records were read.
type deferredHeartbeat struct {
	received HeartbeatReceived
	deadline clock.Instant
}

// heartbeatDeferral bounds the wait for the records: a worker waits for its answer.
const heartbeatDeferral = 1500 * time.Millisecond

// deferHeartbeat lets a report wait for the records. Without them nobody knows what must
// end, and an answer without that order renews the lease of what a user was told
// is cancelled: leaders that came and went before they had read anything kept
// such tasks running for as long as they did.
func (t *term) deferHeartbeat(now clock.Instant, in HeartbeatReceived) {
	t.deferred = append(t.deferred, deferredHeartbeat{in, now.Add(heartbeatDeferral)})
}

// refuseDeferred refuses the parked reports that are due to be.
func (t *term) refuseDeferred(due func(deferredHeartbeat) bool) {
	t.deferred = slices.DeleteFunc(t.deferred, func(p deferredHeartbeat) bool {
		if !due(p) {
			return false
		}
		t.emit(HeartbeatReply{Responder: p.received.Responder, Outcome: HeartbeatUnavailable})
		return true
	})
}

// answerDeferred takes in the reports that waited for the records.
func (t *term) answerDeferred(now clock.Instant) {
	waited := t.deferred
	t.deferred = nil
	for _, p := range waited {
		if t.core.term != t {
			// One of them has shown a later leader.
			t.emit(HeartbeatReply{Responder: p.received.Responder, Outcome: HeartbeatUnavailable})
			continue
		}
		t.core.handleHeartbeat(now, p.received)
	}
}

// handleHeartbeat takes in a report and answers it.
func (t *term) handleHeartbeat(now clock.Instant, in HeartbeatReceived) {
	reply := HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatAccepted, Epoch: t.epoch, ValidUntil: t.core.election.LeaseValidUntil()}
	t.workerReach.RecordHeartbeat(now, in.Heartbeat.Machine, in.RelayedBy)
	switch {
	case in.Heartbeat.FencingToken > t.epoch:
		// Somebody else was elected, or a raise of ours came through late.
		t.core.stepElection(now, election.LeadershipLost{})
		t.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatUnavailable})
		return
	case !t.loaded:
		t.deferHeartbeat(now, in)
		return
	}
	if t.fleet.WasRemoved(in.Heartbeat.Machine) {
		t.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatUnavailable})
		return
	}
	m := t.fleet.Ensure(now, in.Heartbeat.Machine)
	if in.Heartbeat.Session < m.Session {
		// Its lease is surely over; the answer would be dropped.
		t.emit(HeartbeatReply{Responder: in.Responder, Outcome: HeartbeatUnavailable})
		return
	}
	t.noteRegained(now, m)
	// A report overtaken by the answer to a direct command is stale, and the
	// worker still waits for its answer.
	if changes := t.fleet.ApplyHeartbeat(now, in.Heartbeat); !changes.Stale {
		t.applyChanges(now, m, changes)
	}
	reply.Commands = t.fleet.Commands(m, true)
	t.emit(reply)
}

func (t *term) commandsAcknowledged(now clock.Instant, in CommandsAcknowledged) {
	t.fleet.FinishCommand(now, in.Machine, in.Heartbeat != nil)
	if in.Heartbeat == nil || in.Heartbeat.Machine != in.Machine || t.fleet.Machine(in.Machine) == nil {
		return
	}
	if in.Heartbeat.FencingToken > t.epoch && in.Epoch == t.epoch {
		t.core.stepElection(now, election.LeadershipLost{})
		return
	}
	t.noteRegained(now, t.fleet.Machine(in.Machine))
	changes := t.fleet.ApplyCommandAnswer(now, in.Heartbeat)
	if !changes.Stale {
		t.applyChanges(now, t.fleet.Machine(in.Machine), changes)
	}
}

// applyChanges follows what a report brought.
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

// stopForInterruption stops what is on a machine that the cloud takes away, with leave to
// save as much as the notice allows.
func (t *term) stopForInterruption(now clock.Instant, m *fleet.Machine) {
	t.rounds.requestPlan()
	left := m.InterruptionAt.Sub(now)
	t.log.Info("machine to be taken", "machine", m.ID, "in", left, "epoch", t.epoch)
	for _, p := range m.LivePlacements() {
		if p.Job.Spec.Gang {
			t.stopGang(now, p.Job, clock.Seconds(p.Job.Spec.CheckpointSeconds))
			continue
		}
		t.fleet.StopPlacement(now, p, clock.Seconds(p.Job.Spec.CheckpointSeconds))
	}
}

// probeSilentMachines sends commands to machines that have missed a report.
func (t *term) probeSilentMachines(now clock.Instant) {
	for _, m := range t.fleet.ClaimProbes(now) {
		t.emit(SendCommands{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Commands: t.fleet.Commands(m, false)})
	}
}

// pushCommands sends direct commands where they are due.
func (t *term) pushCommands(now clock.Instant) {
	for _, m := range t.fleet.ClaimDueCommands() {
		orders := t.fleet.Commands(m, false)
		if len(orders) == 0 {
			t.fleet.FinishCommand(now, m.ID, true)
			continue
		}
		t.emit(SendCommands{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Commands: orders})
	}
}
