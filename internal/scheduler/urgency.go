package scheduler

import (
	"math"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// urgentSlackSeconds: work that can wait no longer than this beyond what a machine
	// takes to come up is helped at any price.
	urgentSlackSeconds = 20
	// ampleSlackSeconds: work with more slack than this does not use machines that only
	// it would keep.
	ampleSlackSeconds = 90
	// defaultSlackSeconds is the slack of work without objectives.
	defaultSlackSeconds = 150
	// stallThresholdSeconds: tasks of a job of which nothing has started for so long may
	// go wherever they fit.
	stallThresholdSeconds = 60
	// agingThresholdSeconds: what has waited so long and has not started goes before
	// others, so that nothing starves behind what goes first.
	agingThresholdSeconds = 140
	// agingDeadlineSeconds: what has waited so long goes before others with all its tasks
	// that never ran, whatever share of the machines that takes.
	agingDeadlineSeconds = 180
	// defaultRunSeconds is taken for the run time of tasks that name none.
	defaultRunSeconds = 300
	// optimisticRunRatio is the part of its estimate that work may take if all goes well.
	optimisticRunRatio = 0.6
	// expectedRunRatio is how much longer than its estimate work is expected to run.
	expectedRunRatio = 1.3
)

// urgency tells how long jobs have waited and how long they still can.
type urgency struct {
	now        clock.Instant
	wallMs     int64
	objectives map[ident.Class]Objectives
}

func newUrgency(s *Snapshot) *urgency {
	return &urgency{now: s.Now, wallMs: s.WallMs, objectives: s.Objectives}
}

func (u *urgency) waitedSeconds(job *jobs.Job) float64 {
	return float64(u.wallMs-job.AcceptedAtMs) / 1000
}

func (u *urgency) secondsToDeadline(job *jobs.Job) (seconds float64, hasDeadline bool) {
	if job.Spec.DeadlineSeconds <= 0 {
		return 0, false
	}
	return job.Spec.DeadlineSeconds - u.waitedSeconds(job), true
}

// startWithinSeconds is the time in which jobs of the class should start; 0: none is set.
func (u *urgency) startWithinSeconds(class ident.Class) float64 {
	return u.objectives[class].StartWithin.Seconds()
}

// slackSeconds is how long the job can still wait for its tasks to start and meet its
// objectives.
func (u *urgency) slackSeconds(job *jobs.Job) float64 {
	if job.Spec.Service || job.Spec.Priority >= jobs.PriorityHigh {
		return 0
	}
	waited := u.waitedSeconds(job)
	left := math.Inf(1)
	if within := u.startWithinSeconds(job.Spec.Class); within > 0 {
		left = min(left, within-waited)
	}
	if finish, ok := u.reachableFinish(job); ok {
		left = min(left, finish.Seconds()-waited-expectedRunRatio*job.Spec.EstimatedRunSeconds)
	}
	if job.Spec.DeadlineSeconds > 0 {
		left = min(left, job.Spec.DeadlineSeconds-waited-expectedRunRatio*job.Spec.EstimatedRunSeconds)
	}
	switch {
	case !math.IsInf(left, 1):
	case job.HasStarted():
		// Nobody waits for the rest of it.
		return defaultSlackSeconds
	default:
		left = defaultSlackSeconds - waited
	}
	return max(0, left)
}

// reachableFinish is the shortest objective for the job's completion that it can still
// meet if all goes well, or else the longest.
func (u *urgency) reachableFinish(job *jobs.Job) (time.Duration, bool) {
	targets := u.objectives[job.Spec.Class].FinishWithin
	if len(targets) == 0 {
		return 0, false
	}
	for _, target := range targets {
		if u.waitedSeconds(job)+optimisticRunRatio*job.Spec.EstimatedRunSeconds <= target.Seconds() {
			return target, true
		}
	}
	return targets[len(targets)-1], true
}

// hasNoObjective tells whether the job has no deadline, and its class no objective.
func (u *urgency) hasNoObjective(job *jobs.Job) bool {
	return !job.Spec.Service && job.Spec.DeadlineSeconds <= 0 && u.objectives[job.Spec.Class].IsEmpty()
}

// needsOnlyOneStart tells whether nothing is expected of the job but that it starts some
// time: one task on an expensive machine does for that. Old jobs of the lowest priority
// had hundreds of expensive machines provisioned for all their tasks.
func (u *urgency) needsOnlyOneStart(job *jobs.Job) bool {
	return job.Spec.Priority < jobs.PriorityHigh && u.hasNoObjective(job) && !job.HasStarted()
}

// isAged tells whether the job has waited so long that it may be starving.
func (u *urgency) isAged(job *jobs.Job) bool {
	return job.Spec.Priority < jobs.PriorityHigh && !job.Spec.Gang && !job.Spec.Service &&
		u.waitedSeconds(job) >= agingThresholdSeconds
}

// isStalled tells whether no task of the job has been placed for long, though some wait.
func (u *urgency) isStalled(job *jobs.Job) bool {
	return u.now.Sub(max(job.QueuedSince, job.LastPlacedAt)).Seconds() >= stallThresholdSeconds
}

// expectedRunSeconds is how long a task of the job is expected to run.
func expectedRunSeconds(job *jobs.Job) float64 {
	if job.Spec.EstimatedRunSeconds <= 0 {
		return defaultRunSeconds
	}
	return expectedRunRatio * job.Spec.EstimatedRunSeconds
}
