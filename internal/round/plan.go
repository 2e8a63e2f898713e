package round

import (
	"maps"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

type planner struct {
	w    *World
	plan *Plan
	size int
	bins []*bin
	come []*bin
	// byMachine finds the bins of machines; see binOf.
	byMachine map[unit.MachineID]*bin
	// usage counts all placements that may exist. What is told to stop stays
	// in it until its exit is seen; giving counts it for the guarantees.
	usage  map[unit.Team]checkpoint.Resources
	giving map[unit.Team]checkpoint.Resources
	queue  []turn
	// claimed are the tasks of a job that this plan has dealt with.
	claimed map[*checkpoint.Job]unit.Set
	added   map[*checkpoint.Job]map[unit.Zone]int // tasks given a place in this plan
	taken   map[*checkpoint.Placement]bool
	rooms   map[*checkpoint.Job]checkpoint.SpareBytes
	full    bool
	first   bool           // the turn at hand is one of old work
	nowhere map[shape]bool // what fits no machine

	missing []shortage                  // of the room kept free
	placed  map[*bin]int                // replicas given a place in this plan
	starts  map[*checkpoint.Job]float64 // see soonest
	least   map[*checkpoint.Job]float64 // see cheapest
	// demand counts the tasks of a class that found no room, those that wait
	// for machines to come included: many small jobs that arrive one by one
	// share large machines, as one large job would.
	demand  map[unit.Class]int
	guards  bool              // some team has a guarantee
	surplus float64           // CPUs beyond what the guarantees want as machines
	inZone  map[unit.Zone]int // machines, coming ones too

	work   [checkpoint.PriorityProd + 1]checkpoint.Resources // of arrays by priority, see workOf
	ahead  map[*checkpoint.Job]checkpoint.Resources          // see queueWork
	usable map[shape]checkpoint.Resources                    // see usableBy
	// spareForOld is what old jobs may still start before others.
	spareForOld checkpoint.Resources

	elders map[*checkpoint.Job]*checkpoint.Placement // see eldest

	began map[*checkpoint.Job]int // tasks that this plan starts
	// promised counts the tasks of a job that wait for machines to come.
	promised map[*checkpoint.Job]int
	held     map[unit.Team]checkpoint.Resources // see World
	slots    map[*checkpoint.Job]int            // see covered
	blocked  map[*checkpoint.Job]bool           // see noteBlocked
	// gangZone is where machines for a gang must be rented; "": anywhere.
	gangZone map[*checkpoint.Job]unit.Zone
}

// Make plans a round. It changes nothing it is given.
func Make(w *World) *Plan {
	p := &planner{w: w, plan: &Plan{Blocked: map[unit.Team]checkpoint.Resources{}}, held: maps.Clone(w.Held), slots: map[*checkpoint.Job]int{}, blocked: map[*checkpoint.Job]bool{}, usage: map[unit.Team]checkpoint.Resources{}, giving: map[unit.Team]checkpoint.Resources{},
		placed: map[*bin]int{}, claimed: map[*checkpoint.Job]unit.Set{}, starts: map[*checkpoint.Job]float64{}, least: map[*checkpoint.Job]float64{},
		added: map[*checkpoint.Job]map[unit.Zone]int{}, taken: map[*checkpoint.Placement]bool{}, rooms: map[*checkpoint.Job]checkpoint.SpareBytes{},
		demand: map[unit.Class]int{}, nowhere: map[shape]bool{}, inZone: map[unit.Zone]int{},
		elders: map[*checkpoint.Job]*checkpoint.Placement{}, ahead: map[*checkpoint.Job]checkpoint.Resources{}, usable: map[shape]checkpoint.Resources{}, began: map[*checkpoint.Job]int{}, promised: map[*checkpoint.Job]int{}, gangZone: map[*checkpoint.Job]unit.Zone{}}
	p.plan.Record = Record{Schema: schemaPlain, No: w.No, Epoch: w.Epoch}
	p.size = p.plan.Record.SizeOf()
	p.countUsage()
	p.countWork()
	for _, t := range w.Teams {
		p.guards = p.guards || t.CPUGuarantee > 0
	}
	p.makeBins()
	p.order()
	p.spareForOld = p.forNeglected()
	var short []shortage
	spared := false
	for _, t := range p.queue {
		p.queueWork(t.job)
		if !spared && t.job.Spec.Priority < checkpoint.PriorityHigh {
			// Before work that would yield to it takes the room.
			spared = true
			p.countSpare()
		}
		if n := p.placeJob(t); n > 0 && !p.full {
			short = append(short, shortage{t.job, n})
		}
	}
	if !spared {
		p.countSpare()
	}
	p.rent(short)
	p.rentSpare()
	p.keepGuaranteed()
	p.consolidate(short)
	return p.plan
}

type shortage struct {
	job *checkpoint.Job
	n   int
}

func (p *planner) countUsage() {
	for _, j := range p.w.All {
		p.usage[j.Spec.Team] = p.usage[j.Spec.Team].Add(j.Spec.TaskResources().Multiply(len(j.Placements)))
		for _, v := range j.Placements {
			if v.Stopping {
				p.giving[j.Spec.Team] = p.giving[j.Spec.Team].Add(j.Spec.TaskResources())
			}
		}
	}
}
