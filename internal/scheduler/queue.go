package scheduler

import (
	"cmp"
	"math"
	"slices"

	"badgerbay/internal/jobs"
)

// agedCapacityShare is the maximum share of the machines that aged jobs may use before other
// jobs.
const agedCapacityShare = 0.3

// queueEntry is one position of a job in the queue. A job with tasks that fit its team's
// guarantee has an additional entry for these, ahead of its regular one. An aged job has an
// additional entry for its tasks that never ran, ahead of all work below PriorityHigh. A gang
// has a single entry.
type queueEntry struct {
	job        *jobs.Job
	guaranteed bool
	aged       bool
}

// priorityRank returns the rank of the entry by priority; higher ranks are placed first. Aged
// entries rank between PriorityHigh and the priorities below it.
func (e queueEntry) priorityRank() int {
	if e.aged {
		return 2*int(jobs.PriorityHigh) - 1
	}
	return 2 * int(e.job.Spec.Priority)
}

func compareEntries(x, y queueEntry) int {
	switch {
	case x.priorityRank() != y.priorityRank():
		return cmp.Compare(y.priorityRank(), x.priorityRank())
	case x.guaranteed != y.guaranteed:
		return compareTrueFirst(x.guaranteed)
	case x.job.AcceptedAtMs != y.job.AcceptedAtMs:
		return cmp.Compare(x.job.AcceptedAtMs, y.job.AcceptedAtMs)
	}
	return cmp.Compare(x.job.ID, y.job.ID)
}

// buildQueue returns the entries of the jobs, sorted by priority, then entries within a team's
// guarantee first, then by time of arrival.
func buildQueue(queued []*jobs.Job, quotas *quotaTracker, u *urgency) []queueEntry {
	var queue []queueEntry
	for _, job := range queued {
		if job.Spec.Gang {
			// A gang has a single entry, because its tasks start all together.
			guaranteed := quotas.tasksWithinGuarantee(job) >= job.Queue.Len() && quotas.withinGuarantee(job)
			queue = append(queue, queueEntry{job: job, guaranteed: guaranteed})
			continue
		}
		queue = append(queue, queueEntry{job: job})
		if u.isAged(job) && len(job.UnstartedTasks(1)) > 0 {
			queue = append(queue, queueEntry{job: job, aged: true})
		}
		if quotas.withinGuarantee(job) {
			queue = append(queue, queueEntry{job: job, guaranteed: true})
		}
	}
	slices.SortStableFunc(queue, compareEntries)
	return queue
}

// agingBudget limits the resources of the tasks that aged jobs may start before other jobs.
type agingBudget struct {
	urgency   *urgency
	remaining jobs.Resources
}

// newAgingBudget allows aged jobs their share of the capacity of the machines, less the
// resources that they already use.
func newAgingBudget(machines *machinePool, placed []*jobs.Job, u *urgency) *agingBudget {
	b := &agingBudget{urgency: u}
	for _, m := range machines.up {
		b.remaining = b.remaining.Add(m.machineType.Capacity.Scale(agedCapacityShare))
	}
	for _, job := range placed {
		if u.isAged(job) {
			b.remaining = b.remaining.Sub(job.Spec.TaskResources().Multiply(len(job.Placements)))
		}
	}
	return b
}

// reserve returns how many tasks an aged job may start before other jobs, and deducts them from
// the budget. A job without placements may start one task regardless of the budget.
func (b *agingBudget) reserve(job *jobs.Job) int {
	n := b.remaining.MaxCopies(job.Spec.TaskResources())
	if b.urgency.waitedSeconds(job) >= agingDeadlineSeconds {
		n = math.MaxInt32
	}
	if len(job.Placements) == 0 {
		n = max(n, 1)
	}
	n = len(job.UnstartedTasks(min(max(0, n), job.Queue.Len())))
	b.remaining = b.remaining.Sub(job.Spec.TaskResources().Multiply(n))
	return n
}
