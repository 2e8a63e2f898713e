package fleet

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/jobs"
)

// AddPlacement adds a placement to its machine and its job.
func (f *Fleet) AddPlacement(now clock.Instant, p *jobs.Placement) {
	m := f.Ensure(now, p.Machine)
	m.placements[keyOf(p)] = p
	m.used = m.used.Add(p.Job.Spec.TaskResources())
	m.load.add(p, 1)
	p.Job.AddPlacement(p, m.Zone)
}

// RetractPlacement removes a placement whose start command was never sent and never will be.
func (f *Fleet) RetractPlacement(now clock.Instant, p *jobs.Placement) {
	f.endPlacement(now, p, true)
	f.dropPlacement(p)
}

// StopPlacement stops a task, which may save a checkpoint within the grace period. A placement whose start command was
// never sent ends at once, and the command will not be sent.
func (f *Fleet) StopPlacement(now clock.Instant, p *jobs.Placement, gracePeriod time.Duration) {
	if p.State == jobs.PlacementEnded || p.Stopping && gracePeriod >= p.GracePeriod {
		return
	}
	if !p.Stopping {
		p.StopRequestedAt = now
		if m := f.machines[p.Machine]; m != nil {
			m.load.Stopping++
		}
	}
	p.Stopping, p.GracePeriod = true, gracePeriod
	if p.State == jobs.PlacementPending && p.FencingToken == 0 {
		f.RetractPlacement(now, p)
		return
	}
	f.ScheduleCommand(p.Machine)
}

// endPlacement marks a placement as ended and keeps it as a tombstone.
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

// dropPlacement deletes an ended placement whose task can no longer be started by a delayed command.
func (f *Fleet) dropPlacement(p *jobs.Placement) {
	m := f.machines[p.Machine]
	if m != nil && m.placements[keyOf(p)] == p {
		delete(m.placements, keyOf(p))
		f.tombstones--
	}
}

// endAllPlacements ends and deletes every placement of a machine that is certain to run none of them.
func (f *Fleet) endAllPlacements(now clock.Instant, m *Machine, changes *Changes) {
	for _, p := range m.LivePlacements() {
		f.endPlacement(now, p, true)
		changes.Ended = append(changes.Ended, EndedPlacement{p, ExitMachineLost, false})
	}
	f.tombstones -= len(m.placements)
	clear(m.placements)
	m.orphans = map[placementKey]TaskStatus{}
	m.used = jobs.Resources{}
}

// FreeCapacity returns the machine's capacity minus the resources of all placements on it that have not ended, or no
// capacity if its type is unknown.
func (f *Fleet) FreeCapacity(m *Machine) jobs.Resources {
	t := f.machineTypes[m.Type]
	if t == nil {
		return jobs.Resources{}
	}
	return t.Capacity.Sub(m.used)
}

// Schedulable reports whether the machine may get tasks.
func (f *Fleet) Schedulable(m *Machine) bool { return f.SchedulingObstacle(m) == ObstacleNone }

// Obstacle is the reason why a machine may get no tasks.
type Obstacle string

// Reasons why a machine may get no tasks, and ObstacleNone if it may.
const (
	ObstacleNone        Obstacle = ""
	ObstacleUnreachable Obstacle = "unreachable" // not up, not confirmed, or it does not answer commands
	ObstacleLeaving     Obstacle = "leaving"     // failed, interrupted, being drained or being deprovisioned
	ObstacleQuarantined Obstacle = "quarantined"
	ObstacleUnknownTask Obstacle = "unknown_task" // a task without a placement may be running on it
	ObstacleUnknownType Obstacle = "unknown_type"
)

// SchedulingObstacle returns the first reason why the machine may get no tasks.
func (f *Fleet) SchedulingObstacle(m *Machine) Obstacle {
	switch {
	case !m.Up || !m.Confirmed || m.unansweredCommands >= maxUnansweredCommands:
		return ObstacleUnreachable
	case m.Deprovisioning || m.Removed || m.Failed || m.InterruptionAt != 0 || m.Draining:
		return ObstacleLeaving
	case m.Quarantined:
		return ObstacleQuarantined
	case m.HasRunningOrphan():
		return ObstacleUnknownTask
	case f.machineTypes[m.Type] == nil:
		return ObstacleUnknownType
	}
	return ObstacleNone
}

// HeartbeatOverdue reports whether the machine has missed heartbeats, so that a start command sent to it would probably
// hang. Responses to commands do not count, except during Timing.RejoinGrace: a machine that accepts commands but
// cannot reach any node loses its lease, and with it all its tasks.
func (f *Fleet) HeartbeatOverdue(now clock.Instant, m *Machine) bool {
	if m.Up && now.Sub(f.leaderSince) < f.timing.RejoinGrace {
		return false
	}
	return now.Sub(m.LastHeartbeat) > 2*f.timing.HeartbeatInterval+f.timing.HeartbeatInterval/2
}
