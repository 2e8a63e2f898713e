package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/scheduler"
)

// scheduleIfDue plans a round and writes its record, if a round is due.
func (t *term) scheduleIfDue(now clock.Instant) {
	if !t.recovery.isSchedulingOpen() || !t.quotas.isReady() || t.core.election.AdvancingEpoch() {
		return
	}
	no, due := t.rounds.beginRoundIfDue(now)
	if !due {
		return
	}
	plan := scheduler.PlanRound(t.snapshot(now, no))
	t.rounds.recordPlan(now, plan)
	t.quotas.recordBlockedDemand(now, plan.ReservationBlocked)
	t.drain(now, plan.Drain)
	t.evict(now, plan.Evictions)
	t.writeRound(now, plan)
}

func (t *term) evict(now clock.Instant, evictions []scheduler.Eviction) {
	for _, e := range evictions {
		p := e.Placement
		t.log.Debug("task preempted", "job", p.Job.ID, "task", p.Task, "machine", p.Machine, "for", e.Preemptor, "epoch", t.epoch)
		t.fleet.StopPlacement(now, p, clock.Seconds(p.Job.Spec.CheckpointSeconds))
		t.metrics.Preemptions.Inc()
	}
}

// writeRound places the tasks that a plan starts, adds the machines to deprovision, and writes the record of the round.
func (t *term) writeRound(now clock.Instant, plan *scheduler.Plan) {
	round := t.placeTasks(now, plan)
	record := round.record
	record.Deprovisions = t.machinesToDeprovision(now, plan.Retain, max(0, t.schema.storeLimits().MaxValueBytes()-record.MaxJSONSize()))
	if record.IsEmpty() {
		return
	}
	if !t.rounds.write(now, t.epoch, t.schema, round) {
		t.abortRound(now, round)
		return
	}
	for _, id := range record.Deprovisions {
		t.fleet.Machine(id).Deprovisioning = true
	}
}

// placeTasks places the tasks that a plan starts, so that their resources are in use. No task is started before the
// record is stored.
func (t *term) placeTasks(now clock.Instant, plan *scheduler.Plan) *roundInFlight {
	record := &plan.Record
	round := &roundInFlight{record: record, provisionFor: plan.ProvisionedFor, jobs: map[ident.JobID]bool{}}
	for _, start := range record.Starts {
		j := t.jobs.get(start.Job)
		round.jobs[start.Job] = true
		for i := range start.Tasks.All() {
			p := &jobs.Placement{Job: j, Task: i, Machine: start.Machine, Session: start.Session,
				Attempt: start.AttemptInRound(record.RoundNo), RoundNo: record.RoundNo, PlacedAt: now}
			t.fleet.AddPlacement(now, p)
			round.placements = append(round.placements, p)
		}
	}
	return round
}

// abortRound reverts a round whose record is known not to be stored.
func (t *term) abortRound(now clock.Instant, round *roundInFlight) {
	for _, p := range round.placements {
		t.fleet.RetractPlacement(now, p)
	}
	for _, id := range round.record.Deprovisions {
		if m := t.fleet.Machine(id); m != nil {
			m.Deprovisioning = false
		}
	}
	t.rounds.requestPlan()
}

// roundCompleted executes a round once its record is stored, or reverts it if the record was not stored.
func (t *term) roundCompleted(now clock.Instant, in TransactionCompleted) {
	round, stored := t.rounds.completeWrite(now, in)
	if round == nil {
		return
	}
	if !stored {
		t.abortRound(now, round)
		return
	}
	record := round.record
	for _, p := range round.placements {
		t.startPlacement(now, p, record.RoundNo)
	}
	for id := range round.jobs {
		j := t.jobs.get(id)
		j.LastRound = max(j.LastRound, record.RoundNo)
		j.MarkDirty(now)
	}
	t.provision(now, round)
	t.log.Debug("round stored", "round", record.RoundNo, "epoch", t.epoch, "starts", len(round.placements),
		"provisions", len(record.Provisions), "deprovisions", len(record.Deprovisions))
}

// provision passes the provision requests and deprovisions of a stored round to the provisioner.
func (t *term) provision(now clock.Instant, round *roundInFlight) {
	record := round.record
	for _, p := range record.Provisions {
		t.log.Info("provision requested", "provision", p.Name, "type", p.Offer.Type, "zone", p.Offer.Zone, "spot", p.Offer.Spot,
			"count", p.Count, "job", round.provisionFor, "round", record.RoundNo, "epoch", t.epoch)
		t.provisioner.request(now, p, false)
	}
	if len(record.Deprovisions) > 0 {
		t.log.Info("deprovision requested", "machines", record.Deprovisions, "round", record.RoundNo, "epoch", t.epoch)
		t.provisioner.deprovision(record.Deprovisions...)
	}
}

// startPlacement allows the start of a placement whose record is stored. It retracts the placement if the job has
// ended, or if the machine is gone, has a new session or is not schedulable any more, since the round was planned.
func (t *term) startPlacement(now clock.Instant, p *jobs.Placement, no ident.RoundNo) {
	if p.State == jobs.PlacementEnded {
		return
	}
	m := t.fleet.Machine(p.Machine)
	if p.Job.Phase.Final() || m == nil || m.Session != p.Session || !t.fleet.Schedulable(m) {
		t.fleet.RetractPlacement(now, p)
		return
	}
	p.StartAllowed = true
	t.fleet.ScheduleCommand(p.Machine)
	t.log.Debug("task start commanded", "job", p.Job.ID, "task", p.Task, "machine", p.Machine, "round", no, "epoch", t.epoch)
}

// snapshot returns the state that a round is planned from.
func (t *term) snapshot(now clock.Instant, no ident.RoundNo) *scheduler.Snapshot {
	s := &scheduler.Snapshot{
		Now:                 now,
		WallMs:              t.clock.Wall().UnixMilli(),
		RoundNo:             no,
		Epoch:               t.epoch,
		Fleet:               t.fleet,
		MachineTypes:        t.core.machineTypes,
		Zones:               t.settings.Params.Zones,
		Teams:               t.teams,
		PendingMachines:     t.pendingMachines(now),
		OfferUnavailable:    func(o cloud.Offer) bool { return t.provisioner.isBlocked(now, o) },
		Policy:              t.policy,
		Objectives:          t.rounds.objectivesByClass(),
		SpareSpecs:          t.spareSpecs(),
		TypicalSpecs:        t.jobs.typicalByClass(),
		MayDrain:            t.rounds.mayDrain(now, t.acquiredAt) && !t.core.peersUnreachable,
		MayProvision:        t.mayProvision(now),
		ValueBytes:          t.schema.storeLimits().MaxValueBytes(),
		MaxJobValues:        t.schema.maxJobValues(),
		MaxRoundValues:      t.schema.maxRoundValues(),
		ReplacementAttempts: t.replaceableGangs(now),
		SpecJSONSize:        t.jobs.specJSONSize,
		TeamActive:          func(team ident.Team) bool { return t.rounds.isTeamActive(now, team) },
	}
	s.Reserved, s.ReservedTasks = t.quotas.reserved(t.jobs)
	t.addJobsTo(s, now)
	return s
}

// addJobsTo adds the jobs that have placements, and those that have queued tasks and are not in backoff, to a snapshot.
func (t *term) addJobsTo(s *scheduler.Snapshot, now clock.Instant) {
	for j := range t.jobs.all() {
		if len(j.Placements) > 0 || len(j.Queue) > 0 {
			t.rounds.recordTeamActivity(now, j.Spec.Team)
		}
		if len(j.Placements) > 0 {
			s.PlacedJobs = append(s.PlacedJobs, j)
		}
		if len(j.Queue) > 0 && !j.Phase.Final() && !now.Before(j.BackoffUntil) {
			s.QueuedJobs = append(s.QueuedJobs, j)
		}
	}
	// The planner sums floating-point numbers, and such a sum depends on the order of its terms. Sorting makes the plan
	// the same for the same jobs.
	slices.SortFunc(s.PlacedJobs, compareByID)
	slices.SortFunc(s.QueuedJobs, compareByID)
}

func compareByID(a, b *jobs.Job) int { return cmp.Compare(a.ID, b.ID) }

// mayProvision reports whether a round may request machines: the machine types and the existing machines are known, and
// the provisioner may send another request.
func (t *term) mayProvision(now clock.Instant) bool {
	return len(t.core.machineTypes) > 0 && t.knowsAllMachines(now) && t.provisioner.mayRequest(now)
}

// spareSpecs returns the typical specs of the classes whose start objective is shorter than the shortest boot time of a
// machine.
func (t *term) spareSpecs() []*jobs.Spec {
	var specs []*jobs.Spec
	for _, s := range t.jobs.typicalByClass() {
		if within := t.rounds.objectivesOf(s.Class).StartWithin; within > 0 && within < t.minBootTime(s) {
			specs = append(specs, s)
		}
	}
	return specs
}

// minBootTime returns the shortest boot time among the machine types that a spec allows and that its tasks fit on.
func (t *term) minBootTime(s *jobs.Spec) time.Duration {
	fastest := time.Duration(math.MaxInt64)
	for _, typ := range t.core.machineTypes {
		allowed := slices.ContainsFunc(typ.AvailableZones(t.settings.Params.Zones), func(z ident.Zone) bool { return s.AllowsMachine(typ.Name, z, false) })
		if allowed && typ.Capacity.Fits(s.TaskResources()) {
			fastest = min(fastest, typ.BootTime)
		}
	}
	return fastest
}

// replayRound applies a round of an earlier leader that the checkpoints of its jobs do not all include. It is
// unknown which of its effects have taken place, so all are applied again:
//  1. Placements are restored, and wait for heartbeats that report their tasks.
//  2. Provision requests are repeated under the same names, by which the cloud recognizes duplicates.
//  3. Machines are deprovisioned again.
func (t *term) replayRound(now clock.Instant, r *roundlog.Record) {
	for _, s := range r.Starts {
		j := t.jobs.get(s.Job)
		if j == nil || j.Stored.Round >= r.RoundNo {
			t.rounds.jobCheckpointed(s.Job, r.RoundNo)
			continue
		}
		t.restorePlacements(now, j, jobs.PlacementGroup{Machine: s.Machine, Session: s.Session, Attempt: s.AttemptInRound(r.RoundNo), Tasks: s.Tasks})
		j.LastRound = max(j.LastRound, r.RoundNo)
		j.MarkDirty(now)
	}
	for _, p := range r.Provisions {
		t.provisioner.request(now, p, true)
	}
	for _, id := range r.Deprovisions {
		t.fleet.Ensure(now, id).Deprovisioning = true
		t.provisioner.deprovision(id)
	}
}
