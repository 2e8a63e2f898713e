package controller

import (
	"fmt"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/recovery"
)

// ReadRecords is the effect that reads all records.
type ReadRecords struct{ Epoch ident.Epoch }

// RecordsRead is the outcome of a ReadRecords.
type RecordsRead struct {
	Epoch  ident.Epoch
	OK     bool
	Stored recovery.StoredRecords
	// KnownMachines are those that this node has listed as a standby.
	KnownMachines MachineSnapshot
}

// MachineSnapshot is a list of machines that was read before this node led: a hint whom to ask for heartbeats.
type MachineSnapshot struct {
	RequestedAt clock.Instant // of its first page
	Machines    []cloud.Machine
}

func (RecordsRead) input()  {}
func (ReadRecords) effect() {}

// recoveryProgress is how far a new leader has taken over: it reads the records, hears the machines, and only then opens
// scheduling.
type recoveryProgress struct {
	loaded         bool // the records are read
	hasLostRounds  bool // the record of some round can't be read
	schedulingOpen bool // enough is known to place tasks
	hasSnapshot    bool // machines are known from a list that was read before the term
	poll           recovery.HeartbeatPoll
}

// isLoaded tells whether the records are read.
func (r *recoveryProgress) isLoaded() bool { return r.loaded }

// isSchedulingOpen tells whether enough is known to place tasks.
func (r *recoveryProgress) isSchedulingOpen() bool { return r.schedulingOpen }

// recordsRead takes in all records, as the successor of whoever led before.
func (t *term) recordsRead(now clock.Instant, in RecordsRead) {
	if in.Epoch != t.epoch || t.recovery.loaded {
		return // of an earlier term
	}
	if !in.OK {
		t.emit(ReadRecords{Epoch: t.epoch})
		return
	}
	records := recovery.DecodeRecords(in.Stored, stagingKey)
	for _, u := range records.UnreadableRecords {
		t.reportUnreadable(u)
	}
	t.schema.load(records.SchemaAgreement.Version, records.SchemaRevision)
	t.checkpoints.resumeStaging(records.StageRevision)
	for _, j := range records.Jobs {
		t.addJob(now, j)
	}
	open := t.rounds.restore(records.Rounds, records.LostRounds)
	for _, r := range open {
		t.replayRound(now, r)
	}
	t.recovery.loaded, t.recovery.hasLostRounds = true, len(records.LostRounds) > 0
	t.rounds.requestPlan()
	t.adoptSnapshot(now, in.KnownMachines)
	t.handleDeferred(now)
	t.log.Info("checkpoints read", "epoch", t.epoch, "jobs", t.jobs.len(), "open_rounds", len(open))
}

// reportUnreadable handles a record that can't be decoded. One of a newer schema stops the node.
func (t *term) reportUnreadable(u recovery.UnreadableRecord) {
	t.metrics.UnreadableRecords.Inc()
	t.log.Error("record unreadable", "key", u.Key, "err", u.Err, "epoch", t.epoch)
	if u.FromNewerSchema() {
		t.emit(StopNode{Err: fmt.Errorf("%s: %w; run the newer program", u.Key, u.Err)})
	}
}

// addJob adds a job by its record, with the placements it holds.
func (t *term) addJob(now clock.Instant, stored recovery.JobRecord) {
	j := t.jobs.add(now, stored)
	for _, g := range stored.Record.Placements {
		t.restorePlacements(now, j, g)
	}
	t.rounds.requestPlan()
}

// restorePlacements restores placements that an earlier leader recorded. Their tasks may or may not have been started,
// under any earlier epoch.
func (t *term) restorePlacements(now clock.Instant, j *jobs.Job, g jobs.PlacementGroup) {
	m := t.fleet.Ensure(now, g.Machine)
	m.Confirmed = true
	m.Session = max(m.Session, g.Session)
	for i := range g.Tasks.All() {
		if int(i) < j.Spec.Tasks && !j.Done.Contains(i) {
			t.restorePlacement(now, j, i, g)
		}
	}
}

// restorePlacement restores the placement of one task, unless a later one of it is known.
func (t *term) restorePlacement(now clock.Instant, j *jobs.Job, task ident.TaskIndex, g jobs.PlacementGroup) {
	if old := j.Placements[task]; old != nil {
		if old.Attempt > g.Attempt {
			return
		}
		// The later was decided when the earlier had ended: another attempt, or a replacement within a gang's. Rounds are
		// replayed in their order.
		t.fleet.Retract(now, old)
	}
	p := &jobs.Placement{Job: j, Task: task, Machine: g.Machine, Session: g.Session,
		Attempt: g.Attempt, FencingToken: t.epoch - 1, PlacedAt: now}
	t.fleet.Place(now, p)
	if j.Phase.Final() {
		t.fleet.StopPlacement(now, p, 0)
	}
}

// maxHeartbeatRequestsPerStep bounds the machines whose heartbeats are requested in one step.
const maxHeartbeatRequestsPerStep = 100

// requestHeartbeats requests heartbeats of the machines that the cloud lists, where there is a warm standby: workers that
// wait for an answer of the lost leader come by themselves only when they have given it up.
func (t *term) requestHeartbeats(now clock.Instant) {
	if t.recovery.schedulingOpen || t.policy.Features.WarmStandby == nil || !t.provisioner.hasListed() && !t.recovery.hasSnapshot {
		return
	}
	asked := t.fleet.ClaimHeartbeatRequests(maxHeartbeatRequestsPerStep)
	for _, m := range asked {
		t.sendCommands(m, t.fleet.Commands(m, false))
	}
	t.recovery.poll.RecordSent(now, len(asked), len(asked) == maxHeartbeatRequestsPerStep)
}

// adoptSnapshot takes in the machines that this node listed as a standby, so that their heartbeats can be requested before
// the list is read anew: at 4,000 machines that takes eight calls, and 4 s where the cloud takes two a second; see
// knowsAllMachines.
func (t *term) adoptSnapshot(now clock.Instant, snapshot MachineSnapshot) {
	for _, l := range snapshot.Machines {
		if l.State == cloud.MachineRunning && !t.fleet.WasRemoved(l.ID) {
			t.applyListedMachine(now, snapshot.RequestedAt, l)
			t.recovery.hasSnapshot = true
		}
	}
}

// knowsAllMachines tells whether machines may be requested by what is known of those there are: a list that was read as a
// standby is too old for that, unless the new one is late.
func (t *term) knowsAllMachines(now clock.Instant) bool {
	return t.provisioner.hasListed() || !t.recovery.hasSnapshot || now.Sub(t.acquiredAt) >= t.settings.Params.Workers.MaxHeartbeatGap()
}

// openScheduling lets scheduling begin once enough is known of what earlier leaders did.
func (t *term) openScheduling(now clock.Instant) {
	if t.recovery.schedulingOpen {
		return
	}
	gate := recovery.SchedulingGate{AcquiredAt: t.acquiredAt, Epoch: t.epoch, Workers: t.settings.Params.Workers,
		Poll: t.recovery.poll, LostRounds: t.recovery.hasLostRounds, Pristine: t.provisioner.hasListed() && t.rounds.isUnused() && t.fleet.Len() == 0}
	if !gate.Open(now, t.fleet.Machines()) {
		return
	}
	t.recovery.schedulingOpen = true
	t.rounds.requestPlan()
	t.metrics.Recoveries.Inc()
	t.log.Info("scheduling opened", "epoch", t.epoch, "machines", t.fleet.Len(), "after", now.Sub(t.acquiredAt))
}
