package round

import (
	"container/heap"
	"sort"

	"badgerbay/internal/checkpoint"
)

func (p *planner) mayPreempt(j *checkpoint.Job) bool {
	if j.Spec.Priority >= checkpoint.High || p.patience(j) < 2*urgentBelow {
		return true
	}
	return p.w.Now.Sub(j.QueuedAt) >= p.w.Policy.PreemptAfter
}

// spot is where room for one task can be made, and what that costs.
type spot struct {
	b     *bin
	stops []*checkpoint.Placement
	cost  float64
}

// makeRoom makes room for up to n tasks of the job where that costs least
// work, by stopping what is in their way, and returns for how many it did. Room
// that is already being made, or is left there, is kept for the job. With
// holders only machines that hold the image count.
func (p *planner) makeRoom(j *checkpoint.Job, n int, holders bool) int {
	if n <= 0 {
		return 0
	}
	spots := &spots{}
	borrowed := p.mayTakeBack(j)
	p.plan.Work += len(p.bins)
	for _, b := range p.bins {
		// On a dear machine that the job may not use, what is free was promised to
		// it in each plan, never used, and kept from those that could.
		if !b.yields(j, borrowed) || !p.allowed(j, b) || !p.mayUse(j, b) || p.zoneRoom(j, b.zone) == 0 || holders && !b.m.HasImage(j.Spec.Image) {
			continue
		}
		if s, ok := p.spotAt(j, b); ok {
			*spots = append(*spots, s)
		}
	}
	heap.Init(spots)
	made := 0
	for made < n && spots.Len() > 0 {
		// What was decided since may have changed what this one costs.
		s, ok := p.spotAt(j, (*spots)[0].b)
		switch {
		case !ok || p.zoneRoom(j, s.b.zone) == 0:
			heap.Pop(spots)
		case s.cost > (*spots)[0].cost:
			(*spots)[0] = s
			heap.Fix(spots, 0)
		default:
			p.stop(j, s)
			made++
		}
	}
	return made
}

// yields tells whether the bin can hold a task of the job at all after stops.
func (b *bin) yields(j *checkpoint.Job, borrowed bool) bool {
	l := b.m.Load()
	return borrowed || l.Halting > 0 || l.Below(j.Spec.Priority) > 0 || b.free.Plus(b.later).Fits(j.Spec.Need())
}

// mayTakeBack tells whether work of any priority may be stopped for the job:
// its team is within its guarantee, and another beyond its own.
func (p *planner) mayTakeBack(j *checkpoint.Job) bool {
	if !p.guards || !p.withinGuarantee(j) {
		return false
	}
	for name, t := range p.w.Teams {
		if name != j.Spec.Team && p.usage[name].Minus(p.giving[name]).CPUs > t.CPUs {
			return true
		}
	}
	return false
}

func (p *planner) spotAt(j *checkpoint.Job, b *bin) (spot, bool) {
	stops, cost, ok := p.victims(j, b)
	if !b.m.HasImage(j.Spec.Image) {
		cost += 1 + j.Spec.ImageGB*4
	}
	return spot{b, stops, cost}, ok
}

func (p *planner) stop(j *checkpoint.Job, s spot) {
	for _, v := range s.stops {
		p.taken[v] = true
		s.b.later = s.b.later.Plus(v.Job.Spec.Need())
		if !v.Halting {
			p.plan.Stops = append(p.plan.Stops, Stop{v, j.ID})
			p.giving[v.Job.Spec.Team] = p.giving[v.Job.Spec.Team].Plus(v.Job.Spec.Need())
		}
	}
	s.b.promise(j.Spec.Need())
	p.count(j, s.b, 1)
}

// spots is a heap, the cheapest first.
type spots []spot

func (s spots) Len() int           { return len(s) }
func (s spots) Less(a, b int) bool { return s[a].cost < s[b].cost }
func (s spots) Swap(a, b int)      { s[a], s[b] = s[b], s[a] }
func (s *spots) Push(x any)        { *s = append(*s, x.(spot)) }
func (s *spots) Pop() any          { o := *s; x := o[len(o)-1]; *s = o[:len(o)-1]; return x }

// victims returns what must stop on the bin's machine to fit one task of the
// job, and what it costs in CPU seconds of lost work.
func (p *planner) victims(j *checkpoint.Job, b *bin) ([]*checkpoint.Placement, float64, bool) {
	need := j.Spec.Need()
	if !b.typ.Capacity.Fits(need) {
		return nil, 0, false
	}
	free, cost := b.free.Plus(b.later), 0.0
	var out []*checkpoint.Placement
	for _, v := range p.candidates(j, b) {
		if free.Fits(need) {
			break
		}
		out = append(out, v)
		free = free.Plus(v.Job.Spec.Need())
		cost += p.lost(v)
	}
	return out, cost, free.Fits(need)
}

// candidates lists what may be stopped for the job: first what is stopping
// already, then the lowest priority, then what loses least.
func (p *planner) candidates(j *checkpoint.Job, b *bin) []*checkpoint.Placement {
	var out []*checkpoint.Placement
	p.plan.Work += b.m.Load().Tasks
	for _, v := range b.running() {
		// A gang that loses a task ends whole: none of its tasks is stopped to make
		// room for one.
		if !p.taken[v] && (v.Halting || !v.Job.Spec.Gang && p.mayStop(j, v)) {
			out = append(out, v)
		}
	}
	sort.SliceStable(out, func(a, c int) bool {
		x, y := out[a], out[c]
		if x.Halting != y.Halting {
			return x.Halting
		}
		if x.Job.Spec.Priority != y.Job.Spec.Priority {
			return x.Job.Spec.Priority < y.Job.Spec.Priority
		}
		return p.lost(x) < p.lost(y)
	})
	return out
}

func (p *planner) mayStop(j *checkpoint.Job, v *checkpoint.Placement) bool {
	if j.Spec.Priority < checkpoint.High && p.mustRun(v) {
		return false
	}
	if v.Job.Spec.Priority < j.Spec.Priority {
		return true
	}
	// Work beyond another team's guarantee must yield whatever its priority;
	// but stopping what would go before the job again is of no use to anybody.
	if v.Job.Spec.Team == j.Spec.Team || v.Job.Spec.Priority > j.Spec.Priority || !p.withinGuarantee(j) {
		return false
	}
	t := p.w.Teams[v.Job.Spec.Team]
	// Stopping it must leave its team no less than its guarantee.
	left := p.usage[v.Job.Spec.Team].Minus(p.giving[v.Job.Spec.Team]).Minus(v.Job.Spec.Need())
	return left.CPUs >= t.CPUs-1e-6
}

// mustRun tells whether the placement belongs to a job that waited long for it,
// and has not run for long enough to count as started, or has run longest of a
// job with nothing done, and is let run to its end.
func (p *planner) mustRun(v *checkpoint.Placement) bool {
	j := v.Job
	if !p.isOld(j) {
		return false
	}
	fresh := !j.Ran.Has(v.Task) && (v.State != checkpoint.Running || p.w.Now.Sub(v.Ran) < checkpoint.Counts)
	return fresh || len(j.Done) == 0 && p.eldest(j) == v
}

// eldest is the placement of the job that has run longest.
func (p *planner) eldest(j *checkpoint.Job) *checkpoint.Placement {
	if v, ok := p.elders[j]; ok {
		return v
	}
	var out *checkpoint.Placement
	for _, v := range j.Live {
		if out == nil || elder(v, out) {
			out = v
		}
	}
	p.elders[j] = out
	return out
}

// elder tells whether one placement of a job has run longer than another.
func elder(v, w *checkpoint.Placement) bool {
	switch {
	case (v.Ran == 0) != (w.Ran == 0):
		return v.Ran != 0
	case v.Ran != w.Ran:
		return v.Ran < w.Ran
	}
	return v.Task < w.Task
}

// lost is the work, in CPU seconds, that stopping a placement throws away.
func (p *planner) lost(v *checkpoint.Placement) float64 {
	if v.Halting {
		return 0
	}
	s := &v.Job.Spec
	if v.State != checkpoint.Running {
		return 0.5 * s.CPUs
	}
	if s.CheckpointS > 0 {
		return (1 + s.SaveS) * s.CPUs
	}
	return (1 + p.w.Now.Sub(v.Ran).Seconds()) * s.CPUs
}
