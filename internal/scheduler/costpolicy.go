package scheduler

import (
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

// costPolicy decides which machines are worth their price for a job: work that can wait uses
// cheap machines only.
type costPolicy struct {
	urgency *urgency
	offers  *offerCatalog
	quotas  *quotaTracker
	backlog *backlog
	// placingAged is true if the last entry of an array or a service was an aged one. It also
	// applies to the gangs that follow that entry in the queue.
	placingAged bool
}

// worthProvisioning reports whether a machine of the type may be provisioned for the job.
func (c *costPolicy) worthProvisioning(job *jobs.Job, t *fleet.MachineType, spot bool) bool {
	if c.offers.isCheap(job, t, spot) {
		return true
	}
	slack := c.urgency.slackSeconds(job)
	if slack-c.offers.fastestStartSeconds(job) >= urgentSlackSeconds {
		return false
	}
	high := job.Spec.Priority >= jobs.PriorityHigh
	if !high && !c.quotas.withinGuarantee(job) && c.backlog.seconds(job) <= slack {
		return false
	}
	// An expensive machine does not help a job that would miss its deadline on a new machine
	// anyway.
	left, hasDeadline := c.urgency.secondsToDeadline(job)
	return !hasDeadline || high || left >= newMachineStartSeconds(job, t)+optimisticRunRatio*job.Spec.EstimatedRunSeconds
}

// mayUse reports whether the job may start on a machine that is up. Work that can wait does not
// use expensive machines, because it would prevent their deprovisioning, unless a service or a
// guarantee keeps them up anyway. A stalled job may use any machine: where no cheap machine was
// available, the remaining tasks of jobs that had started waited beside idle machines
// indefinitely.
func (c *costPolicy) mayUse(job *jobs.Job, m *candidateMachine) bool {
	if c.urgency.isStalled(job) || job.Spec.Service || job.Spec.Priority >= jobs.PriorityHigh || c.quotas.hasGuarantees {
		return true
	}
	if c.urgency.slackSeconds(job) < ampleSlackSeconds && (c.placingAged || !c.urgency.hasNoObjective(job)) {
		return true
	}
	return m.machine.RunsService() || c.offers.isCheap(job, m.machineType, m.spot)
}

// allowsOneTask reports whether the machine may run at most one task of the job, and none if
// the plan has already started a task of the job.
func (c *costPolicy) allowsOneTask(job *jobs.Job, m *candidateMachine) bool {
	return c.urgency.needsOnlyOneStart(job) && !c.urgency.isStalled(job) && !c.quotas.hasGuarantees &&
		!m.machine.RunsService() && !c.offers.isCheap(job, m.machineType, m.spot)
}
