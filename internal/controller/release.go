package controller

import (
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
	"badgerbay/internal/round"
	"badgerbay/internal/unit"
)

// coming lists the machines that are rented, or being rented, and not up.
func (t *term) coming(now unit.Instant) []round.PendingMachine {
	var out []round.PendingMachine
	for _, m := range t.fleet.Machines() {
		if m.Type != "" && m.Session == 0 && !m.Deprovisioning && !m.Failed && !t.late(now, m) {
			out = append(out, round.PendingMachine{Offer: rental.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}})
		}
	}
	for _, h := range t.rentals.PendingProvisions() {
		for range h.Count {
			out = append(out, round.PendingMachine{Offer: h.Offer})
		}
	}
	return out
}

func (t *term) bootLimit(m *fleet.Machine) time.Duration {
	limit := t.c.pol.MinBootTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil {
		limit = max(limit, time.Duration(t.c.pol.BootTimeoutFactor*float64(typ.BootTime)))
	}
	return limit
}

// late tells whether a machine should have come up by now. It may yet, but
// work does not wait for it any longer: others are rented for it. Guards
// against an incident in which services waited 80 s for machines that never
// came.
func (t *term) late(now unit.Instant, m *fleet.Machine) bool {
	typ := t.fleet.MachineType(m.Type)
	return typ != nil && now.Sub(m.ProvisionedAt) > time.Duration(t.c.pol.LateBootFactor*float64(typ.BootTime))+lateMargin
}

// lateMargin is added to the time to boot for the first report.
const lateMargin = 2 * time.Second

// overdue tells whether a machine has taken so long to boot that it is not
// counted on any more.
func (t *term) overdue(now unit.Instant, m *fleet.Machine) bool {
	return m.Session == 0 && now.Sub(m.ProvisionedAt) > t.bootLimit(m)
}

// releasable lists the machines to return in this round, as many as fit room
// bytes of its record.
func (t *term) releasable(now unit.Instant, keep map[unit.MachineID]bool, room int) []unit.MachineID {
	var out []unit.MachineID
	silent := t.silent(now)
	for _, m := range t.fleet.Machines() {
		if m.Deprovisioning || len(out) == rental.MaxDeprovisionCount {
			continue
		}
		idle := !m.Busy() && (now.Sub(m.IdleSince) > t.idleLimit(m) && !keep[m.ID] || m.Quarantined || m.Draining)
		if m.Session == 0 {
			idle = t.overdue(now, m) && !t.c.justWoke(now)
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

// idleLimit is how long a machine may be idle: as long as its like takes to
// come up again, and some. Longer costs more than to rent it anew.
func (t *term) idleLimit(m *fleet.Machine) time.Duration {
	limit := t.c.pol.IdleTimeout
	if typ := t.fleet.MachineType(m.Type); typ != nil && typ.BootTime > 0 {
		limit = min(limit, max(t.c.pol.MinIdleTimeout, time.Duration(t.c.pol.IdleBootFactor*float64(typ.BootTime))))
	}
	return limit
}

// silent picks machines that have stopped reporting while others go on.
// Returning one proves that its tasks are gone sooner than its lease does. Many
// silent machines may be a cut, and are left alone unless they surely are none:
// nobody else is falling silent any more, nobody is found again or comes through
// another node, and most machines of the zone go on.
func (t *term) silent(now unit.Instant) map[unit.MachineID]bool {
	// While a node is out of reach, a machine may be cut off with it; and a
	// leader that stood still itself does not know who went on.
	if t.c.cut || t.c.justWoke(now) {
		return nil
	}
	zones := map[unit.Zone]*silence{}
	var all silence
	limit, interval := t.silentLimit(), t.c.set.Params.Workers.HeartbeatInterval()
	for _, m := range t.fleet.Machines() {
		if !m.Up {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &silence{}
			zones[m.Zone] = z
		}
		last := t.unheardFor(now, m)
		z.count(last, limit, interval*3/2, m.ID)
		all.count(last, limit, interval*3/2, m.ID)
	}
	// Those that miss their first report count too: in a cut the machines fall
	// silent one after the other, and the first must not be returned alone.
	few := all.late <= max(1, all.machines/10)
	silent := map[unit.MachineID]bool{}
	// All reports are looked over only where it matters.
	found := !few && (t.reach.HasRelayed() || now.Sub(t.found) < foundFor)
	for _, z := range zones {
		settled := !found && all.late == len(all.silent) && z.late <= z.machines/2
		if all.machines < 3 || !few && !settled {
			continue
		}
		for _, id := range z.silent {
			silent[id] = true
		}
	}
	return silent
}

// foundFor is how long it counts that a machine was heard again after it had been
// silent for too long: others may be on their way too. As the workers of a leader
// that they did not reach came back through other nodes, the half that was not
// there yet was returned.
const foundFor = 20 * time.Second

// unheardFor is how long this leader has not heard the machine.
func (t *term) unheardFor(now unit.Instant, m *fleet.Machine) time.Duration {
	return now.Sub(max(m.LastContact, t.acquired))
}

// noteFound notes that a machine is heard that was silent for too long.
func (t *term) noteFound(now unit.Instant, m *fleet.Machine) {
	if m.Up && t.unheardFor(now, m) > t.silentLimit() {
		t.found = now
	}
}

// silence counts the machines that are heard, and those that are not.
type silence struct {
	machines, late int
	silent         []unit.MachineID
}

func (h *silence) count(last, limit, late time.Duration, id unit.MachineID) {
	h.machines++
	if last > late {
		h.late++
	}
	if last > limit {
		h.silent = append(h.silent, id)
	}
}

// silentLimit is how long a worker may be silent before its machine is taken
// for dead. It spans two reports, of which each may come a quarter late, and the
// question in between: at six seconds fixed, with reports every five, healthy
// machines were returned by the hundred with all that ran on them.
func (t *term) silentLimit() time.Duration {
	return max(t.c.pol.SilenceTimeout, 2*t.c.set.Params.Workers.HeartbeatInterval())
}
