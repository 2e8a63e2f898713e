package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/schemaversion"
)

// storeLimits are those of the state service that this term's writes keep to. The
// later ones hold from some moment after all nodes have the version that knows
// them; until then records are those that the version before reads and keeps.
func (t *term) storeLimits() config.State {
	if t.schemaCluster.Version() < schemaversion.ChunkedJobs {
		return t.settings.Params.StateService
	}
	return t.settings.Params.StateService.Strictest()
}

// jobChunkLimit is how many values a job's record may take.
func (t *term) jobChunkLimit() int { return t.chunkLimitSince(schemaversion.ChunkedJobs) }

// roundChunkLimit is how many values a round's record may take.
func (t *term) roundChunkLimit() int { return t.chunkLimitSince(schemaversion.ChunkedRounds) }

// chunkLimitSince is how many values a record may take that has parts since a form: as
// many as one transaction holds, once all nodes know the form.
func (t *term) chunkLimitSince(form schemaversion.Version) int {
	if t.schemaCluster.Version() < form {
		return 1
	}
	return t.storeLimits().MaxTxnValues()
}

// agreeSchemaVersion stores the latest form that all nodes know, once they have said so.
func (t *term) agreeSchemaVersion(now clock.Instant) {
	t.metrics.OutdatedNodes.Set(float64(t.schemaCluster.BehindCount(now)))
	if t.core.election.AdvancingEpoch() {
		return
	}
	form := t.schemaCluster.Propose(now)
	if form == 0 {
		return
	}
	t.budget.TakeWrites(now, kvstore.PurposeLeadership, 1)
	t.emit(CommitTransaction{Kind: SchemaVersionTransaction, Epoch: t.epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{t.leaderCondition(), {Key: schemaversion.Key, ModRevision: t.schemaRevision}},
		Operations: []kvstore.Operation{{SetKey: schemaversion.Key, Value: schemaversion.Agreement{Version: form}}},
	}})
}

func (t *term) schemaVersionCompleted(_ clock.Instant, in TransactionCompleted) {
	stored := in.Outcome == election.OutcomeOK
	t.schemaCluster.Settle(stored)
	if stored {
		t.schemaRevision = in.Revision
		t.log.Info("all nodes know a later form of records", "form", t.schemaCluster.Version(), "epoch", t.epoch)
	}
}

// limitsLowered takes in that the state service has refused what is beyond its later
// limits. They come only after the upgrade, so all nodes have this version, even
// if one of them is out of reach and can't say so.
func (t *term) limitsLowered() {
	if t.schemaCluster.Version() < schemaversion.ChunkedJobs {
		t.log.Info("the state service keeps to its later limits", "epoch", t.epoch)
	}
	t.schemaCluster.ObserveReducedLimits()
}
