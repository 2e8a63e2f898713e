package scheduler

import (
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

// assignments puts tasks on machines, and counts them wherever they count.
type assignments struct {
	quotas  *quotaTracker
	zones   *zoneTracker
	record  *recordBuilder
	started map[*jobs.Job]int // tasks that the plan starts
}

// start records a start of n tasks on a machine that is up.
func (a *assignments) start(job *jobs.Job, m *candidateMachine, start roundlog.Start, n int) {
	a.record.add(job, start, n)
	a.started[job] += n
	m.receivesTasks = true
	a.allocate(job, m, n)
}

// allocate gives n tasks of the job what they need of the machine, which may be pending.
func (a *assignments) allocate(job *jobs.Job, m *candidateMachine, n int) {
	m.free = m.free.Sub(job.Spec.TaskResources().Multiply(n))
	if job.Spec.Service {
		m.plannedReplicas += n
	}
	a.addUsage(job, m, n)
}

// addUsage counts n tasks of the job as being on the machine.
func (a *assignments) addUsage(job *jobs.Job, m *candidateMachine, n int) {
	a.quotas.use(job, n)
	a.quotas.useReservation(job, n)
	a.zones.add(job, m.zone, n)
}
