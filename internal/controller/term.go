package controller

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/handover"
	"badgerbay/internal/quota"
	"badgerbay/internal/rental"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// term is what a node holds while it leads: the working copy of everything
// that the state service, the workers and the cloud are the authority of.
type term struct {
	core          *Core
	epoch         unit.Epoch
	acquiredAt    unit.Instant
	loaded        bool
	schemaCluster *rollout.Negotiator // the nodes' versions
	// schemaRevision is the version of the key that holds the form agreed on.
	schemaRevision unit.Revision
	schedulingOpen bool // reconciled: places from now on
	jobs           map[unit.JobID]*checkpoint.Job
	specBytes      map[unit.JobID]int
	readsInFlight  map[unit.JobID]bool
	fleet          *fleet.Fleet
	roundRing      *round.Ring
	provisioning   *rental.Tracker
	cloudCalls     *statestore.TokenBucket
	teams          map[unit.Team]config.Team

	replanNeeded     bool // something changed since the last plan
	lastRoundAt      unit.Instant
	planCost         time.Duration // of processor time, about, for the last plan
	nextPlanAt       unit.Instant
	roundInFlight    *roundInFlight
	foldInFlight     *foldInFlight
	foldRetryAt      unit.Instant
	epochAdvancedAt  unit.Instant
	lastDrainAt      unit.Instant
	listing          rental.MachineLister
	machinesListed   bool // the machine list has been read in this term
	nextMachineTypes unit.Instant
	nextSweepAt      unit.Instant
	nextStuckCheckAt unit.Instant
	pendingCancels   map[unit.JobID][]pendingCancel
	deferred         []deferredHeartbeat
	oversizedUntil   map[unit.JobID]unit.Instant // checkpoints not to be tried before
	staging          stagedWrite
	roundsUnreadable bool // some round's record can't be read
	inquiry          takeover.HeartbeatPoll
	machinesHinted   bool // machines are known from a list that was read before this term
	quotas           *quota.Allocator
	// quotaEnforcers is when each node last said that it would keep to allotments.
	quotaEnforcers map[string]unit.Instant
	workerReach    handover.Reachability
	lastRegainedAt unit.Instant // when a machine that was silent for too long was last heard again
	delegations    *delegation.GrantTracker
	objectives     map[unit.Class]round.Objectives
	teamActiveAt   map[unit.Team]unit.Instant // when the team last had work
	typicalSpecs   map[unit.Class]*checkpoint.Spec
}

func newTerm(c *Core, now unit.Instant, epoch unit.Epoch) *term {
	t := &term{core: c, epoch: epoch, acquiredAt: now, jobs: map[unit.JobID]*checkpoint.Job{},
		specBytes: map[unit.JobID]int{}, readsInFlight: map[unit.JobID]bool{},
		provisioning: rental.NewTracker(c.policy.ProvisionBackoff), roundRing: round.NewRing(c.policy.RingSlots),
		pendingCancels: map[unit.JobID][]pendingCancel{}, teams: c.settings.Params.TeamsByName(),
		teamActiveAt: map[unit.Team]unit.Instant{}, objectives: map[unit.Class]round.Objectives{}, typicalSpecs: map[unit.Class]*checkpoint.Spec{}, oversizedUntil: map[unit.JobID]unit.Instant{},
		quotaEnforcers: map[string]unit.Instant{}, epochAdvancedAt: now, nextMachineTypes: now.Add(5 * time.Second)}
	p := c.settings.Params
	t.schemaCluster = rollout.New(c.settings.PeerNames(), 0)
	t.fleet = fleet.New(fleetTimes(c), epoch, now, t.job)
	t.fleet.SetMachineTypes(c.machineTypes)
	t.delegations = delegation.NewGrantTracker(c.settings, now)
	t.fleet.SetDelegatedRenewals(t.delegations.RenewalIn)
	t.cloudCalls = statestore.NewTokenBucket(p.Cloud.RPS*LeaderCloudShare, cloudCallBurst(p.Cloud))
	t.readObjectives()
	return t
}

func fleetTimes(c *Core) fleet.Timing {
	w := c.settings.Params.Workers
	times := fleet.Timing{HeartbeatInterval: w.HeartbeatInterval(), LeaseDuration: w.LeaseTTL()}
	if c.policy.Features.WarmStandby != nil {
		times.RejoinGrace = w.ReconnectTime()
	}
	return times
}

func (t *term) readObjectives() {
	for _, o := range t.core.settings.Params.Objectives {
		t.objectives[o.Class] = t.objectives[o.Class].With(o.Kind, unit.Seconds(o.WithinSeconds))
	}
}

func (t *term) job(id unit.JobID) *checkpoint.Job { return t.jobs[id] }

func (t *term) setEpoch(e unit.Epoch) {
	t.epoch = e
	t.fleet.SetEpoch(e)
	t.quotas.SetEpoch(e)
}

// abandon answers those who wait when leadership ends.
func (t *term) abandon() {
	for id := range t.pendingCancels {
		t.answerPendingCancels(id, userapi.NoLeader, 0)
	}
	t.refuseDeferred(func(deferredHeartbeat) bool { return true })
}

func (t *term) handle(now unit.Instant, in Input) {
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
		t.quotaRecordsRead(now, in)
	case QuotaRequest:
		t.quotas.Receive(now, in.Request, in.Ticket)
	}
}

// advance does whatever is due.
func (t *term) advance(now unit.Instant) {
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
	t.agreeSchemaVersion(now)
	t.stepQuotas(now)
	t.advanceEpochIfDue(now)
	t.continueStaging(now)
	t.foldIfDue(now)
	t.scheduleIfDue(now)
	t.callCloudAPI(now)
	t.pushCommands(now)
}

// sweep does what only time brings about.
func (t *term) sweep(now unit.Instant) {
	if now.Before(t.nextSweepAt) {
		return
	}
	t.nextSweepAt = now.Add(200 * time.Millisecond)
	t.tasksEnded(now, t.fleet.ExpireLeases(now))
	t.stopBrokenGangs(now)
	if t.core.election.LeaseValid(now) {
		t.probeSilentMachines(now)
	}
	for id, ws := range t.pendingCancels {
		if len(ws) > 0 && !now.Before(ws[0].deadline) {
			t.answerPendingCancels(id, userapi.LeaderBusy, 0)
		}
	}
	t.core.metrics.observeTerm(t, now)
}
