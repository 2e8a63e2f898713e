package scheduler

import (
	"cmp"
	"math"
	"slices"

	"badgerbay/internal/jobs"
)

// agedCapacityShare bounds the part of the machines that aged jobs may have before others.
const agedCapacityShare = 0.3

// queueEntry is a place of a job in the queue. A job has two if only some of its tasks fit
// its team's guarantee: those come first. An aged job has one more, for its tasks that
// never ran, before all work below PriorityHigh.
type queueEntry struct {
	job        *jobs.Job
	guaranteed bool
	aged       bool
}

// priorityRank orders entries by priority, the highest first; aged work stands between
// PriorityHigh and what is below.
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

// buildQueue sorts the jobs: by priority, then work within a team's guarantee first, then
// by arrival.
func buildQueue(queued []*jobs.Job, quotas *quotaTracker, u *urgency) []queueEntry {
	var queue []queueEntry
	for _, job := range queued {
		if job.Spec.Gang {
			// A gang has one entry: it starts whole.
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

// agingBudget bounds what aged jobs may start before others.
type agingBudget struct {
	urgency *urgency
	left    jobs.Resources
}

// newAgingBudget leaves to aged jobs their share of the machines, less what they hold.
func newAgingBudget(machines *machinePool, placed []*jobs.Job, u *urgency) *agingBudget {
	b := &agingBudget{urgency: u}
	for _, m := range machines.up {
		b.left = b.left.Add(m.machineType.Capacity.Scale(agedCapacityShare))
	}
	for _, job := range placed {
		if u.isAged(job) {
			b.left = b.left.Sub(job.Spec.TaskResources().Multiply(len(job.Placements)))
		}
	}
	return b
}

// take returns how many tasks an aged job may start before others, and takes them out of
// the budget. A job of which nothing runs may start one in any case.
func (b *agingBudget) take(job *jobs.Job) int {
	n := b.left.MaxCopies(job.Spec.TaskResources())
	if b.urgency.waitedSeconds(job) >= agingDeadlineSeconds {
		n = math.MaxInt32
	}
	if len(job.Placements) == 0 {
		n = max(n, 1)
	}
	n = len(job.UnstartedTasks(min(max(0, n), job.Queue.Len())))
	b.left = b.left.Sub(job.Spec.TaskResources().Multiply(n))
	return n
}
