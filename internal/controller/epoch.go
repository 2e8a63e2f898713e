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
	// minEpochDuration is the least time between two advances of the epoch.
	minEpochDuration = 5 * time.Second
	// epochCheckInterval is the pause between two looks for stops that are stuck.
	epochCheckInterval = time.Second
	// unconfirmedStopTimeout is how long a stop of a task may wait that was not seen to start.
	unconfirmedStopTimeout = 3 * time.Second
)

// epochAdvance decides when the leader advances its epoch, the fencing token of all its commands: agents refuse commands
// under an older one, so that no late copy of a start can take effect.
type epochAdvance struct {
	*environment
	advancedAt  clock.Instant
	nextCheckAt clock.Instant
}

func newEpochAdvance(env *environment, now clock.Instant) *epochAdvance {
	return &epochAdvance{environment: env, advancedAt: now}
}

// beginIfDue tells whether the epoch is to be advanced now: exits wait to be forgotten, or a start that was taken back
// has not been seen.
func (a *epochAdvance) beginIfDue(now clock.Instant, epoch ident.Epoch, table *jobTable, machines *fleet.Fleet) bool {
	since := now.Sub(a.advancedAt)
	if since < minEpochDuration || now.Before(a.nextCheckAt) {
		return false
	}
	a.nextCheckAt = now.Add(epochCheckInterval)
	if !hasUnconfirmedStop(now, epoch, table) && (machines.TombstoneCount() == 0 || since < a.policy.EpochAdvanceInterval) {
		return false
	}
	a.budget.TakeWrites(now, kvstore.PurposeLeadership, 1)
	a.advancedAt = now
	return true
}

// advanceEpochIfDue advances the epoch while no other transaction that it would fence is in flight.
func (t *term) advanceEpochIfDue(now clock.Instant) {
	if t.rounds.isWriting() || t.checkpoints.isWriting() || t.quotas.isWriting() || t.core.election.AdvancingEpoch() {
		return
	}
	if t.epochs.beginIfDue(now, t.epoch, t.jobs, t.fleet) {
		t.core.stepElection(now, election.AdvanceEpoch{})
	}
}

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
