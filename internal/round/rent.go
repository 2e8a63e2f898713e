package round

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

// serviceHorizon is the run time, in seconds, over which the boot of a machine
// is weighed for tasks whose own run time is not known.
const serviceHorizon = 300

// lateUnit: being late by so many seconds counts as much as the price.
const lateUnit = 30

// rent decides on at most one rental: the best offer for the first job that
// found no room, as many machines as that job and those behind it fill.
func (p *planner) rent(short []shortage) {
	if !p.w.MayHire {
		return
	}
	sums := map[unit.Class]int{}
	for _, s := range short {
		sums[s.job.Spec.Class] += s.n
	}
	for class, n := range sums {
		p.demand[class] = max(p.demand[class], n)
	}
	for i, s := range short {
		offer, typ := p.bestOffer(s.job)
		if typ == nil {
			continue
		}
		count := p.fill(short[i:], offer, typ)
		if count > 0 {
			p.plan.HireFor = s.job.ID
			p.plan.Record.Hires = []Hire{{Name: HireName(p.w.Epoch, p.w.No, 0), Offer: offer, Count: count}}
			return
		}
	}
}

// fill tells how many machines of the offer the tasks in need of one take.
func (p *planner) fill(short []shortage, o rental.Offer, t *fleet.Type) int {
	free := checkpoint.Resources{}
	count := 0
	for i, s := range short {
		if i > 0 {
			if best, _ := p.bestOffer(s.job); best != o {
				continue
			}
		}
		n := min(s.n, p.zoneRoom(s.job, o.Zone))
		if p.needsOnlyBegin(s.job) && !p.isCheap(s.job, t, o.Spot) {
			n = min(n, 1-min(1, p.promised[s.job]))
		}
		for ; n > 0; n-- {
			if !free.Fits(s.job.Spec.Need()) {
				if count == rental.MaxHire {
					return count
				}
				count++
				free = t.Capacity
			}
			free = free.Minus(s.job.Spec.Need())
		}
	}
	return count
}

// bestOffer returns the offer that runs the job's tasks at the least cost,
// boot and fetch included; offers that can't make its deadline come last.
func (p *planner) bestOffer(j *checkpoint.Job) (rental.Offer, *fleet.Type) {
	var best rental.Offer
	var bestType *fleet.Type
	bestCost := math.Inf(1)
	p.eachOffer(j, func(o rental.Offer, t *fleet.Type) {
		if p.zoneRoom(j, o.Zone) == 0 || p.w.Blocked(o) || !p.worth(j, t, o.Spot) {
			return
		}
		if cost := p.cost(j, t, o.Zone, o.Spot); cost < bestCost {
			best, bestType, bestCost = o, t, cost
		}
	})
	return best, bestType
}

// eachOffer calls f for every kind of machine that the job allows.
func (p *planner) eachOffer(j *checkpoint.Job, f func(rental.Offer, *fleet.Type)) {
	for _, t := range p.w.Types {
		for _, z := range p.zonesOf(t) {
			for _, spot := range []bool{true, false} {
				if j.Spec.Allows(t.Name, z, spot) {
					f(rental.Offer{Type: t.Name, Zone: z, Spot: spot}, t)
				}
			}
		}
	}
}

func (p *planner) zonesOf(t *fleet.Type) []unit.Zone {
	if len(t.Zones) > 0 {
		return t.Zones
	}
	return p.w.Zones
}

func (p *planner) cost(j *checkpoint.Job, t *fleet.Type, z unit.Zone, spot bool) float64 {
	per := fitCount(t.Capacity, j.Spec.Need())
	if per == 0 {
		return math.Inf(1)
	}
	run := j.Spec.EstimateS
	if j.Spec.Service || run <= 0 {
		run = serviceHorizon
	}
	wait := startTime(j, t)
	// A machine that the job fills only in part is paid for in whole.
	filled := min(per, max(1, p.demand[j.Spec.Class]))
	cost := price(t, spot) / float64(filled) * (run + wait) / run
	if within := p.w.Expect[j.Spec.Class].Start.Seconds(); within > 0 && wait > within {
		// It will be late wherever it goes: the sooner the better.
		cost *= 1 + (wait-within)/lateUnit
	}
	if left, has := p.timeLeft(j); has && run+wait > left {
		cost *= 2 + (run+wait-left)/run
	}
	// A second zone spreads the risk; the fewest machines first.
	return cost * (1 + 0.001*float64(p.inZone[z]))
}

func (p *planner) timeLeft(j *checkpoint.Job) (float64, bool) {
	if j.Spec.DeadlineS <= 0 {
		return 0, false
	}
	return j.Spec.DeadlineS - float64(p.w.WallMs-j.Accepted)/1000, true
}

const (
	// urgentBelow, in seconds: work that can wait no longer than this beyond
	// what a machine takes to come up is helped at any price.
	urgentBelow = 20
	// cheap: an offer is cheap if a task costs at most so many times what it
	// costs on the cheapest kind.
	cheap = 1.5
	// unhurried is the patience, in seconds, of work that nothing is expected of.
	unhurried = 150
	// patient, in seconds: work with more patience than this does not use
	// machines that only it would keep.
	patient = 90
	// hopeful: the part of its estimate that work may take if all goes well.
	hopeful = 0.6
	// runs: how much longer than its estimate work is expected to run.
	runs = 1.3
)

// patience tells how many seconds the job can still wait for its tasks to
// start and meet what is expected of it.
func (p *planner) patience(j *checkpoint.Job) float64 {
	if j.Spec.Service || j.Spec.Priority >= checkpoint.High {
		return 0
	}
	waited := float64(p.w.WallMs-j.Accepted) / 1000
	e := p.w.Expect[j.Spec.Class]
	left := math.Inf(1)
	if e.Start > 0 {
		left = min(left, e.Start.Seconds()-waited)
	}
	if e.Finish > 0 {
		left = min(left, e.Finish.Seconds()-waited-runs*j.Spec.EstimateS)
	}
	if j.Spec.DeadlineS > 0 {
		left = min(left, j.Spec.DeadlineS-waited-runs*j.Spec.EstimateS)
	}
	switch {
	case !math.IsInf(left, 1):
	case j.Begun():
		// Nobody waits for the rest of it.
		return unhurried
	default:
		left = unhurried - waited
	}
	return max(0, left)
}

// runTime is how long a task of the job is expected to run, in seconds.
func runTime(j *checkpoint.Job) float64 {
	if j.Spec.EstimateS <= 0 {
		return serviceHorizon
	}
	return runs * j.Spec.EstimateS
}

// countWork sums up, in CPU seconds, what is left of the arrays that run.
func (p *planner) countWork() {
	for _, j := range p.w.All {
		if !j.Spec.Service {
			p.work[j.Spec.Priority] += float64(len(j.Live)) * j.Spec.CPUs * runTime(j) / 2
		}
	}
}

// queueWork notes what goes before the end of the job: what runs of its
// priority and above, what is queued before it, and the job itself.
func (p *planner) queueWork(j *checkpoint.Job) {
	if j.Spec.Service || p.ahead[j] > 0 {
		return
	}
	p.work[j.Spec.Priority] += float64(j.Queue.Len()) * j.Spec.CPUs * runTime(j)
	sum := 0.0
	for _, w := range p.work[j.Spec.Priority:] {
		sum += w
	}
	p.ahead[j] = sum
}

// drain is how long, in seconds, the machines that are up or coming take to get
// through what goes before the job's last start. A machine rented for work that
// will have found room by then comes too late to help: in bursts hundreds of
// dear ones came when those they were rented for were done.
func (p *planner) drain(j *checkpoint.Job) float64 {
	cpus, ok := p.usable[shapeOf(&j.Spec)]
	if !ok {
		for _, b := range p.bins {
			if j.Spec.Allows(b.typ.Name, b.zone, b.spot) {
				cpus += b.typ.Capacity.CPUs - b.m.Load().ServiceCPUs
			}
		}
		for _, b := range p.come {
			if j.Spec.Allows(b.typ.Name, b.zone, b.spot) {
				cpus += b.typ.Capacity.CPUs
			}
		}
		p.usable[shapeOf(&j.Spec)] = cpus
	}
	if cpus <= 0 {
		return math.Inf(1)
	}
	return p.ahead[j] / cpus
}

// worth tells whether a machine of the kind may be rented for the job: work
// that can wait is only given cheap ones.
func (p *planner) worth(j *checkpoint.Job, t *fleet.Type, spot bool) bool {
	if p.isCheap(j, t, spot) {
		return true
	}
	patience := p.patience(j)
	if patience-p.soonest(j) >= urgentBelow {
		return false
	}
	if j.Spec.Priority < checkpoint.High && !p.withinGuarantee(j) && p.drain(j) <= patience {
		return false
	}
	start := startTime(j, t)
	// What would be late on a new machine anyway is not helped by a dear one.
	left, has := p.timeLeft(j)
	return !has || j.Spec.Priority >= checkpoint.High || left >= start+hopeful*j.Spec.EstimateS
}

// isCheap tells whether a task of the job costs about the least on the kind.
func (p *planner) isCheap(j *checkpoint.Job, t *fleet.Type, spot bool) bool {
	return taskPrice(j, t, spot) <= cheap*p.cheapest(j)
}

// needsOnlyBegin tells whether nothing is expected of the job but that it
// begins some time: one task on a dear machine does for that. Old jobs of the
// lowest priority had hundreds of dear machines rented for all their tasks.
func (p *planner) needsOnlyBegin(j *checkpoint.Job) bool {
	return j.Spec.Priority < checkpoint.High && !j.Spec.Service && j.Spec.DeadlineS <= 0 &&
		p.w.Expect[j.Spec.Class] == Expect{} && !j.Begun()
}

// unexpecting tells whether nothing is expected of the job's class: it has no
// deadline and no objective.
func (p *planner) unexpecting(j *checkpoint.Job) bool {
	return !j.Spec.Service && j.Spec.DeadlineS <= 0 && p.w.Expect[j.Spec.Class] == Expect{}
}

// startTime is how long, in seconds, a new machine takes to run the job.
func startTime(j *checkpoint.Job, t *fleet.Type) float64 {
	start := t.Boot.Seconds()
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
	p.eachOffer(j, func(o rental.Offer, t *fleet.Type) {
		if !p.w.Blocked(o) && t.Capacity.Fits(j.Spec.Need()) {
			best = min(best, startTime(j, t))
		}
	})
	p.starts[j] = best
	return best
}

// mayUse tells whether the job may start on a machine that is up. Work that
// can wait stays off dear machines, unless a service or a guarantee keeps them
// anyway: it would keep them from being returned.
func (p *planner) mayUse(j *checkpoint.Job, b *bin) bool {
	if j.Spec.Service || j.Spec.Priority >= checkpoint.High || p.guards {
		return true
	}
	if p.patience(j) < patient && (p.first || !p.unexpecting(j)) {
		return true
	}
	return b.m.Anchored() || p.isCheap(j, b.typ, b.spot)
}

// onlyOne tells whether the bin may take but one task of the job, and none if
// the plan has started some already.
func (p *planner) onlyOne(j *checkpoint.Job, b *bin) bool {
	return p.needsOnlyBegin(j) && !p.guards && !b.m.Anchored() && !p.isCheap(j, b.typ, b.spot)
}

func taskPrice(j *checkpoint.Job, t *fleet.Type, spot bool) float64 {
	per := fitCount(t.Capacity, j.Spec.Need())
	if per == 0 {
		return math.Inf(1)
	}
	return price(t, spot) / float64(per)
}

// price is what a machine of the type costs now, ordinary or spot.
func price(t *fleet.Type, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// cheapest is what a task of the job costs on the cheapest kind that it
// allows. It is asked for every machine, so it is worked out once a plan.
func (p *planner) cheapest(j *checkpoint.Job) float64 {
	if c, ok := p.least[j]; ok {
		return c
	}
	best := math.Inf(1)
	p.eachOffer(j, func(o rental.Offer, t *fleet.Type) { best = min(best, taskPrice(j, t, o.Spot)) })
	p.least[j] = best
	return best
}

// countSpare finds how much is missing of the room kept free for classes that
// must start faster than a machine comes up, and which machines hold it.
func (p *planner) countSpare() {
	p.plan.Keep = map[unit.MachineID]bool{}
	for _, s := range p.w.Spares {
		missing := p.w.Policy.SpareTasks
		for _, b := range p.bins {
			if missing <= 0 {
				break
			}
			if !s.Allows(b.typ.Name, b.zone, b.spot) {
				continue
			}
			if n := fitCount(b.free.Plus(p.below(s, b)), s.Need()); n > 0 {
				missing -= n
				p.plan.Keep[b.m.ID] = true
			}
		}
		for _, b := range p.come {
			if s.Allows(b.typ.Name, b.zone, b.spot) {
				missing -= fitCount(b.free, s.Need())
			}
		}
		if missing > 0 {
			p.missing = append(p.missing, shortage{job: &checkpoint.Job{Spec: *s, Accepted: p.w.WallMs}, n: missing})
		}
	}
}

// rentSpare rents for the room that is missing, if nothing else was rented.
func (p *planner) rentSpare() {
	if len(p.missing) > 0 && len(p.plan.Record.Hires) == 0 {
		p.rent(p.missing)
	}
}

// below is what work of lower priority holds on the bin's machine, which a
// task of the spec could have at once.
func (p *planner) below(s *checkpoint.Spec, b *bin) checkpoint.Resources {
	var sum checkpoint.Resources
	if b.m.Load().Below(s.Priority) == 0 {
		return sum
	}
	for _, v := range b.running() {
		if v.Job.Spec.Priority < s.Priority && v.Job.Spec.CheckpointS == 0 {
			sum = sum.Plus(v.Job.Spec.Need())
		}
	}
	return sum
}

// keepGuaranteed sees to it that the machines hold what the teams are
// guaranteed, or use beyond it, as long as they have work: guaranteed work need
// not wait, and a machine takes long to come up. It keeps idle machines that
// are needed for that, and rents what is missing.
func (p *planner) keepGuaranteed() {
	wanted, have := 0.0, 0.0
	for name, t := range p.w.Teams {
		if t.CPUs > 0 && p.w.Active(name) {
			wanted += max(t.CPUs*p.w.Policy.Guarantee, p.usage[name].CPUs)
		}
	}
	for _, b := range append(append([]*bin(nil), p.bins...), p.come...) {
		have += b.typ.Capacity.CPUs
	}
	for _, b := range p.bins {
		if b.m.Busy() || p.plan.Keep[b.m.ID] {
			continue
		}
		if have-b.typ.Capacity.CPUs < wanted {
			p.plan.Keep[b.m.ID] = true
		} else {
			have -= b.typ.Capacity.CPUs
		}
	}
	p.surplus = have - wanted
	if have >= wanted || !p.w.MayHire || len(p.plan.Record.Hires) > 0 || len(p.w.Typical) == 0 {
		return
	}
	spec := *p.w.Typical[0]
	for _, s := range p.w.Typical {
		if s.Spot && !spec.Spot {
			spec = *s
		}
	}
	spec.Priority = checkpoint.Prod // whatever it costs
	n := int(math.Ceil((wanted - have) / spec.CPUs))
	p.rent([]shortage{{job: &checkpoint.Job{Spec: spec, Accepted: p.w.WallMs}, n: n}})
}

// settled: a replica is moved only after so long, in seconds, since a start
// that is soon undone is no start to its user.
const settled = 40

const (
	// vacatePart: of the machines in use, one in so many is emptied at a time.
	vacatePart = 20
	// headroom is the part of the room for replicas that stays free, so that
	// those that come next need not wait for machines just returned.
	headroom = 0.1
)

// consolidate picks machines with few replicas that all fit on others which
// hold their images. They are emptied, so that they can be returned: replicas
// end one by one, and what is left would keep many machines for little. Tasks
// of arrays on them run to their end.
func (p *planner) consolidate(short []shortage) {
	if !p.w.MayVacate || len(p.missing) > 0 || !p.patientOnly(short) {
		return
	}
	var inUse, from []*bin
	for _, b := range p.bins {
		l := b.m.Load()
		if l.Tasks > 0 {
			inUse = append(inUse, b)
		}
		if l.Services > 0 && !b.started {
			from = append(from, b)
		}
	}
	slices.SortStableFunc(from, func(x, y *bin) int { return cmp.Compare(x.servicePart(), y.servicePart()) })
	v := &vacation{p: p, free: map[*bin]checkpoint.Resources{}, moved: map[*checkpoint.Job]int{}}
	for _, b := range inUse {
		v.free[b] = b.free
	}
	limit := max(1, len(inUse)/vacatePart)
	for i, b := range from {
		if len(p.plan.Vacate) == limit || i == 2*limit {
			return
		}
		if b.typ.Capacity.CPUs <= p.surplus {
			v.empty(b)
		}
	}
}

// patientOnly tells whether all work that found no room can wait.
func (p *planner) patientOnly(short []shortage) bool {
	for _, s := range short {
		if p.patience(s.job) < patient {
			return false
		}
	}
	return true
}

// servicePart is the part of the bin's machine that its replicas take, about.
func (b *bin) servicePart() float64 {
	return float64(b.m.Load().Services) / max(1, b.typ.Capacity.CPUs)
}

// vacation is the emptying of some machines in one plan.
type vacation struct {
	p     *planner
	free  map[*bin]checkpoint.Resources // of the machines in use that stay
	moved map[*checkpoint.Job]int
}

// empty stops the replicas of a machine if they fit on others in use, with the
// room kept free still there after it.
func (v *vacation) empty(b *bin) {
	live := replicasOf(b)
	if !v.p.movable(live) {
		return
	}
	before := maps.Clone(v.free)
	delete(v.free, b)
	for _, r := range live {
		if !v.fitOne(r.Job, b.zone) {
			v.free = before
			return
		}
	}
	if !v.roomLeft(&live[0].Job.Spec) {
		v.free = before
		return
	}
	v.p.surplus -= b.typ.Capacity.CPUs
	v.p.plan.Vacate = append(v.p.plan.Vacate, b.m.ID)
	for _, r := range live {
		v.moved[r.Job]++
		v.p.plan.Stops = append(v.p.plan.Stops, Stop{Placement: r})
	}
}

func replicasOf(b *bin) []*checkpoint.Placement {
	var out []*checkpoint.Placement
	for _, v := range b.running() {
		if v.Job.Spec.Service {
			out = append(out, v)
		}
	}
	return out
}

func (p *planner) movable(live []*checkpoint.Placement) bool {
	for _, v := range live {
		if v.State != checkpoint.Running || v.Halting || p.w.Now.Sub(v.Ran).Seconds() < settled {
			return false
		}
	}
	return true
}

// roomLeft tells whether the machines that stay keep the headroom for replicas
// like these, and the room kept free for the classes that must start fast.
func (v *vacation) roomLeft(spec *checkpoint.Spec) bool {
	free, all := 0.0, 0.0
	for b, room := range v.free {
		if spec.Allows(b.typ.Name, b.zone, b.spot) {
			free += room.CPUs
			all += b.typ.Capacity.CPUs
		}
	}
	if free < headroom*all {
		return false
	}
	for _, s := range v.p.w.Spares {
		left := 0
		for b, room := range v.free {
			if s.Allows(b.typ.Name, b.zone, b.spot) {
				left += fitCount(room.Plus(v.p.below(s, b)), s.Need())
			}
		}
		if left < v.p.w.Policy.SpareTasks {
			return false
		}
	}
	return true
}

// fitOne finds a place for a replica that leaves the zone. Of a job only one
// replica is moved in a plan, so that its own place in the zone is free again.
func (v *vacation) fitOne(j *checkpoint.Job, leaves unit.Zone) bool {
	if v.moved[j] > 0 {
		return false
	}
	for _, b := range v.p.bins {
		room, ok := v.free[b]
		if ok && room.Fits(j.Spec.Need()) && v.p.allowed(j, b) && b.m.HasImage(j.Spec.Image) &&
			(b.zone == leaves || v.p.zoneRoom(j, b.zone) > 0) {
			v.free[b] = room.Minus(j.Spec.Need())
			return true
		}
	}
	return false
}
