package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/schemaversion"
)

// schemaAgreement tracks the newest schema version that all nodes can read, stores it, and derives from it the limits
// that the leader's writes must observe.
type schemaAgreement struct {
	*environment
	negotiator *schemaversion.Negotiator
	revision   ident.Revision // of the key that holds the agreed version
}

func newSchemaAgreement(env *environment) *schemaAgreement {
	return &schemaAgreement{environment: env, negotiator: schemaversion.New(env.settings.PeerNames(), 0)}
}

// load restores the version that an earlier leader stored, and the revision of its key.
func (a *schemaAgreement) load(agreed schemaversion.Version, revision ident.Revision) {
	a.negotiator, a.revision = schemaversion.New(a.settings.PeerNames(), agreed), revision
}

// nodeReported records the newest version that a node can read.
func (a *schemaAgreement) nodeReported(now clock.Instant, node string, version schemaversion.Version) {
	a.negotiator.RecordReport(now, node, version)
}

// version returns the newest schema version that all nodes are known to be able to read.
func (a *schemaAgreement) version() schemaversion.Version { return a.negotiator.Version() }

// storeLimits returns the limits of the state service that writes must observe. The announced stricter limits take
// effect at some time after all nodes run the version that knows them. Until all do, the old limits apply, so that
// records stay readable to the previous version.
func (a *schemaAgreement) storeLimits() config.State {
	if a.version() < schemaversion.ChunkedJobs {
		return a.settings.Params.StateService
	}
	return a.settings.Params.StateService.Strictest()
}

// maxJobValues returns how many values a job record may occupy.
func (a *schemaAgreement) maxJobValues() int { return a.maxValuesSince(schemaversion.ChunkedJobs) }

// maxRoundValues returns how many values a round record may occupy.
func (a *schemaAgreement) maxRoundValues() int { return a.maxValuesSince(schemaversion.ChunkedRounds) }

// maxValuesSince returns how many values a record may occupy if chunks of its kind were introduced in the given schema
// version: as many as fit into one transaction if all nodes can read that version, otherwise one.
func (a *schemaAgreement) maxValuesSince(version schemaversion.Version) int {
	if a.version() < version {
		return 1
	}
	return a.storeLimits().MaxTxnValues()
}

// updateOutdatedNodesGauge sets the gauge of the nodes that have not recently reported that they run this version.
func (a *schemaAgreement) updateOutdatedNodesGauge(now clock.Instant) {
	a.metrics.OutdatedNodes.Set(float64(a.negotiator.BehindCount(now)))
}

// proposeIfDue stores a newer schema version once all nodes have reported that they can read it.
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

// completed applies the outcome of the transaction that stores the version.
func (a *schemaAgreement) completed(in TransactionCompleted) {
	stored := in.Outcome == election.OutcomeOK
	a.negotiator.CompleteProposal(stored)
	if stored {
		a.revision = in.Revision
		a.log.Info("schema version agreed", "schema_version", a.version(), "epoch", in.Epoch)
	}
}

// limitsReduced records that the state service has rejected a write that exceeds the stricter limits. These take effect
// only after the upgrade, so all nodes run this version, including any that is unreachable and cannot report it.
func (a *schemaAgreement) limitsReduced(epoch ident.Epoch) {
	if a.version() < schemaversion.ChunkedJobs {
		a.log.Info("state service limits reduced", "epoch", epoch)
	}
	a.negotiator.ObserveReducedLimits()
}
