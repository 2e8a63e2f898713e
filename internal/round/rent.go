package round

import (
	"math"

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
func (p *planner) fill(short []shortage, o rental.Offer, t *fleet.MachineType) int {
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
			if !free.Fits(s.job.Spec.TaskResources()) {
				if count == rental.MaxProvisionCount {
					return count
				}
				count++
				free = t.Capacity
			}
			free = free.Sub(s.job.Spec.TaskResources())
		}
	}
	return count
}

// bestOffer returns the offer that runs the job's tasks at the least cost,
// boot and fetch included; offers that can't make its deadline come last.
func (p *planner) bestOffer(j *checkpoint.Job) (rental.Offer, *fleet.MachineType) {
	var best rental.Offer
	var bestType *fleet.MachineType
	bestCost := math.Inf(1)
	p.eachOffer(j, func(o rental.Offer, t *fleet.MachineType) {
		if z := p.gangZone[j]; z != "" && z != o.Zone {
			return
		}
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
func (p *planner) eachOffer(j *checkpoint.Job, f func(rental.Offer, *fleet.MachineType)) {
	for _, t := range p.w.Types {
		for _, z := range t.AvailableZones(p.w.Zones) {
			for _, spot := range []bool{true, false} {
				if j.Spec.AllowsMachine(t.Name, z, spot) {
					f(rental.Offer{Type: t.Name, Zone: z, Spot: spot}, t)
				}
			}
		}
	}
}

func (p *planner) cost(j *checkpoint.Job, t *fleet.MachineType, z unit.Zone, spot bool) float64 {
	per := t.Capacity.MaxCopies(j.Spec.TaskResources())
	if per == 0 {
		return math.Inf(1)
	}
	run := j.Spec.EstimatedRunSeconds
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
