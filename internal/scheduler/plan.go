// Package scheduler plans a round from a snapshot: which queued tasks start on which machines,
// which running tasks are preempted for them, which machines are drained, and what is
// provisioned. It is pure; the core stores a plan as a round record and carries it out.
package scheduler

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

// Plan is what a round decides.
type Plan struct {
	Record    roundlog.Record
	Evictions []Eviction
	// UnplacedTasks counts the tasks that found no room.
	UnplacedTasks int
	// ProvisionedFor is the job that machines are provisioned for, if it is one.
	ProvisionedFor ident.JobID
	// Drain are machines to be drained, so that they can be deprovisioned.
	Drain []ident.MachineID
	// Retain are idle machines that hold the room kept free for a class or a guarantee.
	Retain map[ident.MachineID]bool
	// Examined counts the machines and placements that were looked at, for one job or
	// another: what the plan cost.
	Examined int
	// ReservationBlocked is what work of a team would fit its limit, but for what is
	// reserved by other nodes.
	ReservationBlocked map[ident.Team]jobs.Resources
}

// Eviction is a placement to be stopped: to make room, or to drain its machine.
type Eviction struct {
	Placement *jobs.Placement
	Preemptor ident.JobID // the job that room is made for; empty if a machine is drained
}

// planner holds the parts of a plan in the making. Each has a job of its own, and keeps what
// it has decided until the plan is put together.
type planner struct {
	// What is known, and what the plan has made of it so far.
	urgency  *urgency
	machines *machinePool
	zones    *zoneTracker
	quotas   *quotaTracker
	offers   *offerCatalog
	backlog  *backlog
	record   *recordBuilder

	// What decides.
	costs       *costPolicy
	assignments *assignments
	selector    *machineSelector
	preemptor   *preemptor
	scaleOut    *scaleOut
	spare       *spareCapacity
	tasks       *taskPlacer
	gangs       *gangPlacer
}

// PlanRound plans a round. It changes nothing it is given.
func PlanRound(s *Snapshot) *Plan {
	plan := &Plan{Retain: map[ident.MachineID]bool{}}
	p := newPlanner(s, plan)
	shortages := p.placeQueue(buildQueue(s.QueuedJobs, p.quotas, p.urgency))
	p.scaleOut.provision(shortages)
	if len(p.scaleOut.provisions) == 0 {
		p.scaleOut.provision(p.spare.shortages)
	}
	surplusCPUs := newCapacityGuarantor(s, p, plan.Retain).ensure()
	plan.Evictions = p.preemptor.evictions
	if s.MayDrain && len(p.spare.shortages) == 0 && p.canWait(shortages) {
		c := newConsolidation(p, surplusCPUs)
		c.run()
		plan.Drain = c.drained
		plan.Evictions = append(plan.Evictions, c.evictions...)
	}
	plan.Record.Provisions = p.scaleOut.provisions
	plan.ProvisionedFor = p.scaleOut.provisionedFor
	plan.UnplacedTasks = p.scaleOut.unplacedTasks
	plan.Examined = p.selector.examined + p.preemptor.examined
	plan.ReservationBlocked = p.quotas.reservationBlocked
	return plan
}

// newPlanner makes the parts, those first that others need.
func newPlanner(s *Snapshot, plan *Plan) *planner {
	p := &planner{
		urgency:  newUrgency(s),
		machines: newMachinePool(s),
		zones:    newZoneTracker(),
		quotas:   newQuotaTracker(s),
		offers:   newOfferCatalog(s),
		record:   newRecordBuilder(s, &plan.Record),
	}
	p.backlog = newBacklog(p.machines, s.PlacedJobs)
	p.costs = &costPolicy{urgency: p.urgency, offers: p.offers, quotas: p.quotas, backlog: p.backlog}
	p.assignments = &assignments{quotas: p.quotas, zones: p.zones, record: p.record, started: map[*jobs.Job]int{}}
	p.selector = newMachineSelector(s, p.machines, p.costs)
	p.preemptor = newPreemptor(s, p)
	p.scaleOut = newScaleOut(s, p)
	p.spare = newSpareCapacity(s, p, plan.Retain)
	p.tasks = newTaskPlacer(s, p)
	p.gangs = newGangPlacer(s, p)
	return p
}

// placeQueue places the tasks of the queue in its order, and lists those that are short of
// machines.
func (p *planner) placeQueue(queue []queueEntry) []shortage {
	var shortages []shortage
	for _, entry := range queue {
		p.backlog.addQueued(entry.job)
		if entry.job.Spec.Priority < jobs.PriorityHigh {
			// Before work that would yield to it takes the room.
			p.spare.measure()
		}
		place := p.tasks.place
		if entry.job.Spec.Gang {
			place = p.gangs.place
		}
		if n := place(entry); n > 0 && !p.record.full {
			shortages = append(shortages, shortage{entry.job, n})
		}
	}
	p.spare.measure()
	return shortages
}

// canWait tells whether all work that is short of machines has ample slack.
func (p *planner) canWait(shortages []shortage) bool {
	for _, shortage := range shortages {
		if p.urgency.slackSeconds(shortage.job) < ampleSlackSeconds {
			return false
		}
	}
	return true
}
