package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// failureBackoffBase and gangBackoffBase are the units of the backoff of a job whose task or gang failed. The
	// backoff is twice the unit after the first failure, and doubles with each further consecutive failure, up to
	// maxBackoff.
	failureBackoffBase = 500 * time.Millisecond
	gangBackoffBase    = 250 * time.Millisecond
	maxBackoff         = 30 * time.Second
	// maxBackoffDoublings bounds the number of doublings, so that the backoff does not overflow.
	maxBackoffDoublings = 7
	// refusalBackoff is the backoff of a job after a machine refused to start one of its tasks.
	refusalBackoff = time.Second
	// failureAvoidance and refusalAvoidance are how long a job avoids a machine on which its task failed, or that
	// refused to start its task.
	failureAvoidance = time.Minute
	refusalAvoidance = 3 * time.Second
	// maxMachineFailures is the number of consecutive task failures after which a machine is quarantined. Failures
	// beyond maxAttributedFailures of a job do not count.
	maxMachineFailures = 3
	// maxAttributedFailures is how many consecutive failures of a job count against machines. Further failures are
	// attributed to the job itself.
	maxAttributedFailures = 3
)

// tasksEnded handles tasks that have ended: according to the cause it applies backoffs, lets jobs avoid machines and
// counts failures.
func (t *term) tasksEnded(now clock.Instant, ch fleet.Changes) {
	for _, ended := range ch.Ended {
		t.rounds.requestPlan()
		p := ended.Placement
		j, m := p.Job, t.fleet.Machine(p.Machine)
		t.log.Debug("task ended", "job", j.ID, "task", p.Task, "machine", p.Machine, "cause", ended.Cause, "attempt", p.Attempt, "epoch", t.epoch)
		switch ended.Cause {
		case fleet.ExitError:
			t.metrics.TaskFailures.Inc()
			t.taskFailed(now, j, m)
		case fleet.ExitNoCapacity, fleet.ExitBusy, fleet.ExitUnknownTask:
			avoidMachine(j, p.Machine, now.Add(refusalAvoidance))
			j.BackoffUntil = max(j.BackoffUntil, now.Add(refusalBackoff))
			t.metrics.StartRefusals.Inc()
		case fleet.ExitGangIncomplete, fleet.ExitGangPeersLost:
			gangFailed(now, p)
		case fleet.ExitDone:
			if m != nil {
				m.ConsecutiveFailures = 0
			}
		}
	}
}

func avoidMachine(j *jobs.Job, id ident.MachineID, until clock.Instant) {
	if j.AvoidUntil == nil {
		j.AvoidUntil = map[ident.MachineID]clock.Instant{}
	}
	j.AvoidUntil[id] = until
}

// applyBackoff counts a failure of a job and sets the backoff before its next start.
func applyBackoff(now clock.Instant, j *jobs.Job, base time.Duration) {
	j.ConsecutiveFailures++
	backoff := min(maxBackoff, base<<min(j.ConsecutiveFailures, maxBackoffDoublings))
	j.BackoffUntil = max(j.BackoffUntil, now.Add(backoff))
}

// taskFailed applies the backoff to the job. It counts the failure against the machine, unless the job has failed more
// than maxAttributedFailures times in a row: such a job is assumed to fail on every machine.
func (t *term) taskFailed(now clock.Instant, j *jobs.Job, m *fleet.Machine) {
	applyBackoff(now, j, failureBackoffBase)
	if m == nil {
		return
	}
	avoidMachine(j, m.ID, now.Add(failureAvoidance))
	if j.ConsecutiveFailures > maxAttributedFailures {
		return
	}
	m.ConsecutiveFailures++
	if m.ConsecutiveFailures >= maxMachineFailures && !m.Quarantined {
		m.Quarantined = true
		t.log.Info("machine quarantined", "machine", m.ID, "job", j.ID, "job_failures", j.ConsecutiveFailures, "epoch", t.epoch)
	}
}

// gangFailed applies the backoff, once per attempt, to a gang that was not complete in time or lost a task. The failure
// is counted against no machine, because it is unknown which of the gang's machines is at fault.
func gangFailed(now clock.Instant, p *jobs.Placement) {
	j := p.Job
	if p.Attempt <= j.LastFailedAttempt {
		return
	}
	j.LastFailedAttempt = p.Attempt
	applyBackoff(now, j, gangBackoffBase)
}
