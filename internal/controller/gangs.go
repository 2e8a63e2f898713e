package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/jobs"
	"badgerbay/internal/schemaversion"
)

// stopGang tells all tasks of a gang to stop, at once: those that are told late
// can't save.
func (t *term) stopGang(now clock.Instant, j *jobs.Job, leave time.Duration) {
	for _, p := range j.Placements {
		if !p.Stopping && !t.rounds.isProposed(p) {
			t.fleet.StopPlacement(now, p, leave)
		}
	}
}

// stopBrokenGangs brings gangs to an end of which some task is gone or told to stop.
// The tasks that are left make no progress: they wait for what does not come, or
// have lost a peer. The gang is placed anew once the end of each is proven. One
// whose lost tasks may still be replaced goes on waiting.
func (t *term) stopBrokenGangs(now clock.Instant) {
	for j := range t.jobs.all() {
		if !j.Spec.Gang || len(j.Placements) == 0 || j.Phase.Final() || t.rounds.isChanging(j.ID) {
			continue
		}
		stopping, leave := false, time.Duration(0)
		for _, p := range j.Placements {
			if p.Stopping {
				stopping, leave = true, max(leave, p.GracePeriod)
			}
		}
		if !stopping && !t.hasLostTasks(now, j) {
			continue
		}
		if _, may := t.replacementAttempt(now, j); !may {
			t.stopGang(now, j, leave)
		}
	}
}

// hasLostTasks tells whether a gang lacks tasks, and notes since when.
func (t *term) hasLostTasks(now clock.Instant, j *jobs.Job) bool {
	switch {
	case len(j.Queue) == 0:
		j.IncompleteSince = 0
	case j.IncompleteSince == 0:
		j.IncompleteSince = now
		t.rounds.requestPlan()
	}
	return len(j.Queue) > 0
}

const (
	// gangReplacementWindow is how long a gang that lost a task before it began waits for
	// a machine that can take the task: longer than the backoff after a refusal.
	gangReplacementWindow = 3 * time.Second
	// gangReplacementMargin is what a replacement takes beside its image: the round, the
	// command and the report.
	gangReplacementMargin = 3 * time.Second
)

// replacementAttempt is the attempt under which the tasks that a gang has lost may be
// started again: where none of it has begun, or is told to stop, and a replacement
// is there before the others give up. What an earlier leader placed is left to end:
// it is not known since when it waits.
func (t *term) replacementAttempt(now clock.Instant, j *jobs.Job) (ident.Attempt, bool) {
	wait := clock.Seconds(t.settings.Params.Workers.GangWaitSeconds)
	if t.schema.version() < schemaversion.ChunkedRounds || len(j.Placements) == 0 || len(j.Queue) == 0 || j.Phase.Final() {
		return 0, false
	}
	attempt, placed := ident.Attempt(0), now
	for _, p := range j.Placements {
		if p.Stopping || p.RunningSince != 0 || p.State == jobs.PlacementCheckpointing || p.RoundNo == 0 || attempt != 0 && p.Attempt != attempt {
			return 0, false
		}
		attempt, placed = p.Attempt, min(placed, p.PlacedAt)
	}
	begins := now.Add(t.slowestFetch(&j.Spec) + gangReplacementMargin)
	may := attempt > j.LastFailedAttempt && begins.Before(placed.Add(wait)) && (j.IncompleteSince == 0 || now.Sub(j.IncompleteSince) < gangReplacementWindow)
	return attempt, may
}

// slowestFetch is how long the image of a job takes at most.
func (t *term) slowestFetch(s *jobs.Spec) time.Duration {
	const spread = 4.0 / 3 // rates vary by a third
	slowest := time.Duration(0)
	for _, typ := range t.core.machineTypes {
		if typ.FetchGBps > 0 {
			slowest = max(slowest, clock.Seconds(spread*s.ImageGB/typ.FetchGBps))
		}
	}
	return slowest
}

// replaceableGangs lists the gangs whose lost tasks may be replaced, with the attempts.
func (t *term) replaceableGangs(now clock.Instant) map[ident.JobID]ident.Attempt {
	out := map[ident.JobID]ident.Attempt{}
	for j := range t.jobs.all() {
		if !j.Spec.Gang {
			continue
		}
		if attempt, may := t.replacementAttempt(now, j); may {
			out[j.ID] = attempt
		}
	}
	return out
}

// gangFailed backs a gang off that was not complete in time or has lost a task,
// once for an attempt. No machine is blamed: which of them is at fault is not
// known.
func (t *term) gangFailed(now clock.Instant, p *jobs.Placement) {
	j := p.Job
	if p.Attempt <= j.LastFailedAttempt {
		return
	}
	j.LastFailedAttempt = p.Attempt
	j.ConsecutiveFailures++
	j.BackoffUntil = max(j.BackoffUntil, now.Add(min(maxBackoff, 250*time.Millisecond<<min(j.ConsecutiveFailures, 7))))
}
