package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/leadtransfer"
)

// transferLeadershipIfUnreached hands leadership over if another node can do the work better, and
// rests so that this one is not elected again at once.
func (t *term) transferLeadershipIfUnreached(now clock.Instant) bool {
	if t.rounds.isWriting() || t.checkpoints.isWriting() || t.core.election.AdvancingEpoch() {
		return false
	}
	if t.core.recentlyStalled(now) || now.Sub(t.acquiredAt) < t.settings.Params.Workers.MaxHeartbeatGap() {
		// It has heard nobody because it stood still itself, or because the
		// workers have not had the time to come.
		t.workerReach.ResetDelay()
		return false
	}
	heir := t.workerReach.Transferee(now, t.fleet.ActiveCount(), t.core.transferHistory.Delay(now))
	if heir == "" {
		return false
	}
	t.core.transferHistory.RecordTransfer(now)
	t.log.Info("giving leadership up: the workers do not reach this node", "heir", heir, "epoch", t.epoch)
	t.core.stepElection(now, election.Resign{Cooldown: leadtransfer.Cooldown, Transferee: heir})
	return true
}
