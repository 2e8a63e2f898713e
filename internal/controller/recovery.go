package controller

import (
	"fmt"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/recovery"
)

// ReadRecords is the effect that reads all records from the state service.
type ReadRecords struct{ Epoch ident.Epoch }

// RecordsRead is the outcome of a ReadRecords.
type RecordsRead struct {
	Epoch  ident.Epoch
	OK     bool
	Stored recovery.StoredRecords
	// KnownMachines is the machine list that this node read while it was a standby.
	KnownMachines MachineSnapshot
}

// MachineSnapshot is a machine list that was read before this node became the leader. It may be outdated; it shows
// which machines to request heartbeats from.
type MachineSnapshot struct {
	RequestedAt clock.Instant // when the first page of the list was requested
	Machines    []cloud.Machine
}

func (RecordsRead) input()  {}
func (ReadRecords) effect() {}

// recoveryProgress is the progress of a new leader: it reads the records, collects heartbeats from the machines, and
// only then opens scheduling.
type recoveryProgress struct {
	loaded         bool // the records have been read
	hasLostRounds  bool // at least one round record cannot be decoded
	schedulingOpen bool // enough is known to place tasks
	hasSnapshot    bool // running machines are known from a MachineSnapshot
	poll           recovery.HeartbeatPoll
}

// isLoaded reports whether the records have been read.
func (r *recoveryProgress) isLoaded() bool { return r.loaded }

// isSchedulingOpen reports whether enough is known to place tasks.
func (r *recoveryProgress) isSchedulingOpen() bool { return r.schedulingOpen }

// recordsRead restores the state of the previous leaders from the records. If the read failed, it is repeated.
func (t *term) recordsRead(now clock.Instant, in RecordsRead) {
	if in.Epoch != t.epoch || t.recovery.loaded {
		return // a result for another epoch, or a duplicate
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

// reportUnreadable counts and logs a record that cannot be decoded. A record of a newer schema version stops the node.
func (t *term) reportUnreadable(u recovery.UnreadableRecord) {
	t.metrics.UnreadableRecords.Inc()
	t.log.Error("record unreadable", "key", u.Key, "err", u.Err, "epoch", t.epoch)
	if u.FromNewerSchema() {
		t.emit(StopNode{Err: fmt.Errorf("%s: %w; upgrade this node to the newer release", u.Key, u.Err)})
	}
}

// addJob adds a job from its stored record, together with the placements in the record.
func (t *term) addJob(now clock.Instant, stored recovery.JobRecord) {
	j := t.jobs.add(now, stored)
	for _, group := range stored.Record.Placements {
		t.restorePlacements(now, j, group)
	}
	t.rounds.requestPlan()
}

// restorePlacements restores placements that an earlier leader recorded. Their tasks may or may not have been started,
// under any earlier epoch.
func (t *term) restorePlacements(now clock.Instant, j *jobs.Job, group jobs.PlacementGroup) {
	m := t.fleet.Ensure(now, group.Machine)
	m.Confirmed = true
	m.Session = max(m.Session, group.Session)
	for i := range group.Tasks.All() {
		if int(i) < j.Spec.Tasks && !j.Done.Contains(i) {
			t.restorePlacement(now, j, i, group)
		}
	}
}

// restorePlacement restores the placement of one task, unless a later attempt of the task is already known.
func (t *term) restorePlacement(now clock.Instant, j *jobs.Job, task ident.TaskIndex, group jobs.PlacementGroup) {
	if old := j.Placements[task]; old != nil {
		if old.Attempt > group.Attempt {
			return
		}
		// Rounds are replayed in their order, and the later placement was decided after the earlier one had ended: it
		// is a new attempt, or a replacement within an attempt of a gang.
		t.fleet.RetractPlacement(now, old)
	}
	p := &jobs.Placement{Job: j, Task: task, Machine: group.Machine, Session: group.Session,
		Attempt: group.Attempt, FencingToken: t.epoch - 1, PlacedAt: now}
	t.fleet.AddPlacement(now, p)
	if j.Phase.Final() {
		t.fleet.StopPlacement(now, p, 0)
	}
}

// maxHeartbeatRequestsPerStep bounds the machines whose heartbeats are requested in one step.
const maxHeartbeatRequestsPerStep = 100

// requestHeartbeats requests heartbeats from the machines that the cloud provider lists, if warm standby is enabled.
// Without a request, workers that wait for a reply of the failed leader contact this node only after their timeout.
func (t *term) requestHeartbeats(now clock.Instant) {
	if t.recovery.schedulingOpen || t.policy.Features.WarmStandby == nil || !t.provisioner.hasListed() && !t.recovery.hasSnapshot {
		return
	}
	requested := t.fleet.ClaimHeartbeatRequests(maxHeartbeatRequestsPerStep)
	for _, m := range requested {
		t.sendCommands(m, t.fleet.Commands(m, false))
	}
	t.recovery.poll.RecordSent(now, len(requested), len(requested) == maxHeartbeatRequestsPerStep)
}

// adoptSnapshot adds the machines that this node listed while it was a standby, so that their heartbeats can be
// requested before the list is read again. For 4,000 machines that read takes eight calls, or 4 s if the cloud provider
// accepts two calls per second. See knowsAllMachines.
func (t *term) adoptSnapshot(now clock.Instant, snapshot MachineSnapshot) {
	for _, l := range snapshot.Machines {
		if l.State == cloud.MachineRunning && !t.fleet.WasRemoved(l.ID) {
			t.applyListedMachine(now, snapshot.RequestedAt, l)
			t.recovery.hasSnapshot = true
		}
	}
}

// knowsAllMachines reports whether the existing machines are known well enough to decide on provisioning. A list that
// was read as a standby is too old for that; it is accepted only if the new list is not complete after the maximum
// heartbeat gap.
func (t *term) knowsAllMachines(now clock.Instant) bool {
	return t.provisioner.hasListed() || !t.recovery.hasSnapshot || now.Sub(t.acquiredAt) >= t.settings.Params.Workers.MaxHeartbeatGap()
}

// openScheduling opens scheduling once enough is known of the placements and commands of earlier leaders.
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
