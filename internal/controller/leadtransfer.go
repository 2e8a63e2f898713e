package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/leadtransfer"
)

// transferLeadershipIfUnreachable resigns in favour of another node if the workers reach that node and not this one. It
// then stays out of the election for a cooldown so that it is not re-elected at once. It reports whether it resigned.
func (t *term) transferLeadershipIfUnreachable(now clock.Instant) bool {
	if t.rounds.isWriting() || t.checkpoints.isWriting() || t.core.election.AdvancingEpoch() {
		return false
	}
	// A node that stalled has missed the heartbeats meanwhile, and after an election workers need time to reach the new
	// leader.
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
