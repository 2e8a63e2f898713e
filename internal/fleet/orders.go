package fleet

import (
	"sort"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// Halt tells a placement to stop, saving first if it has leave to. One whose
// launch has never left is over at once: it is never sent again.
func (f *Fleet) Halt(now unit.Instant, p *checkpoint.Placement, leave time.Duration) {
	if p.State == checkpoint.PlacementEnded || p.Stopping && leave >= p.GracePeriod {
		return
	}
	m := f.machines[p.Machine]
	if !p.Stopping {
		p.StopRequestedAt = now
		if m != nil {
			m.live.Halting++
		}
	}
	p.Stopping, p.GracePeriod = true, leave
	if p.State == checkpoint.PlacementPending && p.FencingToken == 0 {
		f.Retract(now, p)
		return
	}
	f.Push(p.Machine)
}

// Push asks for a direct command to the machine.
func (f *Fleet) Push(id unit.MachineID) {
	if m := f.machines[id]; m != nil {
		f.due[m] = struct{}{}
	}
}

// Pushes returns the machines that a direct command is due to, and marks them
// as being sent one.
func (f *Fleet) Pushes() []*Machine {
	var out []*Machine
	for m := range f.due {
		if !m.pushing && m.Up && m.Addr != "" {
			delete(f.due, m)
			m.pushing = true
			out = append(out, m)
		}
	}
	return byName(out)
}

// Probes returns the machines that have missed a report, and those that have
// reported and that nothing vouches for, and marks them as being sent a command:
// an empty one, whose answer shows that they live.
func (f *Fleet) Probes(now unit.Instant) []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.Up || m.pushing || m.Addr == "" {
			continue
		}
		missed := now.Sub(m.LastReport) > f.times.Report*7/5 && now.Sub(m.probed) > f.times.Report/2
		if missed || !m.Confirmed && m.unheard < maxUnheard {
			m.pushing, m.probed = true, now
			out = append(out, m)
		}
	}
	return out
}

// Unheard returns up to most machines that have not reported to this leader and were
// not asked to, and marks them as being sent a command: the answer is a report.
func (f *Fleet) Unheard(most int) []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if len(out) == most {
			break
		}
		if m.Up || m.pushing || m.asked || m.Addr == "" || m.Failed || m.Releasing {
			continue
		}
		m.pushing, m.asked = true, true
		out = append(out, m)
	}
	return out
}

// Pushed notes that a direct command was answered, or given up.
func (f *Fleet) Pushed(now unit.Instant, id unit.MachineID, answered bool) {
	m := f.machines[id]
	if m == nil {
		return
	}
	m.pushing = false
	if answered {
		m.unheard = 0
		return
	}
	m.unheard++
	m.missed = now
}

// Orders are the commands the machine is due: halts, launches and, in the
// answer to a report, reaps. Repeating any of them is harmless: launches and
// halts name an attempt, and an exit is reaped only when no copy of its launch
// can still be under way.
func (f *Fleet) Orders(now unit.Instant, m *Machine, reaps bool) []Order {
	var halts, launches, rest []Order
	for _, p := range m.places {
		switch {
		case p.State == checkpoint.PlacementEnded:
			if reaps && f.reapable(m, p) {
				rest = append(rest, Order{Verb: Reap, Task: p.ID(), Attempt: p.Attempt})
			}
		case p.Stopping:
			if p.State != checkpoint.PlacementCheckpointing || p.GracePeriod == 0 {
				halts = append(halts, Order{Verb: Halt, Task: p.ID(), Attempt: p.Attempt, Leave: p.GracePeriod})
			}
		case p.State == checkpoint.PlacementPending && p.StartAllowed && p.Session == m.Session:
			p.FencingToken = f.epoch
			launches = append(launches, Order{Verb: Launch, Task: p.ID(), Attempt: p.Attempt})
		}
	}
	for k, e := range m.strays {
		if e.State != stateExited {
			halts = append(halts, Order{Verb: Halt, Task: k.task, Attempt: k.attempt})
		}
	}
	return cut(sorted(halts), sorted(launches), sorted(rest))
}

func sorted(o []Order) []Order {
	sort.Slice(o, func(a, b int) bool { return less(o[a].Task, o[b].Task) })
	return o
}

func cut(lists ...[]Order) []Order {
	var out []Order
	for _, l := range lists {
		out = append(out, l...)
	}
	if len(out) > maxOrders {
		out = out[:maxOrders]
	}
	return out
}

// reapable: the meaning of the exit is stored, and the worker has seen a
// higher token than any launch of the attempt was sent under. Late copies of
// the launch are refused from then on; before, the exit is a tombstone that
// keeps such a copy from running the task a second time.
func (f *Fleet) reapable(m *Machine, p *checkpoint.Placement) bool {
	return p.Job.StoredSeq >= p.EndSeq && m.Token > p.FencingToken
}
