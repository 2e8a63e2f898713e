package scheduler

import (
	"container/heap"
	"maps"
	"slices"
	"sort"

	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

func (p *planner) mayPreempt(j *jobs.Job) bool {
	if j.Spec.Priority >= jobs.PriorityHigh || p.slackSeconds(j) < 2*urgentSlackSeconds {
		return true
	}
	return p.snapshot.Now.Sub(j.QueuedSince) >= p.snapshot.Policy.PreemptionDelay
}

// preemptionSite is where room for one task can be made, and what that costs.
type preemptionSite struct {
	machine *candidateMachine
	victims []*jobs.Placement
	cost    float64
}

// preempt makes room for up to n tasks of the job where that costs least
// work, by stopping what is in their way, and returns for how many it did. Room
// that is already being made, or is left there, is kept for the job. With
// holders only machines that hold the image count.
func (p *planner) preempt(j *jobs.Job, n int, holders bool) int {
	if n <= 0 {
		return 0
	}
	spots := p.preemptionSites(j, holders)
	made := 0
	for made < n && spots.Len() > 0 {
		// What was decided since may have changed what this one costs.
		s, ok := p.preemptionSiteAt(j, (*spots)[0].machine)
		switch {
		case !ok || p.zoneRoom(j, s.machine.zone) == 0:
			heap.Pop(spots)
		case s.cost > (*spots)[0].cost:
			(*spots)[0] = s
			heap.Fix(spots, 0)
		default:
			made++
			if p.evict(j, s) {
				// A gang was stopped: it makes room on other machines too.
				spots = p.preemptionSites(j, holders)
			}
		}
	}
	return made
}

// preemptionSites lists where room for one task of the job can be made.
func (p *planner) preemptionSites(j *jobs.Job, holders bool) *siteHeap {
	out := &siteHeap{}
	borrowed := p.mayReclaimGuarantee(j)
	p.plan.Examined += len(p.machines)
	for _, b := range p.machines {
		// On a dear machine that the job may not use, what is free was promised to
		// it in each plan, never used, and kept from those that could.
		if !b.mayYield(j, borrowed) || !p.allows(j, b) || !p.mayUseMachine(j, b) || p.zoneRoom(j, b.zone) == 0 || holders && !b.machine.HasImage(j.Spec.Image) {
			continue
		}
		if s, ok := p.preemptionSiteAt(j, b); ok {
			*out = append(*out, s)
		}
	}
	heap.Init(out)
	return out
}

// mayYield tells whether the bin can hold a task of the job at all after stops.
func (b *candidateMachine) mayYield(j *jobs.Job, borrowed bool) bool {
	l := b.machine.Load()
	return borrowed || l.Stopping > 0 || l.TasksBelow(j.Spec.Priority) > 0 || b.free.Add(b.freeing).Fits(j.Spec.TaskResources())
}

// mayReclaimGuarantee tells whether work of any priority may be stopped for the job:
// its team is within its guarantee, and another beyond its own.
func (p *planner) mayReclaimGuarantee(j *jobs.Job) bool {
	if !p.hasGuarantees || !p.withinGuarantee(j) {
		return false
	}
	for name, t := range p.snapshot.Teams {
		if name != j.Spec.Team && p.usage[name].Sub(p.evictedUsage[name]).CPUs > t.CPUGuarantee {
			return true
		}
	}
	return false
}

func (p *planner) preemptionSiteAt(j *jobs.Job, b *candidateMachine) (preemptionSite, bool) {
	stops, cost, ok := p.victims(j, b)
	if !b.machine.HasImage(j.Spec.Image) {
		cost += 1 + j.Spec.ImageGB*4
	}
	return preemptionSite{b, stops, cost}, ok
}

// evict stops what is in the way at a spot, gangs whole, and promises the room to a
// task of the job. It tells whether a gang was stopped.
func (p *planner) evict(j *jobs.Job, s preemptionSite) bool {
	wide := false
	for _, v := range s.victims {
		if !v.Job.Spec.Gang || v.Stopping {
			p.evictPlacement(j, v)
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(v.Job.Placements)) {
			if member := v.Job.Placements[i]; !p.evicted[member] {
				p.evictPlacement(j, member)
				wide = true
			}
		}
	}
	s.machine.reserveTask(j.Spec.TaskResources())
	p.countPlaced(j, s.machine, 1)
	return wide
}

// evictPlacement stops one placement. The room that it leaves is nobody's yet.
func (p *planner) evictPlacement(j *jobs.Job, v *jobs.Placement) {
	p.evicted[v] = true
	if b := p.machineByID(v.Machine); b != nil {
		b.freeing = b.freeing.Add(v.Job.Spec.TaskResources())
	}
	if !v.Stopping {
		p.plan.Evictions = append(p.plan.Evictions, Eviction{v, j.ID})
		p.evictedUsage[v.Job.Spec.Team] = p.evictedUsage[v.Job.Spec.Team].Add(v.Job.Spec.TaskResources())
	}
}

// machineByID returns the bin of a machine, or nil if the plan does not use it.
func (p *planner) machineByID(id ident.MachineID) *candidateMachine {
	if p.machinesByID == nil {
		p.machinesByID = make(map[ident.MachineID]*candidateMachine, len(p.machines))
		for _, b := range p.machines {
			p.machinesByID[b.machine.ID] = b
		}
	}
	return p.machinesByID[id]
}

// siteHeap is a heap, the cheapest first.
type siteHeap []preemptionSite

func (s siteHeap) Len() int           { return len(s) }
func (s siteHeap) Less(a, b int) bool { return s[a].cost < s[b].cost }
func (s siteHeap) Swap(a, b int)      { s[a], s[b] = s[b], s[a] }
func (s *siteHeap) Push(x any)        { *s = append(*s, x.(preemptionSite)) }
func (s *siteHeap) Pop() any          { o := *s; x := o[len(o)-1]; *s = o[:len(o)-1]; return x }

// victims returns what must stop on the bin's machine to fit one task of the
// job, and what it costs in CPU seconds of lost work.
func (p *planner) victims(j *jobs.Job, b *candidateMachine) ([]*jobs.Placement, float64, bool) {
	need := j.Spec.TaskResources()
	if !b.machineType.Capacity.Fits(need) {
		return nil, 0, false
	}
	free, cost := b.free.Add(b.freeing), 0.0
	var out []*jobs.Placement
	var lastGang *jobs.Job
	for _, v := range p.preemptionCandidates(j, b) {
		if free.Fits(need) {
			break
		}
		out = append(out, v)
		free = free.Add(v.Job.Spec.TaskResources())
		if v.Job != lastGang || v.Stopping {
			cost += p.lostWork(v)
		}
		if v.Job.Spec.Gang && !v.Stopping {
			lastGang = v.Job // it is lost whole, and counted once
		}
	}
	return out, cost, free.Fits(need)
}

// preemptionCandidates lists what may be stopped for the job: first what is stopping
// already, then the lowest priority, then what loses least.
func (p *planner) preemptionCandidates(j *jobs.Job, b *candidateMachine) []*jobs.Placement {
	var out []*jobs.Placement
	p.plan.Examined += b.machine.Load().Tasks
	for _, v := range b.livePlacements() {
		if !p.evicted[v] && (v.Stopping || p.mayEvict(j, v)) {
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
		if x.Job.Spec.Gang && x.Job != y.Job && p.lostWork(x) == p.lostWork(y) {
			return x.Job.ID < y.Job.ID // so that those of one gang stay together
		}
		return p.lostWork(x) < p.lostWork(y)
	})
	return out
}

// evictionSize is how many tasks end if the placement is stopped: a gang ends whole.
func evictionSize(v *jobs.Placement) int {
	if v.Job.Spec.Gang {
		return len(v.Job.Placements)
	}
	return 1
}

func (p *planner) mayEvict(j *jobs.Job, v *jobs.Placement) bool {
	if j.Spec.Priority < jobs.PriorityHigh && p.isProtected(v) {
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
	t := p.snapshot.Teams[v.Job.Spec.Team]
	// Stopping it must leave its team no less than its guarantee.
	left := p.usage[v.Job.Spec.Team].Sub(p.evictedUsage[v.Job.Spec.Team]).Sub(v.Job.Spec.TaskResources().Multiply(evictionSize(v)))
	return left.CPUs >= t.CPUGuarantee-1e-6
}

// isProtected tells whether the placement belongs to a job that waited long for it,
// and has not run for long enough to count as started, or has run longest of a
// job with nothing done, and is let run to its end.
func (p *planner) isProtected(v *jobs.Placement) bool {
	j := v.Job
	if !p.isAged(j) {
		return false
	}
	fresh := !j.StartedTasks.Contains(v.Task) && (v.State != jobs.PlacementRunning || p.snapshot.Now.Sub(v.RunningSince) < jobs.MinCountedRunTime)
	return fresh || len(j.Done) == 0 && p.oldestPlacement(j) == v
}

// oldestPlacement is the placement of the job that has run longest.
func (p *planner) oldestPlacement(j *jobs.Job) *jobs.Placement {
	if v, ok := p.oldestPlacements[j]; ok {
		return v
	}
	var out *jobs.Placement
	for _, v := range j.Placements {
		if out == nil || ranLonger(v, out) {
			out = v
		}
	}
	p.oldestPlacements[j] = out
	return out
}

// ranLonger tells whether one placement of a job has run longer than another.
func ranLonger(v, w *jobs.Placement) bool {
	switch {
	case (v.RunningSince == 0) != (w.RunningSince == 0):
		return v.RunningSince != 0
	case v.RunningSince != w.RunningSince:
		return v.RunningSince < w.RunningSince
	}
	return v.Task < w.Task
}

// lostWork is the work, in CPU seconds, that stopping a placement throws away, with
// that of its whole gang.
func (p *planner) lostWork(v *jobs.Placement) float64 {
	if v.Stopping {
		return 0
	}
	s := &v.Job.Spec
	cpus := s.CPUs * float64(evictionSize(v))
	if s.Gang {
		return (gangRestartSeconds + p.lostSecondsPerTask(v)) * cpus
	}
	return p.lostSecondsPerTask(v) * cpus
}

// gangRestartSeconds is what it costs a gang, in seconds of all its tasks, to be placed
// anew: room for all of it at once must be found. Without it replicas of one CPU
// stopped gangs that had just begun, rather than a task of an array.
const gangRestartSeconds = 60

// lostSecondsPerTask is the work, in seconds, that a task loses which is stopped.
func (p *planner) lostSecondsPerTask(v *jobs.Placement) float64 {
	s := &v.Job.Spec
	switch {
	case v.State != jobs.PlacementRunning:
		return 0.5
	case s.CheckpointIntervalSeconds > 0 && s.Gang && !p.gangReachable(v.Job):
		// Not all of its tasks can be told in time, so it can't save: what it did
		// since its last checkpoint is lost.
		return 1 + min(s.CheckpointIntervalSeconds, p.snapshot.Now.Sub(v.RunningSince).Seconds())
	case s.CheckpointIntervalSeconds > 0:
		return 1 + s.CheckpointSeconds
	}
	return 1 + p.snapshot.Now.Sub(v.RunningSince).Seconds()
}

// gangReachable tells whether all machines of a gang report, so that its tasks can be told
// to stop at about the same time.
func (p *planner) gangReachable(j *jobs.Job) bool {
	for _, v := range j.Placements {
		m := p.snapshot.Fleet.Machine(v.Machine)
		if m == nil || !m.Up || p.snapshot.Fleet.HeartbeatOverdue(p.snapshot.Now, m) {
			return false
		}
	}
	return true
}
