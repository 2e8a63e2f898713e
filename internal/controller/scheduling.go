package controller

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/scheduler"
)

const (
	// candidatePlanTime is the approximate processor time that examining one machine for one job takes.
	candidatePlanTime = 60 * time.Nanosecond
	// maxPlanCPUShare is the share of the node's processors that planning may use.
	maxPlanCPUShare = 0.25
	// idlePlanInterval is the time between two plans while nothing changes.
	idlePlanInterval = time.Second
	// roundRetryDelay is the delay after a round whose record was not stored.
	roundRetryDelay = 200 * time.Millisecond
)

// schedulingLoop decides when rounds are planned, and owns the ring of round records. At most one round is in flight,
// and a round takes effect only once its record is stored.
type schedulingLoop struct {
	*environment
	ring         *roundlog.Ring
	inFlight     *roundInFlight // nil if no record is being written
	planNeeded   bool           // something has changed since the last plan
	lastRoundAt  clock.Instant
	nextPlanAt   clock.Instant
	planCPUTime  time.Duration // estimated processor time of the last plan
	lastDrainAt  clock.Instant
	objectives   map[ident.Class]scheduler.Objectives
	teamActiveAt map[ident.Team]clock.Instant // when the team last had placed or queued tasks
}

// roundInFlight is a round whose record is being written.
type roundInFlight struct {
	provisionFor ident.JobID
	record       *roundlog.Record
	placements   []*jobs.Placement
	jobs         map[ident.JobID]bool
}

func newSchedulingLoop(env *environment) *schedulingLoop {
	l := &schedulingLoop{environment: env, ring: roundlog.NewRing(env.policy.RingSlots),
		objectives: map[ident.Class]scheduler.Objectives{}, teamActiveAt: map[ident.Team]clock.Instant{}}
	for _, o := range env.settings.Params.Objectives {
		l.objectives[o.Class] = l.objectives[o.Class].With(o.Kind, clock.Seconds(o.WithinSeconds))
	}
	return l
}

// restore rebuilds the ring from the records that an earlier leader stored, and marks the slots of the unreadable ones
// for reuse. It returns the rounds that some checkpoint of a job may not include yet.
func (l *schedulingLoop) restore(records []roundlog.StoredRecord, unreadable []kvstore.KeyValue) []*roundlog.Record {
	ring, open := roundlog.RestoreRing(l.policy.RingSlots, records)
	l.ring = ring
	for _, item := range unreadable {
		l.ring.SkipUnreadable(item.Key, item.ModRevision)
	}
	return open
}

// objectivesByClass returns the service-level objectives of all classes.
func (l *schedulingLoop) objectivesByClass() map[ident.Class]scheduler.Objectives {
	return l.objectives
}

// objectivesOf returns the service-level objectives of a class.
func (l *schedulingLoop) objectivesOf(class ident.Class) scheduler.Objectives {
	return l.objectives[class]
}

// requestPlan causes the next round to be planned as soon as minRoundInterval allows.
func (l *schedulingLoop) requestPlan() { l.planNeeded = true }

// isWriting reports whether the record of a round is being written.
func (l *schedulingLoop) isWriting() bool { return l.inFlight != nil }

// startsTasksOf reports whether the round in flight starts tasks of a job.
func (l *schedulingLoop) startsTasksOf(id ident.JobID) bool {
	return l.inFlight != nil && l.inFlight.jobs[id]
}

// isPlacementInFlight reports whether a placement belongs to the round in flight. Its start command has not been sent,
// and will not be sent before the record is stored.
func (l *schedulingLoop) isPlacementInFlight(p *jobs.Placement) bool {
	return l.inFlight != nil && p.RoundNo == l.inFlight.record.RoundNo
}

// minRoundInterval returns the minimum time between two rounds. It grows as the write budget shrinks and as planning
// uses more processor time, so that there are fewer rounds and each decides more.
func (l *schedulingLoop) minRoundInterval(now clock.Instant) time.Duration {
	cpus := l.settings.Params.MachineLimits.CPUs
	if cpus <= 0 {
		cpus = 1
	}
	interval := max(l.policy.MinRoundInterval, time.Duration(float64(l.planCPUTime)/(cpus*maxPlanCPUShare)))
	switch writes := l.budget.AvailableWrites(now, kvstore.PurposeRound); {
	case writes < 2:
		return max(interval, 16*l.policy.MinRoundInterval)
	case writes < 4:
		return max(interval, 6*l.policy.MinRoundInterval)
	}
	return interval
}

// beginRoundIfDue returns the number of the round to plan now. It returns false if no round is due or its record can't
// be written now.
func (l *schedulingLoop) beginRoundIfDue(now clock.Instant) (ident.RoundNo, bool) {
	if l.inFlight != nil || now.Sub(l.lastRoundAt) < l.minRoundInterval(now) {
		return 0, false
	}
	if !l.planNeeded && now.Before(l.nextPlanAt) {
		return 0, false
	}
	no, free := l.ring.Next()
	if !free || l.budget.AvailableWrites(now, kvstore.PurposeRound) < 1 {
		return 0, false
	}
	l.planNeeded, l.lastRoundAt, l.nextPlanAt = false, now, now.Add(idlePlanInterval)
	return no, true
}

// recordPlan records the estimated processor time of a plan, and the time of the drain if the plan drains machines.
func (l *schedulingLoop) recordPlan(now clock.Instant, plan *scheduler.Plan) {
	l.planCPUTime = time.Duration(plan.Examined) * candidatePlanTime
	if len(plan.Drain) > 0 {
		l.lastDrainAt = now
	}
}

// mayDrain reports whether MinDrainInterval has passed since the last drain, and since this node became leader.
func (l *schedulingLoop) mayDrain(now, acquiredAt clock.Instant) bool {
	return now.Sub(max(l.lastDrainAt, acquiredAt)) >= l.policy.MinDrainInterval
}

// recordTeamActivity records that a team has placed or queued tasks.
func (l *schedulingLoop) recordTeamActivity(now clock.Instant, team ident.Team) {
	l.teamActiveAt[team] = now
}

// isTeamActive reports whether a team has had tasks within GuaranteeHoldTime, so that machines are kept for its
// guarantee.
func (l *schedulingLoop) isTeamActive(now clock.Instant, team ident.Team) bool {
	last, ok := l.teamActiveAt[team]
	return ok && now.Sub(last) <= l.policy.GuaranteeHoldTime
}

// write starts writing the record of a round. It returns false if the record is too large or the write budget does not
// allow it now.
func (l *schedulingLoop) write(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, r *roundInFlight) bool {
	r.record.LowWatermark = min(l.ring.LowWatermark(), r.record.RoundNo)
	operations, err := l.storeOperations(schema, r.record)
	if err != nil {
		l.metrics.OversizedRecords.Inc()
		l.log.Error("round record rejected", "round", r.record.RoundNo, "err", err, "epoch", epoch)
		return false
	}
	if !l.budget.TakeWrites(now, kvstore.PurposeRound, 1) {
		return false
	}
	l.budget.ForceTakeWrites(now, len(operations)-1)
	l.inFlight = r
	l.emit(CommitTransaction{Kind: RoundTransaction, Epoch: epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(epoch), {Key: operations[0].SetKey, ModRevision: l.ring.Revision(r.record.RoundNo)}},
		Operations: operations,
	}})
	return true
}

// storeOperations returns the operations that store a round: its record and the chunks of the record.
func (l *schedulingLoop) storeOperations(schema *schemaAgreement, r *roundlog.Record) ([]kvstore.Operation, error) {
	key := l.ring.Key(r.RoundNo)
	head, chunks, err := r.Split(schema.storeLimits().MaxValueBytes(), schema.maxRoundValues(), kvstore.JSONSize)
	if err != nil {
		return nil, err
	}
	return recordOperations(key, head, chunks, func(n int) string { return roundlog.ChunkKey(key, n) }), nil
}

// completeWrite returns the round that was in flight, or nil if there was none, and whether its record is stored.
func (l *schedulingLoop) completeWrite(now clock.Instant, in TransactionCompleted) (r *roundInFlight, stored bool) {
	r = l.inFlight
	if r == nil {
		return nil, false
	}
	l.inFlight = nil
	if in.Outcome != election.OutcomeOK {
		l.lastRoundAt = now.Add(roundRetryDelay)
		return r, false
	}
	l.ring.Add(r.record, in.Revision)
	l.metrics.Rounds.Inc()
	return r, true
}

// jobCheckpointed records that the checkpoint of a job holds its rounds up to and including no.
func (l *schedulingLoop) jobCheckpointed(id ident.JobID, no ident.RoundNo) { l.ring.SettleJob(id, no) }

// provisionSettled records that a provision request of a round needs no further attempts.
func (l *schedulingLoop) provisionSettled(name string) { l.ring.SettleProvision(name) }

// deprovisionSettled records that a machine has been deprovisioned.
func (l *schedulingLoop) deprovisionSettled(id ident.MachineID) { l.ring.SettleDeprovision(id) }

// isUnused reports whether no round was ever stored.
func (l *schedulingLoop) isUnused() bool { return l.ring.IsUnused() }

// freeSlots returns how many rounds can be stored before the checkpoint of a job must be written.
func (l *schedulingLoop) freeSlots() int { return l.ring.FreeSlots() }

// jobsBlockingRing returns the jobs whose checkpoints must be written to free the oldest slot in use. It returns none
// while more than a third of the slots are free.
func (l *schedulingLoop) jobsBlockingRing() map[ident.JobID]bool {
	blocking := map[ident.JobID]bool{}
	if l.ring.FreeSlots() <= l.policy.RingSlots/3 {
		for _, id := range l.ring.OldestOpenJobs() {
			blocking[id] = true
		}
	}
	return blocking
}
