package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/ident"

	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

type candidateMachine struct {
	machine     *fleet.Machine // nil: coming
	machineType *fleet.MachineType
	zone        ident.Zone
	spot        bool
	free        jobs.Resources
	// freeing is room that stops are making and nobody is promised yet. Nothing
	// may start in it before their exits are seen.
	freeing    jobs.Resources
	placements []*jobs.Placement // see running
	// receivesTasks: this plan starts tasks here.
	receivesTasks bool
}

// livePlacements lists the placements on the bin's machine. A plan changes none, so
// they are listed once.
func (b *candidateMachine) livePlacements() []*jobs.Placement {
	if b.placements == nil {
		b.placements = b.machine.LivePlacements()
	}
	return b.placements
}

// reserveTask keeps room for one task: what is being made first, then what is free.
func (b *candidateMachine) reserveTask(need jobs.Resources) {
	rest := b.freeing.Sub(need)
	b.freeing = rest.Max(jobs.Resources{})
	b.free = b.free.Add(rest.Sub(b.freeing)).Max(jobs.Resources{})
}

func (p *planner) listMachines() {
	for _, m := range p.snapshot.Fleet.Machines() {
		if p.snapshot.Fleet.Schedulable(m) && !p.snapshot.Fleet.HeartbeatOverdue(p.snapshot.Now, m) {
			p.machines = append(p.machines, &candidateMachine{machine: m, machineType: p.snapshot.Fleet.MachineType(m.Type), zone: m.Zone, spot: m.Spot, free: p.snapshot.Fleet.FreeCapacity(m)})
		}
	}
	for _, b := range p.machines {
		p.machinesByZone[b.zone]++
	}
	for _, c := range p.snapshot.PendingMachines {
		p.machinesByZone[c.Offer.Zone]++
		if t := p.snapshot.Fleet.MachineType(c.Offer.Type); t != nil {
			p.pending = append(p.pending, &candidateMachine{machineType: t, zone: c.Offer.Zone, spot: c.Offer.Spot, free: t.Capacity})
		}
	}
}

// allows tells whether the bin may take the job's tasks.
func (p *planner) allows(j *jobs.Job, b *candidateMachine) bool {
	if !j.Spec.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
		return false
	}
	if b.machine == nil {
		return true
	}
	return !p.avoids(j, b)
}

// avoids tells whether the job has just failed on the bin's machine.
func (p *planner) avoids(j *jobs.Job, b *candidateMachine) bool {
	until, bad := j.AvoidUntil[b.machine.ID]
	return bad && !until.Before(p.snapshot.Now)
}

// rankedMachine is a bin with what ranks it.
type rankedMachine struct {
	machine     *candidateMachine
	hasImage    bool
	runsService bool
	replicas    int
}

// rankMachines returns the bins for the job, best first: those that hold the image,
// then spot machines for tasks that may use them, then the most free room.
func (p *planner) rankMachines(j *jobs.Job) []*candidateMachine {
	need, shape := j.Spec.TaskResources(), shapeOf(&j.Spec)
	if p.unplaceable[shape] {
		return nil
	}
	p.plan.Examined += len(p.machines)
	var found []rankedMachine
	fits := false
	for _, b := range p.machines {
		if !b.free.Fits(need) || !j.Spec.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
			continue
		}
		fits = true
		if p.avoids(j, b) || !p.mayUseMachine(j, b) {
			continue
		}
		c := rankedMachine{machine: b, hasImage: b.machine.HasImage(j.Spec.Image), runsService: b.machine.RunsService()}
		if j.Spec.Service {
			c.replicas = p.replicaCount(b)
		}
		found = append(found, c)
	}
	// Within a plan free room only shrinks: what fits nowhere now need not be
	// tried again for the next job of the same shape.
	p.unplaceable[shape] = !fits
	slices.SortStableFunc(found, func(x, y rankedMachine) int { return p.compareMachines(j, x, y) })
	out := make([]*candidateMachine, len(found))
	for i, c := range found {
		out[i] = c.machine
	}
	return out
}

func (p *planner) compareMachines(j *jobs.Job, x, y rankedMachine) int {
	switch {
	case x.hasImage != y.hasImage:
		return preferTrue(x.hasImage)
	case p.snapshot.Policy.PreferSpot && x.machine.spot != y.machine.spot:
		return preferTrue(x.machine.spot)
	case !x.hasImage:
		return cmp.Compare(y.machine.free.CPUs, x.machine.free.CPUs)
	// Among those that hold the image, the fullest: so that others run empty
	// and can be returned.
	case x.runsService != y.runsService:
		return preferTrue(x.runsService)
	// Replicas go where fewest are: a machine that dies takes few of them.
	case x.replicas != y.replicas:
		return cmp.Compare(x.replicas, y.replicas)
	}
	return cmp.Compare(x.machine.free.CPUs, y.machine.free.CPUs)
}

// preferTrue orders what is so before what isn't.
func preferTrue(so bool) int {
	if so {
		return -1
	}
	return 1
}

// placementShape is what decides on which machines a task may go, leaving aside where
// the job's other tasks are.
type placementShape struct {
	need         jobs.Resources
	zone         ident.Zone
	spot         bool
	machineTypes string
}

func shapeOf(s *jobs.Spec) placementShape {
	types := ""
	for _, t := range s.MachineTypes {
		types += string(t) + " "
	}
	return placementShape{need: s.TaskResources(), zone: s.Zone, spot: s.Spot, machineTypes: types}
}

// replicaCount counts the service tasks on the bin's machine, or about to be there.
func (p *planner) replicaCount(b *candidateMachine) int {
	return p.plannedReplicas[b] + b.machine.Load().Services
}
