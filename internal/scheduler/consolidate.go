package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// minReplicaAgeSeconds: a replica is moved only so long after its start: one that is
	// soon undone is no start to its user.
	minReplicaAgeSeconds = 40
	// machinesPerDrain: of the machines in use, one in so many is drained at a time.
	machinesPerDrain = 20
	// candidatesPerDrain is how many machines are tried for each that may be drained.
	candidatesPerDrain = 2
	// replicaHeadroomShare is the part of the room for replicas that stays free, so that
	// those that come next need not wait for machines just deprovisioned.
	replicaHeadroomShare = 0.1
)

// consolidation drains machines with few replicas that all fit on others which hold their
// images, so that the machines can be deprovisioned: replicas end one by one, and what is left
// would keep many machines for little. Tasks of arrays on them run to their end.
type consolidation struct {
	urgency  *urgency
	machines *machinePool
	zones    *zoneTracker
	spare    *spareCapacity
	// surplusCPUs is what may be drained beyond the guarantees.
	surplusCPUs float64

	free      map[*candidateMachine]jobs.Resources // of the machines in use that stay
	movedJobs map[*jobs.Job]bool
	// reservations is the room that the replicas of the machine at hand have been given, to
	// be released if not all of them find some. A copy of all machines for each one that
	// was tried cost 77 MB a plan at 4,000.
	reservations []reservation

	drained   []ident.MachineID
	evictions []Eviction
}

func newConsolidation(p *planner, surplusCPUs float64) *consolidation {
	return &consolidation{
		urgency:     p.urgency,
		machines:    p.machines,
		zones:       p.zones,
		spare:       p.spare,
		surplusCPUs: surplusCPUs,
		free:        map[*candidateMachine]jobs.Resources{},
		movedJobs:   map[*jobs.Job]bool{},
	}
}

// reservation is room that was set aside on a machine.
type reservation struct {
	machine *candidateMachine
	need    jobs.Resources
}

// run drains some of the machines that hold the least for their size.
func (c *consolidation) run() {
	var sources []*candidateMachine
	for _, m := range c.machines.up {
		load := m.machine.Load()
		if load.Tasks > 0 {
			c.free[m] = m.free
		}
		if load.Services > 0 && !m.receivesTasks {
			sources = append(sources, m)
		}
	}
	slices.SortStableFunc(sources, func(x, y *candidateMachine) int {
		return cmp.Compare(replicaShare(x), replicaShare(y))
	})
	maxDrained := max(1, len(c.free)/machinesPerDrain)
	for i, m := range sources {
		if len(c.drained) == maxDrained || i == candidatesPerDrain*maxDrained {
			return
		}
		if m.machineType.Capacity.CPUs <= c.surplusCPUs {
			c.drain(m)
		}
	}
}

// replicaShare is about the part of the machine that its replicas take.
func replicaShare(m *candidateMachine) float64 {
	return float64(m.machine.Load().Services) / max(1, m.machineType.Capacity.CPUs)
}

// drain evicts the replicas of a machine if they fit on others in use, with the room kept free
// still there after it.
func (c *consolidation) drain(m *candidateMachine) {
	replicas := replicasOn(m)
	if !c.areMovable(replicas) {
		return
	}
	sourceFree := c.free[m]
	delete(c.free, m)
	c.reservations = c.reservations[:0]
	if !c.reserveAll(replicas, m.zone) || !c.leavesHeadroom(&replicas[0].Job.Spec) {
		c.releaseReservations()
		c.free[m] = sourceFree
		return
	}
	c.surplusCPUs -= m.machineType.Capacity.CPUs
	c.drained = append(c.drained, m.machine.ID)
	for _, replica := range replicas {
		c.movedJobs[replica.Job] = true
		c.evictions = append(c.evictions, Eviction{Placement: replica})
	}
}

func replicasOn(m *candidateMachine) []*jobs.Placement {
	var replicas []*jobs.Placement
	for _, placement := range m.livePlacements() {
		if placement.Job.Spec.Service {
			replicas = append(replicas, placement)
		}
	}
	return replicas
}

func (c *consolidation) areMovable(replicas []*jobs.Placement) bool {
	for _, replica := range replicas {
		age := c.urgency.now.Sub(replica.RunningSince)
		if replica.State != jobs.PlacementRunning || replica.Stopping || age.Seconds() < minReplicaAgeSeconds {
			return false
		}
	}
	return true
}

// reserveAll finds a place for each of the replicas that leave a zone.
func (c *consolidation) reserveAll(replicas []*jobs.Placement, sourceZone ident.Zone) bool {
	for _, replica := range replicas {
		if !c.reserve(replica.Job, sourceZone) {
			return false
		}
	}
	return true
}

// reserve finds a place for a replica of the job that leaves a zone. Of a job, machines drained
// before may have no replica, so that its own place in the zone is free again.
func (c *consolidation) reserve(job *jobs.Job, sourceZone ident.Zone) bool {
	if c.movedJobs[job] {
		return false
	}
	need := job.Spec.TaskResources()
	for _, m := range c.machines.up {
		free, stays := c.free[m]
		if stays && free.Fits(need) && m.accepts(job, c.urgency.now) && m.machine.HasImage(job.Spec.Image) &&
			(m.zone == sourceZone || c.zones.room(job, m.zone) > 0) {
			c.free[m] = free.Sub(need)
			c.reservations = append(c.reservations, reservation{m, need})
			return true
		}
	}
	return false
}

// releaseReservations undoes what was reserved for the machine at hand.
func (c *consolidation) releaseReservations() {
	for _, reserved := range c.reservations {
		c.free[reserved.machine] = c.free[reserved.machine].Add(reserved.need)
	}
}

// leavesHeadroom tells whether the machines that stay keep the headroom for replicas like
// these, and the room kept free for the classes that must start fast.
func (c *consolidation) leavesHeadroom(spec *jobs.Spec) bool {
	var free, capacity jobs.Resources
	for m, room := range c.free {
		if m.isAllowedBy(spec) {
			free = free.Add(room)
			capacity = capacity.Add(m.machineType.Capacity)
		}
	}
	if !free.Fits(capacity.Scale(replicaHeadroomShare)) {
		return false
	}
	for _, spareSpec := range c.spare.specs {
		tasks := 0
		for m, room := range c.free {
			if m.isAllowedBy(spareSpec) {
				tasks += room.Add(c.spare.evictable(spareSpec, m)).MaxCopies(spareSpec.TaskResources())
			}
		}
		if tasks < c.spare.tasks {
			return false
		}
	}
	return true
}
