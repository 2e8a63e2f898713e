package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// minReplicaAgeSeconds is the minimum age of a replica that may be moved. The start of a
	// replica that is stopped earlier does not count as a start to its user.
	minReplicaAgeSeconds = 40
	// minRedrainSeconds is the minimum time between two drains of a machine. The first one ended
	// without the machine becoming idle, and the next would move replicas in vain as well.
	minRedrainSeconds = 600
	// machinesPerDrain is the number of machines in use for each machine that may be drained at
	// a time.
	machinesPerDrain = 20
	// candidatesPerDrain is the number of machines that are tried for each machine that may be
	// drained.
	candidatesPerDrain = 2
	// replicaHeadroomShare is the share of the capacity for replicas that stays free, so that
	// the next replicas need not wait for machines to replace those just deprovisioned.
	replicaHeadroomShare = 0.1
)

// consolidation drains machines with few replicas that all fit on other machines in use which
// hold their images, so that the drained machines can be deprovisioned. Replicas end one by
// one; without consolidation, the remaining replicas keep many machines up for little work.
// Tasks of arrays on drained machines run to completion.
type consolidation struct {
	urgency  *urgency
	machines *machinePool
	zones    *zoneTracker
	spare    *spareCapacity
	// surplusCPUs is the number of CPUs that may be drained without violating the guarantees.
	surplusCPUs float64

	free      map[*candidateMachine]jobs.Resources // free capacity of the machines in use that are not drained
	movedJobs map[*jobs.Job]bool
	// reservations holds the capacity reserved for the replicas of the machine that is being
	// examined. It is released unless all of them fit. Copying the state of all machines for
	// each examined machine instead took 77 MB per plan with 4,000 machines.
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

// reservation is an amount of capacity that is reserved on a machine.
type reservation struct {
	machine *candidateMachine
	need    jobs.Resources
}

// run drains some of the machines with the fewest replicas for their size.
func (c *consolidation) run() {
	var sources []*candidateMachine
	for _, m := range c.machines.up {
		load := m.machine.Load()
		if load.Tasks > 0 {
			c.free[m] = m.free
		}
		if load.Services > 0 && !m.receivesTasks && !c.drainedRecently(m) {
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

func (c *consolidation) drainedRecently(m *candidateMachine) bool {
	since := m.machine.DrainingSince
	return since != 0 && c.urgency.now.Sub(since).Seconds() < minRedrainSeconds
}

// replicaShare returns the number of replicas per CPU of the machine, which approximates the
// share of the machine that they use.
func replicaShare(m *candidateMachine) float64 {
	return float64(m.machine.Load().Services) / max(1, m.machineType.Capacity.CPUs)
}

// drain evicts the replicas of a machine if they fit on other machines in use, and if the
// headroom and the spare capacity remain available afterwards.
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

// reserveAll reserves capacity for all replicas, which leave sourceZone, and reports whether
// all of them fit.
func (c *consolidation) reserveAll(replicas []*jobs.Placement, sourceZone ident.Zone) bool {
	for _, replica := range replicas {
		if !c.reserve(replica.Job, sourceZone) {
			return false
		}
	}
	return true
}

// reserve reserves capacity for a replica of the job that leaves sourceZone, and reports
// whether it fits. It rejects a job with a replica on a machine that this plan has already
// drained: the zone tracker does not account for that move, which may have used the place that
// this replica leaves in sourceZone.
func (c *consolidation) reserve(job *jobs.Job, sourceZone ident.Zone) bool {
	if c.movedJobs[job] {
		return false
	}
	need := job.Spec.TaskResources()
	for _, m := range c.machines.up {
		free, stays := c.free[m]
		if stays && free.Fits(need) && m.accepts(job, c.urgency.now) && m.machine.HasImage(job.Spec.Image) &&
			(m.zone == sourceZone || c.zones.allowedTasks(job, m.zone) > 0) {
			c.free[m] = free.Sub(need)
			c.reservations = append(c.reservations, reservation{m, need})
			return true
		}
	}
	return false
}

// releaseReservations releases the capacity reserved for the machine that is being examined.
func (c *consolidation) releaseReservations() {
	for _, reserved := range c.reservations {
		c.free[reserved.machine] = c.free[reserved.machine].Add(reserved.need)
	}
}

// leavesHeadroom reports whether the remaining machines provide the headroom for replicas of
// this spec and the spare capacity for the classes that must start fast.
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
