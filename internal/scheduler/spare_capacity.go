package scheduler

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// checkpointTimeDivisor: work that writes a checkpoint when it is evicted yields in time if
// that takes no more than one part in so many of the time in which a class must start.
const checkpointTimeDivisor = 4

// spareCapacity keeps room free for classes that must start faster than a machine comes up.
type spareCapacity struct {
	specs    []*jobs.Spec // see Snapshot.SpareSpecs
	tasks    int          // see policy.Policy.SpareTasks
	urgency  *urgency
	machines *machinePool

	measured  bool
	retain    map[ident.MachineID]bool // see Plan.Retain
	shortages []shortage
}

func newSpareCapacity(s *Snapshot, p *planner, retain map[ident.MachineID]bool) *spareCapacity {
	return &spareCapacity{
		specs:    s.SpareSpecs,
		tasks:    s.Policy.SpareTasks,
		urgency:  p.urgency,
		machines: p.machines,
		retain:   retain,
	}
}

// measure finds once how much is missing of the room, and which machines hold it.
func (s *spareCapacity) measure() {
	if s.measured {
		return
	}
	s.measured = true
	for _, spec := range s.specs {
		if missing := s.missingTasks(spec); missing > 0 {
			job := &jobs.Job{Spec: *spec, AcceptedAtMs: s.urgency.wallMs}
			s.shortages = append(s.shortages, shortage{job: job, tasks: missing})
		}
	}
}

// missingTasks is for how many tasks of a class room is missing; it retains the machines that
// have some.
func (s *spareCapacity) missingTasks(spec *jobs.Spec) int {
	missing := s.tasks
	for _, m := range s.machines.up {
		if missing <= 0 {
			break
		}
		if !m.isAllowedBy(spec) {
			continue
		}
		if n := m.free.Add(s.evictable(spec, m)).MaxCopies(spec.TaskResources()); n > 0 {
			missing -= n
			s.retain[m.machine.ID] = true
		}
	}
	for _, m := range s.machines.pending {
		if m.isAllowedBy(spec) {
			missing -= m.free.MaxCopies(spec.TaskResources())
		}
	}
	return missing
}

// evictable is what work of lower priority holds on the machine, which a task of the class
// could have at once.
func (s *spareCapacity) evictable(spec *jobs.Spec, m *candidateMachine) jobs.Resources {
	var sum jobs.Resources
	if m.machine.Load().TasksBelow(spec.Priority) == 0 {
		return sum
	}
	maxCheckpointSeconds := s.urgency.startWithinSeconds(spec.Class) / checkpointTimeDivisor
	for _, placement := range m.livePlacements() {
		victim := &placement.Job.Spec
		inTime := victim.CheckpointIntervalSeconds == 0 || victim.CheckpointSeconds <= maxCheckpointSeconds
		if victim.Priority < spec.Priority && inTime && !victim.Gang {
			sum = sum.Add(victim.TaskResources())
		}
	}
	return sum
}
