package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

const (
	maxBackoff       = 30 * time.Second
	failureAvoidance = time.Minute
	refusalAvoidance = 3 * time.Second
	// maxMachineFailures failed tasks in a row, of jobs that run elsewhere, a
	// machine gets no more.
	maxMachineFailures = 3
	// maxBlamedFailures: after this many failures in a row on different machines it is
	// the job, not the machines.
	maxBlamedFailures = 3
)

func (t *term) tasksEnded(now clock.Instant, ch fleet.Changes) {
	for _, e := range ch.Ended {
		t.rounds.requestPlan()
		j, m := e.Placement.Job, t.fleet.Machine(e.Placement.Machine)
		t.log.Debug("task ended", "job", j.ID, "task", e.Placement.Task, "machine", e.Placement.Machine,
			"cause", e.Cause, "attempt", e.Placement.Attempt, "epoch", t.epoch)
		switch e.Cause {
		case fleet.ExitError:
			t.taskFailed(now, j, m)
		case fleet.ExitNoCapacity, fleet.ExitBusy, fleet.ExitUnknownTask:
			t.avoidMachine(now, j, e.Placement.Machine, refusalAvoidance)
			j.BackoffUntil = max(j.BackoffUntil, now.Add(time.Second))
			t.metrics.StartRefusals.Inc()
		case fleet.ExitGangIncomplete, fleet.ExitGangPeersLost:
			t.gangFailed(now, e.Placement)
		case fleet.ExitDone:
			if m != nil {
				m.ConsecutiveFailures = 0
			}
		}
	}
}

func (t *term) avoidMachine(now clock.Instant, j *jobs.Job, id ident.MachineID, d time.Duration) {
	if j.AvoidUntil == nil {
		j.AvoidUntil = map[ident.MachineID]clock.Instant{}
	}
	j.AvoidUntil[id] = now.Add(d)
}

// taskFailed backs the job off, and counts the failure against the machine unless
// the job fails wherever it goes.
func (t *term) taskFailed(now clock.Instant, j *jobs.Job, m *fleet.Machine) {
	j.ConsecutiveFailures++
	wait := min(maxBackoff, 500*time.Millisecond<<min(j.ConsecutiveFailures, 7))
	j.BackoffUntil = max(j.BackoffUntil, now.Add(wait))
	if m == nil {
		return
	}
	t.avoidMachine(now, j, m.ID, failureAvoidance)
	if j.ConsecutiveFailures > maxBlamedFailures {
		return
	}
	m.ConsecutiveFailures++
	if m.ConsecutiveFailures >= maxMachineFailures && !m.Quarantined {
		m.Quarantined = true
		t.log.Info("machine drained as faulty", "machine", m.ID, "epoch", t.epoch)
	}
}
