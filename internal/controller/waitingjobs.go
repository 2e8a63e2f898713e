package controller

import (
	"cmp"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

const (
	// minReportedWait is how long a job has waited when it is first reported.
	minReportedWait = 30 * time.Second
	// waitReportInterval is the time between two reports.
	waitReportInterval = 30 * time.Second
)

// waitReporter decides when to log why the job that has waited longest does not start. Without that line, a job that
// waits because machines are quarantined looks like one that is in backoff or fits on no machine.
type waitReporter struct {
	nextReportAt clock.Instant
}

// beginReportIfDue reports whether a report is due now, and if so schedules the next one.
func (r *waitReporter) beginReportIfDue(now clock.Instant) bool {
	if now.Before(r.nextReportAt) {
		return false
	}
	r.nextReportAt = now.Add(waitReportInterval)
	return true
}

// logWaitingJob logs the job that has waited longest, and how many machines can't run its tasks, by reason.
func (t *term) logWaitingJob(now clock.Instant) {
	j := t.longestWaiting(now)
	if j == nil {
		return
	}
	counts := t.machineObstacles(now, j)
	t.log.Info("job waiting", "job", j.ID, "waited", now.Sub(j.WaitingSince()), "queued", j.Queue.Len(), "placed", len(j.Placements),
		"backoff", max(0, j.BackoffUntil.Sub(now)), "machines", t.fleet.Len(),
		"unreachable", counts[fleet.ObstacleUnreachable], "leaving", counts[fleet.ObstacleLeaving],
		"quarantined", counts[fleet.ObstacleQuarantined], "not_allowed", counts[obstacleNotAllowed],
		"avoided", counts[obstacleAvoided], "full", counts[obstacleFull], "epoch", t.epoch)
}

// longestWaiting returns the job of which no task has started for longest, or nil if there is none that has waited for
// minReportedWait.
func (t *term) longestWaiting(now clock.Instant) *jobs.Job {
	waiting := t.waitingJobs(now, minReportedWait)
	if len(waiting) == 0 {
		return nil
	}
	return slices.MinFunc(waiting, func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(a.WaitingSince(), b.WaitingSince()), compareByID(a, b))
	})
}

// waitingJobs returns the jobs with queued tasks of which none has been placed for at least the given time.
func (t *term) waitingJobs(now clock.Instant, atLeast time.Duration) []*jobs.Job {
	var waiting []*jobs.Job
	for j := range t.jobs.all() {
		if len(j.Queue) > 0 && !j.Phase.Final() && now.Sub(j.WaitingSince()) >= atLeast {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// Reasons why a machine that may get tasks can't run those of a particular job.
const (
	obstacleNotAllowed fleet.Obstacle = "not_allowed" // the job's spec excludes the machine
	obstacleAvoided    fleet.Obstacle = "avoided"     // a task of the job has just failed on the machine
	obstacleFull       fleet.Obstacle = "full"
)

// machineObstacles counts the machines by the reason why they can't run a task of the job.
func (t *term) machineObstacles(now clock.Instant, j *jobs.Job) map[fleet.Obstacle]int {
	counts := map[fleet.Obstacle]int{}
	for _, m := range t.fleet.Machines() {
		obstacle := t.fleet.SchedulingObstacle(m)
		if obstacle == fleet.ObstacleNone {
			obstacle = t.jobObstacle(now, j, m)
		}
		counts[obstacle]++
	}
	return counts
}

// jobObstacle returns the reason why a machine that may get tasks can't run a task of the job.
func (t *term) jobObstacle(now clock.Instant, j *jobs.Job, m *fleet.Machine) fleet.Obstacle {
	switch {
	case !j.Spec.AllowsMachine(m.Type, m.Zone, m.Spot):
		return obstacleNotAllowed
	case j.Avoids(m.ID, now):
		return obstacleAvoided
	case !t.fleet.FreeCapacity(m).Fits(j.Spec.TaskResources()):
		return obstacleFull
	}
	return fleet.ObstacleNone
}
