package scheduler

import "badgerbay/internal/jobs"

// remainingRunRatio is the average share of its run time that a running task has left.
const remainingRunRatio = 0.5

// backlog sums up the outstanding work of arrays and gangs, in resources times seconds.
type backlog struct {
	machines          *machinePool
	byPriority        [jobs.PriorityProd + 1]jobs.Resources
	workUntilComplete map[*jobs.Job]jobs.Resources      // see addQueued
	usable            map[placementShape]jobs.Resources // see capacityUsableBy
}

func newBacklog(machines *machinePool, placed []*jobs.Job) *backlog {
	b := &backlog{
		machines:          machines,
		workUntilComplete: map[*jobs.Job]jobs.Resources{},
		usable:            map[placementShape]jobs.Resources{},
	}
	for _, job := range placed {
		if !job.Spec.Service {
			b.add(job.Spec.Priority, expectedWork(job, len(job.Placements)).Scale(remainingRunRatio))
		}
	}
	return b
}

// expectedWork returns the resources of n tasks of the job, multiplied by their expected run
// time in seconds.
func expectedWork(job *jobs.Job, n int) jobs.Resources {
	return job.Spec.TaskResources().Scale(float64(n) * expectedRunSeconds(job))
}

func (b *backlog) add(priority jobs.Priority, work jobs.Resources) {
	b.byPriority[priority] = b.byPriority[priority].Add(work)
}

// addQueued records how much work the machines have to do before the job is complete: the
// running work of its priority and above, the work queued before it, and its own work. Jobs must
// be added in queue order.
func (b *backlog) addQueued(job *jobs.Job) {
	if _, counted := b.workUntilComplete[job]; job.Spec.Service || counted {
		return
	}
	b.add(job.Spec.Priority, expectedWork(job, job.Queue.Len()))
	var sum jobs.Resources
	for _, work := range b.byPriority[job.Spec.Priority:] {
		sum = sum.Add(work)
	}
	b.workUntilComplete[job] = sum
}

// seconds returns how long the machines that are up or pending take to do the work that
// addQueued recorded for the job, limited by the scarcest resource. Work that finds capacity
// within this time needs no new machine, which would be up too late: in bursts, hundreds of
// expensive machines came up after the work that they were provisioned for was done. All
// resources count: by CPUs alone, machines whose GPUs are all in use seem to have free
// capacity.
func (b *backlog) seconds(job *jobs.Job) float64 {
	return b.workUntilComplete[job].DominantShare(b.capacityUsableBy(job))
}

// capacityUsableBy returns the capacity, on machines that are up or pending, that arrays of the
// job's shape can use.
func (b *backlog) capacityUsableBy(job *jobs.Job) jobs.Resources {
	shape := shapeOf(&job.Spec)
	sum, ok := b.usable[shape]
	if ok {
		return sum
	}
	for _, m := range b.machines.up {
		if m.isAllowedBy(&job.Spec) {
			sum = sum.Add(m.machineType.Capacity.Sub(m.machine.Load().ServiceResources))
		}
	}
	for _, m := range b.machines.pending {
		if m.isAllowedBy(&job.Spec) {
			sum = sum.Add(m.machineType.Capacity)
		}
	}
	b.usable[shape] = sum
	return sum
}
