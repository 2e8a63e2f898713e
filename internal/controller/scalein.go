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
	// firstHeartbeatMargin is added to the boot time of a machine for its first heartbeat.
	firstHeartbeatMargin = 2 * time.Second
	// machineIDOverheadBytes bounds what a machine takes in a round record beside its name.
	machineIDOverheadBytes = 8
)

// pendingMachines lists the machines that are provisioned, or being provisioned, and not up.
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

// isBootLate tells whether a machine should have come up by now. It may yet, but work does not wait for it any longer: others
// are provisioned for it. Guards against an incident in which services waited 80 s for machines that never came.
func (t *term) isBootLate(now clock.Instant, m *fleet.Machine) bool {
	typ := t.fleet.MachineType(m.Type)
	return typ != nil && now.Sub(m.ProvisionedAt) > time.Duration(t.policy.LateBootFactor*float64(typ.BootTime))+firstHeartbeatMargin
}

// isBootOverdue tells whether a machine has taken so long to boot that it is not counted on any more.
func (t *term) isBootOverdue(now clock.Instant, m *fleet.Machine) bool {
	return m.Session == 0 && now.Sub(m.ProvisionedAt) > t.bootTimeout(m)
}

func (t *term) bootTimeout(m *fleet.Machine) time.Duration {
	timeout := t.policy.MinBootTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil {
		timeout = max(timeout, time.Duration(t.policy.BootTimeoutFactor*float64(typ.BootTime)))
	}
	return timeout
}

// silentMachines are those whose silence proves that they are gone. While a node is unreachable a machine may be
// partitioned with it, and a leader that stalled itself does not know who went on.
func (t *term) silentMachines(now clock.Instant) map[ident.MachineID]bool {
	if t.core.peersUnreachable || t.core.recentlyStalled(now) {
		return nil
	}
	return t.monitor.silentMachines(now, t.acquiredAt, t.fleet.Machines())
}

// machinesToDeprovision lists the machines to return in this round, as many as fit into room bytes of its record. Those in
// retain are kept although they are idle.
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

// isUnneeded tells whether a machine is idle and is not to be used again, or did not come up.
func (t *term) isUnneeded(now clock.Instant, m *fleet.Machine, retained bool) bool {
	if m.Session == 0 {
		return t.isBootOverdue(now, m) && !t.core.recentlyStalled(now)
	}
	timedOut := now.Sub(m.IdleSince) > t.idleTimeout(m) && !retained
	return !m.Busy() && (timedOut || m.Quarantined || m.Draining)
}

// idleTimeout is how long a machine may be idle: as long as its like takes to boot again, and some. Longer costs more than
// to provision it anew.
func (t *term) idleTimeout(m *fleet.Machine) time.Duration {
	timeout := t.policy.IdleTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil && typ.BootTime > 0 {
		timeout = min(timeout, max(t.policy.MinIdleTimeout, time.Duration(t.policy.IdleBootFactor*float64(typ.BootTime))))
	}
	return timeout
}
