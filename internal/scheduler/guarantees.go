package scheduler

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// capacityGuarantor sees to it that the machines hold what the teams are guaranteed, or use
// beyond it, as long as they have work: guaranteed work need not wait, and a machine takes
// long to come up.
type capacityGuarantor struct {
	share        float64               // see policy.Policy.GuaranteeShare
	teamActive   func(ident.Team) bool // see Snapshot.TeamActive
	typicalSpecs []*jobs.Spec          // see Snapshot.TypicalSpecs
	urgency      *urgency
	machines     *machinePool
	quotas       *quotaTracker
	scaleOut     *scaleOut
	retain       map[ident.MachineID]bool // see Plan.Retain
}

func newCapacityGuarantor(s *Snapshot, p *planner, retain map[ident.MachineID]bool) *capacityGuarantor {
	return &capacityGuarantor{
		share:        s.Policy.GuaranteeShare,
		teamActive:   s.TeamActive,
		typicalSpecs: s.TypicalSpecs,
		urgency:      p.urgency,
		machines:     p.machines,
		quotas:       p.quotas,
		scaleOut:     p.scaleOut,
		retain:       retain,
	}
}

// ensure retains idle machines that are needed for the guarantees, and provisions what is
// missing. It returns how many CPUs the machines hold beyond that.
func (g *capacityGuarantor) ensure() (surplusCPUs float64) {
	wanted := g.quotas.guaranteedCPUs(g.share, g.teamActive)
	have := g.machines.totalCPUs()
	for _, m := range g.machines.up {
		cpus := m.machineType.Capacity.CPUs
		switch {
		case m.machine.Busy() || g.retain[m.machine.ID]:
		case have-cpus < wanted:
			g.retain[m.machine.ID] = true
		default:
			have -= cpus
		}
	}
	if have < wanted && len(g.scaleOut.provisions) == 0 && len(g.typicalSpecs) > 0 {
		g.provision(wanted - have)
	}
	return have - wanted
}

// provision provisions machines with so many CPUs, whatever they cost.
func (g *capacityGuarantor) provision(cpus float64) {
	spec := *g.typicalSpecs[0]
	for _, typical := range g.typicalSpecs {
		if typical.Spot && !spec.Spot {
			spec = *typical
		}
	}
	spec.Priority = jobs.PriorityProd
	tasks := int(math.Ceil(cpus / spec.CPUs))
	g.scaleOut.provision([]shortage{{job: &jobs.Job{Spec: spec, AcceptedAtMs: g.urgency.wallMs}, tasks: tasks}})
}
