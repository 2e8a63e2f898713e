package round

import (
	"math"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
)

// waited is how long the job has been there, in seconds.
func (p *planner) waited(j *checkpoint.Job) float64 { return float64(p.w.WallMs-j.AcceptedAtMs) / 1000 }

func (p *planner) timeLeft(j *checkpoint.Job) (float64, bool) {
	if j.Spec.DeadlineSeconds <= 0 {
		return 0, false
	}
	return j.Spec.DeadlineSeconds - p.waited(j), true
}

const (
	// urgentBelow, in seconds: work that can wait no longer than this beyond
	// what a machine takes to come up is helped at any price.
	urgentBelow = 20
	// cheap: an offer is cheap if a task costs at most so many times what it
	// costs on the cheapest kind.
	cheap = 1.5
	// defaultSlack is the slack, in seconds, of work that nothing is expected of.
	defaultSlack = 150
	// ampleSlack, in seconds: work with more slack than this does not use
	// machines that only it would keep.
	ampleSlack = 90
	// stalled, in seconds: of what has waited so long without any start, tasks
	// may go wherever they fit.
	stalled = 60
	// optimisticRun: the part of its estimate that work may take if all goes well.
	optimisticRun = 0.6
	// runs: how much longer than its estimate work is expected to run.
	runs = 1.3
)

// slack tells how many seconds the job can still wait for its tasks to
// start and meet what is expected of it.
func (p *planner) slack(j *checkpoint.Job) float64 {
	if j.Spec.Service || j.Spec.Priority >= checkpoint.PriorityHigh {
		return 0
	}
	waited := p.waited(j)
	e := p.w.Expect[j.Spec.Class]
	left := math.Inf(1)
	if e.Start > 0 {
		left = min(left, e.Start.Seconds()-waited)
	}
	if finish, ok := p.reachable(j); ok {
		left = min(left, finish.Seconds()-waited-runs*j.Spec.EstimatedRunSeconds)
	}
	if j.Spec.DeadlineSeconds > 0 {
		left = min(left, j.Spec.DeadlineSeconds-waited-runs*j.Spec.EstimatedRunSeconds)
	}
	switch {
	case !math.IsInf(left, 1):
	case j.HasStarted():
		// Nobody waits for the rest of it.
		return defaultSlack
	default:
		left = defaultSlack - waited
	}
	return max(0, left)
}

// reachable is the shortest time in which the job's class should be done that the
// job can still keep if all goes well, or else the longest.
func (p *planner) reachable(j *checkpoint.Job) (time.Duration, bool) {
	targets := p.w.Expect[j.Spec.Class].Finish
	if len(targets) == 0 {
		return 0, false
	}
	for _, t := range targets {
		if p.waited(j)+optimisticRun*j.Spec.EstimatedRunSeconds <= t.Seconds() {
			return t, true
		}
	}
	return targets[len(targets)-1], true
}

// runTime is how long a task of the job is expected to run, in seconds.
func runTime(j *checkpoint.Job) float64 {
	if j.Spec.EstimatedRunSeconds <= 0 {
		return serviceHorizon
	}
	return runs * j.Spec.EstimatedRunSeconds
}

// workOf is what n tasks of the job hold, times the seconds that they run.
func workOf(j *checkpoint.Job, n int) checkpoint.Resources {
	return j.Spec.TaskResources().Scale(float64(n) * runTime(j))
}

// countWork sums up what is left of the arrays that run: half of it, on average.
func (p *planner) countWork() {
	for _, j := range p.w.All {
		if !j.Spec.Service {
			p.addWork(j.Spec.Priority, workOf(j, len(j.Placements)).Scale(0.5))
		}
	}
}

func (p *planner) addWork(prio checkpoint.Priority, work checkpoint.Resources) {
	p.work[prio] = p.work[prio].Add(work)
}

// queueWork notes what goes before the end of the job: what runs of its
// priority and above, what is queued before it, and the job itself.
func (p *planner) queueWork(j *checkpoint.Job) {
	if _, counted := p.ahead[j]; j.Spec.Service || counted {
		return
	}
	p.addWork(j.Spec.Priority, workOf(j, j.Queue.Len()))
	var sum checkpoint.Resources
	for _, w := range p.work[j.Spec.Priority:] {
		sum = sum.Add(w)
	}
	p.ahead[j] = sum
}

// drain is how long, in seconds, the machines that are up or coming take to get
// through what goes before the job's last start, by the resource that is the
// scarcest. A machine rented for work that will have found room by then comes too
// late to help: in bursts hundreds of dear ones came when those they were rented
// for were done. Counted in CPUs alone, machines whose GPUs were all taken seemed
// to have room.
func (p *planner) drain(j *checkpoint.Job) float64 {
	return p.ahead[j].DominantShare(p.usableBy(j))
}

// usableBy is what arrays of the job's shape can have of the machines that are up
// or coming.
func (p *planner) usableBy(j *checkpoint.Job) checkpoint.Resources {
	sum, ok := p.usable[shapeOf(&j.Spec)]
	if ok {
		return sum
	}
	for _, b := range p.bins {
		if j.Spec.AllowsMachine(b.typ.Name, b.zone, b.spot) {
			sum = sum.Add(b.typ.Capacity.Sub(b.m.Load().ServiceResources))
		}
	}
	for _, b := range p.come {
		if j.Spec.AllowsMachine(b.typ.Name, b.zone, b.spot) {
			sum = sum.Add(b.typ.Capacity)
		}
	}
	p.usable[shapeOf(&j.Spec)] = sum
	return sum
}

// worth tells whether a machine of the kind may be rented for the job: work
// that can wait is only given cheap ones.
func (p *planner) worth(j *checkpoint.Job, t *fleet.MachineType, spot bool) bool {
	if p.isCheap(j, t, spot) {
		return true
	}
	slack := p.slack(j)
	if slack-p.soonest(j) >= urgentBelow {
		return false
	}
	if j.Spec.Priority < checkpoint.PriorityHigh && !p.withinGuarantee(j) && p.drain(j) <= slack {
		return false
	}
	start := startTime(j, t)
	// What would be late on a new machine anyway is not helped by a dear one.
	left, has := p.timeLeft(j)
	return !has || j.Spec.Priority >= checkpoint.PriorityHigh || left >= start+optimisticRun*j.Spec.EstimatedRunSeconds
}

// isCheap tells whether a task of the job costs about the least on the kind.
func (p *planner) isCheap(j *checkpoint.Job, t *fleet.MachineType, spot bool) bool {
	return taskPrice(j, t, spot) <= cheap*p.cheapest(j)
}

// needsOnlyBegin tells whether nothing is expected of the job but that it
// begins some time: one task on a dear machine does for that. Old jobs of the
// lowest priority had hundreds of dear machines rented for all their tasks.
func (p *planner) needsOnlyBegin(j *checkpoint.Job) bool {
	return j.Spec.Priority < checkpoint.PriorityHigh && p.unexpecting(j) && !j.HasStarted()
}

// unexpecting tells whether nothing is expected of the job's class: it has no
// deadline and no objective.
func (p *planner) unexpecting(j *checkpoint.Job) bool {
	return !j.Spec.Service && j.Spec.DeadlineSeconds <= 0 && p.w.Expect[j.Spec.Class].None()
}

// startTime is how long, in seconds, a new machine takes to run the job.
func startTime(j *checkpoint.Job, t *fleet.MachineType) float64 {
	start := t.BootTime.Seconds()
	if t.FetchGBps > 0 {
		start += j.Spec.ImageGB / t.FetchGBps
	}
	return start
}

// soonest is how long the fastest new machine that may be had takes to run the
// job. While that is soon enough, dear work waits for cheap room.
func (p *planner) soonest(j *checkpoint.Job) float64 {
	if s, ok := p.starts[j]; ok {
		return s
	}
	best := math.Inf(1)
	p.eachOffer(j, func(o rental.Offer, t *fleet.MachineType) {
		if !p.w.Blocked(o) && t.Capacity.Fits(j.Spec.TaskResources()) {
			best = min(best, startTime(j, t))
		}
	})
	p.starts[j] = best
	return best
}

// isStalled tells whether nothing of the job has been placed for long, though
// tasks of it wait.
func (p *planner) isStalled(j *checkpoint.Job) bool {
	return p.w.Now.Sub(max(j.QueuedSince, j.LastPlacedAt)).Seconds() >= stalled
}

// mayUse tells whether the job may start on a machine that is up. Work that
// can wait stays off dear machines, unless a service or a guarantee keeps them
// anyway: it would keep them from being returned. It does not wait for ever:
// where no cheap machine is to be had, the rest of jobs that had begun waited
// beside idle machines for good.
func (p *planner) mayUse(j *checkpoint.Job, b *bin) bool {
	if p.isStalled(j) || j.Spec.Service || j.Spec.Priority >= checkpoint.PriorityHigh || p.guards {
		return true
	}
	if p.slack(j) < ampleSlack && (p.first || !p.unexpecting(j)) {
		return true
	}
	return b.m.RunsService() || p.isCheap(j, b.typ, b.spot)
}

// onlyOne tells whether the bin may take but one task of the job, and none if
// the plan has started some already.
func (p *planner) onlyOne(j *checkpoint.Job, b *bin) bool {
	return p.needsOnlyBegin(j) && !p.isStalled(j) && !p.guards && !b.m.RunsService() && !p.isCheap(j, b.typ, b.spot)
}

func taskPrice(j *checkpoint.Job, t *fleet.MachineType, spot bool) float64 {
	per := t.Capacity.MaxCopies(j.Spec.TaskResources())
	if per == 0 {
		return math.Inf(1)
	}
	return price(t, spot) / float64(per)
}

// price is what a machine of the type costs now, ordinary or spot.
func price(t *fleet.MachineType, spot bool) float64 {
	if spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}

// cheapest is what a task of the job costs on the cheapest kind that it
// allows. It is asked for every machine, so it is worked out once a plan.
func (p *planner) cheapest(j *checkpoint.Job) float64 {
	if c, ok := p.least[j]; ok {
		return c
	}
	best := math.Inf(1)
	p.eachOffer(j, func(o rental.Offer, t *fleet.MachineType) { best = min(best, taskPrice(j, t, o.Spot)) })
	p.least[j] = best
	return best
}
