package fleet

import "badgerbay/internal/jobs"

// Load counts the placements that may exist on a machine, so that a scheduling round need
// not look at each.
type Load struct {
	Tasks    int
	Services int
	Stopping int
	// ServiceResources is what the service replicas hold.
	ServiceResources jobs.Resources
	// TasksByPriority counts the placements by the priority of their jobs.
	TasksByPriority [jobs.PriorityProd + 1]int
}

// add counts a placement n times; -1 takes it out.
func (l *Load) add(p *jobs.Placement, n int) {
	l.Tasks += n
	l.TasksByPriority[p.Job.Spec.Priority] += n
	if p.Job.Spec.Service {
		l.Services += n
		l.ServiceResources = l.ServiceResources.Add(p.Job.Spec.TaskResources().Multiply(n))
	}
	if p.Stopping {
		l.Stopping += n
	}
}

// TasksBelow counts the placements of a lower priority.
func (l *Load) TasksBelow(priority jobs.Priority) int {
	sum := 0
	for _, n := range l.TasksByPriority[:priority] {
		sum += n
	}
	return sum
}
