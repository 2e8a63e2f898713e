package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// failureBackoffBase and gangBackoffBase are the first backoffs of a job whose task or gang failed; each further failure
	// doubles it, up to maxBackoff.
	failureBackoffBase = 500 * time.Millisecond
	gangBackoffBase    = 250 * time.Millisecond
	maxBackoff         = 30 * time.Second
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 7
	// refusalBackoff is the backoff of a job whose task a machine has refused.
	refusalBackoff = time.Second
	// failureAvoidance and refusalAvoidance are how long a job avoids a machine on which its task failed, or that refused it.
	failureAvoidance = time.Minute
	refusalAvoidance = 3 * time.Second
	// maxMachineFailures is the number of failed tasks in a row, of jobs that run elsewhere, by which a machine is
	// quarantined.
	maxMachineFailures = 3
	// maxAttributedFailures is the number of failures of a job in a row that count against machines; after more it is the job.
	maxAttributedFailures = 3
)

// tasksEnded follows the ends of tasks.
func (t *term) tasksEnded(now clock.Instant, ch fleet.Changes) {
	for _, ended := range ch.Ended {
		t.rounds.requestPlan()
		p := ended.Placement
		j, m := p.Job, t.fleet.Machine(p.Machine)
		t.log.Debug("task ended", "job", j.ID, "task", p.Task, "machine", p.Machine, "cause", ended.Cause, "attempt", p.Attempt, "epoch", t.epoch)
		switch ended.Cause {
		case fleet.ExitError:
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

// applyBackoff counts a failure of a job, and puts its next start off.
func applyBackoff(now clock.Instant, j *jobs.Job, base time.Duration) {
	j.ConsecutiveFailures++
	backoff := min(maxBackoff, base<<min(j.ConsecutiveFailures, maxBackoffDoublings))
	j.BackoffUntil = max(j.BackoffUntil, now.Add(backoff))
}

// taskFailed backs the job off, and counts the failure against the machine unless the job fails wherever it goes.
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
		t.log.Info("machine quarantined", "machine", m.ID, "epoch", t.epoch)
	}
}

// gangFailed backs a gang off that was not complete in time or has lost a task, once for an attempt. No machine is blamed:
// which of them is at fault is not known.
func gangFailed(now clock.Instant, p *jobs.Placement) {
	j := p.Job
	if p.Attempt <= j.LastFailedAttempt {
		return
	}
	j.LastFailedAttempt = p.Attempt
	applyBackoff(now, j, gangBackoffBase)
}
