package controller

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/quarantine"
)

// term is the state of a node for as long as it is the leader: a working copy of data whose authoritative sources are
// the state service, the workers and the cloud provider. Each component owns its fields; term passes data between the
// components and dispatches inputs to them.
type term struct {
	*environment
	core       *Core
	epoch      ident.Epoch
	acquiredAt clock.Instant
	teams      map[ident.Team]config.Team

	fleet       *fleet.Fleet
	delegations *leasedelegation.GrantTracker
	jobs        *jobTable
	rounds      *schedulingLoop
	checkpoints *checkpointWriter
	epochs      *epochAdvance
	schema      *schemaAgreement
	quotas      *quotaManager
	provisioner *provisioner
	monitor     *machineMonitor
	deferred    *deferredHeartbeats
	quarantines *quarantine.Tracker
	waits       waitReporter
	recovery    recoveryProgress
}

func newTerm(c *Core, now clock.Instant, epoch ident.Epoch, quotas *quotaManager) *term {
	env := c.environment
	t := &term{
		environment: env,
		core:        c,
		epoch:       epoch,
		acquiredAt:  now,
		teams:       env.settings.Params.TeamsByName(),
		delegations: leasedelegation.NewGrantTracker(env.settings, now),
		jobs:        newJobTable(env),
		rounds:      newSchedulingLoop(env),
		checkpoints: newCheckpointWriter(env),
		epochs:      newEpochAdvance(env, now),
		schema:      newSchemaAgreement(env),
		quotas:      quotas,
		provisioner: newProvisioner(env, now),
		monitor:     &machineMonitor{environment: env},
		deferred:    &deferredHeartbeats{environment: env},
		quarantines: quarantine.NewTracker(),
	}
	t.fleet = fleet.New(fleetTiming(env), epoch, now, t.jobs.get)
	t.fleet.SetMachineTypes(c.machineTypes)
	t.fleet.SetDelegatedRenewals(t.delegations.RenewalIn)
	return t
}

func fleetTiming(env *environment) fleet.Timing {
	workers := env.settings.Params.Workers
	timing := fleet.Timing{HeartbeatInterval: workers.HeartbeatInterval(), LeaseTTL: workers.LeaseTTL()}
	if env.policy.Features.WarmStandby != nil {
		timing.RejoinGrace = workers.MaxReconnectTime()
	}
	return timing
}

// setEpoch continues the term under a later epoch that this node has advanced to.
func (t *term) setEpoch(epoch ident.Epoch) {
	t.epoch = epoch
	t.fleet.SetEpoch(epoch)
	t.quotas.setEpoch(epoch)
}

// answerPendingRequests answers the cancellations and heartbeats that are still pending when leadership ends.
func (t *term) answerPendingRequests() {
	t.jobs.abandonCancellations()
	t.deferred.refuseAll()
}

// handle passes an input that only a leader handles to its handler.
func (t *term) handle(now clock.Instant, in Input) {
	switch in := in.(type) {
	case RecordsRead:
		t.recordsRead(now, in)
	case JobRecordRead:
		t.jobRecordRead(now, in)
	case JobChanged:
		t.jobChanged(in)
	case TransactionCompleted:
		t.transactionCompleted(now, in)
	case CommandsAcknowledged:
		t.commandsAcknowledged(now, in)
	case ProvisionCompleted:
		t.provisionCompleted(now, in)
	case DeprovisionCompleted:
		t.deprovisionCompleted(now, in)
	case MachinesListed:
		t.machinesPageListed(now, in)
	case QuotaRecordsRead:
		t.quotas.load(now, in)
	case QuotaRequest:
		t.quotas.receive(now, in)
	}
}

// advance performs all periodic work that is due. Most of it requires a valid leader lease.
func (t *term) advance(now clock.Instant) {
	if !t.recovery.isLoaded() {
		t.deferred.refuseOverdue(now)
		return
	}
	t.sweep(now)
	if !t.core.election.LeaseValid(now) {
		return
	}
	if t.transferLeadershipIfUnreachable(now) {
		return
	}
	t.requestHeartbeats(now)
	t.openScheduling(now)
	t.schema.updateOutdatedNodesGauge(now)
	if !t.core.election.AdvancingEpoch() {
		t.schema.proposeIfDue(now, t.epoch)
	}
	t.stepQuotas(now)
	t.advanceEpochIfDue(now)
	if !t.core.election.AdvancingEpoch() {
		t.checkpoints.continueStaging(now, t.epoch, t.schema)
		t.checkpoints.writeIfDue(now, t.epoch, t.schema, t.jobs, t.rounds)
	}
	t.scheduleIfDue(now)
	t.provisioner.sendDueCalls(now)
	t.pushCommands(now)
}

// sweep runs the time-driven checks if they are due: it expires worker leases, ends quarantines and drains, stops
// broken gangs, probes silent machines and answers overdue cancellations. It also updates the gauges and reports
// the job that waits longest.
func (t *term) sweep(now clock.Instant) {
	if !t.monitor.beginSweepIfDue(now) {
		return
	}
	t.tasksEnded(now, t.fleet.ExpireLeases(now))
	t.updateQuarantines(now)
	t.endDrainsForWaitingJobs(now)
	t.stopBrokenGangs(now)
	if t.core.election.LeaseValid(now) {
		t.probeSilentMachines(now)
	}
	t.jobs.answerOverdueCancellations(now)
	t.updateGauges(now)
	if t.waits.beginReportIfDue(now) {
		t.logWaitingJob(now)
	}
}
