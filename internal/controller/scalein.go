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

// silentMachines picks machines that have stopped reporting while others go on.
// Returning one proves that its tasks are gone sooner than its lease does. Many
// silent machines may be a cut, and are left alone unless they surely are none:
// nobody else is falling silent any more, nobody is found again or comes through
// another node, and most machines of the zone go on.
func (t *term) silentMachines(now clock.Instant) map[ident.MachineID]bool {
	// While a node is out of reach, a machine may be cut off with it; and a
	// leader that stood still itself does not know who went on.
	if t.core.peersUnreachable || t.core.recentlyStalled(now) {
		return nil
	}
	zones := map[ident.Zone]*silenceCount{}
	var all silenceCount
	limit, interval := t.silenceTimeout(), t.settings.Params.Workers.HeartbeatInterval()
	for _, m := range t.fleet.Machines() {
		if !m.Up {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &silenceCount{}
			zones[m.Zone] = z
		}
		last := t.silentFor(now, m)
		z.add(last, limit, interval*3/2, m.ID)
		all.add(last, limit, interval*3/2, m.ID)
	}
	// Those that miss their first report count too: in a cut the machines fall
	// silent one after the other, and the first must not be returned alone.
	few := all.missed <= max(1, all.machines/10)
	silent := map[ident.MachineID]bool{}
	// All reports are looked over only where it matters.
	found := !few && (t.workerReach.HasRelayed() || now.Sub(t.lastRegainedAt) < regainedWindow)
	for _, z := range zones {
		settled := !found && all.missed == len(all.silent) && z.missed <= z.machines/2
		if all.machines < 3 || !few && !settled {
			continue
		}
		for _, id := range z.silent {
			silent[id] = true
		}
	}
	return silent
}

// regainedWindow is how long it counts that a machine was heard again after it had been
// silent for too long: others may be on their way too. As the workers of a leader
// that they did not reach came back through other nodes, the half that was not
// there yet was returned.
const regainedWindow = 20 * time.Second

// silentFor is how long this leader has not heard the machine.
func (t *term) silentFor(now clock.Instant, m *fleet.Machine) time.Duration {
	return now.Sub(max(m.LastContact, t.acquiredAt))
}

// noteRegained notes that a machine is heard that was silent for too long.
func (t *term) noteRegained(now clock.Instant, m *fleet.Machine) {
	if m.Up && t.silentFor(now, m) > t.silenceTimeout() {
		t.lastRegainedAt = now
	}
}

// silenceCount counts the machines that are heard, and those that are not.
type silenceCount struct {
	machines, missed int
	silent           []ident.MachineID
}

func (h *silenceCount) add(last, limit, late time.Duration, id ident.MachineID) {
	h.machines++
	if last > late {
		h.missed++
	}
	if last > limit {
		h.silent = append(h.silent, id)
	}
}

// silenceTimeout is how long a worker may be silent before its machine is taken
// for dead. It spans two reports, of which each may come a quarter late, and the
// question in between: at six seconds fixed, with reports every five, healthy
// machines were returned by the hundred with all that ran on them.
func (t *term) silenceTimeout() time.Duration {
	return max(t.policy.SilenceTimeout, 2*t.settings.Params.Workers.HeartbeatInterval())
}
