package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/cloud"
	"badgerbay/internal/election"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/scheduler"
)

// roundInFlight is a round whose record is being written.
type roundInFlight struct {
	provisionFor ident.JobID
	record       *roundlog.Record
	placements   []*jobs.Placement
	jobs         map[ident.JobID]bool
}

// isProposed tells whether a placement belongs to the round under way: its
// launch has not left, and won't before the record is stored.
func (t *term) isProposed(p *jobs.Placement) bool {
	return t.roundInFlight != nil && p.RoundNo == t.roundInFlight.record.RoundNo
}

const (
	// candidateCost is about what it takes to look at one machine for one job.
	candidateCost = 60 * time.Nanosecond
	// maxPlanCPUShare is the part of the node's processor that planning may take.
	maxPlanCPUShare = 0.25
)

// minRoundInterval is the least time between two rounds. It grows as the write budget
// shrinks, and with what the last plan cost of the processor, so that rounds
// come seldomer and decide more each.
func (t *term) minRoundInterval(now clock.Instant) time.Duration {
	cpu := t.settings.Params.MachineLimits.CPUs
	if cpu <= 0 {
		cpu = 1
	}
	g := max(t.policy.MinRoundInterval, time.Duration(float64(t.planCost)/(cpu*maxPlanCPUShare)))
	switch level := t.budget.AvailableWrites(now, kvstore.PurposeRound); {
	case level < 2:
		return max(g, 16*t.policy.MinRoundInterval)
	case level < 4:
		return max(g, 6*t.policy.MinRoundInterval)
	}
	return g
}

func (t *term) scheduleIfDue(now clock.Instant) {
	if !t.schedulingOpen || !t.quotas.Ready() || t.roundInFlight != nil || t.core.election.AdvancingEpoch() || now.Sub(t.lastRoundAt) < t.minRoundInterval(now) {
		return
	}
	if !t.replanNeeded && now.Before(t.nextPlanAt) {
		return
	}
	no, free := t.roundRing.Next()
	if !free || t.budget.AvailableWrites(now, kvstore.PurposeRound) < 1 {
		return
	}
	t.replanNeeded, t.lastRoundAt, t.nextPlanAt = false, now, now.Add(time.Second)
	plan := scheduler.PlanRound(t.snapshot(now, no))
	t.planCost = time.Duration(plan.Examined) * candidateCost
	t.reportBlocked(now, plan.ReservationBlocked)
	for _, id := range plan.Drain {
		t.lastDrainAt = now
		t.fleet.Machine(id).Draining = true
		t.log.Info("emptying", "machine", id, "epoch", t.epoch)
	}
	for _, s := range plan.Evictions {
		t.log.Debug("task stopped to make room", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", s.Placement.Machine, "for", s.Preemptor, "epoch", t.epoch)
		t.fleet.StopPlacement(now, s.Placement, clock.Seconds(s.Placement.Job.Spec.CheckpointSeconds))
		t.metrics.Preemptions.Inc()
	}
	t.propose(now, plan)
}

// propose reserves what the round decides and writes its record.
func (t *term) propose(now clock.Instant, plan *scheduler.Plan) {
	r := &plan.Record
	f := &roundInFlight{record: r, provisionFor: plan.ProvisionedFor, jobs: map[ident.JobID]bool{}}
	for _, s := range r.Starts {
		j := t.jobs.get(s.Job)
		f.jobs[s.Job] = true
		s.Tasks.Each(func(i ident.TaskIndex) bool {
			p := &jobs.Placement{Job: j, Task: i, Machine: s.Machine, Session: s.Session, Attempt: s.AttemptInRound(r.RoundNo), RoundNo: r.RoundNo, PlacedAt: now}
			t.fleet.Place(now, p)
			f.placements = append(f.placements, p)
			return true
		})
	}
	r.Deprovisions = t.machinesToDeprovision(now, plan.Retain, max(0, t.storeLimits().MaxValueBytes()-r.MaxJSONSize()))
	if r.IsEmpty() {
		return
	}
	r.LowWatermark = min(t.roundRing.LowWatermark(), r.RoundNo)
	writes, err := t.roundOperations(r)
	if err != nil {
		t.metrics.OversizedRecords.Inc()
		t.log.Error("round can't be written", "round", r.RoundNo, "err", err, "epoch", t.epoch)
		t.abortRound(now, f)
		return
	}
	if !t.budget.TakeWrites(now, kvstore.PurposeRound, 1) {
		t.abortRound(now, f)
		return
	}
	t.budget.ForceTakeWrites(now, len(writes)-1)
	for _, id := range r.Deprovisions {
		t.fleet.Machine(id).Deprovisioning = true
	}
	t.roundInFlight = f
	t.emit(CommitTransaction{Kind: RoundTransaction, Epoch: t.epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{t.leaderCondition(), {Key: writes[0].SetKey, ModRevision: t.roundRing.Revision(r.RoundNo)}},
		Operations: writes,
	}})
}

// roundOperations are the changes that store a round: its record, and the parts of it.
func (t *term) roundOperations(r *roundlog.Record) ([]kvstore.Operation, error) {
	key := t.roundRing.Key(r.RoundNo)
	stored, rest, err := r.Split(t.storeLimits().MaxValueBytes(), t.roundChunkLimit(), kvstore.JSONSize)
	if err != nil {
		return nil, err
	}
	return recordOperations(key, stored, rest, func(n int) string { return roundlog.ChunkKey(key, n) }), nil
}

// abortRound takes back a round that surely was not stored.
func (t *term) abortRound(now clock.Instant, f *roundInFlight) {
	for _, p := range f.placements {
		t.fleet.Retract(now, p)
	}
	for _, id := range f.record.Deprovisions {
		if m := t.fleet.Machine(id); m != nil {
			m.Deprovisioning = false
		}
	}
	t.replanNeeded = true
}

// roundCompleted sends the effects of a round that is stored.
func (t *term) roundCompleted(now clock.Instant, in TransactionCompleted) {
	f := t.roundInFlight
	if f == nil {
		return
	}
	t.roundInFlight = nil
	if in.Outcome != election.OutcomeOK {
		t.abortRound(now, f)
		t.lastRoundAt = now.Add(200 * time.Millisecond)
		return
	}
	r := f.record
	t.roundRing.Add(r, in.Revision)
	t.metrics.Rounds.Inc()
	for _, p := range f.placements {
		t.startPlacement(now, p, r.RoundNo)
	}
	for id := range f.jobs {
		j := t.jobs.get(id)
		j.LastRound = max(j.LastRound, r.RoundNo)
		j.MarkDirty(now)
	}
	for _, h := range r.Provisions {
		t.log.Info("renting", "hire", h.Name, "type", h.Offer.Type, "zone", h.Offer.Zone, "spot", h.Offer.Spot, "count", h.Count, "job", f.provisionFor, "round", r.RoundNo, "epoch", t.epoch)
		t.provisioning.AddProvision(now, h.Name, h.Offer, h.Count, false)
	}
	if len(r.Deprovisions) > 0 {
		t.log.Info("returning", "machines", r.Deprovisions, "round", r.RoundNo, "epoch", t.epoch)
		t.provisioning.AddDeprovision(r.Deprovisions...)
	}
	t.log.Debug("round", "round", r.RoundNo, "epoch", t.epoch, "starts", len(f.placements), "hires", len(r.Provisions), "releases", len(r.Deprovisions))
}

// startPlacement lets a recorded placement start, unless its job or its machine has
// changed while the record was being written.
func (t *term) startPlacement(now clock.Instant, p *jobs.Placement, no ident.RoundNo) {
	if p.State == jobs.PlacementEnded {
		return
	}
	m := t.fleet.Machine(p.Machine)
	if p.Job.Phase.Final() || m == nil || m.Session != p.Session || !t.fleet.Schedulable(m) {
		t.fleet.Retract(now, p)
		return
	}
	p.StartAllowed = true
	t.fleet.ScheduleCommand(p.Machine)
	t.log.Debug("launch", "job", p.Job.ID, "task", p.Task, "machine", p.Machine, "round", no, "epoch", t.epoch)
}

// snapshot gathers what a round is planned from.
func (t *term) snapshot(now clock.Instant, no ident.RoundNo) *scheduler.Snapshot {
	p := t.settings.Params
	w := &scheduler.Snapshot{Now: now, WallMs: t.clock.Wall().UnixMilli(), RoundNo: no, Epoch: t.epoch, Fleet: t.fleet,
		MachineTypes: t.core.machineTypes, Zones: p.Zones, Teams: t.teams, PendingMachines: t.pendingMachines(now),
		OfferUnavailable: func(o cloud.Offer) bool { return t.provisioning.Blocked(now, o) },
		Policy:           t.policy, Objectives: t.objectives, SpareSpecs: t.spareSpecs(), TypicalSpecs: t.jobs.typicalByClass(),
		MayDrain:     now.Sub(max(t.lastDrainAt, t.acquiredAt)) >= t.policy.DrainInterval && !t.core.peersUnreachable,
		MayProvision: len(t.core.machineTypes) > 0 && t.knowsAllMachines(now) && t.cloudCalls.Available(now) >= 1 && len(t.provisioning.PendingProvisions()) < 4,
		ValueBytes:   t.storeLimits().MaxValueBytes(), MaxJobValues: t.jobChunkLimit(), MaxRoundValues: t.roundChunkLimit(), ReplacementAttempts: t.replaceableGangs(now), SpecJSONSize: t.jobs.specJSONSize}
	w.Reserved, w.ReservedTasks = t.reservedByTeam()
	w.TeamActive = func(team ident.Team) bool {
		last, ok := t.teamActiveAt[team]
		return ok && now.Sub(last) <= t.policy.GuaranteeHoldTime
	}
	for j := range t.jobs.all() {
		if len(j.Placements) > 0 || len(j.Queue) > 0 {
			t.teamActiveAt[j.Spec.Team] = now
		}
		if len(j.Placements) > 0 {
			w.PlacedJobs = append(w.PlacedJobs, j)
		}
		if len(j.Queue) > 0 && !j.Phase.Final() && !now.Before(j.BackoffUntil) {
			w.QueuedJobs = append(w.QueuedJobs, j)
		}
	}
	// Sums of decimal numbers depend on the order of their terms.
	slices.SortFunc(w.PlacedJobs, byID)
	slices.SortFunc(w.QueuedJobs, byID)
	return w
}

func byID(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) }

// spareSpecs are the specs of the classes that must start faster than machines
// come up, as last seen.
func (t *term) spareSpecs() []*jobs.Spec {
	var out []*jobs.Spec
	for _, s := range t.jobs.typicalByClass() {
		if within := t.objectives[s.Class].StartWithin; within > 0 && within < t.fastestBoot(s) {
			out = append(out, s)
		}
	}
	return out
}

// fastestBoot is how long the fastest machine takes to come up that the spec allows.
func (t *term) fastestBoot(s *jobs.Spec) time.Duration {
	fastest := time.Duration(math.MaxInt64)
	for _, typ := range t.core.machineTypes {
		allowed := slices.ContainsFunc(typ.AvailableZones(t.settings.Params.Zones), func(z ident.Zone) bool { return s.AllowsMachine(typ.Name, z, false) })
		if allowed && typ.Capacity.Fits(s.TaskResources()) {
			fastest = min(fastest, typ.BootTime)
		}
	}
	return fastest
}

// advanceEpochIfDue raises the token when exits wait to be reaped, or when a retracted
// launch has not been seen: under a higher token no late copy can start.
func (t *term) advanceEpochIfDue(now clock.Instant) {
	if t.roundInFlight != nil || t.foldInFlight != nil || t.quotas.ChangeInFlight() || t.core.election.AdvancingEpoch() {
		return
	}
	since := now.Sub(t.epochAdvancedAt)
	if since < 5*time.Second || now.Before(t.nextStuckCheckAt) {
		return
	}
	t.nextStuckCheckAt = now.Add(time.Second)
	if !(t.hasStuckStop(now) || t.fleet.TombstoneCount() > 0 && since >= t.policy.EpochAdvanceInterval) {
		return
	}
	t.budget.TakeWrites(now, kvstore.PurposeLeadership, 1)
	t.epochAdvancedAt = now
	t.core.stepElection(now, election.AdvanceEpoch{})
}

func (t *term) hasStuckStop(now clock.Instant) bool {
	for j := range t.jobs.all() {
		for _, p := range j.Placements {
			if p.Stopping && p.State == jobs.PlacementPending && now.Sub(p.PlacedAt) > 3*time.Second && p.FencingToken == t.epoch {
				return true
			}
		}
	}
	return false
}
