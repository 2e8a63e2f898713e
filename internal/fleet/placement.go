package fleet

import (
	"time"

	"badgerbay/internal/clock"

	"badgerbay/internal/jobs"
)

// Place puts a placement on its machine.
func (f *Fleet) Place(now clock.Instant, p *jobs.Placement) {
	m := f.Ensure(now, p.Machine)
	m.placements[keyOf(p)] = p
	m.used = m.used.Add(p.Job.Spec.TaskResources())
	m.load.add(p, 1)
	p.Job.AddPlacement(p, m.Zone)
}

// Retract takes back a placement whose launch was never sent and never will.
func (f *Fleet) Retract(now clock.Instant, p *jobs.Placement) {
	f.endPlacement(now, p, true)
	f.dropPlacement(p)
}

// endPlacement notes that a placement is over; it stays as a tombstone.
func (f *Fleet) endPlacement(now clock.Instant, p *jobs.Placement, requeue bool) {
	if p.State == jobs.PlacementEnded {
		return
	}
	m := f.machines[p.Machine]
	m.used = m.used.Sub(p.Job.Spec.TaskResources())
	m.load.add(p, -1)
	p.Job.EndPlacement(now, p, m.Zone, requeue)
	p.State = jobs.PlacementEnded
	f.tombstones++
	if !m.Busy() {
		m.used = jobs.Resources{}
		m.IdleSince = now
	}
}

// dropPlacement forgets a placement that is over and can't be launched any more.
func (f *Fleet) dropPlacement(p *jobs.Placement) {
	m := f.machines[p.Machine]
	if m != nil && m.placements[keyOf(p)] == p {
		delete(m.placements, keyOf(p))
		f.tombstones--
	}
}

// endAllPlacements ends every placement of the machine, which surely runs none of them.
func (f *Fleet) endAllPlacements(now clock.Instant, m *Machine, c *Changes) {
	for _, p := range m.LivePlacements() {
		f.endPlacement(now, p, true)
		c.Ended = append(c.Ended, EndedPlacement{p, ExitMachineLost, false})
	}
	for id := range m.placements {
		delete(m.placements, id)
		f.tombstones--
	}
	m.strays = map[placementKey]TaskStatus{}
	m.used = jobs.Resources{}
}

// FreeCapacity is what is left on the machine by all placements that may exist.
func (f *Fleet) FreeCapacity(m *Machine) jobs.Resources {
	t := f.machineTypes[m.Type]
	if t == nil {
		return jobs.Resources{}
	}
	return t.Capacity.Sub(m.used)
}

const (
	// maxUnansweredCommands commands in a row without an answer, a machine gets no task:
	// nothing may reach it although its reports arrive. Guards against placing
	// on such a machine again in each of its sessions.
	maxUnansweredCommands = 2
	// unansweredCommandWindow is how long that counts: reports may be answered again.
	unansweredCommandWindow = time.Minute
)

// Schedulable tells whether the machine may get tasks.
func (f *Fleet) Schedulable(m *Machine) bool {
	return m.Up && m.Confirmed && m.unansweredCommands < maxUnansweredCommands && !m.Deprovisioning && !m.Removed && !m.Failed && m.InterruptionAt == 0 && !m.Quarantined && !m.Draining &&
		!m.HasRunningStray() && f.machineTypes[m.Type] != nil
}

// HeartbeatOverdue tells whether the machine has missed reports, so that a launch sent
// to it would probably hang. Answers to commands are no reports: a machine that
// takes commands but reaches no node loses all it has with its lease.
func (f *Fleet) HeartbeatOverdue(now clock.Instant, m *Machine) bool {
	if m.Up && now.Sub(f.leaderSince) < f.timing.RejoinGrace {
		return false
	}
	return now.Sub(m.LastHeartbeat) > 2*f.timing.HeartbeatInterval+f.timing.HeartbeatInterval/2
}
