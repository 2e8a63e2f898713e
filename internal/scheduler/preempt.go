package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// gangRestartSeconds is what it costs a gang, in seconds of all its tasks, to be placed
	// anew: room for all of it at once must be found. Without it replicas of one CPU
	// stopped gangs that had just begun, rather than a task of an array.
	gangRestartSeconds = 60
	// notRunningLostSeconds is what a task loses that has been placed and does not run yet.
	notRunningLostSeconds = 0.5
	// evictionLostSeconds is what every running task loses that is evicted.
	evictionLostSeconds = 1
	// fetchCostPerGB is the cost, in CPU seconds, of making room on a machine that must
	// fetch the image, beside missingImageCost.
	fetchCostPerGB   = 4
	missingImageCost = 1
)

// machineScope says on which machines room is made.
type machineScope int

const (
	allMachines machineScope = iota
	machinesWithImage
)

// preemptor makes room for jobs by evicting what yields to them.
type preemptor struct {
	urgency     *urgency
	fleet       *fleet.Fleet
	machines    *machinePool
	zones       *zoneTracker
	quotas      *quotaTracker
	costs       *costPolicy
	assignments *assignments
	delay       time.Duration // see policy.Policy.PreemptionDelay

	evictions []Eviction
	evicted   map[*jobs.Placement]bool
	oldest    map[*jobs.Job]*jobs.Placement // see oldestPlacement
	examined  int                           // see Plan.Examined
}

func newPreemptor(s *Snapshot, p *planner) *preemptor {
	return &preemptor{
		urgency:     p.urgency,
		fleet:       s.Fleet,
		machines:    p.machines,
		zones:       p.zones,
		quotas:      p.quotas,
		costs:       p.costs,
		assignments: p.assignments,
		delay:       s.Policy.PreemptionDelay,
		evicted:     map[*jobs.Placement]bool{},
		oldest:      map[*jobs.Job]*jobs.Placement{},
	}
}

// mayPreempt tells whether lower work may be evicted for the job: at once if it is urgent,
// else once it has waited.
func (p *preemptor) mayPreempt(job *jobs.Job) bool {
	if job.Spec.Priority >= jobs.PriorityHigh || p.urgency.slackSeconds(job) < 2*urgentSlackSeconds {
		return true
	}
	return p.urgency.now.Sub(job.QueuedSince) >= p.delay
}

// preemptionSite is a machine where room for one task can be made, and what that costs, in
// CPU seconds of lost work.
type preemptionSite struct {
	machine *candidateMachine
	victims []*jobs.Placement
	cost    float64
}

// siteHeap is a heap, the cheapest first.
type siteHeap []preemptionSite

func (h siteHeap) Len() int           { return len(h) }
func (h siteHeap) Less(i, k int) bool { return h[i].cost < h[k].cost }
func (h siteHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *siteHeap) Push(x any)        { *h = append(*h, x.(preemptionSite)) }

func (h *siteHeap) Pop() any {
	last := len(*h) - 1
	site := (*h)[last]
	*h = (*h)[:last]
	return site
}

// preemptFor makes room for up to n tasks of the job where that costs least work, and returns
// for how many it did. Room that is being made already, or is left there, is kept for the
// job.
func (p *preemptor) preemptFor(job *jobs.Job, n int, scope machineScope) int {
	if n <= 0 {
		return 0
	}
	sites := p.sites(job, scope)
	made := 0
	for made < n && sites.Len() > 0 {
		cheapest := &(*sites)[0]
		// What was decided since may have changed what this one costs.
		site, ok := p.siteAt(job, cheapest.machine)
		switch {
		case !ok || p.zones.room(job, site.machine.zone) == 0:
			heap.Pop(sites)
		case site.cost > cheapest.cost:
			*cheapest = site
			heap.Fix(sites, 0)
		default:
			made++
			if p.evictAt(job, site) {
				// The gang makes room on other machines too.
				sites = p.sites(job, scope)
			}
		}
	}
	return made
}

// sites lists where room for one task of the job can be made.
func (p *preemptor) sites(job *jobs.Job, scope machineScope) *siteHeap {
	sites := &siteHeap{}
	mayReclaim := p.quotas.mayReclaim(job)
	p.examined += len(p.machines.up)
	for _, m := range p.machines.up {
		if !mayReclaim && !canFreeCapacity(m, job) || scope == machinesWithImage && !m.machine.HasImage(job.Spec.Image) {
			continue
		}
		// On an expensive machine that the job may not use, what is free was promised to it
		// in each plan, never used, and kept from those that could.
		if !m.accepts(job, p.urgency.now) || !p.costs.mayUse(job, m) || p.zones.room(job, m.zone) == 0 {
			continue
		}
		if site, ok := p.siteAt(job, m); ok {
			*sites = append(*sites, site)
		}
	}
	heap.Init(sites)
	return sites
}

// canFreeCapacity tells whether the machine may have room for a task of the job after evictions of
// lower work.
func canFreeCapacity(m *candidateMachine, job *jobs.Job) bool {
	load := m.machine.Load()
	return load.Stopping > 0 || load.TasksBelow(job.Spec.Priority) > 0 ||
		m.free.Add(m.freeing).Fits(job.Spec.TaskResources())
}

// siteAt finds what must be evicted on the machine to fit one task of the job, and whether
// that is enough.
func (p *preemptor) siteAt(job *jobs.Job, m *candidateMachine) (site preemptionSite, ok bool) {
	site.machine = m
	if !m.machine.HasImage(job.Spec.Image) {
		site.cost = missingImageCost + job.Spec.ImageGB*fetchCostPerGB
	}
	need := job.Spec.TaskResources()
	if !m.machineType.Capacity.Fits(need) {
		return site, false
	}
	free, lost := m.free.Add(m.freeing), 0.0
	var lastGang *jobs.Job
	for _, victim := range p.candidates(job, m) {
		if free.Fits(need) {
			break
		}
		site.victims = append(site.victims, victim)
		free = free.Add(victim.Job.Spec.TaskResources())
		if victim.Job != lastGang || victim.Stopping {
			lost += p.lostCPUSeconds(victim)
		}
		if victim.Job.Spec.Gang && !victim.Stopping {
			lastGang = victim.Job // it is lost whole, and counted once
		}
	}
	site.cost = lost + site.cost
	return site, free.Fits(need)
}

// candidates lists what may be evicted for the job: first what is stopping already, then the
// lowest priority, then what loses least.
func (p *preemptor) candidates(job *jobs.Job, m *candidateMachine) []*jobs.Placement {
	var candidates []*jobs.Placement
	p.examined += m.machine.Load().Tasks
	for _, placement := range m.livePlacements() {
		if !p.evicted[placement] && (placement.Stopping || p.mayEvict(job, placement)) {
			candidates = append(candidates, placement)
		}
	}
	slices.SortStableFunc(candidates, p.compareVictims)
	return candidates
}

func (p *preemptor) compareVictims(x, y *jobs.Placement) int {
	if x.Stopping != y.Stopping {
		return compareTrueFirst(x.Stopping)
	}
	if x.Job.Spec.Priority != y.Job.Spec.Priority {
		return cmp.Compare(x.Job.Spec.Priority, y.Job.Spec.Priority)
	}
	lostX, lostY := p.lostCPUSeconds(x), p.lostCPUSeconds(y)
	if lostX == lostY && x.Job.Spec.Gang && x.Job != y.Job {
		return cmp.Compare(x.Job.ID, y.Job.ID) // so that those of one gang stay together
	}
	return cmp.Compare(lostX, lostY)
}

// mayEvict tells whether the placement yields to the job.
func (p *preemptor) mayEvict(job *jobs.Job, placement *jobs.Placement) bool {
	victim := &placement.Job.Spec
	if job.Spec.Priority < jobs.PriorityHigh && p.isProtected(placement) {
		return false
	}
	if victim.Priority < job.Spec.Priority {
		return true
	}
	// Work beyond another team's guarantee must yield whatever its priority; but stopping
	// what would go before the job again is of no use to anybody.
	if victim.Team == job.Spec.Team || victim.Priority > job.Spec.Priority || !p.quotas.withinGuarantee(job) {
		return false
	}
	return p.quotas.staysWithinGuarantee(placement, evictionSize(placement))
}

// evictionSize is how many tasks end if the placement is evicted: a gang ends whole.
func evictionSize(placement *jobs.Placement) int {
	if placement.Job.Spec.Gang {
		return len(placement.Job.Placements)
	}
	return 1
}

// isProtected tells whether the placement belongs to an aged job and has not run for long
// enough to count as started, or has run longest of a job with nothing done, and is let run
// to its end.
func (p *preemptor) isProtected(placement *jobs.Placement) bool {
	job := placement.Job
	if !p.urgency.isAged(job) {
		return false
	}
	counted := job.StartedTasks.Contains(placement.Task) ||
		placement.State == jobs.PlacementRunning && p.runTime(placement) >= jobs.MinCountedRunTime
	return !counted || len(job.Done) == 0 && p.oldestPlacement(job) == placement
}

func (p *preemptor) runTime(placement *jobs.Placement) time.Duration {
	return p.urgency.now.Sub(placement.RunningSince)
}

// oldestPlacement is the placement of the job that has run longest.
func (p *preemptor) oldestPlacement(job *jobs.Job) *jobs.Placement {
	if placement, ok := p.oldest[job]; ok {
		return placement
	}
	var oldest *jobs.Placement
	for _, placement := range job.Placements {
		if oldest == nil || ranLonger(placement, oldest) {
			oldest = placement
		}
	}
	p.oldest[job] = oldest
	return oldest
}

// ranLonger tells whether one placement of a job has run longer than another.
func ranLonger(x, y *jobs.Placement) bool {
	switch {
	case (x.RunningSince == 0) != (y.RunningSince == 0):
		return x.RunningSince != 0
	case x.RunningSince != y.RunningSince:
		return x.RunningSince < y.RunningSince
	}
	return x.Task < y.Task
}

// lostCPUSeconds is the work, in CPU seconds, that evicting a placement throws away, with that of
// its whole gang.
func (p *preemptor) lostCPUSeconds(placement *jobs.Placement) float64 {
	if placement.Stopping {
		return 0
	}
	spec := &placement.Job.Spec
	cpus := spec.CPUs * float64(evictionSize(placement))
	if spec.Gang {
		return (gangRestartSeconds + p.lostSecondsPerTask(placement)) * cpus
	}
	return p.lostSecondsPerTask(placement) * cpus
}

// lostSecondsPerTask is the work, in seconds, that a task loses which is evicted.
func (p *preemptor) lostSecondsPerTask(placement *jobs.Placement) float64 {
	spec := &placement.Job.Spec
	switch {
	case placement.State != jobs.PlacementRunning:
		return notRunningLostSeconds
	case spec.CheckpointIntervalSeconds > 0 && spec.Gang && !p.gangReachable(placement.Job):
		// Not all of its tasks can be told in time, so it can't write a checkpoint: what it
		// did since its last one is lost.
		return evictionLostSeconds + min(spec.CheckpointIntervalSeconds, p.runTime(placement).Seconds())
	case spec.CheckpointIntervalSeconds > 0:
		return evictionLostSeconds + spec.CheckpointSeconds
	}
	return evictionLostSeconds + p.runTime(placement).Seconds()
}

// gangReachable tells whether all machines of a gang send heartbeats, so that its tasks can
// be told to stop at about the same time.
func (p *preemptor) gangReachable(gang *jobs.Job) bool {
	for _, placement := range gang.Placements {
		m := p.fleet.Machine(placement.Machine)
		if m == nil || !m.Up || p.fleet.HeartbeatOverdue(p.urgency.now, m) {
			return false
		}
	}
	return true
}

// evictAt evicts what is in the way at a site, gangs whole, and promises the room to a task
// of the job. It tells whether a gang was evicted.
func (p *preemptor) evictAt(job *jobs.Job, site preemptionSite) (gangEvicted bool) {
	for _, victim := range site.victims {
		if !victim.Job.Spec.Gang || victim.Stopping {
			p.evict(job, victim)
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(victim.Job.Placements)) {
			if member := victim.Job.Placements[task]; !p.evicted[member] {
				p.evict(job, member)
				gangEvicted = true
			}
		}
	}
	site.machine.reserveTask(job.Spec.TaskResources())
	p.assignments.addUsage(job, site.machine, 1)
	return gangEvicted
}

// evict evicts one placement. The room that it leaves is promised to nobody yet.
func (p *preemptor) evict(job *jobs.Job, placement *jobs.Placement) {
	p.evicted[placement] = true
	if m := p.machines.find(placement.Machine); m != nil {
		m.freeing = m.freeing.Add(placement.Job.Spec.TaskResources())
	}
	if !placement.Stopping {
		p.evictions = append(p.evictions, Eviction{Placement: placement, Preemptor: job.ID})
		p.quotas.markEvicted(placement)
	}
}

// preemptForGang evicts what yields to a gang in one zone, if that makes room for all n
// tasks there with what is free, and tells whether it does. A part would be evicted for
// nothing; pending machines may never come up, and don't count.
func (p *preemptor) preemptForGang(gang *jobs.Job, zone ident.Zone, n int) bool {
	zonalGang := *gang // the same gang, bound to the zone
	if zone != "" {
		zonalGang.Spec.Zone = zone
	}
	saved := p.save()
	if p.preemptFor(&zonalGang, n, allMachines) == n {
		return true
	}
	p.restore(saved)
	return false
}

// preemptionState is what making room changes of a plan.
type preemptionState struct {
	evictions    int
	evicted      map[*jobs.Placement]bool
	usage        map[ident.Team]jobs.Resources
	evictedUsage map[ident.Team]jobs.Resources
	free         []jobs.Resources // of each machine that is up
	freeing      []jobs.Resources
}

func (p *preemptor) save() preemptionState {
	state := preemptionState{evictions: len(p.evictions), evicted: maps.Clone(p.evicted),
		usage: maps.Clone(p.quotas.usage), evictedUsage: maps.Clone(p.quotas.evictedUsage)}
	for _, m := range p.machines.up {
		state.free, state.freeing = append(state.free, m.free), append(state.freeing, m.freeing)
	}
	return state
}

func (p *preemptor) restore(state preemptionState) {
	p.evictions = p.evictions[:state.evictions]
	p.evicted = state.evicted
	p.quotas.usage, p.quotas.evictedUsage = state.usage, state.evictedUsage
	for i, m := range p.machines.up {
		m.free, m.freeing = state.free[i], state.freeing[i]
	}
}
