package round

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// turn is a job's place in the order. A job has two turns if only some of its
// tasks fit its team's guarantee: those come first. One that has waited long
// has a turn for the tasks that never ran before all work below High.
type turn struct {
	job        *checkpoint.Job
	guaranteed bool
	first      bool
}

// rank orders turns by priority, the highest first.
func (t turn) rank() int {
	if t.first {
		return 2*int(checkpoint.PriorityHigh) - 1
	}
	return 2 * int(t.job.Spec.Priority)
}

const (
	// neglected, in seconds: what has waited so long and has not begun goes
	// before others, so that nothing waits for ever behind what goes first.
	neglected = 140
	// neglectedPart bounds the part of the machines that such work may have.
	neglectedPart = 0.3
	// reservedPart: of what a machine could hold of an old job's tasks, one in
	// so many is counted on when it is reserved.
	reservedPart = 2
	// overdue, in seconds: what has waited so long goes before others with all
	// its tasks that never ran, whatever part of the machines that takes.
	overdue = 180
)

// isOld tells whether the job may have been neglected.
func (p *planner) isOld(j *checkpoint.Job) bool {
	return j.Spec.Priority < checkpoint.PriorityHigh && !j.Spec.Gang && !j.Spec.Service &&
		p.waited(j) >= neglected
}

// forNeglected is how much old jobs may have beyond what they hold. What nothing
// runs of has one task all the same.
func (p *planner) forNeglected() checkpoint.Resources {
	var room checkpoint.Resources
	for _, b := range p.bins {
		room = room.Add(b.typ.Capacity.Scale(neglectedPart))
	}
	for _, j := range p.w.All {
		if p.isOld(j) {
			room = room.Sub(j.Spec.TaskResources().Multiply(len(j.Placements)))
		}
	}
	return room
}

// order sorts the jobs: by priority, then work within a team's guarantee
// first, then arrival.
func (p *planner) order() {
	for _, j := range p.w.Jobs {
		if j.Spec.Gang {
			// A gang has one turn: it comes whole.
			p.queue = append(p.queue, turn{job: j, guaranteed: p.guaranteed(j) >= j.Queue.Len() && p.withinGuarantee(j)})
			continue
		}
		p.queue = append(p.queue, turn{job: j})
		if p.isOld(j) && len(j.UnstartedTasks(1)) > 0 {
			p.queue = append(p.queue, turn{job: j, first: true})
		}
		if p.withinGuarantee(j) {
			p.queue = append(p.queue, turn{job: j, guaranteed: true})
		}
	}
	sort.SliceStable(p.queue, func(a, b int) bool {
		x, y := p.queue[a], p.queue[b]
		switch {
		case x.rank() != y.rank():
			return x.rank() > y.rank()
		case x.guaranteed != y.guaranteed:
			return x.guaranteed
		case x.job.AcceptedAtMs != y.job.AcceptedAtMs:
			return x.job.AcceptedAtMs < y.job.AcceptedAtMs
		}
		return x.job.ID < y.job.ID
	})
}

// guaranteed tells how many more tasks of the job its team's guarantee covers.
func (p *planner) guaranteed(j *checkpoint.Job) int {
	t, used := p.w.Teams[j.Spec.Team], p.usage[j.Spec.Team]
	n := int((t.CPUGuarantee - used.CPUs + 1e-6) / j.Spec.CPUs)
	if j.Spec.GPUs > 0 {
		n = min(n, int((t.GPUGuarantee-used.GPUs+1e-6)/j.Spec.GPUs))
	}
	return max(0, n)
}

// withinGuarantee tells whether one more task of the job keeps its team within
// its guarantee.
func (p *planner) withinGuarantee(j *checkpoint.Job) bool {
	t := p.w.Teams[j.Spec.Team]
	after := p.usage[j.Spec.Team].Add(j.Spec.TaskResources())
	return t.CPUGuarantee > 0 && after.CPUs <= t.CPUGuarantee+1e-6 && (after.GPUs == 0 || after.GPUs <= t.GPUGuarantee+1e-6)
}

// quota tells how many more tasks of the job its team's limit allows: as many as
// reservations cover, and what is left of the limit by what is used and by what is
// held for others.
func (p *planner) quota(j *checkpoint.Job) int {
	used := p.usage[j.Spec.Team]
	n := p.withinLimit(j, used)
	if held, ok := p.held[j.Spec.Team]; ok {
		n = min(n, p.covered(j)+p.withinLimit(j, used.Add(held)))
	}
	return n
}

// covered is how many more tasks of the job reservations cover.
func (p *planner) covered(j *checkpoint.Job) int {
	n, known := p.slots[j]
	if !known && p.w.Covers != nil {
		n = max(0, p.w.Covers(j)-len(j.Placements))
		p.slots[j] = n
	}
	return n
}

// cover takes n tasks of the job out of what is held, as far as reservations cover
// them: they are used from now on.
func (p *planner) cover(j *checkpoint.Job, n int) {
	held, ok := p.held[j.Spec.Team]
	if !ok {
		return
	}
	n = min(n, p.covered(j))
	p.slots[j] -= n
	p.held[j.Spec.Team] = held.Sub(j.Spec.TaskResources().Multiply(n)).Max(checkpoint.Resources{})
}

// noteBlocked notes what of n tasks of the job finds no room because it is held.
func (p *planner) noteBlocked(j *checkpoint.Job, n int) {
	if _, ok := p.held[j.Spec.Team]; !ok || p.blocked[j] {
		return
	}
	p.blocked[j] = true
	if n = min(n, p.withinLimit(j, p.usage[j.Spec.Team])) - p.quota(j); n > 0 {
		p.plan.Blocked[j.Spec.Team] = p.plan.Blocked[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(n))
	}
}

// withinLimit tells how many more tasks of the job its team's limit allows beside
// what is used.
func (p *planner) withinLimit(j *checkpoint.Job, used checkpoint.Resources) int {
	t := p.w.Teams[j.Spec.Team]
	n := math.MaxInt32
	if t.CPULimit > 0 && j.Spec.CPUs > 0 {
		n = min(n, int((t.CPULimit-used.CPUs+1e-6)/j.Spec.CPUs))
	}
	if t.GPULimit > 0 && j.Spec.GPUs > 0 {
		n = min(n, int((t.GPULimit-used.GPUs+1e-6)/j.Spec.GPUs))
	}
	return max(0, n)
}

// reserve keeps machines for n tasks of an old job that found no room: what
// becomes free there goes to nobody after it. Smaller tasks filled every hole
// as it opened, and larger ones waited behind them for ever.
func (p *planner) reserve(j *checkpoint.Job, n int) {
	var held []*bin
	for _, b := range p.bins {
		if p.allowed(j, b) && p.mayUse(j, b) && b.typ.Capacity.Fits(j.Spec.TaskResources()) && p.zoneRoom(j, b.zone) > 0 {
			held = append(held, b)
		}
	}
	// Those that need the least to be given back first.
	slices.SortStableFunc(held, func(x, y *bin) int { return cmp.Compare(y.free.CPUs, x.free.CPUs) })
	most := int(neglectedPart * float64(len(p.bins)))
	for i, b := range held {
		if n <= 0 || i == most {
			return
		}
		n -= max(1, b.typ.Capacity.MaxCopies(j.Spec.TaskResources())/reservedPart)
		b.free = checkpoint.Resources{}
	}
}

// firstTasks is how many tasks an old job may start before others.
func (p *planner) firstTasks(j *checkpoint.Job) int {
	n := p.spareForOld.MaxCopies(j.Spec.TaskResources())
	if p.waited(j) >= overdue {
		n = math.MaxInt32
	}
	if len(j.Placements) == 0 {
		n = max(n, 1)
	}
	n = len(j.UnstartedTasks(min(max(0, n), j.Queue.Len())))
	p.spareForOld = p.spareForOld.Sub(j.Spec.TaskResources().Multiply(n))
	return n
}

// claim lists n queued tasks of the job that the plan has not dealt with yet,
// or only such as never ran.
func (p *planner) claim(j *checkpoint.Job, n int, fresh bool) []unit.TaskIndex {
	var out []unit.TaskIndex
	claimed := p.claimed[j]
	if fresh {
		out = j.UnstartedTasks(n)
	} else {
		j.Queue.Each(func(i unit.TaskIndex) bool {
			if !claimed.Contains(i) {
				out = append(out, i)
			}
			return len(out) < n
		})
	}
	for _, i := range out {
		claimed.Add(i)
	}
	p.claimed[j] = claimed
	return out
}
