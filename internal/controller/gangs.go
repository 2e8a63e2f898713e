package controller

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

// haltGang tells all tasks of a gang to stop, at once: those that are told late
// can't save.
func (t *term) haltGang(now unit.Instant, j *checkpoint.Job, leave time.Duration) {
	for _, p := range j.Live {
		if !p.Halting && !t.proposed(p) {
			t.fleet.Halt(now, p, leave)
		}
	}
}

// endBroken brings gangs to an end of which some task is gone or told to stop.
// The tasks that are left make no progress: they wait for what does not come, or
// have lost a peer. The gang is placed anew once the end of each is proven.
func (t *term) endBroken(now unit.Instant) {
	for _, j := range t.jobs {
		if !j.Spec.Gang || len(j.Live) == 0 || j.Phase.Final() || t.flight != nil && t.flight.jobs[j.ID] {
			continue
		}
		stopping, leave := false, time.Duration(0)
		for _, p := range j.Live {
			if p.Halting {
				stopping, leave = true, max(leave, p.Leave)
			}
		}
		if stopping || len(j.Queue) > 0 {
			t.haltGang(now, j, leave)
		}
	}
}

// gangFailed backs a gang off that was not complete in time or has lost a task,
// once for an attempt. No machine is blamed: which of them is at fault is not
// known.
func (t *term) gangFailed(now unit.Instant, p *checkpoint.Placement) {
	j := p.Job
	if p.Attempt <= j.GangError {
		return
	}
	j.GangError = p.Attempt
	j.Errors++
	j.NotBefore = max(j.NotBefore, now.Add(min(maxBackoff, 250*time.Millisecond<<min(j.Errors, 7))))
}
