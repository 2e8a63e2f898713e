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
	// gangRestartSeconds is the cost of restarting an evicted gang, in seconds of all its
	// tasks: capacity for all of them must be found at once. Without this cost, replicas of one
	// CPU preempt gangs that have just started rather than a single task of an array.
	gangRestartSeconds = 60
	// notRunningLostSeconds is the loss of an evicted task that is placed but not running yet.
	notRunningLostSeconds = 0.5
	// evictionLostSeconds is the fixed part of the loss of every evicted task that is running.
	evictionLostSeconds = 1
	// fetchCostPerGB, for each GB of the image, and missingImageCost, a fixed amount, are the
	// additional cost, in CPU seconds, of preempting work on a machine that must fetch the image.
	fetchCostPerGB   = 4
	missingImageCost = 1
)

// machineScope selects the machines on which work may be preempted.
type machineScope int

const (
	allMachines machineScope = iota
	machinesWithImage
)

// preemptor frees capacity for jobs by evicting work that they may preempt.
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

// mayPreempt reports whether work of lower priority may be evicted for the job: immediately if
// the job is urgent, otherwise after the preemption delay.
func (p *preemptor) mayPreempt(job *jobs.Job) bool {
	if job.Spec.Priority >= jobs.PriorityHigh || p.urgency.slackSeconds(job) < 2*urgentSlackSeconds {
		return true
	}
	return p.urgency.now.Sub(job.QueuedSince) >= p.delay
}

// preemptionSite is a machine on which capacity for one task can be freed, with the placements
// to evict and the resulting cost in CPU seconds of lost work.
type preemptionSite struct {
	machine *candidateMachine
	victims []*jobs.Placement
	cost    float64
}

// siteHeap is a min-heap ordered by cost.
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

// preemptFor frees capacity for up to n tasks of the job where the least work is lost, and
// returns the number of tasks that it freed capacity for. Capacity that earlier evictions are
// already freeing, and free capacity on the same machine, is used too and reserved for the job.
func (p *preemptor) preemptFor(job *jobs.Job, n int, scope machineScope) int {
	if n <= 0 {
		return 0
	}
	sites := p.sites(job, scope)
	made := 0
	for made < n && sites.Len() > 0 {
		cheapest := &(*sites)[0]
		// Decisions made since the cost was computed may have changed it.
		site, ok := p.siteAt(job, cheapest.machine)
		switch {
		case !ok || p.zones.allowedTasks(job, site.machine.zone) == 0:
			heap.Pop(sites)
		case site.cost > cheapest.cost:
			*cheapest = site
			heap.Fix(sites, 0)
		default:
			made++
			if p.evictAt(job, site) {
				// The eviction of a gang frees capacity on other machines too.
				sites = p.sites(job, scope)
			}
		}
	}
	return made
}

// sites returns the machines on which capacity for one task of the job can be freed.
func (p *preemptor) sites(job *jobs.Job, scope machineScope) *siteHeap {
	sites := &siteHeap{}
	mayReclaim := p.quotas.mayReclaim(job)
	p.examined += len(p.machines.up)
	for _, m := range p.machines.up {
		if !mayReclaim && !canFreeCapacity(m, job) || scope == machinesWithImage && !m.machine.HasImage(job.Spec.Image) {
			continue
		}
		// Skip expensive machines that the job may not use. Otherwise, every plan reserves free
		// capacity there for a job that never uses it, and withholds it from jobs that could.
		if !m.accepts(job, p.urgency.now) || !p.costs.mayUse(job, m) || p.zones.allowedTasks(job, m.zone) == 0 {
			continue
		}
		if site, ok := p.siteAt(job, m); ok {
			*sites = append(*sites, site)
		}
	}
	heap.Init(sites)
	return sites
}

// canFreeCapacity reports whether the machine might have capacity for a task of the job once
// stopping and lower-priority tasks have ended. It is a quick check before siteAt.
func canFreeCapacity(m *candidateMachine, job *jobs.Job) bool {
	load := m.machine.Load()
	return load.Stopping > 0 || load.TasksBelow(job.Spec.Priority) > 0 ||
		m.free.Add(m.freeing).Fits(job.Spec.TaskResources())
}

// siteAt determines the placements to evict on the machine to fit one task of the job, and
// reports whether their eviction is sufficient.
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
			lastGang = victim.Job // the loss covers the whole gang, so it is added once
		}
	}
	site.cost = lost + site.cost
	return site, free.Fits(need)
}

// candidates returns the placements that may be evicted for the job: first those that are
// stopping already, then by ascending priority, then by ascending loss.
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
		return cmp.Compare(x.Job.ID, y.Job.ID) // keeps the tasks of a gang adjacent
	}
	return cmp.Compare(lostX, lostY)
}

// mayEvict reports whether the placement may be evicted for the job.
func (p *preemptor) mayEvict(job *jobs.Job, placement *jobs.Placement) bool {
	victim := &placement.Job.Spec
	if job.Spec.Priority < jobs.PriorityHigh && p.isProtected(placement) {
		return false
	}
	if victim.Priority < job.Spec.Priority {
		return true
	}
	// Work beyond its team's guarantee may be evicted for another team's work within its
	// guarantee, even if its priority is not lower. If its priority is higher, eviction is
	// useless, because the work would be queued before the job again.
	if victim.Team == job.Spec.Team || victim.Priority > job.Spec.Priority || !p.quotas.withinGuarantee(job) {
		return false
	}
	return p.quotas.keepsFullGuarantee(placement, evictionSize(placement))
}

// evictionSize returns how many tasks end if the placement is evicted: a gang is evicted as a
// whole.
func evictionSize(placement *jobs.Placement) int {
	if placement.Job.Spec.Gang {
		return len(placement.Job.Placements)
	}
	return 1
}

// isProtected reports whether the placement belongs to an aged job and is protected from
// eviction for work below PriorityHigh. This is so in two cases:
//  1. The task has not run for long enough to count as started.
//  2. None of the job's tasks is done, and the placement has run longest of all; it may run to
//     completion.
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

// oldestPlacement returns the placement of the job that has run longest.
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

// ranLonger reports whether placement x of a job has run longer than placement y. Ties are
// broken by the task index.
func ranLonger(x, y *jobs.Placement) bool {
	switch {
	case (x.RunningSince == 0) != (y.RunningSince == 0):
		return x.RunningSince != 0
	case x.RunningSince != y.RunningSince:
		return x.RunningSince < y.RunningSince
	}
	return x.Task < y.Task
}

// lostCPUSeconds returns the work, in CPU seconds, that is lost if the placement is evicted.
// For a gang, it includes the loss of all its tasks.
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

// lostSecondsPerTask returns the work, in seconds, that a task loses if it is evicted.
func (p *preemptor) lostSecondsPerTask(placement *jobs.Placement) float64 {
	spec := &placement.Job.Spec
	switch {
	case placement.State != jobs.PlacementRunning:
		return notRunningLostSeconds
	case spec.CheckpointIntervalSeconds > 0 && spec.Gang && !p.gangReachable(placement.Job):
		// Not all tasks of the gang can receive the stop command in time, so the gang cannot
		// write a checkpoint and loses the work since its last one.
		return evictionLostSeconds + min(spec.CheckpointIntervalSeconds, p.runTime(placement).Seconds())
	case spec.CheckpointIntervalSeconds > 0:
		return evictionLostSeconds + spec.CheckpointSeconds
	}
	return evictionLostSeconds + p.runTime(placement).Seconds()
}

// gangReachable reports whether all machines of a gang send heartbeats, so that all its tasks
// can receive the stop command at about the same time.
func (p *preemptor) gangReachable(gang *jobs.Job) bool {
	for _, placement := range gang.Placements {
		m := p.fleet.Machine(placement.Machine)
		if m == nil || !m.Up || p.fleet.HeartbeatOverdue(p.urgency.now, m) {
			return false
		}
	}
	return true
}

// evictAt evicts the victims of a site, gangs as a whole, and reserves the capacity for a task
// of the job. It reports whether a gang was evicted.
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

// evict evicts one placement. The capacity that this frees is not reserved for any job yet.
func (p *preemptor) evict(job *jobs.Job, placement *jobs.Placement) {
	p.evicted[placement] = true
	if m := p.machines.find(placement.Machine); m != nil {
		m.freeing = m.freeing.Add(placement.Job.Spec.TaskResources())
	}
	if !placement.Stopping {
		p.evictions = append(p.evictions, Eviction{Placement: placement, Preemptor: job.ID})
		p.quotas.addEvictedUsage(placement)
	}
}

// preemptForGang evicts work for a gang in one zone and reports whether this, together with the
// free capacity there, provides capacity for all n tasks. If not, it evicts nothing, because
// evictions for a part of the gang are useless. Pending machines do not count, because they may
// never come up.
func (p *preemptor) preemptForGang(gang *jobs.Job, zone ident.Zone, n int) bool {
	zonalGang := *gang // a copy of the gang that is restricted to the zone
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

// preemptionState is the part of the plan's state that save copies before a preemption, so that
// restore can undo the preemption.
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
