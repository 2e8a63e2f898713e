package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

const (
	// minEpochDuration is the minimum time between two advances of the epoch.
	minEpochDuration = 5 * time.Second
	// epochCheckInterval is the minimum time between two checks for unconfirmed stops.
	epochCheckInterval = time.Second
	// unconfirmedStopTimeout is how long after its placement a task that is being stopped, but was never reported as
	// started, may stay unconfirmed before the epoch is advanced.
	unconfirmedStopTimeout = 3 * time.Second
)

// epochAdvance decides when the leader advances its epoch. The epoch is the fencing token of all its commands: workers
// reject commands with an older one, so a delayed copy of a start command cannot take effect after an advance.
type epochAdvance struct {
	*environment
	advancedAt  clock.Instant
	nextCheckAt clock.Instant
}

func newEpochAdvance(env *environment, now clock.Instant) *epochAdvance {
	return &epochAdvance{environment: env, advancedAt: now}
}

// beginIfDue reports whether the epoch must be advanced now, and if so records the advance as begun. It is due in two
// cases: workers still remember ended placements and the regular interval has passed, or a task was stopped before it
// was reported as started, and only fencing proves that its start command can no longer take effect.
func (a *epochAdvance) beginIfDue(now clock.Instant, epoch ident.Epoch, table *jobTable, machines *fleet.Fleet) bool {
	since := now.Sub(a.advancedAt)
	if since < minEpochDuration || now.Before(a.nextCheckAt) {
		return false
	}
	a.nextCheckAt = now.Add(epochCheckInterval)
	if !hasUnconfirmedStop(now, epoch, table) && (machines.TombstoneCount() == 0 || since < a.policy.MinEpochAdvanceInterval) {
		return false
	}
	a.budget.TakeWrites(now, kvstore.PurposeLeadership, 1)
	a.advancedAt = now
	return true
}

// advanceEpochIfDue advances the epoch if that is due and no transaction is in flight that the advance would fence.
func (t *term) advanceEpochIfDue(now clock.Instant) {
	if t.rounds.isWriting() || t.checkpoints.isWriting() || t.quotas.isWriting() || t.core.election.AdvancingEpoch() {
		return
	}
	if t.epochs.beginIfDue(now, t.epoch, t.jobs, t.fleet) {
		t.core.stepElection(now, election.AdvanceEpoch{})
	}
}

// hasUnconfirmedStop reports whether a task that was placed in this epoch is being stopped and, after the timeout, has
// still not been reported as started.
func hasUnconfirmedStop(now clock.Instant, epoch ident.Epoch, table *jobTable) bool {
	for j := range table.all() {
		for _, p := range j.Placements {
			if p.Stopping && p.State == jobs.PlacementPending && now.Sub(p.PlacedAt) > unconfirmedStopTimeout && p.FencingToken == epoch {
				return true
			}
		}
	}
	return false
}
