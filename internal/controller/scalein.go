package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/scheduler"
)

const (
	// firstHeartbeatMargin is the time that a machine has for its first heartbeat after its boot time.
	firstHeartbeatMargin = 2 * time.Second
	// machineIDOverheadBytes bounds the size of a machine's entry in a round record without the machine ID.
	machineIDOverheadBytes = 8
)

// pendingMachines returns the machines that are requested or provisioned but not up yet. It leaves out those that have
// failed, are being deprovisioned, or are late.
func (t *term) pendingMachines(now clock.Instant) []scheduler.PendingMachine {
	var pending []scheduler.PendingMachine
	for _, m := range t.fleet.Machines() {
		if m.Type != "" && m.Session == 0 && !m.Deprovisioning && !m.Failed && !t.isBootLate(now, m) {
			pending = append(pending, scheduler.PendingMachine{Offer: cloud.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}})
		}
	}
	for _, request := range t.provisioner.pendingProvisions() {
		for range request.Count {
			pending = append(pending, scheduler.PendingMachine{Offer: request.Offer})
		}
	}
	return pending
}

// isBootLate reports whether a machine should have come up by now. It may still come up, but work does not wait for it
// any longer, and other machines are provisioned for that work. This guards against an incident in which services
// waited 80 s for machines that never came up.
func (t *term) isBootLate(now clock.Instant, m *fleet.Machine) bool {
	typ := t.fleet.MachineType(m.Type)
	return typ != nil && now.Sub(m.ProvisionedAt) > time.Duration(t.policy.LateBootFactor*float64(typ.BootTime))+firstHeartbeatMargin
}

// isBootOverdue reports whether a machine has not come up within its boot timeout, so that it is given up.
func (t *term) isBootOverdue(now clock.Instant, m *fleet.Machine) bool {
	return m.Session == 0 && now.Sub(m.ProvisionedAt) > t.bootTimeout(m)
}

// bootTimeout returns how long a machine may take to come up before it is given up.
func (t *term) bootTimeout(m *fleet.Machine) time.Duration {
	timeout := t.policy.MinBootTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil {
		timeout = max(timeout, time.Duration(t.policy.BootTimeoutFactor*float64(typ.BootTime)))
	}
	return timeout
}

// silentMachines returns the machines that have stopped sending heartbeats and are therefore considered gone. It
// returns none in two cases:
//  1. While a peer node is unreachable, because a machine may be in the same partition as that node.
//  2. After this leader has stalled, because it does not know which machines sent heartbeats meanwhile.
func (t *term) silentMachines(now clock.Instant) map[ident.MachineID]bool {
	if t.core.peersUnreachable || t.core.recentlyStalled(now) {
		return nil
	}
	return t.monitor.silentMachines(now, t.acquiredAt, t.fleet.Machines())
}

// machinesToDeprovision returns the machines to deprovision in this round, as many as fit into roomBytes of its record.
// Machines in retain are kept even if they have been idle for longer than their idle timeout.
func (t *term) machinesToDeprovision(now clock.Instant, retain map[ident.MachineID]bool, roomBytes int) []ident.MachineID {
	var machines []ident.MachineID
	silent := t.silentMachines(now)
	for _, m := range t.fleet.Machines() {
		if m.Deprovisioning || len(machines) == cloud.MaxDeprovisionCount {
			continue
		}
		if !m.Failed && !silent[m.ID] && !t.isUnneeded(now, m, retain[m.ID]) {
			continue
		}
		roomBytes -= len(m.ID) + machineIDOverheadBytes
		if roomBytes < 0 {
			break
		}
		machines = append(machines, m.ID)
	}
	return machines
}

// isUnneeded reports whether a machine did not come up in time, or is idle and has passed its idle timeout, is faulty or
// is being drained.
func (t *term) isUnneeded(now clock.Instant, m *fleet.Machine, retained bool) bool {
	if m.Session == 0 {
		return t.isBootOverdue(now, m) && !t.core.recentlyStalled(now)
	}
	timedOut := now.Sub(m.IdleSince) > t.idleTimeout(m) && !retained
	return !m.Busy() && (timedOut || m.Faulty || m.Draining)
}

// idleTimeout returns how long a machine may be idle: a multiple of the boot time of its type, within the bounds of the
// policy. Keeping it idle for longer costs more than provisioning a new one.
func (t *term) idleTimeout(m *fleet.Machine) time.Duration {
	timeout := t.policy.IdleTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil && typ.BootTime > 0 {
		timeout = min(timeout, max(t.policy.MinIdleTimeout, time.Duration(t.policy.IdleBootFactor*float64(typ.BootTime))))
	}
	return timeout
}
