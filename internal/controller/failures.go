package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/quarantine"
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
	// maxLoggedJobs bounds the number of jobs that a log line about a machine names.
	maxLoggedJobs = 5
)

// tasksEnded handles tasks that have ended: according to the cause it applies backoffs, lets jobs avoid machines and
// records failures.
func (t *term) tasksEnded(now clock.Instant, ch fleet.Changes) {
	for _, ended := range ch.Ended {
		t.rounds.requestPlan()
		p := ended.Placement
		j := p.Job
		t.log.Debug("task ended", "job", j.ID, "task", p.Task, "machine", p.Machine, "cause", ended.Cause, "attempt", p.Attempt, "epoch", t.epoch)
		switch ended.Cause {
		case fleet.ExitError:
			t.metrics.TaskFailures.Inc()
			t.taskFailed(now, p)
		case fleet.ExitNoCapacity, fleet.ExitBusy, fleet.ExitUnknownTask:
			avoidMachine(j, p.Machine, now.Add(refusalAvoidance))
			j.BackoffUntil = max(j.BackoffUntil, now.Add(refusalBackoff))
			t.metrics.StartRefusals.Inc()
		case fleet.ExitGangIncomplete, fleet.ExitGangPeersLost:
			gangFailed(now, p)
		case fleet.ExitDone:
			t.quarantines.RecordSuccess(p.Machine)
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

// taskFailed records the failure of a task, which may quarantine its machine, and lets the job avoid the machine. Tasks
// of one job that were started together on a machine tend to fail together, so only the first of them applies the
// backoff. If the job is likely mistaken each of them does, because machines may be provisioned for its retries. A
// replica that has run stably ends a series of failures, as the completion of a task does.
func (t *term) taskFailed(now clock.Instant, p *jobs.Placement) {
	if p.RanStably(now) {
		p.Job.ConsecutiveFailures = 0
	}
	if firstOfAttempt := t.quarantines.RecordFailure(now, p); firstOfAttempt || t.quarantines.LikelyMistaken(p.Job) {
		applyBackoff(now, p.Job, failureBackoffBase)
	}
	avoidMachine(p.Job, p.Machine, now.Add(failureAvoidance))
}

// updateQuarantines quarantines the machines that the failures of tasks are attributed to, and ends the quarantines of
// those they are no longer attributed to.
func (t *term) updateQuarantines(now clock.Instant) {
	isKnown := func(id ident.MachineID) bool { return t.fleet.Machine(id) != nil }
	for _, change := range t.quarantines.Update(now, isKnown) {
		m := t.fleet.Machine(change.Machine)
		if m == nil {
			continue
		}
		m.Quarantined, m.Faulty = change.State != quarantine.InService, change.State == quarantine.Faulty
		t.rounds.requestPlan()
		event := "machine quarantined"
		if !m.Quarantined {
			event = "machine quarantine ended"
		}
		t.log.Info(event, "machine", m.ID, "state", change.State.String(), "failures", change.Evidence,
			"failed_jobs", change.Jobs[:min(len(change.Jobs), maxLoggedJobs)], "epoch", t.epoch)
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
