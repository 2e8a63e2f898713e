package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/schemaversion"
)

const (
	// gangReplacementWindow is how long a gang that lost a task before it began waits for a machine that can take the
	// task: longer than the backoff after a refusal.
	gangReplacementWindow = 3 * time.Second
	// gangReplacementMargin is what a replacement takes beside its image: the round, the command and the heartbeat.
	gangReplacementMargin = 3 * time.Second
	// maxFetchTimeFactor is how much longer than announced an image may take: rates vary by a third.
	maxFetchTimeFactor = 4.0 / 3
)

// stopGang stops all tasks of a gang at once: those that are told late can't write a checkpoint.
func (t *term) stopGang(now clock.Instant, j *jobs.Job, gracePeriod time.Duration) {
	for _, p := range j.Placements {
		if !p.Stopping && !t.rounds.isPlacementInFlight(p) {
			t.fleet.StopPlacement(now, p, gracePeriod)
		}
	}
}

// stopBrokenGangs stops the gangs of which some task has ended or is being stopped. The tasks that are left make no
// progress: they wait for what does not come, or have lost a peer. The gang is placed anew once the end of each is proven.
// One whose lost tasks may still be replaced goes on waiting.
func (t *term) stopBrokenGangs(now clock.Instant) {
	for j := range t.jobs.all() {
		if !j.Spec.Gang || len(j.Placements) == 0 || j.Phase.Final() || t.rounds.startsTasksOf(j.ID) {
			continue
		}
		gracePeriod, stopping := gangGracePeriod(j)
		if !stopping && !t.hasLostTasks(now, j) {
			continue
		}
		if _, ok := t.replacementAttempt(now, j); !ok {
			t.stopGang(now, j, gracePeriod)
		}
	}
}

// gangGracePeriod is the longest grace period among the tasks of a gang that are being stopped. It returns false if none
// is.
func gangGracePeriod(j *jobs.Job) (gracePeriod time.Duration, stopping bool) {
	for _, p := range j.Placements {
		if p.Stopping {
			gracePeriod, stopping = max(gracePeriod, p.GracePeriod), true
		}
	}
	return gracePeriod, stopping
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

// replacementAttempt is the attempt under which the tasks that a gang has lost may be started again: where none of it has
// begun or is being stopped, and a replacement is there before the others give up. What an earlier leader placed is left
// to end: it is not known since when it waits.
func (t *term) replacementAttempt(now clock.Instant, j *jobs.Job) (ident.Attempt, bool) {
	if t.schema.version() < schemaversion.ChunkedRounds || len(j.Placements) == 0 || len(j.Queue) == 0 || j.Phase.Final() {
		return 0, false
	}
	attempt, placedAt := ident.Attempt(0), now
	for _, p := range j.Placements {
		begun := p.Stopping || p.RunningSince != 0 || p.State == jobs.PlacementCheckpointing
		if begun || p.RoundNo == 0 || attempt != 0 && p.Attempt != attempt {
			return 0, false
		}
		attempt, placedAt = p.Attempt, min(placedAt, p.PlacedAt)
	}
	wait := clock.Seconds(t.settings.Params.Workers.GangWaitSeconds)
	startsAt := now.Add(maxImageFetchTime(t.core.machineTypes, &j.Spec) + gangReplacementMargin)
	inWindow := j.IncompleteSince == 0 || now.Sub(j.IncompleteSince) < gangReplacementWindow
	return attempt, attempt > j.LastFailedAttempt && startsAt.Before(placedAt.Add(wait)) && inWindow
}

// maxImageFetchTime is how long the image of a job takes at most, on any machine type.
func maxImageFetchTime(types []*fleet.MachineType, s *jobs.Spec) time.Duration {
	slowest := time.Duration(0)
	for _, typ := range types {
		if typ.FetchGBps > 0 {
			slowest = max(slowest, clock.Seconds(maxFetchTimeFactor*s.ImageGB/typ.FetchGBps))
		}
	}
	return slowest
}

// replaceableGangs lists the gangs whose lost tasks may be replaced, with the attempts.
func (t *term) replaceableGangs(now clock.Instant) map[ident.JobID]ident.Attempt {
	attempts := map[ident.JobID]ident.Attempt{}
	for j := range t.jobs.all() {
		if !j.Spec.Gang {
			continue
		}
		if attempt, ok := t.replacementAttempt(now, j); ok {
			attempts[j.ID] = attempt
		}
	}
	return attempts
}
