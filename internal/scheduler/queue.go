package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// queueEntry is a job's place in the order. A job has two turns if only some of its
// tasks fit its team's guarantee: those come first. One that has waited long
// has a turn for the tasks that never ran before all work below High.
type queueEntry struct {
	job        *jobs.Job
	guaranteed bool
	aged       bool
}

// priorityRank orders turns by priority, the highest first.
func (t queueEntry) priorityRank() int {
	if t.aged {
		return 2*int(jobs.PriorityHigh) - 1
	}
	return 2 * int(t.job.Spec.Priority)
}

const (
	// agingThresholdSeconds, in seconds: what has waited so long and has not begun goes
	// before others, so that nothing waits for ever behind what goes first.
	agingThresholdSeconds = 140
	// agedCapacityShare bounds the part of the machines that such work may have.
	agedCapacityShare = 0.3
	// reservedTaskDivisor: of what a machine could hold of an old job's tasks, one in
	// so many is counted on when it is reserved.
	reservedTaskDivisor = 2
	// agingDeadlineSeconds, in seconds: what has waited so long goes before others with all
	// its tasks that never ran, whatever part of the machines that takes.
	agingDeadlineSeconds = 180
)

// isAged tells whether the job may have been neglected.
func (p *planner) isAged(j *jobs.Job) bool {
	return j.Spec.Priority < jobs.PriorityHigh && !j.Spec.Gang && !j.Spec.Service &&
		p.waitedSeconds(j) >= agingThresholdSeconds
}

// agedCapacity is how much old jobs may have beyond what they hold. What nothing
// runs of has one task all the same.
func (p *planner) agedCapacity() jobs.Resources {
	var room jobs.Resources
	for _, b := range p.machines {
		room = room.Add(b.machineType.Capacity.Scale(agedCapacityShare))
	}
	for _, j := range p.snapshot.PlacedJobs {
		if p.isAged(j) {
			room = room.Sub(j.Spec.TaskResources().Multiply(len(j.Placements)))
		}
	}
	return room
}

// buildQueue sorts the jobs: by priority, then work within a team's guarantee
// first, then arrival.
func (p *planner) buildQueue() {
	for _, j := range p.snapshot.QueuedJobs {
		if j.Spec.Gang {
			// A gang has one turn: it comes whole.
			p.queue = append(p.queue, queueEntry{job: j, guaranteed: p.tasksWithinGuarantee(j) >= j.Queue.Len() && p.withinGuarantee(j)})
			continue
		}
		p.queue = append(p.queue, queueEntry{job: j})
		if p.isAged(j) && len(j.UnstartedTasks(1)) > 0 {
			p.queue = append(p.queue, queueEntry{job: j, aged: true})
		}
		if p.withinGuarantee(j) {
			p.queue = append(p.queue, queueEntry{job: j, guaranteed: true})
		}
	}
	sort.SliceStable(p.queue, func(a, b int) bool {
		x, y := p.queue[a], p.queue[b]
		switch {
		case x.priorityRank() != y.priorityRank():
			return x.priorityRank() > y.priorityRank()
		case x.guaranteed != y.guaranteed:
			return x.guaranteed
		case x.job.AcceptedAtMs != y.job.AcceptedAtMs:
			return x.job.AcceptedAtMs < y.job.AcceptedAtMs
		}
		return x.job.ID < y.job.ID
	})
}

// tasksWithinGuarantee tells how many more tasks of the job its team's guarantee covers.
func (p *planner) tasksWithinGuarantee(j *jobs.Job) int {
	t, used := p.snapshot.Teams[j.Spec.Team], p.usage[j.Spec.Team]
	n := int((t.CPUGuarantee - used.CPUs + 1e-6) / j.Spec.CPUs)
	if j.Spec.GPUs > 0 {
		n = min(n, int((t.GPUGuarantee-used.GPUs+1e-6)/j.Spec.GPUs))
	}
	return max(0, n)
}

// withinGuarantee tells whether one more task of the job keeps its team within
// its guarantee.
func (p *planner) withinGuarantee(j *jobs.Job) bool {
	t := p.snapshot.Teams[j.Spec.Team]
	after := p.usage[j.Spec.Team].Add(j.Spec.TaskResources())
	return t.CPUGuarantee > 0 && after.CPUs <= t.CPUGuarantee+1e-6 && (after.GPUs == 0 || after.GPUs <= t.GPUGuarantee+1e-6)
}

// tasksWithinQuota tells how many more tasks of the job its team's limit allows: as many as
// reservations cover, and what is left of the limit by what is used and by what is
// held for others.
func (p *planner) tasksWithinQuota(j *jobs.Job) int {
	used := p.usage[j.Spec.Team]
	n := p.tasksWithinLimit(j, used)
	if held, ok := p.reserved[j.Spec.Team]; ok {
		n = min(n, p.unusedReservedTasks(j)+p.tasksWithinLimit(j, used.Add(held)))
	}
	return n
}

// unusedReservedTasks is how many more tasks of the job reservations cover.
func (p *planner) unusedReservedTasks(j *jobs.Job) int {
	n, known := p.reservedTasks[j]
	if !known && p.snapshot.ReservedTasks != nil {
		n = max(0, p.snapshot.ReservedTasks(j)-len(j.Placements))
		p.reservedTasks[j] = n
	}
	return n
}

// useReservation takes n tasks of the job out of what is held, as far as reservations cover
// them: they are used from now on.
func (p *planner) useReservation(j *jobs.Job, n int) {
	held, ok := p.reserved[j.Spec.Team]
	if !ok {
		return
	}
	n = min(n, p.unusedReservedTasks(j))
	p.reservedTasks[j] -= n
	p.reserved[j.Spec.Team] = held.Sub(j.Spec.TaskResources().Multiply(n)).Max(jobs.Resources{})
}

// recordReservationBlocked notes what of n tasks of the job finds no room because it is held.
func (p *planner) recordReservationBlocked(j *jobs.Job, n int) {
	if _, ok := p.reserved[j.Spec.Team]; !ok || p.reservationChecked[j] {
		return
	}
	p.reservationChecked[j] = true
	if n = min(n, p.tasksWithinLimit(j, p.usage[j.Spec.Team])) - p.tasksWithinQuota(j); n > 0 {
		p.plan.ReservationBlocked[j.Spec.Team] = p.plan.ReservationBlocked[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(n))
	}
}

// tasksWithinLimit tells how many more tasks of the job its team's limit allows beside
// what is used.
func (p *planner) tasksWithinLimit(j *jobs.Job, used jobs.Resources) int {
	t := p.snapshot.Teams[j.Spec.Team]
	n := math.MaxInt32
	if t.CPULimit > 0 && j.Spec.CPUs > 0 {
		n = min(n, int((t.CPULimit-used.CPUs+1e-6)/j.Spec.CPUs))
	}
	if t.GPULimit > 0 && j.Spec.GPUs > 0 {
		n = min(n, int((t.GPULimit-used.GPUs+1e-6)/j.Spec.GPUs))
	}
	return max(0, n)
}

// reserveMachines keeps machines for n tasks of an old job that found no room: what
// becomes free there goes to nobody after it. Smaller tasks filled every hole
// as it opened, and larger ones waited behind them for ever.
func (p *planner) reserveMachines(j *jobs.Job, n int) {
	var held []*candidateMachine
	for _, b := range p.machines {
		if p.allows(j, b) && p.mayUseMachine(j, b) && b.machineType.Capacity.Fits(j.Spec.TaskResources()) && p.zoneRoom(j, b.zone) > 0 {
			held = append(held, b)
		}
	}
	// Those that need the least to be given back first.
	slices.SortStableFunc(held, func(x, y *candidateMachine) int { return cmp.Compare(y.free.CPUs, x.free.CPUs) })
	most := int(agedCapacityShare * float64(len(p.machines)))
	for i, b := range held {
		if n <= 0 || i == most {
			return
		}
		n -= max(1, b.machineType.Capacity.MaxCopies(j.Spec.TaskResources())/reservedTaskDivisor)
		b.free = jobs.Resources{}
	}
}

// agedTasks is how many tasks an old job may start before others.
func (p *planner) agedTasks(j *jobs.Job) int {
	n := p.agedBudget.MaxCopies(j.Spec.TaskResources())
	if p.waitedSeconds(j) >= agingDeadlineSeconds {
		n = math.MaxInt32
	}
	if len(j.Placements) == 0 {
		n = max(n, 1)
	}
	n = len(j.UnstartedTasks(min(max(0, n), j.Queue.Len())))
	p.agedBudget = p.agedBudget.Sub(j.Spec.TaskResources().Multiply(n))
	return n
}

// claimTasks lists n queued tasks of the job that the plan has not dealt with yet,
// or only such as never ran.
func (p *planner) claimTasks(j *jobs.Job, n int, fresh bool) []ident.TaskIndex {
	var out []ident.TaskIndex
	claimed := p.claimedTasks[j]
	if fresh {
		out = j.UnstartedTasks(n)
	} else {
		j.Queue.Each(func(i ident.TaskIndex) bool {
			if !claimed.Contains(i) {
				out = append(out, i)
			}
			return len(out) < n
		})
	}
	for _, i := range out {
		claimed.Add(i)
	}
	p.claimedTasks[j] = claimed
	return out
}
