package controller

import (
	"fmt"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/rental"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
)

// load takes in all records, as the successor of whoever led before.
func (t *term) load(now unit.Instant, in Loaded) {
	if in.Epoch != t.epoch || t.loaded {
		return // of an earlier term
	}
	if !in.OK {
		t.c.emit(LoadAll{Epoch: t.epoch})
		return
	}
	records := takeover.DecodeRecords(in.Stored, stageKey)
	for _, u := range records.UnreadableRecords {
		t.unreadable(u)
	}
	t.formStamp, t.stage.stamp = records.SchemaRevision, records.StageRevision
	t.cluster = rollout.New(t.c.set.PeerNames(), records.SchemaAgreement.Version)
	for _, j := range records.Jobs {
		t.addJob(now, j)
	}
	ring, open := round.RestoreRing(t.c.pol.RingSlots, records.Rounds)
	t.ring = ring
	for _, item := range records.LostRounds {
		t.ring.SkipUnreadable(item.Key, item.ModRevision)
	}
	t.lostRounds = len(records.LostRounds) > 0
	for _, r := range open {
		t.replay(now, r)
	}
	t.loaded, t.dirty = true, true
	t.takeKnown(now, in.Machines)
	t.answerParked(now)
	t.c.log.Info("checkpoints read", "epoch", t.epoch, "jobs", len(t.jobs), "open_rounds", len(open))
}

// unreadable handles a record that can't be read. One of a later schema stops
// the node.
func (t *term) unreadable(u takeover.UnreadableRecord) {
	t.c.met.Unreadable.Inc()
	t.c.log.Error("record can't be read", "key", u.Key, "err", u.Err, "epoch", t.epoch)
	if u.FromNewerSchema() {
		t.c.emit(Stop{Err: fmt.Errorf("%s: %w; run the newer program", u.Key, u.Err)})
	}
}

// addJob takes in a job record with the placements it holds.
func (t *term) addJob(now unit.Instant, stored takeover.JobRecord) {
	r := stored.Record
	j := checkpoint.NewJob(stored.ID, r, stored.Revision, now)
	t.jobs[j.ID] = j
	if old := t.lastSpec[r.Spec.Class]; old == nil || r.Phase == checkpoint.PhaseActive {
		t.lastSpec[r.Spec.Class] = &j.Spec
	}
	t.specSize[j.ID] = statestore.JSONSize(&r.Spec)
	for _, g := range r.Placements {
		t.restore(now, j, g)
	}
	t.dirty = true
}

// replay applies a round that is not folded into all its jobs yet. Whether its
// effects came about is not known: placements wait for reports, rentals are
// repeated under their names, releases are sent again.
func (t *term) replay(now unit.Instant, r *round.Record) {
	for _, s := range r.Starts {
		j := t.jobs[s.Job]
		if j == nil || j.StoredRound >= r.RoundNo {
			t.ring.JobFolded(s.Job, r.RoundNo)
			continue
		}
		t.restore(now, j, checkpoint.PlacementGroup{Machine: s.Machine, Session: s.Session, Attempt: s.AttemptInRound(r.RoundNo), Tasks: s.Tasks})
		j.LastRound = max(j.LastRound, r.RoundNo)
		j.MarkDirty(now)
	}
	for _, h := range r.Provisions {
		t.rentals.AddProvision(now, h.Name, h.Offer, h.Count, true)
	}
	for _, id := range r.Deprovisions {
		t.fleet.Ensure(now, id).Deprovisioning = true
		t.rentals.AddDeprovision(id)
	}
}

// restore puts placements back that an earlier leader recorded. They may or
// may not have been launched, under any token below ours.
func (t *term) restore(now unit.Instant, j *checkpoint.Job, g checkpoint.PlacementGroup) {
	m := t.fleet.Ensure(now, g.Machine)
	m.Confirmed = true
	m.Session = max(m.Session, g.Session)
	g.Tasks.Each(func(i unit.TaskIndex) bool {
		if int(i) >= j.Spec.Tasks || j.Done.Contains(i) {
			return true
		}
		if old := j.Placements[i]; old != nil {
			if old.Attempt > g.Attempt {
				return true
			}
			// The later was decided when the earlier was over: another attempt, or
			// a replacement in a gang's. Rounds are replayed in their order.
			t.fleet.Retract(now, old)
		}
		p := &checkpoint.Placement{Job: j, Task: i, Machine: g.Machine, Session: g.Session,
			Attempt: g.Attempt, FencingToken: t.epoch - 1, PlacedAt: now}
		t.fleet.Place(now, p)
		if j.Phase.Final() {
			t.fleet.StopPlacement(now, p, 0)
		}
		return true
	})
}

// askAtOnce bounds the machines that are asked in one step.
const askAtOnce = 100

// askMachines asks the machines that the cloud lists for their reports, where there
// is a warm standby: workers that wait for an answer of the lost leader come by
// themselves only when they have given it up.
func (t *term) askMachines(now unit.Instant) {
	if t.ready || t.c.pol.Features.WarmStandby == nil || !t.listRead && !t.hinted {
		return
	}
	asked := t.fleet.ClaimHeartbeatRequests(askAtOnce)
	for _, m := range asked {
		t.c.emit(Do{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Orders: t.fleet.Commands(now, m, false)})
	}
	t.asking.RecordSent(now, len(asked), len(asked) == askAtOnce)
}

// takeKnown takes in the machines that this node listed as a standby, so that they can
// be asked before the list is read anew: at 4,000 machines that takes eight calls, and
// 4 s where the cloud takes two a second; see knowsMachines.
func (t *term) takeKnown(now unit.Instant, known KnownMachines) {
	for _, l := range known.List {
		if l.State == rental.MachineRunning && !t.fleet.WasRemoved(l.ID) {
			t.listed(now, known.At, l)
			t.hinted = true
		}
	}
}

// knowsMachines tells whether machines may be rented by what is known of those there
// are: a list that was read as a standby is too old for that, unless the new one is
// late.
func (t *term) knowsMachines(now unit.Instant) bool {
	return t.listRead || !t.hinted || now.Sub(t.acquired) >= t.c.set.Params.Workers.MaxHeartbeatGap()
}

// reconciled lets placing begin once enough is known of what earlier leaders did.
func (t *term) reconciled(now unit.Instant) {
	if t.ready {
		return
	}
	gate := takeover.SchedulingGate{AcquiredAt: t.acquired, Epoch: t.epoch, Workers: t.c.set.Params.Workers,
		Poll: &t.asking, LostRounds: t.lostRounds, Pristine: t.listRead && t.ring.IsUnused() && t.fleet.Len() == 0}
	if !gate.Open(now, t.fleet.Machines()) {
		return
	}
	t.ready, t.dirty = true, true
	t.c.met.Recoveries.Inc()
	t.c.log.Info("reconciled", "epoch", t.epoch, "machines", t.fleet.Len(), "after", now.Sub(t.acquired))
}
