package fleet

import "badgerbay/internal/jobs"

// Load counts the placements on a machine that have not ended, so that a scheduling round does not have to iterate over
// them.
type Load struct {
	Tasks    int
	Services int
	Stopping int
	// ServiceResources is the sum of the resources of the service replicas.
	ServiceResources jobs.Resources
	// TasksByPriority counts the placements by the priority of their jobs.
	TasksByPriority [jobs.PriorityProd + 1]int
}

// add adds a placement to the counts n times; an n of -1 removes it.
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

// TasksBelow returns the number of placements with a lower priority.
func (l *Load) TasksBelow(priority jobs.Priority) int {
	sum := 0
	for _, n := range l.TasksByPriority[:priority] {
		sum += n
	}
	return sum
}
