package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/scheduler"
)

// pendingMachines lists the machines that are rented, or being rented, and not up.
func (t *term) pendingMachines(now clock.Instant) []scheduler.PendingMachine {
	var out []scheduler.PendingMachine
	for _, m := range t.fleet.Machines() {
		if m.Type != "" && m.Session == 0 && !m.Deprovisioning && !m.Failed && !t.isLate(now, m) {
			out = append(out, scheduler.PendingMachine{Offer: cloud.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}})
		}
	}
	for _, h := range t.provisioner.pending() {
		for range h.Count {
			out = append(out, scheduler.PendingMachine{Offer: h.Offer})
		}
	}
	return out
}

func (t *term) bootLimit(m *fleet.Machine) time.Duration {
	limit := t.policy.MinBootTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil {
		limit = max(limit, time.Duration(t.policy.BootTimeoutFactor*float64(typ.BootTime)))
	}
	return limit
}

// isLate tells whether a machine should have come up by now. It may yet, but
// work does not wait for it any longer: others are rented for it. Guards
// against an incident in which services waited 80 s for machines that never
// came.
func (t *term) isLate(now clock.Instant, m *fleet.Machine) bool {
	typ := t.fleet.MachineType(m.Type)
	return typ != nil && now.Sub(m.ProvisionedAt) > time.Duration(t.policy.LateBootFactor*float64(typ.BootTime))+bootReportMargin
}

// bootReportMargin is added to the time to boot for the first report.
const bootReportMargin = 2 * time.Second

// isOverdue tells whether a machine has taken so long to boot that it is not
// counted on any more.
func (t *term) isOverdue(now clock.Instant, m *fleet.Machine) bool {
	return m.Session == 0 && now.Sub(m.ProvisionedAt) > t.bootLimit(m)
}

// silentMachines are those whose silence proves that they are gone. While a node is unreachable a machine may be
// partitioned with it, and a leader that stalled itself does not know who went on.
func (t *term) silentMachines(now clock.Instant) map[ident.MachineID]bool {
	if t.core.peersUnreachable || t.core.recentlyStalled(now) {
		return nil
	}
	return t.monitor.silentMachines(now, t.acquiredAt, t.fleet.Machines())
}

// machinesToDeprovision lists the machines to return in this round, as many as fit room
// bytes of its record.
func (t *term) machinesToDeprovision(now clock.Instant, keep map[ident.MachineID]bool, room int) []ident.MachineID {
	var out []ident.MachineID
	silent := t.silentMachines(now)
	for _, m := range t.fleet.Machines() {
		if m.Deprovisioning || len(out) == cloud.MaxDeprovisionCount {
			continue
		}
		idle := !m.Busy() && (now.Sub(m.IdleSince) > t.idleTimeout(m) && !keep[m.ID] || m.Quarantined || m.Draining)
		if m.Session == 0 {
			idle = t.isOverdue(now, m) && !t.core.recentlyStalled(now)
		}
		if !idle && !m.Failed && !silent[m.ID] {
			continue
		}
		room -= len(m.ID) + 8
		if room < 0 {
			break
		}
		out = append(out, m.ID)
	}
	return out
}

// idleTimeout is how long a machine may be idle: as long as its like takes to
// come up again, and some. Longer costs more than to rent it anew.
func (t *term) idleTimeout(m *fleet.Machine) time.Duration {
	limit := t.policy.IdleTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil && typ.BootTime > 0 {
		limit = min(limit, max(t.policy.MinIdleTimeout, time.Duration(t.policy.IdleBootFactor*float64(typ.BootTime))))
	}
	return limit
}
