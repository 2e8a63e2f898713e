package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/leadtransfer"
)

// transferLeadershipIfUnreached gives leadership to another node that can do the work better, and rests so that this one
// is not elected again at once.
func (t *term) transferLeadershipIfUnreached(now clock.Instant) bool {
	if t.rounds.isWriting() || t.checkpoints.isWriting() || t.core.election.AdvancingEpoch() {
		return false
	}
	// A node that stalled has heard nobody meanwhile, and the workers of a new leader need the time to come.
	settled := !t.core.recentlyStalled(now) && now.Sub(t.acquiredAt) >= t.settings.Params.Workers.MaxHeartbeatGap()
	transferee := t.monitor.transferee(now, settled, t.fleet.ActiveCount(), t.core.transferHistory.Delay(now))
	if transferee == "" {
		return false
	}
	t.core.transferHistory.RecordTransfer(now)
	t.log.Info("leadership transfer started", "transferee", transferee, "epoch", t.epoch)
	t.core.stepElection(now, election.Resign{Cooldown: leadtransfer.Cooldown, Transferee: transferee})
	return true
}
