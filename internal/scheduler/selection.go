package scheduler

import (
	"cmp"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/jobs"
)

// machineSelector ranks the machines that have free capacity for a task of a job.
type machineSelector struct {
	now        clock.Instant
	preferSpot bool
	machines   *machinePool
	costs      *costPolicy

	unplaceable map[placementShape]bool // shapes that fit on no machine
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

// rankedMachine is a machine with the properties that determine its rank.
type rankedMachine struct {
	*candidateMachine
	hasImage    bool
	runsService bool
	replicas    int
}

// rank returns the machines for the job, best first. Machines that hold the image come before
// the others and, if spot machines are preferred, spot machines before the rest of their group.
// Of the machines that hold the image, those that run services come first, then those with the
// fewest replicas if the job is a service, then the fullest. Of the other machines, those with
// the most free CPUs come first.
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
		if job.Avoids(m.machine.ID, s.now) || !s.costs.mayUse(job, m) {
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
	// Within a plan, free capacity only shrinks: a shape that fits on no machine now need not
	// be tried again for the next job of the same shape.
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
	// Both machines hold the image. Prefer those that run a service and, at the end, the fullest,
	// so that the others become empty and can be deprovisioned.
	case x.runsService != y.runsService:
		return compareTrueFirst(x.runsService)
	// Spread replicas over machines, so that the failure of a machine affects few of them.
	case x.replicas != y.replicas:
		return cmp.Compare(x.replicas, y.replicas)
	}
	return cmp.Compare(x.free.CPUs, y.free.CPUs)
}

// compareTrueFirst orders true before false for two values that differ, given the first of
// them.
func compareTrueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
