package controller

import (
	"badgerbay/internal/handover"
	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

// handOverIfMissed hands leadership over if another node can do the work better, and
// rests so that this one is not elected again at once.
func (t *term) handOverIfMissed(now unit.Instant) bool {
	if t.flight != nil || t.fold != nil || t.c.lead.AdvancingEpoch() {
		return false
	}
	if t.c.justWoke(now) || now.Sub(t.acquired) < t.c.set.Params.Workers.MaxHeartbeatGap() {
		// It has heard nobody because it stood still itself, or because the
		// workers have not had the time to come.
		t.reach.ResetDelay()
		return false
	}
	heir := t.reach.Transferee(now, t.fleet.ActiveCount(), t.c.handovers.Delay(now))
	if heir == "" {
		return false
	}
	t.c.handovers.RecordTransfer(now)
	t.c.log.Info("giving leadership up: the workers do not reach this node", "heir", heir, "epoch", t.epoch)
	t.c.leadStep(now, leadership.Resign{Cooldown: handover.Cooldown, Transferee: heir})
	return true
}
