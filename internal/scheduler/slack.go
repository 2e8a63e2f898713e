package scheduler

import (
	"math"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

// waitedSeconds is how long the job has been there, in seconds.
func (p *planner) waitedSeconds(j *jobs.Job) float64 {
	return float64(p.snapshot.WallMs-j.AcceptedAtMs) / 1000
}

func (p *planner) secondsToDeadline(j *jobs.Job) (float64, bool) {
	if j.Spec.DeadlineSeconds <= 0 {
		return 0, false
	}
	return j.Spec.DeadlineSeconds - p.waitedSeconds(j), true
}

const (
	// urgentSlackSeconds, in seconds: work that can wait no longer than this beyond
	// what a machine takes to come up is helped at any price.
	urgentSlackSeconds = 20
	// cheapPriceRatio: an offer is cheap if a task costs at most so many times what it
	// costs on the cheapest kind.
	cheapPriceRatio = 1.5
	// defaultSlackSeconds is the slack, in seconds, of work that nothing is expected of.
	defaultSlackSeconds = 150
	// ampleSlackSeconds, in seconds: work with more slack than this does not use
	// machines that only it would keep.
	ampleSlackSeconds = 90
	// stallThresholdSeconds, in seconds: of what has waited so long without any start, tasks
	// may go wherever they fit.
	stallThresholdSeconds = 60
	// optimisticRunRatio: the part of its estimate that work may take if all goes well.
	optimisticRunRatio = 0.6
	// expectedRunRatio: how much longer than its estimate work is expected to run.
	expectedRunRatio = 1.3
)

// slackSeconds tells how many seconds the job can still wait for its tasks to
// start and meet what is expected of it.
func (p *planner) slackSeconds(j *jobs.Job) float64 {
	if j.Spec.Service || j.Spec.Priority >= jobs.PriorityHigh {
		return 0
	}
	waited := p.waitedSeconds(j)
	e := p.snapshot.Objectives[j.Spec.Class]
	left := math.Inf(1)
	if e.StartWithin > 0 {
		left = min(left, e.StartWithin.Seconds()-waited)
	}
	if finish, ok := p.reachableFinish(j); ok {
		left = min(left, finish.Seconds()-waited-expectedRunRatio*j.Spec.EstimatedRunSeconds)
	}
	if j.Spec.DeadlineSeconds > 0 {
		left = min(left, j.Spec.DeadlineSeconds-waited-expectedRunRatio*j.Spec.EstimatedRunSeconds)
	}
	switch {
	case !math.IsInf(left, 1):
	case j.HasStarted():
		// Nobody waits for the rest of it.
		return defaultSlackSeconds
	default:
		left = defaultSlackSeconds - waited
	}
	return max(0, left)
}

// reachableFinish is the shortest time in which the job's class should be done that the
// job can still keep if all goes well, or else the longest.
func (p *planner) reachableFinish(j *jobs.Job) (time.Duration, bool) {
	targets := p.snapshot.Objectives[j.Spec.Class].FinishWithin
	if len(targets) == 0 {
		return 0, false
	}
	for _, t := range targets {
		if p.waitedSeconds(j)+optimisticRunRatio*j.Spec.EstimatedRunSeconds <= t.Seconds() {
			return t, true
		}
	}
	return targets[len(targets)-1], true
}

// expectedRunSeconds is how long a task of the job is expected to run, in seconds.
func expectedRunSeconds(j *jobs.Job) float64 {
	if j.Spec.EstimatedRunSeconds <= 0 {
		return defaultRunSeconds
	}
	return expectedRunRatio * j.Spec.EstimatedRunSeconds
}

// expectedWork is what n tasks of the job hold, times the seconds that they run.
func expectedWork(j *jobs.Job, n int) jobs.Resources {
	return j.Spec.TaskResources().Scale(float64(n) * expectedRunSeconds(j))
}

// countRunningWork sums up what is left of the arrays that run: half of it, on average.
func (p *planner) countRunningWork() {
	for _, j := range p.snapshot.PlacedJobs {
		if !j.Spec.Service {
			p.addWork(j.Spec.Priority, expectedWork(j, len(j.Placements)).Scale(0.5))
		}
	}
}

func (p *planner) addWork(prio jobs.Priority, work jobs.Resources) {
	p.workByPriority[prio] = p.workByPriority[prio].Add(work)
}

// countQueuedWork notes what goes before the end of the job: what runs of its
// priority and above, what is queued before it, and the job itself.
func (p *planner) countQueuedWork(j *jobs.Job) {
	if _, counted := p.workAhead[j]; j.Spec.Service || counted {
		return
	}
	p.addWork(j.Spec.Priority, expectedWork(j, j.Queue.Len()))
	var sum jobs.Resources
	for _, w := range p.workByPriority[j.Spec.Priority:] {
		sum = sum.Add(w)
	}
	p.workAhead[j] = sum
}

// backlogSeconds is how long, in seconds, the machines that are up or coming take to get
// through what goes before the job's last start, by the resource that is the
// scarcest. A machine rented for work that will have found room by then comes too
// late to help: in bursts hundreds of dear ones came when those they were rented
// for were done. Counted in CPUs alone, machines whose GPUs were all taken seemed
// to have room.
func (p *planner) backlogSeconds(j *jobs.Job) float64 {
	return p.workAhead[j].DominantShare(p.capacityUsableBy(j))
}

// capacityUsableBy is what arrays of the job's shape can have of the machines that are up
// or coming.
func (p *planner) capacityUsableBy(j *jobs.Job) jobs.Resources {
	sum, ok := p.usableCapacity[shapeOf(&j.Spec)]
	if ok {
		return sum
	}
	for _, b := range p.machines {
		if j.Spec.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
			sum = sum.Add(b.machineType.Capacity.Sub(b.machine.Load().ServiceResources))
		}
	}
	for _, b := range p.pending {
		if j.Spec.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
			sum = sum.Add(b.machineType.Capacity)
		}
	}
	p.usableCapacity[shapeOf(&j.Spec)] = sum
	return sum
}

// worthProvisioning tells whether a machine of the kind may be rented for the job: work
// that can wait is only given cheap ones.
func (p *planner) worthProvisioning(j *jobs.Job, t *fleet.MachineType, spot bool) bool {
	if p.isCheap(j, t, spot) {
		return true
	}
	slack := p.slackSeconds(j)
	if slack-p.fastestStartSeconds(j) >= urgentSlackSeconds {
		return false
	}
	if j.Spec.Priority < jobs.PriorityHigh && !p.withinGuarantee(j) && p.backlogSeconds(j) <= slack {
		return false
	}
	start := newMachineStartSeconds(j, t)
	// What would be late on a new machine anyway is not helped by a dear one.
	left, has := p.secondsToDeadline(j)
	return !has || j.Spec.Priority >= jobs.PriorityHigh || left >= start+optimisticRunRatio*j.Spec.EstimatedRunSeconds
}

// isCheap tells whether a task of the job costs about the least on the kind.
func (p *planner) isCheap(j *jobs.Job, t *fleet.MachineType, spot bool) bool {
	return taskPrice(j, t, spot) <= cheapPriceRatio*p.lowestTaskPrice(j)
}

// needsOnlyOneStart tells whether nothing is expected of the job but that it
// begins some time: one task on a dear machine does for that. Old jobs of the
// lowest priority had hundreds of dear machines rented for all their tasks.
func (p *planner) needsOnlyOneStart(j *jobs.Job) bool {
	return j.Spec.Priority < jobs.PriorityHigh && p.hasNoObjective(j) && !j.HasStarted()
}

// hasNoObjective tells whether nothing is expected of the job's class: it has no
// deadline and no objective.
func (p *planner) hasNoObjective(j *jobs.Job) bool {
	return !j.Spec.Service && j.Spec.DeadlineSeconds <= 0 && p.snapshot.Objectives[j.Spec.Class].IsEmpty()
}

// newMachineStartSeconds is how long, in seconds, a new machine takes to run the job.
func newMachineStartSeconds(j *jobs.Job, t *fleet.MachineType) float64 {
	start := t.BootTime.Seconds()
	if t.FetchGBps > 0 {
		start += j.Spec.ImageGB / t.FetchGBps
	}
	return start
}

// fastestStartSeconds is how long the fastest new machine that may be had takes to run the
// job. While that is soon enough, dear work waits for cheap room.
func (p *planner) fastestStartSeconds(j *jobs.Job) float64 {
	if s, ok := p.startTimes[j]; ok {
		return s
	}
	best := math.Inf(1)
	p.eachOffer(j, func(o cloud.Offer, t *fleet.MachineType) {
		if !p.snapshot.OfferUnavailable(o) && t.Capacity.Fits(j.Spec.TaskResources()) {
			best = min(best, newMachineStartSeconds(j, t))
		}
	})
	p.startTimes[j] = best
	return best
}

// isStalled tells whether nothing of the job has been placed for long, though
// tasks of it wait.
func (p *planner) isStalled(j *jobs.Job) bool {
	return p.snapshot.Now.Sub(max(j.QueuedSince, j.LastPlacedAt)).Seconds() >= stallThresholdSeconds
}

// mayUseMachine tells whether the job may start on a machine that is up. Work that
// can wait stays off dear machines, unless a service or a guarantee keeps them
// anyway: it would keep them from being returned. It does not wait for ever:
// where no cheap machine is to be had, the rest of jobs that had begun waited
// beside idle machines for good.
func (p *planner) mayUseMachine(j *jobs.Job, b *candidateMachine) bool {
	if p.isStalled(j) || j.Spec.Service || j.Spec.Priority >= jobs.PriorityHigh || p.hasGuarantees {
		return true
	}
	if p.slackSeconds(j) < ampleSlackSeconds && (p.placingAged || !p.hasNoObjective(j)) {
		return true
	}
	return b.machine.RunsService() || p.isCheap(j, b.machineType, b.spot)
}

// limitedToOneTask tells whether the bin may take but one task of the job, and none if
// the plan has started some already.
func (p *planner) limitedToOneTask(j *jobs.Job, b *candidateMachine) bool {
	return p.needsOnlyOneStart(j) && !p.isStalled(j) && !p.hasGuarantees && !b.machine.RunsService() && !p.isCheap(j, b.machineType, b.spot)
}

func taskPrice(j *jobs.Job, t *fleet.MachineType, spot bool) float64 {
	per := t.Capacity.MaxCopies(j.Spec.TaskResources())
	if per == 0 {
		return math.Inf(1)
	}
	return machinePrice(t, spot) / float64(per)
}

// machinePrice is what a machine of the type costs now, ordinary or spot.
func machinePrice(t *fleet.MachineType, spot bool) float64 {
	if spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}

// lowestTaskPrice is what a task of the job costs on the cheapest kind that it
// allows. It is asked for every machine, so it is worked out once a plan.
func (p *planner) lowestTaskPrice(j *jobs.Job) float64 {
	if c, ok := p.lowestPrices[j]; ok {
		return c
	}
	best := math.Inf(1)
	p.eachOffer(j, func(o cloud.Offer, t *fleet.MachineType) { best = min(best, taskPrice(j, t, o.Spot)) })
	p.lowestPrices[j] = best
	return best
}
