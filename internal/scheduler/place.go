package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
)

// reservedTaskDivisor limits how many tasks of an aged job a reserved machine accounts for:
// 1/reservedTaskDivisor of the tasks that fit on the machine when it is empty.
const reservedTaskDivisor = 2

// taskPlacer places the tasks of arrays and services. Unlike the tasks of a gang, each is
// placed independently.
type taskPlacer struct {
	urgency     *urgency
	machines    *machinePool
	zones       *zoneTracker
	quotas      *quotaTracker
	record      *recordBuilder
	costs       *costPolicy
	selector    *machineSelector
	assignments *assignments
	preemptor   *preemptor
	scaleOut    *scaleOut
	aging       *agingBudget

	claimed map[*jobs.Job]indexset.Set // tasks that this plan has already selected
}

func newTaskPlacer(s *Snapshot, p *planner) *taskPlacer {
	return &taskPlacer{
		urgency:     p.urgency,
		machines:    p.machines,
		zones:       p.zones,
		quotas:      p.quotas,
		record:      p.record,
		costs:       p.costs,
		selector:    p.selector,
		assignments: p.assignments,
		preemptor:   p.preemptor,
		scaleOut:    p.scaleOut,
		aging:       newAgingBudget(p.machines, s.PlacedJobs, p.urgency),
		claimed:     map[*jobs.Job]indexset.Set{},
	}
}

// place starts as many of the job's tasks as fit. It returns how many of the remaining tasks
// may start within the job's limits but need a machine to be provisioned.
func (p *taskPlacer) place(entry queueEntry) int {
	job := entry.job
	n := p.eligibleTasks(entry)
	if n <= 0 || p.record.full {
		return 0
	}
	tasks := p.claim(job, n, entry.aged)
	p.costs.placingAged = entry.aged
	tasks = p.startOnFreeMachines(job, tasks)
	unplaced := min(len(tasks), job.FittingSingleTasks(p.record.jobSpareBytes(job)))
	if unplaced == 0 || p.record.full {
		return 0
	}
	if entry.aged {
		p.reserveMachines(job, unplaced)
	}
	return p.handleUnplaced(job, unplaced, entry.guaranteed)
}

// eligibleTasks returns how many tasks of the entry may start within the limits that apply to
// it.
func (p *taskPlacer) eligibleTasks(entry queueEntry) int {
	job := entry.job
	n := job.Queue.Len() - p.claimed[job].Len()
	p.quotas.recordReservationBlocked(job, n)
	n = min(n, p.quotas.tasksWithinQuota(job))
	if entry.guaranteed {
		n = min(n, p.quotas.tasksWithinGuarantee(job))
	}
	if entry.aged {
		n = min(n, p.aging.reserve(job))
	}
	return n
}

// claim selects up to n queued tasks of the job and marks them as claimed. If neverRan is set,
// it selects tasks that have never run for long enough to count as started; otherwise, it
// selects tasks that this plan has not claimed yet.
func (p *taskPlacer) claim(job *jobs.Job, n int, neverRan bool) []ident.TaskIndex {
	var tasks []ident.TaskIndex
	claimed := p.claimed[job]
	if neverRan {
		tasks = job.UnstartedTasks(n)
	} else {
		for task := range job.Queue.All() {
			if !claimed.Contains(task) {
				tasks = append(tasks, task)
			}
			if len(tasks) >= n {
				break
			}
		}
	}
	for _, task := range tasks {
		claimed.Add(task)
	}
	p.claimed[job] = claimed
	return tasks
}

// startOnFreeMachines starts tasks on machines with enough free capacity. It returns the tasks
// that it neither started nor preempted other work for.
func (p *taskPlacer) startOnFreeMachines(job *jobs.Job, tasks []ident.TaskIndex) []ident.TaskIndex {
	preempted := false
	for _, m := range p.selector.rank(job) {
		if !preempted && !m.machine.HasImage(job.Spec.Image) && p.fetchTooSlow(job, m) {
			// Fetching the image alone would take too long: preempt work on machines that hold
			// the image instead.
			preempted = true
			tasks = tasks[p.preemptor.preemptFor(job, len(tasks), machinesWithImage):]
		}
		if len(tasks) == 0 || p.record.full {
			break
		}
		n := min(len(tasks), m.free.MaxCopies(job.Spec.TaskResources()), p.zones.allowedTasks(job, m.zone))
		if p.costs.allowsOneTask(job, m) {
			n = min(n, 1-min(1, p.assignments.started[job]))
		}
		n = job.FittingTasks(p.record.jobSpareBytes(job), m.machine.ID, n)
		if n > 0 && p.start(job, m, tasks[:n]) {
			tasks = tasks[n:]
		}
	}
	return tasks
}

// fetchTooSlow reports whether the machine would take longer to fetch the job's image than the
// job may take to start. It is always false for jobs below PriorityHigh.
func (p *taskPlacer) fetchTooSlow(job *jobs.Job, m *candidateMachine) bool {
	within, bandwidth := p.urgency.startWithinSeconds(job.Spec.Class), m.machineType.FetchGBps
	return within > 0 && job.Spec.Priority >= jobs.PriorityHigh && bandwidth > 0 && job.Spec.ImageGB/bandwidth > within
}

// start starts tasks on a machine if the record has space for the start, and reports whether it
// has.
func (p *taskPlacer) start(job *jobs.Job, m *candidateMachine, tasks []ident.TaskIndex) bool {
	start := newStart(job, m, tasks)
	if !p.record.fits(&start) {
		return false
	}
	p.assignments.start(job, m, start, len(tasks))
	return true
}

// reserveMachines reserves machines for n tasks of an aged job that fit nowhere yet: capacity
// that becomes free there is withheld from all work later in the queue. Without the
// reservation, smaller tasks take all capacity as soon as it becomes free, and larger tasks
// starve.
func (p *taskPlacer) reserveMachines(job *jobs.Job, n int) {
	need := job.Spec.TaskResources()
	var usable []*candidateMachine
	for _, m := range p.machines.up {
		if m.accepts(job, p.urgency.now) && p.costs.mayUse(job, m) &&
			m.machineType.Capacity.Fits(need) && p.zones.allowedTasks(job, m.zone) > 0 {
			usable = append(usable, m)
		}
	}
	// Prefer the machines with the most free CPUs: the least capacity has yet to become free
	// there.
	slices.SortStableFunc(usable, func(x, y *candidateMachine) int { return cmp.Compare(y.free.CPUs, x.free.CPUs) })
	maxReserved := int(agedCapacityShare * float64(len(p.machines.up)))
	for i, m := range usable {
		if n <= 0 || i == maxReserved {
			return
		}
		n -= max(1, m.machineType.Capacity.MaxCopies(need)/reservedTaskDivisor)
		m.free = jobs.Resources{}
	}
}

// handleUnplaced handles n tasks that fit on no machine. It preempts other work for them where
// that is allowed, and assigns the remaining tasks to pending machines. It returns how many
// tasks need a machine to be provisioned.
func (p *taskPlacer) handleUnplaced(job *jobs.Job, n int, guaranteed bool) int {
	p.scaleOut.recordUnplaced(job, n)
	if guaranteed || p.preemptor.mayPreempt(job) {
		n -= p.preemptor.preemptFor(job, n, allMachines)
	}
	need := job.Spec.TaskResources()
	for _, m := range p.machines.pending {
		if n == 0 {
			break
		}
		if !m.free.Fits(need) || !m.isAllowedBy(&job.Spec) || !p.mayWaitForPending(job, m) {
			continue
		}
		k := min(n, m.free.MaxCopies(need), p.zones.allowedTasks(job, m.zone))
		k = min(k, p.scaleOut.taskLimit(job, m.machineType, m.spot))
		p.scaleOut.awaitingMachine[job] += k
		p.assignments.allocate(job, m, k)
		n -= k
	}
	return n
}

// mayWaitForPending reports whether the job may rely on the capacity of a pending machine. A
// job that can wait may not rely on an expensive machine, because that was provisioned for work
// that cannot wait.
func (p *taskPlacer) mayWaitForPending(job *jobs.Job, m *candidateMachine) bool {
	return p.quotas.hasGuarantees || p.costs.worthProvisioning(job, m.machineType, m.spot)
}
