// Package scheduler plans a scheduling round from a snapshot: which queued tasks start on which
// machines, which running tasks are preempted for them, which machines are drained, and which
// machines are provisioned. Planning has no side effects; the controller stores the plan as a
// round record and carries it out.
package scheduler

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

// Plan holds the decisions of one round.
type Plan struct {
	Record    roundlog.Record
	Evictions []Eviction
	// UnplacedTasks is the number of tasks for which no free capacity was found.
	UnplacedTasks int
	// ProvisionedFor is the job that machines are provisioned for. It is empty if none are, or
	// if they are provisioned for spare capacity or a guarantee.
	ProvisionedFor ident.JobID
	// Drain lists the machines to drain, so that they can be deprovisioned.
	Drain []ident.MachineID
	// Retain holds the machines that must not be deprovisioned when they are idle, because they
	// provide the capacity that is kept free for a class or a guarantee.
	Retain map[ident.MachineID]bool
	// Examined is the number of machines and placements examined, counted once for each job
	// that they were examined for. It measures the computational cost of the plan.
	Examined int
	// ReservationBlocked holds, for each team, the resources of the work that fits the team's
	// limit but is blocked by the reservations of other nodes.
	ReservationBlocked map[ident.Team]jobs.Resources
}

// Eviction is a placement to be stopped, either to free capacity for a job or to drain its
// machine.
type Eviction struct {
	Placement *jobs.Placement
	Preemptor ident.JobID // the job that capacity is freed for; empty if the machine is drained
}

// planner holds the components that build a plan. Each component makes one kind of decision,
// and keeps its decisions until the plan is assembled.
type planner struct {
	// State of the cluster according to the snapshot, updated with the decisions of the plan.
	urgency  *urgency
	machines *machinePool
	zones    *zoneTracker
	quotas   *quotaTracker
	offers   *offerCatalog
	backlog  *backlog
	record   *recordBuilder

	// Components that make decisions.
	costs       *costPolicy
	assignments *assignments
	selector    *machineSelector
	preemptor   *preemptor
	scaleOut    *scaleOut
	spare       *spareCapacity
	tasks       *taskPlacer
	gangs       *gangPlacer
}

// PlanRound plans a round. It does not modify the snapshot.
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

// newPlanner creates the components in the order of their dependencies.
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

// placeQueue places the queued tasks in queue order. It returns the tasks that need machines to
// be provisioned.
func (p *planner) placeQueue(queue []queueEntry) []shortage {
	var shortages []shortage
	for _, entry := range queue {
		p.backlog.addQueued(entry.job)
		if entry.job.Spec.Priority < jobs.PriorityHigh {
			// Measure the spare capacity before it is occupied by work that the classes with
			// spare capacity could preempt.
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

// canWait reports whether every job with a shortage has ample slack.
func (p *planner) canWait(shortages []shortage) bool {
	for _, shortage := range shortages {
		if p.urgency.slackSeconds(shortage.job) < ampleSlackSeconds {
			return false
		}
	}
	return true
}
