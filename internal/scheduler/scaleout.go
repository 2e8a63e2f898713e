package scheduler

import (
	"math"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

const (
	// latenessUnitSeconds is the delay beyond the start objective that adds as much to the cost
	// of an offer as its price.
	latenessUnitSeconds = 30
	// zoneSpreadCost is the relative increase of the cost of an offer for each machine that is
	// already in its zone.
	zoneSpreadCost = 0.001
)

// shortage is a number of tasks of a job that need machines to be provisioned.
type shortage struct {
	job   *jobs.Job
	tasks int
}

// scaleOut decides which machines to provision for work that finds no free capacity.
type scaleOut struct {
	mayProvision bool
	roundNo      ident.RoundNo
	epoch        ident.Epoch
	urgency      *urgency
	machines     *machinePool
	zones        *zoneTracker
	offers       *offerCatalog
	costs        *costPolicy

	unplacedTasks int
	// demand counts the tasks of each class that found no free capacity, including those that
	// wait for pending machines. It is counted by class so that many small jobs that arrive one
	// by one share large machines, as one large job would.
	demand          map[ident.Class]int
	awaitingMachine map[*jobs.Job]int        // tasks that wait for pending machines
	requiredZone    map[*jobs.Job]ident.Zone // zone in which machines for a gang are provisioned
	provisions      []roundlog.Provision
	provisionedFor  ident.JobID
}

func newScaleOut(s *Snapshot, p *planner) *scaleOut {
	return &scaleOut{
		mayProvision:    s.MayProvision,
		roundNo:         s.RoundNo,
		epoch:           s.Epoch,
		urgency:         p.urgency,
		machines:        p.machines,
		zones:           p.zones,
		offers:          p.offers,
		costs:           p.costs,
		demand:          map[ident.Class]int{},
		awaitingMachine: map[*jobs.Job]int{},
		requiredZone:    map[*jobs.Job]ident.Zone{},
	}
}

// recordUnplaced adds n tasks of the job that found no free capacity.
func (s *scaleOut) recordUnplaced(job *jobs.Job, n int) {
	s.unplacedTasks += n
	s.demand[job.Spec.Class] += n
}

// provision decides on at most one provision: the best offer for the first job with a shortage
// for which there is an offer, with as many machines as that job and the jobs after it fill.
func (s *scaleOut) provision(shortages []shortage) {
	if !s.mayProvision {
		return
	}
	s.raiseDemand(shortages)
	for i, first := range shortages {
		offer, t := s.bestOffer(first.job)
		if t == nil {
			continue
		}
		if count := s.machinesNeeded(shortages[i:], offer, t); count > 0 {
			s.provisionedFor = first.job.ID
			name := roundlog.ProvisionName(s.epoch, s.roundNo, 0)
			s.provisions = []roundlog.Provision{{Name: name, Offer: offer, Count: count}}
			return
		}
	}
}

// raiseDemand raises the demand of each class to at least the sum of its shortages.
func (s *scaleOut) raiseDemand(shortages []shortage) {
	byClass := map[ident.Class]int{}
	for _, shortage := range shortages {
		byClass[shortage.job.Spec.Class] += shortage.tasks
	}
	for class, n := range byClass {
		s.demand[class] = max(s.demand[class], n)
	}
}

// taskLimit returns how many more tasks of the job may wait for machines of a kind. Of machines
// that are expensive for it, a job that needs only one start may wait for one at most.
func (s *scaleOut) taskLimit(job *jobs.Job, t *fleet.MachineType, spot bool) int {
	if s.urgency.needsOnlyOneStart(job) && !s.offers.isCheap(job, t, spot) {
		return 1 - min(1, s.awaitingMachine[job])
	}
	return math.MaxInt32
}

// machinesNeeded returns how many machines of the offer the shortages fill: the first shortage,
// and those after it for which the offer is also the best.
func (s *scaleOut) machinesNeeded(shortages []shortage, offer cloud.Offer, t *fleet.MachineType) int {
	free := jobs.Resources{}
	count := 0
	for i, shortage := range shortages {
		job := shortage.job
		if i > 0 {
			if best, _ := s.bestOffer(job); best != offer {
				continue
			}
		}
		n := min(shortage.tasks, s.zones.allowedTasks(job, offer.Zone), s.taskLimit(job, t, offer.Spot))
		for ; n > 0; n-- {
			if !free.Fits(job.Spec.TaskResources()) {
				if count == cloud.MaxProvisionCount {
					return count
				}
				count++
				free = t.Capacity
			}
			free = free.Sub(job.Spec.TaskResources())
		}
	}
	return count
}

// bestOffer returns the offer that runs the job's tasks at the lowest cost, with its machine
// type, which is nil if there is no offer.
func (s *scaleOut) bestOffer(job *jobs.Job) (cloud.Offer, *fleet.MachineType) {
	var best cloud.Offer
	var bestType *fleet.MachineType
	lowestCost := math.Inf(1)
	s.offers.each(job, func(offer cloud.Offer, t *fleet.MachineType) {
		if zone := s.requiredZone[job]; zone != "" && zone != offer.Zone {
			return
		}
		if s.zones.allowedTasks(job, offer.Zone) == 0 || s.offers.unavailable(offer) ||
			!s.costs.worthProvisioning(job, t, offer.Spot) {
			return
		}
		if cost := s.offerCost(job, offer, t); cost < lowestCost {
			best, bestType, lowestCost = offer, t, cost
		}
	})
	return best, bestType
}

// offerCost returns the cost of a task of the job on a machine of the offer, including the time
// to boot and to fetch the image. The cost is higher if the job would start or end late.
func (s *scaleOut) offerCost(job *jobs.Job, offer cloud.Offer, t *fleet.MachineType) float64 {
	tasks := t.Capacity.MaxCopies(job.Spec.TaskResources())
	if tasks == 0 {
		return math.Inf(1)
	}
	run := job.Spec.EstimatedRunSeconds
	if job.Spec.Service || run <= 0 {
		run = defaultRunSeconds
	}
	wait := newMachineStartSeconds(job, t)
	// A machine that the demand fills only in part is paid for in full.
	filled := min(tasks, max(1, s.demand[job.Spec.Class]))
	cost := machinePrice(t, offer.Spot) / float64(filled) * (run + wait) / run
	if within := s.urgency.startWithinSeconds(job.Spec.Class); within > 0 && wait > within {
		// The job would start late on this offer; the cost grows with the delay, so that faster
		// offers are preferred.
		cost *= 1 + (wait-within)/latenessUnitSeconds
	}
	if left, hasDeadline := s.urgency.secondsToDeadline(job); hasDeadline && run+wait > left {
		cost *= 2 + (run+wait-left)/run
	}
	// Prefer the zone with the fewest machines, to spread the risk over several zones.
	return cost * (1 + zoneSpreadCost*float64(s.machines.byZone[offer.Zone]))
}
