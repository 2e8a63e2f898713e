package round

import (
	"maps"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

type planner struct {
	snapshot   *Snapshot
	plan       *Plan
	recordSize int
	machines   []*candidateMachine
	pending    []*candidateMachine
	// machinesByID finds the bins of machines; see binOf.
	machinesByID map[unit.MachineID]*candidateMachine
	// usage counts all placements that may exist. What is told to stop stays
	// in it until its exit is seen; giving counts it for the guarantees.
	usage        map[unit.Team]checkpoint.Resources
	evictedUsage map[unit.Team]checkpoint.Resources
	queue        []queueEntry
	// claimedTasks are the tasks of a job that this plan has dealt with.
	claimedTasks  map[*checkpoint.Job]unit.Set
	plannedByZone map[*checkpoint.Job]map[unit.Zone]int // tasks given a place in this plan
	evicted       map[*checkpoint.Placement]bool
	recordRooms   map[*checkpoint.Job]checkpoint.SpareBytes
	recordFull    bool
	placingAged   bool                    // the turn at hand is one of old work
	unplaceable   map[placementShape]bool // what fits no machine

	spareShortages  []shortage                  // of the room kept free
	plannedReplicas map[*candidateMachine]int   // replicas given a place in this plan
	startTimes      map[*checkpoint.Job]float64 // see soonest
	lowestPrices    map[*checkpoint.Job]float64 // see cheapest
	// demand counts the tasks of a class that found no room, those that wait
	// for machines to come included: many small jobs that arrive one by one
	// share large machines, as one large job would.
	demand         map[unit.Class]int
	hasGuarantees  bool              // some team has a guarantee
	surplusCPUs    float64           // CPUs beyond what the guarantees want as machines
	machinesByZone map[unit.Zone]int // machines, coming ones too

	workByPriority [checkpoint.PriorityProd + 1]checkpoint.Resources // of arrays by priority, see workOf
	workAhead      map[*checkpoint.Job]checkpoint.Resources          // see queueWork
	usableCapacity map[placementShape]checkpoint.Resources           // see usableBy
	// agedBudget is what old jobs may still start before others.
	agedBudget checkpoint.Resources

	oldestPlacements map[*checkpoint.Job]*checkpoint.Placement // see eldest

	startedTasks map[*checkpoint.Job]int // tasks that this plan starts
	// tasksAwaitingMachines counts the tasks of a job that wait for machines to come.
	tasksAwaitingMachines map[*checkpoint.Job]int
	reserved              map[unit.Team]checkpoint.Resources // see World
	reservedTasks         map[*checkpoint.Job]int            // see covered
	reservationChecked    map[*checkpoint.Job]bool           // see noteBlocked
	// provisionZone is where machines for a gang must be rented; "": anywhere.
	provisionZone map[*checkpoint.Job]unit.Zone
}

// PlanRound plans a round. It changes nothing it is given.
func PlanRound(w *Snapshot) *Plan {
	p := &planner{snapshot: w, plan: &Plan{ReservationBlocked: map[unit.Team]checkpoint.Resources{}}, reserved: maps.Clone(w.Reserved), reservedTasks: map[*checkpoint.Job]int{}, reservationChecked: map[*checkpoint.Job]bool{}, usage: map[unit.Team]checkpoint.Resources{}, evictedUsage: map[unit.Team]checkpoint.Resources{},
		plannedReplicas: map[*candidateMachine]int{}, claimedTasks: map[*checkpoint.Job]unit.Set{}, startTimes: map[*checkpoint.Job]float64{}, lowestPrices: map[*checkpoint.Job]float64{},
		plannedByZone: map[*checkpoint.Job]map[unit.Zone]int{}, evicted: map[*checkpoint.Placement]bool{}, recordRooms: map[*checkpoint.Job]checkpoint.SpareBytes{},
		demand: map[unit.Class]int{}, unplaceable: map[placementShape]bool{}, machinesByZone: map[unit.Zone]int{},
		oldestPlacements: map[*checkpoint.Job]*checkpoint.Placement{}, workAhead: map[*checkpoint.Job]checkpoint.Resources{}, usableCapacity: map[placementShape]checkpoint.Resources{}, startedTasks: map[*checkpoint.Job]int{}, tasksAwaitingMachines: map[*checkpoint.Job]int{}, provisionZone: map[*checkpoint.Job]unit.Zone{}}
	p.plan.Record = Record{SchemaVersion: SchemaPlain, RoundNo: w.RoundNo, Epoch: w.Epoch}
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
		if !spared && t.job.Spec.Priority < checkpoint.PriorityHigh {
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
	job   *checkpoint.Job
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
