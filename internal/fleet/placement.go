package fleet

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// Place puts a placement on its machine.
func (f *Fleet) Place(now unit.Instant, p *checkpoint.Placement) {
	m := f.Ensure(now, p.Machine)
	m.places[keyOf(p)] = p
	m.used = m.used.Add(p.Job.Spec.TaskResources())
	m.live.count(p, 1)
	p.Job.AddPlacement(p, m.Zone)
}

// Retract takes back a placement whose launch was never sent and never will.
func (f *Fleet) Retract(now unit.Instant, p *checkpoint.Placement) {
	f.end(now, p, true)
	f.drop(p)
}

// end notes that a placement is over; it stays as a tombstone.
func (f *Fleet) end(now unit.Instant, p *checkpoint.Placement, requeue bool) {
	if p.State == checkpoint.PlacementEnded {
		return
	}
	m := f.machines[p.Machine]
	m.used = m.used.Sub(p.Job.Spec.TaskResources())
	m.live.count(p, -1)
	p.Job.EndPlacement(now, p, m.Zone, requeue)
	p.State = checkpoint.PlacementEnded
	f.tombs++
	if !m.Busy() {
		m.used = checkpoint.Resources{}
		m.IdleSince = now
	}
}

// drop forgets a placement that is over and can't be launched any more.
func (f *Fleet) drop(p *checkpoint.Placement) {
	m := f.machines[p.Machine]
	if m != nil && m.places[keyOf(p)] == p {
		delete(m.places, keyOf(p))
		f.tombs--
	}
}

// endAll ends every placement of the machine, which surely runs none of them.
func (f *Fleet) endAll(now unit.Instant, m *Machine, c *Changes) {
	for _, p := range m.Live() {
		f.end(now, p, true)
		c.Ended = append(c.Ended, Ended{p, CauseLost, false})
	}
	for id := range m.places {
		delete(m.places, id)
		f.tombs--
	}
	m.strays = map[placeKey]Entry{}
	m.used = checkpoint.Resources{}
}

// Free is what is left on the machine by all placements that may exist.
func (f *Fleet) Free(m *Machine) checkpoint.Resources {
	t := f.types[m.Type]
	if t == nil {
		return checkpoint.Resources{}
	}
	return t.Capacity.Sub(m.used)
}

const (
	// maxUnheard commands in a row without an answer, a machine gets no task:
	// nothing may reach it although its reports arrive. Guards against placing
	// on such a machine again in each of its sessions.
	maxUnheard = 2
	// unheardFor is how long that counts: reports may be answered again.
	unheardFor = time.Minute
)

// Placeable tells whether the machine may get tasks.
func (f *Fleet) Placeable(m *Machine) bool {
	return m.Up && m.Confirmed && m.unheard < maxUnheard && !m.Releasing && !m.Gone && !m.Failed && m.NoticeAt == 0 && !m.Drained && !m.Vacating &&
		!m.StrayRuns() && f.types[m.Type] != nil
}

// Overdue tells whether the machine has missed reports, so that a launch sent
// to it would probably hang. Answers to commands are no reports: a machine that
// takes commands but reaches no node loses all it has with its lease.
func (f *Fleet) Overdue(now unit.Instant, m *Machine) bool {
	if m.Up && now.Sub(f.takeover) < f.times.Return {
		return false
	}
	return now.Sub(m.LastBeat) > 2*f.times.Report+f.times.Report/2
}
