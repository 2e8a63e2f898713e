package scheduler

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// candidateMachine is a machine, up or pending, with the room that the plan has left on it.
type candidateMachine struct {
	machine     *fleet.Machine // nil: pending
	machineType *fleet.MachineType
	zone        ident.Zone
	spot        bool
	free        jobs.Resources
	// freeing is room that evictions make and that is promised to nobody yet. Nothing may
	// start in it before their exits are seen.
	freeing         jobs.Resources
	placements      []*jobs.Placement // see livePlacements
	plannedReplicas int               // service tasks that the plan puts here
	receivesTasks   bool              // the plan starts tasks here
}

// livePlacements lists the placements on the machine. A plan changes none, so they are
// listed once.
func (m *candidateMachine) livePlacements() []*jobs.Placement {
	if m.placements == nil {
		m.placements = m.machine.LivePlacements()
	}
	return m.placements
}

// reserveTask keeps room for one task: what evictions make first, then what is free.
func (m *candidateMachine) reserveTask(need jobs.Resources) {
	rest := m.freeing.Sub(need)
	m.freeing = rest.Max(jobs.Resources{})
	m.free = m.free.Add(rest.Sub(m.freeing)).Max(jobs.Resources{})
}

// isAllowedBy tells whether the spec allows a machine like this one.
func (m *candidateMachine) isAllowedBy(spec *jobs.Spec) bool {
	return spec.AllowsMachine(m.machineType.Name, m.zone, m.spot)
}

// isAvoidedBy tells whether the job has just failed on the machine.
func (m *candidateMachine) isAvoidedBy(job *jobs.Job, now clock.Instant) bool {
	until, failed := job.AvoidUntil[m.machine.ID]
	return failed && !until.Before(now)
}

// accepts tells whether the machine may take tasks of the job, leaving aside its room.
func (m *candidateMachine) accepts(job *jobs.Job, now clock.Instant) bool {
	return m.isAllowedBy(&job.Spec) && (m.machine == nil || !m.isAvoidedBy(job, now))
}

// machinePool holds the machines that a plan may use.
type machinePool struct {
	up      []*candidateMachine
	pending []*candidateMachine
	byZone  map[ident.Zone]int // how many, the pending ones included
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

// find returns a machine that is up, or nil if the plan does not use it.
func (pool *machinePool) find(id ident.MachineID) *candidateMachine {
	if pool.byID == nil {
		pool.byID = make(map[ident.MachineID]*candidateMachine, len(pool.up))
		for _, m := range pool.up {
			pool.byID[m.machine.ID] = m
		}
	}
	return pool.byID[id]
}

// totalCPUs is what all machines hold, those that are pending included.
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

// placementShape is what decides on which machines a task may go, leaving aside where the
// job's other tasks are.
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
