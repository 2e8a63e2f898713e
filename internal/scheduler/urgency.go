package scheduler

import (
	"math"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	// urgentSlackSeconds is the slack, beyond the time that a machine takes to come up, below
	// which work gets machines at any price.
	urgentSlackSeconds = 20
	// ampleSlackSeconds is the slack above which work does not use machines that would be kept
	// for this work alone.
	ampleSlackSeconds = 90
	// defaultSlackSeconds is the slack of work without objectives.
	defaultSlackSeconds = 150
	// stallThresholdSeconds is the time without a start after which the tasks of a job may be
	// placed on any machine on which they fit.
	stallThresholdSeconds = 60
	// agingThresholdSeconds is the waiting time after which work that has not started is placed
	// before other work, so that it does not starve behind work that precedes it in the queue.
	agingThresholdSeconds = 140
	// agingDeadlineSeconds is the waiting time after which all tasks of a job that never ran
	// are placed before other work, whatever share of the machines that takes.
	agingDeadlineSeconds = 180
	// defaultRunSeconds is the assumed run time of tasks without an estimate.
	defaultRunSeconds = 300
	// optimisticRunRatio is the ratio of the run time to its estimate in the best case.
	optimisticRunRatio = 0.6
	// expectedRunRatio is the expected ratio of the run time to its estimate.
	expectedRunRatio = 1.3
)

// urgency determines how long jobs have waited and how long they can still wait.
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

// startWithinSeconds returns the time within which jobs of the class should start; 0 if none is
// set.
func (u *urgency) startWithinSeconds(class ident.Class) float64 {
	return u.objectives[class].StartWithin.Seconds()
}

// slackSeconds returns how long the tasks of the job can still wait to start without missing
// the objectives of the job.
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
		// No objective depends on the remaining tasks of a job that has started.
		return defaultSlackSeconds
	default:
		left = defaultSlackSeconds - waited
	}
	return max(0, left)
}

// reachableFinish returns the shortest completion objective that the job can still meet in the
// best case, or the longest one if it can meet none. It reports false if its class has none.
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

// hasNoObjective reports whether the job is no service and has no deadline, and its class has
// no objectives.
func (u *urgency) hasNoObjective(job *jobs.Job) bool {
	return !job.Spec.Service && job.Spec.DeadlineSeconds <= 0 && u.objectives[job.Spec.Class].IsEmpty()
}

// needsOnlyOneStart reports whether the job has no objective and has not started: it only has
// to start some time, for which one task on an expensive machine is enough. Without this rule,
// hundreds of expensive machines were provisioned for all tasks of old jobs of the lowest
// priority.
func (u *urgency) needsOnlyOneStart(job *jobs.Job) bool {
	return job.Spec.Priority < jobs.PriorityHigh && u.hasNoObjective(job) && !job.HasStarted()
}

// isAged reports whether the job has waited so long that it may be starving.
func (u *urgency) isAged(job *jobs.Job) bool {
	return job.Spec.Priority < jobs.PriorityHigh && !job.Spec.Gang && !job.Spec.Service &&
		u.waitedSeconds(job) >= agingThresholdSeconds
}

// isStalled reports whether no task of the job has been placed for stallThresholdSeconds,
// although some are queued.
func (u *urgency) isStalled(job *jobs.Job) bool {
	return u.now.Sub(job.WaitingSince()).Seconds() >= stallThresholdSeconds
}

// expectedRunSeconds returns the expected run time of a task of the job.
func expectedRunSeconds(job *jobs.Job) float64 {
	if job.Spec.EstimatedRunSeconds <= 0 {
		return defaultRunSeconds
	}
	return expectedRunRatio * job.Spec.EstimatedRunSeconds
}
