package controller

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

const (
	maxBackoff   = 30 * time.Second
	avoidFaulty  = time.Minute
	avoidRefused = 3 * time.Second
	// suspectAfter failed tasks in a row, of jobs that run elsewhere, a
	// machine gets no more.
	suspectAfter = 3
	// blameJob: after this many failures in a row on different machines it is
	// the job, not the machines.
	blameJob = 3
)

func (t *term) ended(now unit.Instant, ch fleet.Changes) {
	for _, e := range ch.Ended {
		t.dirty = true
		j, m := e.Placement.Job, t.fleet.Machine(e.Placement.Machine)
		t.c.log.Debug("task ended", "job", j.ID, "task", e.Placement.Task, "machine", e.Placement.Machine,
			"cause", e.Cause, "attempt", e.Placement.Attempt, "epoch", t.epoch)
		switch e.Cause {
		case fleet.ExitError:
			t.failed(now, j, m)
		case fleet.ExitNoCapacity, fleet.ExitBusy, fleet.ExitUnknownTask:
			t.avoid(now, j, e.Placement.Machine, avoidRefused)
			j.BackoffUntil = max(j.BackoffUntil, now.Add(time.Second))
			t.c.met.Refusals.Inc()
		case fleet.ExitGangIncomplete, fleet.ExitGangPeersLost:
			t.gangFailed(now, e.Placement)
		case fleet.ExitDone:
			if m != nil {
				m.ConsecutiveFailures = 0
			}
		}
	}
}

func (t *term) avoid(now unit.Instant, j *checkpoint.Job, id unit.MachineID, d time.Duration) {
	if j.AvoidUntil == nil {
		j.AvoidUntil = map[unit.MachineID]unit.Instant{}
	}
	j.AvoidUntil[id] = now.Add(d)
}

// failed backs the job off, and counts the failure against the machine unless
// the job fails wherever it goes.
func (t *term) failed(now unit.Instant, j *checkpoint.Job, m *fleet.Machine) {
	j.ConsecutiveFailures++
	wait := min(maxBackoff, 500*time.Millisecond<<min(j.ConsecutiveFailures, 7))
	j.BackoffUntil = max(j.BackoffUntil, now.Add(wait))
	if m == nil {
		return
	}
	t.avoid(now, j, m.ID, avoidFaulty)
	if j.ConsecutiveFailures > blameJob {
		return
	}
	m.ConsecutiveFailures++
	if m.ConsecutiveFailures >= suspectAfter && !m.Quarantined {
		m.Quarantined = true
		t.c.log.Info("machine drained as faulty", "machine", m.ID, "epoch", t.epoch)
	}
}
