package scheduler

import (
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

// costPolicy decides which machines are worth their price for a job: work that can wait
// is given cheap ones.
type costPolicy struct {
	urgency *urgency
	offers  *offerCatalog
	quotas  *quotaTracker
	backlog *backlog
	// placingAged tells that the last entry of single tasks was one of aged work. Gangs that
	// come after it are judged by it too.
	placingAged bool
}

// worthProvisioning tells whether a machine of the type may be provisioned for the job.
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
	// What would be late on a new machine anyway is not helped by an expensive one.
	left, hasDeadline := c.urgency.secondsToDeadline(job)
	return !hasDeadline || high || left >= newMachineStartSeconds(job, t)+optimisticRunRatio*job.Spec.EstimatedRunSeconds
}

// mayUse tells whether the job may start on a machine that is up. Work that can wait stays
// off expensive machines, unless a service or a guarantee keeps them anyway: it would keep
// them from being deprovisioned. It does not wait for ever: where no cheap machine was to
// be had, the rest of jobs that had started waited beside idle machines for good.
func (c *costPolicy) mayUse(job *jobs.Job, m *candidateMachine) bool {
	if c.urgency.isStalled(job) || job.Spec.Service || job.Spec.Priority >= jobs.PriorityHigh || c.quotas.hasGuarantees {
		return true
	}
	if c.urgency.slackSeconds(job) < ampleSlackSeconds && (c.placingAged || !c.urgency.hasNoObjective(job)) {
		return true
	}
	return m.machine.RunsService() || c.offers.isCheap(job, m.machineType, m.spot)
}

// allowsOneTask tells whether the machine may take but one task of the job, and none if the
// plan has started some already.
func (c *costPolicy) allowsOneTask(job *jobs.Job, m *candidateMachine) bool {
	return c.urgency.needsOnlyOneStart(job) && !c.urgency.isStalled(job) && !c.quotas.hasGuarantees &&
		!m.machine.RunsService() && !c.offers.isCheap(job, m.machineType, m.spot)
}
