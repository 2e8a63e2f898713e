package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/leadtransfer"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/recovery"
)

// term is what a node holds while it leads: the working copy of everything
// that the state service, the workers and the cloud are the authority of.
type term struct {
	*environment
	core           *Core
	epoch          ident.Epoch
	acquiredAt     clock.Instant
	loaded         bool
	schema         *schemaAgreement
	rounds         *schedulingLoop
	epochs         *epochAdvance
	checkpoints    *checkpointWriter
	quotas         *quotaManager
	provisioner    *provisioner
	schedulingOpen bool // reconciled: places from now on
	jobs           *jobTable
	fleet          *fleet.Fleet
	teams          map[ident.Team]config.Team

	nextSweepAt      clock.Instant
	deferred         []deferredHeartbeat
	roundsUnreadable bool // some round's record can't be read
	inquiry          recovery.HeartbeatPoll
	machinesHinted   bool // machines are known from a list that was read before this term
	workerReach      leadtransfer.Reachability
	lastRegainedAt   clock.Instant // when a machine that was silent for too long was last heard again
	delegations      *leasedelegation.GrantTracker
}

func newTerm(c *Core, now clock.Instant, epoch ident.Epoch, quotas *quotaManager) *term {
	t := &term{environment: c.environment, core: c, epoch: epoch, acquiredAt: now, jobs: newJobTable(c.environment),
		quotas: quotas, provisioner: newProvisioner(c.environment, now), schema: newSchemaAgreement(c.environment),
		rounds: newSchedulingLoop(c.environment), epochs: newEpochAdvance(c.environment, now), checkpoints: newCheckpointWriter(c.environment),
		teams: c.settings.Params.TeamsByName()}
	t.fleet = fleet.New(fleetTimes(c), epoch, now, t.jobs.get)
	t.fleet.SetMachineTypes(c.machineTypes)
	t.delegations = leasedelegation.NewGrantTracker(c.settings, now)
	t.fleet.SetDelegatedRenewals(t.delegations.RenewalIn)
	return t
}

func fleetTimes(c *Core) fleet.Timing {
	w := c.settings.Params.Workers
	times := fleet.Timing{HeartbeatInterval: w.HeartbeatInterval(), LeaseTTL: w.LeaseTTL()}
	if c.policy.Features.WarmStandby != nil {
		times.RejoinGrace = w.ReconnectTime()
	}
	return times
}

func (t *term) setEpoch(e ident.Epoch) {
	t.epoch = e
	t.fleet.SetEpoch(e)
	t.quotas.setEpoch(e)
}

// abandon answers those who wait when leadership ends.
func (t *term) abandon() {
	t.jobs.abandonCancellations()
	t.refuseDeferred(func(deferredHeartbeat) bool { return true })
}

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

// advance does whatever is due.
func (t *term) advance(now clock.Instant) {
	if !t.loaded {
		t.refuseDeferred(func(p deferredHeartbeat) bool { return !now.Before(p.deadline) })
		return
	}
	t.sweep(now)
	if !t.core.election.LeaseValid(now) {
		return
	}
	if t.transferLeadershipIfUnreached(now) {
		return
	}
	t.inquireMachines(now)
	t.openScheduling(now)
	t.schema.countOutdatedNodes(now)
	if !t.core.election.AdvancingEpoch() {
		t.schema.proposeIfDue(now, t.epoch)
	}
	t.stepQuotas(now)
	t.advanceEpochIfDue(now)
	if !t.core.election.AdvancingEpoch() {
		t.checkpoints.continueStaging(now, t.epoch, t.schema)
		t.checkpoints.foldIfDue(now, t.epoch, t.schema, t.jobs, t.rounds)
	}
	t.scheduleIfDue(now)
	t.provisioner.call(now)
	t.pushCommands(now)
}

// sweep does what only time brings about.
func (t *term) sweep(now clock.Instant) {
	if now.Before(t.nextSweepAt) {
		return
	}
	t.nextSweepAt = now.Add(200 * time.Millisecond)
	t.tasksEnded(now, t.fleet.ExpireLeases(now))
	t.stopBrokenGangs(now)
	if t.core.election.LeaseValid(now) {
		t.probeSilentMachines(now)
	}
	t.jobs.answerOverdueCancellations(now)
	t.metrics.observeTerm(t, now)
}
