package scheduler

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// checkpointTimeDivisor limits the checkpoint time of work that counts as evictable in time:
// work that writes a checkpoint on eviction may take 1/checkpointTimeDivisor of the time within
// which the class must start.
const checkpointTimeDivisor = 4

// spareCapacity keeps capacity free for classes that must start faster than a machine comes up.
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

// measure determines, once per plan, how much spare capacity is missing, and retains the
// machines that provide it.
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

// missingTasks returns the number of tasks of a class for which spare capacity is missing, and
// retains the machines that provide some.
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

// evictable returns the capacity that work of lower priority uses on the machine, and that a
// task of the class could use without delay.
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
