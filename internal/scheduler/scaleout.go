package scheduler

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

// defaultRunSeconds is the run time, in seconds, over which the boot of a machine
// is weighed for tasks whose own run time is not known.
const defaultRunSeconds = 300

// latenessUnitSeconds: being late by so many seconds counts as much as the price.
const latenessUnitSeconds = 30

// provision decides on at most one rental: the best offer for the first job that
// found no room, as many machines as that job and those behind it fill.
func (p *planner) provision(short []shortage) {
	if !p.snapshot.MayProvision {
		return
	}
	sums := map[ident.Class]int{}
	for _, s := range short {
		sums[s.job.Spec.Class] += s.tasks
	}
	for class, n := range sums {
		p.demand[class] = max(p.demand[class], n)
	}
	for i, s := range short {
		offer, typ := p.bestOffer(s.job)
		if typ == nil {
			continue
		}
		count := p.machinesNeeded(short[i:], offer, typ)
		if count > 0 {
			p.plan.ProvisionedFor = s.job.ID
			p.plan.Record.Provisions = []roundlog.Provision{{Name: roundlog.ProvisionName(p.snapshot.Epoch, p.snapshot.RoundNo, 0), Offer: offer, Count: count}}
			return
		}
	}
}

// machinesNeeded tells how many machines of the offer the tasks in need of one take.
func (p *planner) machinesNeeded(short []shortage, o cloud.Offer, t *fleet.MachineType) int {
	free := jobs.Resources{}
	count := 0
	for i, s := range short {
		if i > 0 {
			if best, _ := p.bestOffer(s.job); best != o {
				continue
			}
		}
		n := min(s.tasks, p.zoneRoom(s.job, o.Zone))
		if p.needsOnlyOneStart(s.job) && !p.isCheap(s.job, t, o.Spot) {
			n = min(n, 1-min(1, p.tasksAwaitingMachines[s.job]))
		}
		for ; n > 0; n-- {
			if !free.Fits(s.job.Spec.TaskResources()) {
				if count == cloud.MaxProvisionCount {
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
func (p *planner) bestOffer(j *jobs.Job) (cloud.Offer, *fleet.MachineType) {
	var best cloud.Offer
	var bestType *fleet.MachineType
	bestCost := math.Inf(1)
	p.eachOffer(j, func(o cloud.Offer, t *fleet.MachineType) {
		if z := p.provisionZone[j]; z != "" && z != o.Zone {
			return
		}
		if p.zoneRoom(j, o.Zone) == 0 || p.snapshot.OfferUnavailable(o) || !p.worthProvisioning(j, t, o.Spot) {
			return
		}
		if cost := p.offerCost(j, t, o.Zone, o.Spot); cost < bestCost {
			best, bestType, bestCost = o, t, cost
		}
	})
	return best, bestType
}

// eachOffer calls f for every kind of machine that the job allows.
func (p *planner) eachOffer(j *jobs.Job, f func(cloud.Offer, *fleet.MachineType)) {
	for _, t := range p.snapshot.MachineTypes {
		for _, z := range t.AvailableZones(p.snapshot.Zones) {
			for _, spot := range []bool{true, false} {
				if j.Spec.AllowsMachine(t.Name, z, spot) {
					f(cloud.Offer{Type: t.Name, Zone: z, Spot: spot}, t)
				}
			}
		}
	}
}

func (p *planner) offerCost(j *jobs.Job, t *fleet.MachineType, z ident.Zone, spot bool) float64 {
	per := t.Capacity.MaxCopies(j.Spec.TaskResources())
	if per == 0 {
		return math.Inf(1)
	}
	run := j.Spec.EstimatedRunSeconds
	if j.Spec.Service || run <= 0 {
		run = defaultRunSeconds
	}
	wait := newMachineStartSeconds(j, t)
	// A machine that the job fills only in part is paid for in whole.
	filled := min(per, max(1, p.demand[j.Spec.Class]))
	cost := machinePrice(t, spot) / float64(filled) * (run + wait) / run
	if within := p.snapshot.Objectives[j.Spec.Class].StartWithin.Seconds(); within > 0 && wait > within {
		// It will be late wherever it goes: the sooner the better.
		cost *= 1 + (wait-within)/latenessUnitSeconds
	}
	if left, has := p.secondsToDeadline(j); has && run+wait > left {
		cost *= 2 + (run+wait-left)/run
	}
	// A second zone spreads the risk; the fewest machines first.
	return cost * (1 + 0.001*float64(p.machinesByZone[z]))
}
