package controller

import (
	"badgerbay/internal/config"
	"badgerbay/internal/leadership"
	"badgerbay/internal/rollout"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// limits are those of the state service that this term's writes keep to. The
// later ones hold from some moment after all nodes have the version that knows
// them; until then records are those that the version before reads and keeps.
func (t *term) limits() config.State {
	if t.cluster.Version() < rollout.ChunkedJobs {
		return t.c.set.Params.StateService
	}
	return t.c.set.Params.StateService.Strictest()
}

// parts is how many values a job's record may take.
func (t *term) parts() int { return t.valuesSince(rollout.ChunkedJobs) }

// roundParts is how many values a round's record may take.
func (t *term) roundParts() int { return t.valuesSince(rollout.ChunkedRounds) }

// valuesSince is how many values a record may take that has parts since a form: as
// many as one transaction holds, once all nodes know the form.
func (t *term) valuesSince(form rollout.Version) int {
	if t.cluster.Version() < form {
		return 1
	}
	return t.limits().MaxTxnValues()
}

// maybeAgree stores the latest form that all nodes know, once they have said so.
func (t *term) maybeAgree(now unit.Instant) {
	t.c.met.NodesBehind.Set(float64(t.cluster.BehindCount(now)))
	if t.c.lead.AdvancingEpoch() {
		return
	}
	form := t.cluster.Propose(now)
	if form == 0 {
		return
	}
	t.c.budget.TakeWrites(now, statestore.PurposeLeadership, 1)
	t.c.emit(Commit{Kind: CommitForm, Epoch: t.epoch, Txn: statestore.Txn{
		Conditions: []statestore.Condition{t.leaderGuard(), {Key: rollout.Key, ModRevision: t.formStamp}},
		Operations: []statestore.Operation{{SetKey: rollout.Key, Value: rollout.Agreement{Version: form}}},
	}})
}

func (t *term) formCommitted(_ unit.Instant, in Committed) {
	stored := in.Outcome == leadership.OutcomeOK
	t.cluster.Settle(stored)
	if stored {
		t.formStamp = in.Version
		t.c.log.Info("all nodes know a later form of records", "form", t.cluster.Version(), "epoch", t.epoch)
	}
}

// lowered takes in that the state service has refused what is beyond its later
// limits. They come only after the upgrade, so all nodes have this version, even
// if one of them is out of reach and can't say so.
func (t *term) lowered() {
	if t.cluster.Version() < rollout.ChunkedJobs {
		t.c.log.Info("the state service keeps to its later limits", "epoch", t.epoch)
	}
	t.cluster.ObserveReducedLimits()
}
