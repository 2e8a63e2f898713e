package scheduler

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// candidateMachine is a machine, up or pending, with the capacity that the plan has not
// allocated yet.
type candidateMachine struct {
	machine     *fleet.Machine // nil if the machine is pending
	machineType *fleet.MachineType
	zone        ident.Zone
	spot        bool
	free        jobs.Resources
	// freeing is the capacity that evictions free and that is not reserved for any job yet. No
	// task may start in it before the exits of the evicted tasks are observed.
	freeing         jobs.Resources
	placements      []*jobs.Placement // see livePlacements
	plannedReplicas int               // service tasks that the plan places on the machine
	receivesTasks   bool              // the plan starts tasks on the machine
}

// livePlacements returns the placements that may exist on the machine. They are cached, because
// planning does not change them.
func (m *candidateMachine) livePlacements() []*jobs.Placement {
	if m.placements == nil {
		m.placements = m.machine.LivePlacements()
	}
	return m.placements
}

// reserveTask reserves capacity for one task: first the capacity that evictions free, then free
// capacity.
func (m *candidateMachine) reserveTask(need jobs.Resources) {
	rest := m.freeing.Sub(need)
	m.freeing = rest.Max(jobs.Resources{})
	m.free = m.free.Add(rest.Sub(m.freeing)).Max(jobs.Resources{})
}

// isAllowedBy reports whether the spec allows a machine of this type and zone, spot or on
// demand.
func (m *candidateMachine) isAllowedBy(spec *jobs.Spec) bool {
	return spec.AllowsMachine(m.machineType.Name, m.zone, m.spot)
}

// accepts reports whether the machine may run tasks of the job, regardless of its free
// capacity.
func (m *candidateMachine) accepts(job *jobs.Job, now clock.Instant) bool {
	return m.isAllowedBy(&job.Spec) && (m.machine == nil || !job.Avoids(m.machine.ID, now))
}

// machinePool holds the machines that a plan may use.
type machinePool struct {
	up      []*candidateMachine
	pending []*candidateMachine
	byZone  map[ident.Zone]int // number of machines, including pending ones
	byID    map[ident.MachineID]*candidateMachine
}

func newMachinePool(s *Snapshot) *machinePool {
	pool := &machinePool{byZone: map[ident.Zone]int{}}
	for _, m := range s.Fleet.Machines() {
		if !s.Fleet.Schedulable(m) || s.Fleet.HeartbeatOverdue(s.Now, m) {
			continue
		}
		pool.byZone[m.Zone]++
		pool.up = append(pool.up, &candidateMachine{machine: m, machineType: s.Fleet.MachineType(m.Type),
			zone: m.Zone, spot: m.Spot, free: s.Fleet.FreeCapacity(m)})
	}
	for _, pending := range s.PendingMachines {
		offer := pending.Offer
		pool.byZone[offer.Zone]++
		if t := s.Fleet.MachineType(offer.Type); t != nil {
			pool.pending = append(pool.pending, &candidateMachine{machineType: t, zone: offer.Zone, spot: offer.Spot,
				free: t.Capacity})
		}
	}
	return pool
}

// find returns the machine with the ID if it is up, or nil if the plan does not use it.
func (pool *machinePool) find(id ident.MachineID) *candidateMachine {
	if pool.byID == nil {
		pool.byID = make(map[ident.MachineID]*candidateMachine, len(pool.up))
		for _, m := range pool.up {
			pool.byID[m.machine.ID] = m
		}
	}
	return pool.byID[id]
}

// totalCPUs returns the number of CPUs of all machines, including pending ones.
func (pool *machinePool) totalCPUs() float64 {
	sum := 0.0
	for _, m := range pool.up {
		sum += m.machineType.Capacity.CPUs
	}
	for _, m := range pool.pending {
		sum += m.machineType.Capacity.CPUs
	}
	return sum
}

// placementShape holds the properties of a task that determine on which machines it may run,
// regardless of where the job's other tasks are.
type placementShape struct {
	need         jobs.Resources
	zone         ident.Zone
	spot         bool
	machineTypes string
}

func shapeOf(spec *jobs.Spec) placementShape {
	types := ""
	for _, t := range spec.MachineTypes {
		types += string(t) + " "
	}
	return placementShape{need: spec.TaskResources(), zone: spec.Zone, spot: spec.Spot, machineTypes: types}
}
