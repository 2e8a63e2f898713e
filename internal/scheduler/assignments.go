package scheduler

import (
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

// assignments assigns tasks to machines, and updates the quotas, zones and record accordingly.
type assignments struct {
	quotas  *quotaTracker
	zones   *zoneTracker
	record  *recordBuilder
	started map[*jobs.Job]int // number of tasks that the plan starts
}

// start records the start of n tasks of the job on a machine that is up.
func (a *assignments) start(job *jobs.Job, m *candidateMachine, start roundlog.Start, n int) {
	a.record.add(job, start, n)
	a.started[job] += n
	m.receivesTasks = true
	a.allocate(job, m, n)
}

// allocate allocates capacity for n tasks of the job on the machine, which may be pending.
func (a *assignments) allocate(job *jobs.Job, m *candidateMachine, n int) {
	m.free = m.free.Sub(job.Spec.TaskResources().Multiply(n))
	if job.Spec.Service {
		m.plannedReplicas += n
	}
	a.addUsage(job, m, n)
}

// addUsage adds n tasks of the job on the machine to the usage of its team and to the tasks in
// the zone.
func (a *assignments) addUsage(job *jobs.Job, m *candidateMachine, n int) {
	a.quotas.addUsage(job, n)
	a.quotas.consumeReservation(job, n)
	a.zones.add(job, m.zone, n)
}
