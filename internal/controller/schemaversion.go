package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/schemaversion"
)

// schemaAgreement follows which schema version all nodes can read, stores it, and derives from it the limits that the
// leader's writes keep to.
type schemaAgreement struct {
	*environment
	negotiator *schemaversion.Negotiator
	revision   ident.Revision // of the key that holds the agreed version
}

func newSchemaAgreement(env *environment) *schemaAgreement {
	return &schemaAgreement{environment: env, negotiator: schemaversion.New(env.settings.PeerNames(), 0)}
}

// load takes over what an earlier leader has stored.
func (a *schemaAgreement) load(agreed schemaversion.Version, revision ident.Revision) {
	a.negotiator, a.revision = schemaversion.New(a.settings.PeerNames(), agreed), revision
}

// nodeReported notes the newest version that a node can read.
func (a *schemaAgreement) nodeReported(now clock.Instant, node string, version schemaversion.Version) {
	a.negotiator.RecordReport(now, node, version)
}

// version is the newest schema version that all nodes are known to read.
func (a *schemaAgreement) version() schemaversion.Version { return a.negotiator.Version() }

// storeLimits are the limits of the state service that writes keep to. The announced stricter ones come into force at
// some moment after all nodes run the version that knows them; until then records stay readable to the version before.
func (a *schemaAgreement) storeLimits() config.State {
	if a.version() < schemaversion.ChunkedJobs {
		return a.settings.Params.StateService
	}
	return a.settings.Params.StateService.Strictest()
}

// maxJobValues is how many values the record of a job may take.
func (a *schemaAgreement) maxJobValues() int { return a.maxValuesSince(schemaversion.ChunkedJobs) }

// maxRoundValues is how many values the record of a round may take.
func (a *schemaAgreement) maxRoundValues() int { return a.maxValuesSince(schemaversion.ChunkedRounds) }

// maxValuesSince is how many values a record may take that has chunks since a schema version: as many as one transaction
// holds, once all nodes can read them.
func (a *schemaAgreement) maxValuesSince(version schemaversion.Version) int {
	if a.version() < version {
		return 1
	}
	return a.storeLimits().MaxTxnValues()
}

// updateOutdatedNodesGauge sets the gauge of the nodes that have not said lately that they run this version.
func (a *schemaAgreement) updateOutdatedNodesGauge(now clock.Instant) {
	a.metrics.OutdatedNodes.Set(float64(a.negotiator.BehindCount(now)))
}

// proposeIfDue stores the newest version that all nodes can read, once they have said so.
func (a *schemaAgreement) proposeIfDue(now clock.Instant, epoch ident.Epoch) {
	version := a.negotiator.Propose(now)
	if version == 0 {
		return
	}
	a.budget.TakeWrites(now, kvstore.PurposeLeadership, 1)
	a.emit(CommitTransaction{Kind: SchemaVersionTransaction, Epoch: epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(epoch), {Key: schemaversion.Key, ModRevision: a.revision}},
		Operations: []kvstore.Operation{{SetKey: schemaversion.Key, Value: schemaversion.Agreement{Version: version}}},
	}})
}

func (a *schemaAgreement) completed(in TransactionCompleted) {
	stored := in.Outcome == election.OutcomeOK
	a.negotiator.Settle(stored)
	if stored {
		a.revision = in.Revision
		a.log.Info("schema version agreed", "schema_version", a.version(), "epoch", in.Epoch)
	}
}

// limitsReduced notes that the state service has refused what its stricter limits forbid. They come into force only
// after the upgrade, so all nodes have this version, even one that is unreachable and can't say so.
func (a *schemaAgreement) limitsReduced(epoch ident.Epoch) {
	if a.version() < schemaversion.ChunkedJobs {
		a.log.Info("state service limits reduced", "epoch", epoch)
	}
	a.negotiator.ObserveReducedLimits()
}
