package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/leadership"
	"badgerbay/internal/parts"
	"badgerbay/internal/rental"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// flight is a round whose record is being written.
type flight struct {
	hireFor unit.JobID
	record  *round.Record
	places  []*checkpoint.Placement
	jobs    map[unit.JobID]bool
}

// proposed tells whether a placement belongs to the round under way: its
// launch has not left, and won't before the record is stored.
func (t *term) proposed(p *checkpoint.Placement) bool {
	return t.flight != nil && p.RoundNo == t.flight.record.RoundNo
}

// leaderGuard fences a transaction: once another epoch has begun it fails.
func (t *term) leaderGuard() statestore.Condition {
	return statestore.Condition{Key: leadership.LeaderKey, ModRevision: unit.Revision(t.epoch)}
}

const (
	// lookCost is about what it takes to look at one machine for one job.
	lookCost = 60 * time.Nanosecond
	// planShare is the part of the node's processor that planning may take.
	planShare = 0.25
)

// gap is the least time between two rounds. It grows as the write budget
// shrinks, and with what the last plan cost of the processor, so that rounds
// come seldomer and decide more each.
func (t *term) gap(now unit.Instant) time.Duration {
	cpu := t.c.set.Params.MachineLimits.CPUs
	if cpu <= 0 {
		cpu = 1
	}
	g := max(t.c.pol.MinRoundInterval, time.Duration(float64(t.planCost)/(cpu*planShare)))
	switch level := t.c.budget.AvailableWrites(now, statestore.PurposeRound); {
	case level < 2:
		return max(g, 16*t.c.pol.MinRoundInterval)
	case level < 4:
		return max(g, 6*t.c.pol.MinRoundInterval)
	}
	return g
}

func (t *term) maybeRound(now unit.Instant) {
	if !t.ready || !t.quota.Ready() || t.flight != nil || t.c.lead.AdvancingEpoch() || now.Sub(t.lastRound) < t.gap(now) {
		return
	}
	if !t.dirty && now.Before(t.nextPlan) {
		return
	}
	no, free := t.ring.Next()
	if !free || t.c.budget.AvailableWrites(now, statestore.PurposeRound) < 1 {
		return
	}
	t.dirty, t.lastRound, t.nextPlan = false, now, now.Add(time.Second)
	plan := round.PlanRound(t.world(now, no))
	t.planCost = time.Duration(plan.Examined) * lookCost
	t.noteBlocked(now, plan.ReservationBlocked)
	for _, id := range plan.Drain {
		t.lastVacate = now
		t.fleet.Machine(id).Draining = true
		t.c.log.Info("emptying", "machine", id, "epoch", t.epoch)
	}
	for _, s := range plan.Evictions {
		t.c.log.Debug("task stopped to make room", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", s.Placement.Machine, "for", s.Preemptor, "epoch", t.epoch)
		t.fleet.StopPlacement(now, s.Placement, unit.Seconds(s.Placement.Job.Spec.CheckpointSeconds))
		t.c.met.Preemptions.Inc()
	}
	t.propose(now, plan)
}

// propose reserves what the round decides and writes its record.
func (t *term) propose(now unit.Instant, plan *round.Plan) {
	r := &plan.Record
	f := &flight{record: r, hireFor: plan.ProvisionedFor, jobs: map[unit.JobID]bool{}}
	for _, s := range r.Starts {
		j := t.jobs[s.Job]
		f.jobs[s.Job] = true
		s.Tasks.Each(func(i unit.TaskIndex) bool {
			p := &checkpoint.Placement{Job: j, Task: i, Machine: s.Machine, Session: s.Session, Attempt: s.AttemptInRound(r.RoundNo), RoundNo: r.RoundNo, PlacedAt: now}
			t.fleet.Place(now, p)
			f.places = append(f.places, p)
			return true
		})
	}
	r.Deprovisions = t.releasable(now, plan.Retain, max(0, t.limits().MaxValueBytes()-r.MaxJSONSize()))
	if r.IsEmpty() {
		return
	}
	r.LowWatermark = min(t.ring.LowWatermark(), r.RoundNo)
	writes, err := t.roundWrites(r)
	if err != nil {
		t.c.met.TooLarge.Inc()
		t.c.log.Error("round can't be written", "round", r.RoundNo, "err", err, "epoch", t.epoch)
		t.undo(now, f)
		return
	}
	if !t.c.budget.TakeWrites(now, statestore.PurposeRound, 1) {
		t.undo(now, f)
		return
	}
	t.c.budget.ForceTakeWrites(now, len(writes)-1)
	for _, id := range r.Deprovisions {
		t.fleet.Machine(id).Deprovisioning = true
	}
	t.flight = f
	t.c.emit(Commit{Kind: CommitRound, Epoch: t.epoch, Txn: statestore.Txn{
		Conditions: []statestore.Condition{t.leaderGuard(), {Key: writes[0].SetKey, ModRevision: t.ring.Revision(r.RoundNo)}},
		Operations: writes,
	}})
}

// roundWrites are the changes that store a round: its record, and the parts of it.
func (t *term) roundWrites(r *round.Record) ([]statestore.Operation, error) {
	key := t.ring.Key(r.RoundNo)
	stored, rest, err := r.Split(t.limits().MaxValueBytes(), t.roundParts(), statestore.JSONSize)
	if err != nil {
		return nil, err
	}
	return recordWrites(key, stored, rest, func(n int) string { return round.ChunkKey(key, n) }), nil
}

// recordWrites are the changes that store a record with its parts.
func recordWrites(key string, record any, rest []*parts.Value, partKey func(n int) string) []statestore.Operation {
	writes := []statestore.Operation{{SetKey: key, Value: record}}
	for i, part := range rest {
		writes = append(writes, statestore.Operation{SetKey: partKey(i + 1), Value: part})
	}
	return writes
}

// undo takes back a round that surely was not stored.
func (t *term) undo(now unit.Instant, f *flight) {
	for _, p := range f.places {
		t.fleet.Retract(now, p)
	}
	for _, id := range f.record.Deprovisions {
		if m := t.fleet.Machine(id); m != nil {
			m.Deprovisioning = false
		}
	}
	t.dirty = true
}

func (t *term) committed(now unit.Instant, in Committed) {
	if in.Epoch != t.epoch {
		// Of an earlier term of this node. Its records were read anew.
		return
	}
	if in.Outcome == leadership.OutcomeGone {
		t.c.leadStep(now, leadership.LeadershipLost{})
		return
	}
	if in.TooLarge {
		t.lowered()
	}
	switch in.Kind {
	case CommitRound:
		t.roundCommitted(now, in)
	case CommitFold:
		t.foldCommitted(now, in)
	case CommitForm:
		t.formCommitted(now, in)
	case CommitStage:
		t.stageCommitted(now, in)
	case CommitQuota:
		t.quotaCommitted(now, in)
	}
}

// roundCommitted sends the effects of a round that is stored.
func (t *term) roundCommitted(now unit.Instant, in Committed) {
	f := t.flight
	if f == nil {
		return
	}
	t.flight = nil
	if in.Outcome != leadership.OutcomeOK {
		t.undo(now, f)
		t.lastRound = now.Add(200 * time.Millisecond)
		return
	}
	r := f.record
	t.ring.Add(r, in.Version)
	t.c.met.Rounds.Inc()
	for _, p := range f.places {
		t.launch(now, p, r.RoundNo)
	}
	for id := range f.jobs {
		j := t.jobs[id]
		j.LastRound = max(j.LastRound, r.RoundNo)
		j.MarkDirty(now)
	}
	for _, h := range r.Provisions {
		t.c.log.Info("renting", "hire", h.Name, "type", h.Offer.Type, "zone", h.Offer.Zone, "spot", h.Offer.Spot, "count", h.Count, "job", f.hireFor, "round", r.RoundNo, "epoch", t.epoch)
		t.rentals.AddProvision(now, h.Name, h.Offer, h.Count, false)
	}
	if len(r.Deprovisions) > 0 {
		t.c.log.Info("returning", "machines", r.Deprovisions, "round", r.RoundNo, "epoch", t.epoch)
		t.rentals.AddDeprovision(r.Deprovisions...)
	}
	t.c.log.Debug("round", "round", r.RoundNo, "epoch", t.epoch, "starts", len(f.places), "hires", len(r.Provisions), "releases", len(r.Deprovisions))
}

// launch lets a recorded placement start, unless its job or its machine has
// changed while the record was being written.
func (t *term) launch(now unit.Instant, p *checkpoint.Placement, no unit.RoundNo) {
	if p.State == checkpoint.PlacementEnded {
		return
	}
	m := t.fleet.Machine(p.Machine)
	if p.Job.Phase.Final() || m == nil || m.Session != p.Session || !t.fleet.Schedulable(m) {
		t.fleet.Retract(now, p)
		return
	}
	p.StartAllowed = true
	t.fleet.ScheduleCommand(p.Machine)
	t.c.log.Debug("launch", "job", p.Job.ID, "task", p.Task, "machine", p.Machine, "round", no, "epoch", t.epoch)
}

// world gathers what a round is planned from.
func (t *term) world(now unit.Instant, no unit.RoundNo) *round.Snapshot {
	p := t.c.set.Params
	w := &round.Snapshot{Now: now, WallMs: t.c.clock.Wall().UnixMilli(), RoundNo: no, Epoch: t.epoch, Fleet: t.fleet,
		MachineTypes: t.c.types, Zones: p.Zones, Teams: t.teams, PendingMachines: t.coming(now),
		OfferUnavailable: func(o rental.Offer) bool { return t.rentals.Blocked(now, o) },
		Policy:           t.c.pol, Objectives: t.expect, SpareSpecs: t.spares(), TypicalSpecs: t.typical(),
		MayDrain:     now.Sub(max(t.lastVacate, t.acquired)) >= t.c.pol.DrainInterval && !t.c.cut,
		MayProvision: len(t.c.types) > 0 && t.knowsMachines(now) && t.cloud.Available(now) >= 1 && len(t.rentals.PendingProvisions()) < 4,
		ValueBytes:   t.limits().MaxValueBytes(), MaxJobValues: t.parts(), MaxRoundValues: t.roundParts(), ReplacementAttempts: t.replaceable(now), SpecJSONSize: func(j *checkpoint.Job) int { return t.specSize[j.ID] }}
	w.Reserved, w.ReservedTasks = t.held()
	w.TeamActive = func(team unit.Team) bool {
		last, ok := t.lastWork[team]
		return ok && now.Sub(last) <= t.c.pol.GuaranteeHoldTime
	}
	for _, j := range t.jobs {
		if len(j.Placements) > 0 || len(j.Queue) > 0 {
			t.lastWork[j.Spec.Team] = now
		}
		if len(j.Placements) > 0 {
			w.PlacedJobs = append(w.PlacedJobs, j)
		}
		if len(j.Queue) > 0 && !j.Phase.Final() && !now.Before(j.BackoffUntil) {
			w.QueuedJobs = append(w.QueuedJobs, j)
		}
	}
	return w
}

// spares are the specs of the classes that must start faster than machines
// come up, as last seen.
func (t *term) spares() []*checkpoint.Spec {
	var out []*checkpoint.Spec
	for _, s := range t.typical() {
		if within := t.expect[s.Class].StartWithin; within > 0 && within < t.fastestBoot(s) {
			out = append(out, s)
		}
	}
	return out
}

// fastestBoot is how long the fastest machine takes to come up that the spec allows.
func (t *term) fastestBoot(s *checkpoint.Spec) time.Duration {
	fastest := time.Duration(math.MaxInt64)
	for _, typ := range t.c.types {
		allowed := slices.ContainsFunc(typ.AvailableZones(t.c.set.Params.Zones), func(z unit.Zone) bool { return s.AllowsMachine(typ.Name, z, false) })
		if allowed && typ.Capacity.Fits(s.TaskResources()) {
			fastest = min(fastest, typ.BootTime)
		}
	}
	return fastest
}

// typical lists what the classes look like, as last seen.
func (t *term) typical() []*checkpoint.Spec {
	var out []*checkpoint.Spec
	for _, class := range slices.Sorted(maps.Keys(t.lastSpec)) {
		out = append(out, t.lastSpec[class])
	}
	return out
}

// maybeRaise raises the token when exits wait to be reaped, or when a retracted
// launch has not been seen: under a higher token no late copy can start.
func (t *term) maybeRaise(now unit.Instant) {
	if t.flight != nil || t.fold != nil || t.quota.ChangeInFlight() || t.c.lead.AdvancingEpoch() {
		return
	}
	since := now.Sub(t.lastRaise)
	if since < 5*time.Second || now.Before(t.nextStuck) {
		return
	}
	t.nextStuck = now.Add(time.Second)
	if !(t.stuckHalt(now) || t.fleet.TombstoneCount() > 0 && since >= t.c.pol.EpochAdvanceInterval) {
		return
	}
	t.c.budget.TakeWrites(now, statestore.PurposeLeadership, 1)
	t.lastRaise = now
	t.c.leadStep(now, leadership.AdvanceEpoch{})
}

func (t *term) stuckHalt(now unit.Instant) bool {
	for _, j := range t.jobs {
		for _, p := range j.Placements {
			if p.Stopping && p.State == checkpoint.PlacementPending && now.Sub(p.PlacedAt) > 3*time.Second && p.FencingToken == t.epoch {
				return true
			}
		}
	}
	return false
}
