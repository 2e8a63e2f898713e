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
	// gangReplacementWindow is how long a gang that lost a task before it began waits for a machine that can run the
	// task. It is longer than refusalBackoff, during which the job is not placed.
	gangReplacementWindow = 3 * time.Second
	// gangReplacementMargin is the time that a replacement takes besides fetching its image: for the round, the start
	// command and the heartbeat.
	gangReplacementMargin = 3 * time.Second
	// maxFetchTimeFactor is the ratio of the longest image fetch time to the one at the announced rate: rates vary by a
	// third.
	maxFetchTimeFactor = 4.0 / 3
)

// stopGang stops all tasks of a gang at the same time, because tasks that are stopped later than their peers can't
// write a checkpoint.
func (t *term) stopGang(now clock.Instant, j *jobs.Job, gracePeriod time.Duration) {
	for _, p := range j.Placements {
		if !p.Stopping && !t.rounds.isPlacementInFlight(p) {
			t.fleet.StopPlacement(now, p, gracePeriod)
		}
	}
}

// stopBrokenGangs stops the gangs of which a task has ended or is being stopped. Their other tasks make no progress:
// they wait for a peer that will not start, or have lost one. The gang is placed again once each of its tasks is known
// to have ended. A gang whose lost tasks may still be replaced is not stopped.
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

// gangGracePeriod returns the longest grace period among the tasks of a gang that are being stopped. It returns false
// if no task is being stopped.
func gangGracePeriod(j *jobs.Job) (gracePeriod time.Duration, stopping bool) {
	for _, p := range j.Placements {
		if p.Stopping {
			gracePeriod, stopping = max(gracePeriod, p.GracePeriod), true
		}
	}
	return gracePeriod, stopping
}

// hasLostTasks reports whether a gang lacks tasks. It also maintains IncompleteSince, and requests a plan when the gang
// starts to lack tasks.
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

// replacementAttempt returns the attempt under which the lost tasks of a gang may be started again. It returns false
// unless all of these hold:
//  1. The gang lacks some of its tasks, its job has not ended, and the agreed schema version is at least
//     ChunkedRounds.
//  2. None of the gang's remaining tasks has begun or is being stopped.
//  3. This leader placed the gang's remaining tasks, all under one attempt, which has not failed. If an earlier leader
//     placed one, it is unknown since when the gang has been waiting, and the attempt is left to end.
//  4. A replacement can start before the other tasks stop waiting for it.
//  5. The gang has lacked tasks for less than gangReplacementWindow.
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

// maxImageFetchTime returns the longest time that fetching the image of a job may take, over all machine types.
func maxImageFetchTime(types []*fleet.MachineType, s *jobs.Spec) time.Duration {
	slowest := time.Duration(0)
	for _, typ := range types {
		if typ.FetchGBps > 0 {
			slowest = max(slowest, clock.Seconds(maxFetchTimeFactor*s.ImageGB/typ.FetchGBps))
		}
	}
	return slowest
}

// replaceableGangs returns the gangs whose lost tasks may be replaced, with their attempts.
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
