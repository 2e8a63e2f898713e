package round

import (
	"math"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// countSpare finds how much is missing of the room kept free for classes that
// must start faster than a machine comes up, and which machines hold it.
func (p *planner) countSpare() {
	p.plan.Keep = map[unit.MachineID]bool{}
	for _, s := range p.w.Spares {
		missing := p.w.Policy.SpareTasks
		for _, b := range p.bins {
			if missing <= 0 {
				break
			}
			if !s.AllowsMachine(b.typ.Name, b.zone, b.spot) {
				continue
			}
			if n := b.free.Add(p.below(s, b)).MaxCopies(s.TaskResources()); n > 0 {
				missing -= n
				p.plan.Keep[b.m.ID] = true
			}
		}
		for _, b := range p.come {
			if s.AllowsMachine(b.typ.Name, b.zone, b.spot) {
				missing -= b.free.MaxCopies(s.TaskResources())
			}
		}
		if missing > 0 {
			p.missing = append(p.missing, shortage{job: &checkpoint.Job{Spec: *s, AcceptedAtMs: p.w.WallMs}, n: missing})
		}
	}
}

// rentSpare rents for the room that is missing, if nothing else was rented.
func (p *planner) rentSpare() {
	if len(p.missing) > 0 && len(p.plan.Record.Hires) == 0 {
		p.rent(p.missing)
	}
}

// savingPart: work that saves makes way in time if it takes no more than one part in
// so many of the time in which a class must start.
const savingPart = 4

// below is what work of lower priority holds on the bin's machine, which a
// task of the spec could have at once.
func (p *planner) below(s *checkpoint.Spec, b *bin) checkpoint.Resources {
	var sum checkpoint.Resources
	if b.m.Load().TasksBelow(s.Priority) == 0 {
		return sum
	}
	saving := p.w.Expect[s.Class].Start.Seconds() / savingPart
	for _, v := range b.running() {
		soon := v.Job.Spec.CheckpointIntervalSeconds == 0 || v.Job.Spec.CheckpointSeconds <= saving
		if v.Job.Spec.Priority < s.Priority && soon && !v.Job.Spec.Gang {
			sum = sum.Add(v.Job.Spec.TaskResources())
		}
	}
	return sum
}

// keepGuaranteed sees to it that the machines hold what the teams are
// guaranteed, or use beyond it, as long as they have work: guaranteed work need
// not wait, and a machine takes long to come up. It keeps idle machines that
// are needed for that, and rents what is missing.
func (p *planner) keepGuaranteed() {
	wanted, have := 0.0, 0.0
	for name, t := range p.w.Teams {
		if t.CPUGuarantee > 0 && p.w.Active(name) {
			wanted += max(t.CPUGuarantee*p.w.Policy.GuaranteeShare, p.usage[name].CPUs)
		}
	}
	for _, b := range append(append([]*bin(nil), p.bins...), p.come...) {
		have += b.typ.Capacity.CPUs
	}
	for _, b := range p.bins {
		if b.m.Busy() || p.plan.Keep[b.m.ID] {
			continue
		}
		if have-b.typ.Capacity.CPUs < wanted {
			p.plan.Keep[b.m.ID] = true
		} else {
			have -= b.typ.Capacity.CPUs
		}
	}
	p.surplus = have - wanted
	if have >= wanted || !p.w.MayHire || len(p.plan.Record.Hires) > 0 || len(p.w.Typical) == 0 {
		return
	}
	spec := *p.w.Typical[0]
	for _, s := range p.w.Typical {
		if s.Spot && !spec.Spot {
			spec = *s
		}
	}
	spec.Priority = checkpoint.PriorityProd // whatever it costs
	n := int(math.Ceil((wanted - have) / spec.CPUs))
	p.rent([]shortage{{job: &checkpoint.Job{Spec: spec, AcceptedAtMs: p.w.WallMs}, n: n}})
}
