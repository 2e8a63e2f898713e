package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// CommandsAcknowledged is the outcome of a SendCommands.
type CommandsAcknowledged struct {
	Machine   ident.MachineID
	Epoch     ident.Epoch
	Heartbeat *fleet.Heartbeat // nil if the worker did not respond
}

// SendCommands is the effect that sends commands to a worker without waiting for its next heartbeat.
type SendCommands struct {
	Machine  ident.MachineID
	Addr     string
	Epoch    ident.Epoch
	Session  ident.Session
	Commands []fleet.Command
}

func (CommandsAcknowledged) input() {}
func (SendCommands) effect()        {}

// commandsAcknowledged applies the heartbeat with which a worker responds to commands.
func (t *term) commandsAcknowledged(now clock.Instant, in CommandsAcknowledged) {
	t.fleet.FinishCommand(now, in.Machine, in.Heartbeat != nil)
	if in.Heartbeat == nil || in.Heartbeat.Machine != in.Machine || t.fleet.Machine(in.Machine) == nil {
		return
	}
	if in.Heartbeat.FencingToken > t.epoch && in.Epoch == t.epoch {
		t.core.stepElection(now, election.LeadershipLost{})
		return
	}
	t.monitor.recordReconnect(now, t.acquiredAt, t.fleet.Machine(in.Machine))
	changes := t.fleet.ApplyCommandResponse(now, in.Heartbeat)
	if !changes.Stale {
		t.applyChanges(now, t.fleet.Machine(in.Machine), changes)
	}
}

// probeSilentMachines sends a message to each machine that has missed a heartbeat, and to each machine that is up but
// not known for certain to exist (see fleet.Machine.Confirmed). The message carries the machine's pending commands, if
// any. A response shows that the machine is alive.
func (t *term) probeSilentMachines(now clock.Instant) {
	for _, m := range t.fleet.ClaimProbes(now) {
		t.sendCommands(m, t.fleet.Commands(m, false))
	}
}

// pushCommands sends due commands to their machines without waiting for the next heartbeat.
func (t *term) pushCommands(now clock.Instant) {
	for _, m := range t.fleet.ClaimDueCommands() {
		commands := t.fleet.Commands(m, false)
		if len(commands) == 0 {
			t.fleet.FinishCommand(now, m.ID, true)
			continue
		}
		t.sendCommands(m, commands)
	}
}

func (t *term) sendCommands(m *fleet.Machine, commands []fleet.Command) {
	t.emit(SendCommands{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Commands: commands})
}
