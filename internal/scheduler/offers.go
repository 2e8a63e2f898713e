package scheduler

import (
	"math"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// cheapPriceRatio is the highest price of a task on a machine that is cheap for the job,
// relative to the price of the task on the cheapest kind of machine.
const cheapPriceRatio = 1.5

// offerCatalog lists the kinds of machines that the cloud offers, with their prices for a job.
type offerCatalog struct {
	machineTypes []*fleet.MachineType
	zones        []ident.Zone
	unavailable  func(cloud.Offer) bool

	// These values are needed for every machine, so they are computed once per plan.
	lowestPrices  map[*jobs.Job]float64 // see lowestTaskPrice
	fastestStarts map[*jobs.Job]float64 // see fastestStartSeconds
}

func newOfferCatalog(s *Snapshot) *offerCatalog {
	return &offerCatalog{
		machineTypes:  s.MachineTypes,
		zones:         s.Zones,
		unavailable:   s.OfferUnavailable,
		lowestPrices:  map[*jobs.Job]float64{},
		fastestStarts: map[*jobs.Job]float64{},
	}
}

// each calls visit for every kind of machine that the job allows.
func (c *offerCatalog) each(job *jobs.Job, visit func(cloud.Offer, *fleet.MachineType)) {
	for _, t := range c.machineTypes {
		for _, zone := range t.AvailableZones(c.zones) {
			for _, spot := range []bool{true, false} {
				if job.Spec.AllowsMachine(t.Name, zone, spot) {
					visit(cloud.Offer{Type: t.Name, Zone: zone, Spot: spot}, t)
				}
			}
		}
	}
}

// isCheap reports whether the price of a task of the job on such a machine is close to the
// lowest price.
func (c *offerCatalog) isCheap(job *jobs.Job, t *fleet.MachineType, spot bool) bool {
	return taskPrice(job, t, spot) <= cheapPriceRatio*c.lowestTaskPrice(job)
}

// lowestTaskPrice returns the price of a task of the job on the cheapest kind of machine that
// the job allows.
func (c *offerCatalog) lowestTaskPrice(job *jobs.Job) float64 {
	if price, ok := c.lowestPrices[job]; ok {
		return price
	}
	lowest := math.Inf(1)
	c.each(job, func(offer cloud.Offer, t *fleet.MachineType) {
		lowest = min(lowest, taskPrice(job, t, offer.Spot))
	})
	c.lowestPrices[job] = lowest
	return lowest
}

// fastestStartSeconds returns how long the fastest new machine that is available takes until it
// can run the job. As long as that is soon enough, the job waits for cheap capacity.
func (c *offerCatalog) fastestStartSeconds(job *jobs.Job) float64 {
	if seconds, ok := c.fastestStarts[job]; ok {
		return seconds
	}
	fastest := math.Inf(1)
	c.each(job, func(offer cloud.Offer, t *fleet.MachineType) {
		if !c.unavailable(offer) && t.Capacity.Fits(job.Spec.TaskResources()) {
			fastest = min(fastest, newMachineStartSeconds(job, t))
		}
	})
	c.fastestStarts[job] = fastest
	return fastest
}

// newMachineStartSeconds returns how long a new machine takes until it can run the job: the
// time to boot and to fetch the image.
func newMachineStartSeconds(job *jobs.Job, t *fleet.MachineType) float64 {
	seconds := t.BootTime.Seconds()
	if t.FetchGBps > 0 {
		seconds += job.Spec.ImageGB / t.FetchGBps
	}
	return seconds
}

// taskPrice returns the hourly price of a machine, divided by the number of tasks of the job
// that it holds.
func taskPrice(job *jobs.Job, t *fleet.MachineType, spot bool) float64 {
	tasks := t.Capacity.MaxCopies(job.Spec.TaskResources())
	if tasks == 0 {
		return math.Inf(1)
	}
	return machinePrice(t, spot) / float64(tasks)
}

// machinePrice returns the current hourly price of a machine, spot or on demand.
func machinePrice(t *fleet.MachineType, spot bool) float64 {
	if spot {
		return t.HourlySpotPrice
	}
	return t.HourlyPrice
}
