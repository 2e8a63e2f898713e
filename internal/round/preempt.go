package round

import (
	"container/heap"
	"sort"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

func (p *planner) mayPreempt(j *checkpoint.Job) bool {
	if j.Spec.Priority >= checkpoint.PriorityHigh || p.slack(j) < 2*urgentBelow {
		return true
	}
	return p.w.Now.Sub(j.QueuedSince) >= p.w.Policy.PreemptionDelay
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
	spots := p.spotsFor(j, holders)
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
			made++
			if p.stop(j, s) {
				// A gang was stopped: it makes room on other machines too.
				spots = p.spotsFor(j, holders)
			}
		}
	}
	return made
}

// spotsFor lists where room for one task of the job can be made.
func (p *planner) spotsFor(j *checkpoint.Job, holders bool) *spots {
	out := &spots{}
	borrowed := p.mayTakeBack(j)
	p.plan.Work += len(p.bins)
	for _, b := range p.bins {
		// On a dear machine that the job may not use, what is free was promised to
		// it in each plan, never used, and kept from those that could.
		if !b.yields(j, borrowed) || !p.allowed(j, b) || !p.mayUse(j, b) || p.zoneRoom(j, b.zone) == 0 || holders && !b.m.HasImage(j.Spec.Image) {
			continue
		}
		if s, ok := p.spotAt(j, b); ok {
			*out = append(*out, s)
		}
	}
	heap.Init(out)
	return out
}

// yields tells whether the bin can hold a task of the job at all after stops.
func (b *bin) yields(j *checkpoint.Job, borrowed bool) bool {
	l := b.m.Load()
	return borrowed || l.Stopping > 0 || l.TasksBelow(j.Spec.Priority) > 0 || b.free.Add(b.later).Fits(j.Spec.TaskResources())
}

// mayTakeBack tells whether work of any priority may be stopped for the job:
// its team is within its guarantee, and another beyond its own.
func (p *planner) mayTakeBack(j *checkpoint.Job) bool {
	if !p.guards || !p.withinGuarantee(j) {
		return false
	}
	for name, t := range p.w.Teams {
		if name != j.Spec.Team && p.usage[name].Sub(p.giving[name]).CPUs > t.CPUGuarantee {
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

// stop stops what is in the way at a spot, gangs whole, and promises the room to a
// task of the job. It tells whether a gang was stopped.
func (p *planner) stop(j *checkpoint.Job, s spot) bool {
	wide := false
	for _, v := range s.stops {
		if !v.Job.Spec.Gang || v.Stopping {
			p.stopOne(j, v)
			continue
		}
		for _, member := range v.Job.Placements {
			if !p.taken[member] {
				p.stopOne(j, member)
				wide = true
			}
		}
	}
	s.b.promise(j.Spec.TaskResources())
	p.count(j, s.b, 1)
	return wide
}

// stopOne stops one placement. The room that it leaves is nobody's yet.
func (p *planner) stopOne(j *checkpoint.Job, v *checkpoint.Placement) {
	p.taken[v] = true
	if b := p.binOf(v.Machine); b != nil {
		b.later = b.later.Add(v.Job.Spec.TaskResources())
	}
	if !v.Stopping {
		p.plan.Stops = append(p.plan.Stops, Stop{v, j.ID})
		p.giving[v.Job.Spec.Team] = p.giving[v.Job.Spec.Team].Add(v.Job.Spec.TaskResources())
	}
}

// binOf returns the bin of a machine, or nil if the plan does not use it.
func (p *planner) binOf(id unit.MachineID) *bin {
	if p.byMachine == nil {
		p.byMachine = make(map[unit.MachineID]*bin, len(p.bins))
		for _, b := range p.bins {
			p.byMachine[b.m.ID] = b
		}
	}
	return p.byMachine[id]
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
	need := j.Spec.TaskResources()
	if !b.typ.Capacity.Fits(need) {
		return nil, 0, false
	}
	free, cost := b.free.Add(b.later), 0.0
	var out []*checkpoint.Placement
	var lastGang *checkpoint.Job
	for _, v := range p.candidates(j, b) {
		if free.Fits(need) {
			break
		}
		out = append(out, v)
		free = free.Add(v.Job.Spec.TaskResources())
		if v.Job != lastGang || v.Stopping {
			cost += p.lost(v)
		}
		if v.Job.Spec.Gang && !v.Stopping {
			lastGang = v.Job // it is lost whole, and counted once
		}
	}
	return out, cost, free.Fits(need)
}

// candidates lists what may be stopped for the job: first what is stopping
// already, then the lowest priority, then what loses least.
func (p *planner) candidates(j *checkpoint.Job, b *bin) []*checkpoint.Placement {
	var out []*checkpoint.Placement
	p.plan.Work += b.m.Load().Tasks
	for _, v := range b.running() {
		if !p.taken[v] && (v.Stopping || p.mayStop(j, v)) {
			out = append(out, v)
		}
	}
	sort.SliceStable(out, func(a, c int) bool {
		x, y := out[a], out[c]
		if x.Stopping != y.Stopping {
			return x.Stopping
		}
		if x.Job.Spec.Priority != y.Job.Spec.Priority {
			return x.Job.Spec.Priority < y.Job.Spec.Priority
		}
		if x.Job.Spec.Gang && x.Job != y.Job && p.lost(x) == p.lost(y) {
			return x.Job.ID < y.Job.ID // so that those of one gang stay together
		}
		return p.lost(x) < p.lost(y)
	})
	return out
}

// together is how many tasks end if the placement is stopped: a gang ends whole.
func together(v *checkpoint.Placement) int {
	if v.Job.Spec.Gang {
		return len(v.Job.Placements)
	}
	return 1
}

func (p *planner) mayStop(j *checkpoint.Job, v *checkpoint.Placement) bool {
	if j.Spec.Priority < checkpoint.PriorityHigh && p.mustRun(v) {
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
	left := p.usage[v.Job.Spec.Team].Sub(p.giving[v.Job.Spec.Team]).Sub(v.Job.Spec.TaskResources().Multiply(together(v)))
	return left.CPUs >= t.CPUGuarantee-1e-6
}

// mustRun tells whether the placement belongs to a job that waited long for it,
// and has not run for long enough to count as started, or has run longest of a
// job with nothing done, and is let run to its end.
func (p *planner) mustRun(v *checkpoint.Placement) bool {
	j := v.Job
	if !p.isOld(j) {
		return false
	}
	fresh := !j.StartedTasks.Contains(v.Task) && (v.State != checkpoint.PlacementRunning || p.w.Now.Sub(v.RunningSince) < checkpoint.MinCountedRunTime)
	return fresh || len(j.Done) == 0 && p.eldest(j) == v
}

// eldest is the placement of the job that has run longest.
func (p *planner) eldest(j *checkpoint.Job) *checkpoint.Placement {
	if v, ok := p.elders[j]; ok {
		return v
	}
	var out *checkpoint.Placement
	for _, v := range j.Placements {
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
	case (v.RunningSince == 0) != (w.RunningSince == 0):
		return v.RunningSince != 0
	case v.RunningSince != w.RunningSince:
		return v.RunningSince < w.RunningSince
	}
	return v.Task < w.Task
}

// lost is the work, in CPU seconds, that stopping a placement throws away, with
// that of its whole gang.
func (p *planner) lost(v *checkpoint.Placement) float64 {
	if v.Stopping {
		return 0
	}
	s := &v.Job.Spec
	cpus := s.CPUs * float64(together(v))
	if s.Gang {
		return (gangRestart + p.lostByEach(v)) * cpus
	}
	return p.lostByEach(v) * cpus
}

// gangRestart is what it costs a gang, in seconds of all its tasks, to be placed
// anew: room for all of it at once must be found. Without it replicas of one CPU
// stopped gangs that had just begun, rather than a task of an array.
const gangRestart = 60

// lostByEach is the work, in seconds, that a task loses which is stopped.
func (p *planner) lostByEach(v *checkpoint.Placement) float64 {
	s := &v.Job.Spec
	switch {
	case v.State != checkpoint.PlacementRunning:
		return 0.5
	case s.CheckpointIntervalSeconds > 0 && s.Gang && !p.hears(v.Job):
		// Not all of its tasks can be told in time, so it can't save: what it did
		// since its last checkpoint is lost.
		return 1 + min(s.CheckpointIntervalSeconds, p.w.Now.Sub(v.RunningSince).Seconds())
	case s.CheckpointIntervalSeconds > 0:
		return 1 + s.CheckpointSeconds
	}
	return 1 + p.w.Now.Sub(v.RunningSince).Seconds()
}

// hears tells whether all machines of a gang report, so that its tasks can be told
// to stop at about the same time.
func (p *planner) hears(j *checkpoint.Job) bool {
	for _, v := range j.Placements {
		m := p.w.Fleet.Machine(v.Machine)
		if m == nil || !m.Up || p.w.Fleet.HeartbeatOverdue(p.w.Now, m) {
			return false
		}
	}
	return true
}
