// Package scheduler plans a round from a snapshot: which queued tasks start on which machines,
// which running tasks are preempted for them, which machines are drained, and what is
// provisioned. It is pure; the core stores a plan as a round record and carries it out.
package scheduler

import (
	"maps"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/jobs"
)

type planner struct {
	snapshot   *Snapshot
	plan       *Plan
	recordSize int
	machines   []*candidateMachine
	pending    []*candidateMachine
	// machinesByID finds the bins of machines; see binOf.
	machinesByID map[ident.MachineID]*candidateMachine
	// usage counts all placements that may exist. What is told to stop stays
	// in it until its exit is seen; giving counts it for the guarantees.
	usage        map[ident.Team]jobs.Resources
	evictedUsage map[ident.Team]jobs.Resources
	queue        []queueEntry
	// claimedTasks are the tasks of a job that this plan has dealt with.
	claimedTasks  map[*jobs.Job]indexset.Set
	plannedByZone map[*jobs.Job]map[ident.Zone]int // tasks given a place in this plan
	evicted       map[*jobs.Placement]bool
	recordRooms   map[*jobs.Job]jobs.SpareBytes
	recordFull    bool
	placingAged   bool                    // the turn at hand is one of old work
	unplaceable   map[placementShape]bool // what fits no machine

	spareShortages  []shortage                // of the room kept free
	plannedReplicas map[*candidateMachine]int // replicas given a place in this plan
	startTimes      map[*jobs.Job]float64     // see soonest
	lowestPrices    map[*jobs.Job]float64     // see cheapest
	// demand counts the tasks of a class that found no room, those that wait
	// for machines to come included: many small jobs that arrive one by one
	// share large machines, as one large job would.
	demand         map[ident.Class]int
	hasGuarantees  bool               // some team has a guarantee
	surplusCPUs    float64            // CPUs beyond what the guarantees want as machines
	machinesByZone map[ident.Zone]int // machines, coming ones too

	workByPriority [jobs.PriorityProd + 1]jobs.Resources // of arrays by priority, see workOf
	workAhead      map[*jobs.Job]jobs.Resources          // see queueWork
	usableCapacity map[placementShape]jobs.Resources     // see usableBy
	// agedBudget is what old jobs may still start before others.
	agedBudget jobs.Resources

	oldestPlacements map[*jobs.Job]*jobs.Placement // see eldest

	startedTasks map[*jobs.Job]int // tasks that this plan starts
	// tasksAwaitingMachines counts the tasks of a job that wait for machines to come.
	tasksAwaitingMachines map[*jobs.Job]int
	reserved              map[ident.Team]jobs.Resources // see World
	reservedTasks         map[*jobs.Job]int             // see covered
	reservationChecked    map[*jobs.Job]bool            // see noteBlocked
	// provisionZone is where machines for a gang must be rented; "": anywhere.
	provisionZone map[*jobs.Job]ident.Zone
}

// PlanRound plans a round. It changes nothing it is given.
func PlanRound(w *Snapshot) *Plan {
	p := &planner{snapshot: w, plan: &Plan{ReservationBlocked: map[ident.Team]jobs.Resources{}}, reserved: maps.Clone(w.Reserved), reservedTasks: map[*jobs.Job]int{}, reservationChecked: map[*jobs.Job]bool{}, usage: map[ident.Team]jobs.Resources{}, evictedUsage: map[ident.Team]jobs.Resources{},
		plannedReplicas: map[*candidateMachine]int{}, claimedTasks: map[*jobs.Job]indexset.Set{}, startTimes: map[*jobs.Job]float64{}, lowestPrices: map[*jobs.Job]float64{},
		plannedByZone: map[*jobs.Job]map[ident.Zone]int{}, evicted: map[*jobs.Placement]bool{}, recordRooms: map[*jobs.Job]jobs.SpareBytes{},
		demand: map[ident.Class]int{}, unplaceable: map[placementShape]bool{}, machinesByZone: map[ident.Zone]int{},
		oldestPlacements: map[*jobs.Job]*jobs.Placement{}, workAhead: map[*jobs.Job]jobs.Resources{}, usableCapacity: map[placementShape]jobs.Resources{}, startedTasks: map[*jobs.Job]int{}, tasksAwaitingMachines: map[*jobs.Job]int{}, provisionZone: map[*jobs.Job]ident.Zone{}}
	p.plan.Record = roundlog.Record{SchemaVersion: roundlog.SchemaPlain, RoundNo: w.RoundNo, Epoch: w.Epoch}
	p.recordSize = p.plan.Record.MaxJSONSize()
	p.countUsage()
	p.countRunningWork()
	for _, t := range w.Teams {
		p.hasGuarantees = p.hasGuarantees || t.CPUGuarantee > 0
	}
	p.listMachines()
	p.buildQueue()
	p.agedBudget = p.agedCapacity()
	var short []shortage
	spared := false
	for _, t := range p.queue {
		p.countQueuedWork(t.job)
		if !spared && t.job.Spec.Priority < jobs.PriorityHigh {
			// Before work that would yield to it takes the room.
			spared = true
			p.measureSpareCapacity()
		}
		if n := p.placeJob(t); n > 0 && !p.recordFull {
			short = append(short, shortage{t.job, n})
		}
	}
	if !spared {
		p.measureSpareCapacity()
	}
	p.provision(short)
	p.provisionSpareCapacity()
	p.ensureGuarantees()
	p.consolidate(short)
	return p.plan
}

type shortage struct {
	job   *jobs.Job
	tasks int
}

func (p *planner) countUsage() {
	for _, j := range p.snapshot.PlacedJobs {
		p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(len(j.Placements)))
		for _, v := range j.Placements {
			if v.Stopping {
				p.evictedUsage[j.Spec.Team] = p.evictedUsage[j.Spec.Team].Add(j.Spec.TaskResources())
			}
		}
	}
}
