package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/jobs"
)

// machineSelector ranks the machines that have room for a task of a job.
type machineSelector struct {
	now        clock.Instant
	preferSpot bool
	machines   *machinePool
	costs      *costPolicy

	unplaceable map[placementShape]bool // what fits no machine
	examined    int                     // see Plan.Examined
}

func newMachineSelector(s *Snapshot, machines *machinePool, costs *costPolicy) *machineSelector {
	return &machineSelector{
		now:         s.Now,
		preferSpot:  s.Policy.PreferSpot,
		machines:    machines,
		costs:       costs,
		unplaceable: map[placementShape]bool{},
	}
}

// rankedMachine is a machine with what ranks it.
type rankedMachine struct {
	*candidateMachine
	hasImage    bool
	runsService bool
	replicas    int
}

// rank returns the machines for the job, best first: those that hold the image, then spot
// machines if they are preferred, then the most free room; of those that hold the image
// the fullest.
func (s *machineSelector) rank(job *jobs.Job) []*candidateMachine {
	need, shape := job.Spec.TaskResources(), shapeOf(&job.Spec)
	if s.unplaceable[shape] {
		return nil
	}
	s.examined += len(s.machines.up)
	var ranked []rankedMachine
	fits := false
	for _, m := range s.machines.up {
		if !m.free.Fits(need) || !m.isAllowedBy(&job.Spec) {
			continue
		}
		fits = true
		if m.isAvoidedBy(job, s.now) || !s.costs.mayUse(job, m) {
			continue
		}
		candidate := rankedMachine{
			candidateMachine: m,
			hasImage:         m.machine.HasImage(job.Spec.Image),
			runsService:      m.machine.RunsService(),
		}
		if job.Spec.Service {
			candidate.replicas = m.plannedReplicas + m.machine.Load().Services
		}
		ranked = append(ranked, candidate)
	}
	// Within a plan free room only shrinks: what fits nowhere now need not be tried again
	// for the next job of the same shape.
	s.unplaceable[shape] = !fits
	slices.SortStableFunc(ranked, s.compare)
	machines := make([]*candidateMachine, len(ranked))
	for i, candidate := range ranked {
		machines[i] = candidate.candidateMachine
	}
	return machines
}

func (s *machineSelector) compare(x, y rankedMachine) int {
	switch {
	case x.hasImage != y.hasImage:
		return compareTrueFirst(x.hasImage)
	case s.preferSpot && x.spot != y.spot:
		return compareTrueFirst(x.spot)
	case !x.hasImage:
		return cmp.Compare(y.free.CPUs, x.free.CPUs)
	// Among those that hold the image, the fullest: so that others run empty and can be
	// deprovisioned.
	case x.runsService != y.runsService:
		return compareTrueFirst(x.runsService)
	// Replicas go where fewest are: a machine that fails takes few of them.
	case x.replicas != y.replicas:
		return cmp.Compare(x.replicas, y.replicas)
	}
	return cmp.Compare(x.free.CPUs, y.free.CPUs)
}

// compareTrueFirst orders what is so before what isn't, given which of two that differ is so.
func compareTrueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
