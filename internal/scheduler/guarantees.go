package scheduler

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// capacityGuarantor keeps enough machines for what the teams are guaranteed, or use beyond
// their guarantees, as long as they have work. Guaranteed work then need not wait for a new
// machine, which takes long to come up.
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

// ensure retains the idle machines that the guarantees need, and provisions machines for the
// missing CPUs. It returns how many CPUs the machines have beyond the guarantees.
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

// provision provisions machines with the given number of CPUs, regardless of their price.
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
