package scheduler

import "badgerbay/internal/jobs"

// remainingRunRatio is the part of its run that a running task has left, on average.
const remainingRunRatio = 0.5

// backlog sums up the work, in resources times seconds, that arrays and gangs have to get
// through the machines.
type backlog struct {
	machines   *machinePool
	byPriority [jobs.PriorityProd + 1]jobs.Resources
	ahead      map[*jobs.Job]jobs.Resources      // see addQueued
	usable     map[placementShape]jobs.Resources // see capacityUsableBy
}

func newBacklog(machines *machinePool, placed []*jobs.Job) *backlog {
	b := &backlog{
		machines: machines,
		ahead:    map[*jobs.Job]jobs.Resources{},
		usable:   map[placementShape]jobs.Resources{},
	}
	for _, job := range placed {
		if !job.Spec.Service {
			b.add(job.Spec.Priority, expectedWork(job, len(job.Placements)).Scale(remainingRunRatio))
		}
	}
	return b
}

// expectedWork is what n tasks of the job hold, times the seconds that they run.
func expectedWork(job *jobs.Job, n int) jobs.Resources {
	return job.Spec.TaskResources().Scale(float64(n) * expectedRunSeconds(job))
}

func (b *backlog) add(priority jobs.Priority, work jobs.Resources) {
	b.byPriority[priority] = b.byPriority[priority].Add(work)
}

// addQueued notes what goes before the end of the job: what runs of its priority and
// above, what is queued before it, and the job itself. Jobs come in the order of the queue.
func (b *backlog) addQueued(job *jobs.Job) {
	if _, counted := b.ahead[job]; job.Spec.Service || counted {
		return
	}
	b.add(job.Spec.Priority, expectedWork(job, job.Queue.Len()))
	var sum jobs.Resources
	for _, work := range b.byPriority[job.Spec.Priority:] {
		sum = sum.Add(work)
	}
	b.ahead[job] = sum
}

// seconds is how long the machines that are up or pending take to get through what goes
// before the job's last start, by the resource that is the scarcest. A machine that is
// provisioned for work which will have found room by then comes too late to help: in
// bursts hundreds of expensive ones came when those they were provisioned for were done.
// Counted in CPUs alone, machines whose GPUs were all taken seemed to have room.
func (b *backlog) seconds(job *jobs.Job) float64 {
	return b.ahead[job].DominantShare(b.capacityUsableBy(job))
}

// capacityUsableBy is what arrays of the job's shape can have of the machines that are up
// or pending.
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
