package scheduler

import (
	"maps"
	"math"
	"slices"

	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
)

// measureSpareCapacity finds how much is missing of the room kept free for classes that
// must start faster than a machine comes up, and which machines hold it.
func (p *planner) measureSpareCapacity() {
	p.plan.Retain = map[ident.MachineID]bool{}
	for _, s := range p.snapshot.SpareSpecs {
		missing := p.snapshot.Policy.SpareTasks
		for _, b := range p.machines {
			if missing <= 0 {
				break
			}
			if !s.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
				continue
			}
			if n := b.free.Add(p.evictableBelow(s, b)).MaxCopies(s.TaskResources()); n > 0 {
				missing -= n
				p.plan.Retain[b.machine.ID] = true
			}
		}
		for _, b := range p.pending {
			if s.AllowsMachine(b.machineType.Name, b.zone, b.spot) {
				missing -= b.free.MaxCopies(s.TaskResources())
			}
		}
		if missing > 0 {
			p.spareShortages = append(p.spareShortages, shortage{job: &jobs.Job{Spec: *s, AcceptedAtMs: p.snapshot.WallMs}, tasks: missing})
		}
	}
}

// provisionSpareCapacity rents for the room that is missing, if nothing else was rented.
func (p *planner) provisionSpareCapacity() {
	if len(p.spareShortages) > 0 && len(p.plan.Record.Provisions) == 0 {
		p.provision(p.spareShortages)
	}
}

// checkpointTimeDivisor: work that saves makes way in time if it takes no more than one part in
// so many of the time in which a class must start.
const checkpointTimeDivisor = 4

// evictableBelow is what work of lower priority holds on the bin's machine, which a
// task of the spec could have at once.
func (p *planner) evictableBelow(s *jobs.Spec, b *candidateMachine) jobs.Resources {
	var sum jobs.Resources
	if b.machine.Load().TasksBelow(s.Priority) == 0 {
		return sum
	}
	saving := p.snapshot.Objectives[s.Class].StartWithin.Seconds() / checkpointTimeDivisor
	for _, v := range b.livePlacements() {
		soon := v.Job.Spec.CheckpointIntervalSeconds == 0 || v.Job.Spec.CheckpointSeconds <= saving
		if v.Job.Spec.Priority < s.Priority && soon && !v.Job.Spec.Gang {
			sum = sum.Add(v.Job.Spec.TaskResources())
		}
	}
	return sum
}

// ensureGuarantees sees to it that the machines hold what the teams are
// guaranteed, or use beyond it, as long as they have work: guaranteed work need
// not wait, and a machine takes long to come up. It keeps idle machines that
// are needed for that, and rents what is missing.
func (p *planner) ensureGuarantees() {
	wanted, have := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(p.snapshot.Teams)) {
		if t := p.snapshot.Teams[name]; t.CPUGuarantee > 0 && p.snapshot.TeamActive(name) {
			wanted += max(t.CPUGuarantee*p.snapshot.Policy.GuaranteeShare, p.usage[name].CPUs)
		}
	}
	for _, b := range append(append([]*candidateMachine(nil), p.machines...), p.pending...) {
		have += b.machineType.Capacity.CPUs
	}
	for _, b := range p.machines {
		if b.machine.Busy() || p.plan.Retain[b.machine.ID] {
			continue
		}
		if have-b.machineType.Capacity.CPUs < wanted {
			p.plan.Retain[b.machine.ID] = true
		} else {
			have -= b.machineType.Capacity.CPUs
		}
	}
	p.surplusCPUs = have - wanted
	if have >= wanted || !p.snapshot.MayProvision || len(p.plan.Record.Provisions) > 0 || len(p.snapshot.TypicalSpecs) == 0 {
		return
	}
	spec := *p.snapshot.TypicalSpecs[0]
	for _, s := range p.snapshot.TypicalSpecs {
		if s.Spot && !spec.Spot {
			spec = *s
		}
	}
	spec.Priority = jobs.PriorityProd // whatever it costs
	n := int(math.Ceil((wanted - have) / spec.CPUs))
	p.provision([]shortage{{job: &jobs.Job{Spec: spec, AcceptedAtMs: p.snapshot.WallMs}, tasks: n}})
}
