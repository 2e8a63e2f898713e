package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/intake"
	"badgerbay/internal/leadership"
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

// foldFlight is a fold that is being written.
type foldFlight struct{ jobs []foldedJob }

type foldedJob struct {
	job   *checkpoint.Job
	seq   uint64
	round unit.RoundNo
	phase checkpoint.Phase
}

// proposed tells whether a placement belongs to the round under way: its
// launch has not left, and won't before the record is stored.
func (t *term) proposed(p *checkpoint.Placement) bool {
	return t.flight != nil && p.Attempt == unit.Attempt(t.flight.record.No)
}

// leaderGuard fences a transaction: once another epoch has begun it fails.
func (t *term) leaderGuard() statestore.Guard {
	return statestore.Guard{Key: leadership.Key, Stamp: unit.Version(t.epoch)}
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
	cpu := t.c.set.Params.MachineLimits.CPU
	if cpu <= 0 {
		cpu = 1
	}
	g := max(t.c.pol.RoundGap, time.Duration(float64(t.planCost)/(cpu*planShare)))
	switch level := t.c.budget.WritesFor(now, statestore.UseRound); {
	case level < 2:
		return max(g, 16*t.c.pol.RoundGap)
	case level < 4:
		return max(g, 6*t.c.pol.RoundGap)
	}
	return g
}

func (t *term) maybeRound(now unit.Instant) {
	if !t.ready || t.flight != nil || t.c.lead.Sealing() || now.Sub(t.lastRound) < t.gap(now) {
		return
	}
	if !t.dirty && now.Before(t.nextPlan) {
		return
	}
	no, free := t.ring.Next()
	if !free || t.c.budget.WritesFor(now, statestore.UseRound) < 1 {
		return
	}
	t.dirty, t.lastRound, t.nextPlan = false, now, now.Add(time.Second)
	plan := round.Make(t.world(now, no))
	t.planCost = time.Duration(plan.Work) * lookCost
	for _, id := range plan.Vacate {
		t.lastVacate = now
		t.fleet.Machine(id).Vacating = true
		t.c.log.Info("emptying", "machine", id, "epoch", t.epoch)
	}
	for _, s := range plan.Stops {
		t.c.log.Debug("task stopped to make room", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", s.Placement.Machine, "for", s.For, "epoch", t.epoch)
		t.fleet.Halt(now, s.Placement, unit.Seconds(s.Placement.Job.Spec.SaveS))
		t.c.met.Preemptions.Inc()
	}
	t.propose(now, plan)
}

// propose reserves what the round decides and writes its record.
func (t *term) propose(now unit.Instant, plan *round.Plan) {
	r := &plan.Record
	f := &flight{record: r, hireFor: plan.HireFor, jobs: map[unit.JobID]bool{}}
	for _, s := range r.Starts {
		j := t.jobs[s.Job]
		f.jobs[s.Job] = true
		s.Tasks.Each(func(i unit.TaskIndex) bool {
			p := &checkpoint.Placement{Job: j, Task: i, Machine: s.Machine, Shift: s.Shift, Attempt: unit.Attempt(r.No), Since: now}
			t.fleet.Place(now, p)
			f.places = append(f.places, p)
			return true
		})
	}
	r.Releases = t.releasable(now, plan.Keep, t.c.set.Params.State.ValueBytes()-r.SizeOf())
	if r.Empty() {
		return
	}
	r.Low = min(t.ring.Low(), r.No)
	if !t.c.budget.TakeWrites(now, statestore.UseRound, 1) {
		t.undo(now, f)
		return
	}
	for _, id := range r.Releases {
		t.fleet.Machine(id).Releasing = true
	}
	stored, err := r.Encode()
	if err != nil {
		t.c.log.Error("round can't be written", "round", r.No, "err", err, "epoch", t.epoch)
		t.undo(now, f)
		return
	}
	t.flight = f
	key := t.ring.Key(r.No)
	t.c.emit(Commit{Kind: CommitRound, Epoch: t.epoch, Txn: statestore.Txn{
		Guards: []statestore.Guard{t.leaderGuard(), {Key: key, Stamp: t.ring.Version(r.No)}},
		Writes: []statestore.Write{{Set: key, Value: stored}},
	}})
}

// undo takes back a round that surely was not stored.
func (t *term) undo(now unit.Instant, f *flight) {
	for _, p := range f.places {
		t.fleet.Withdraw(now, p)
	}
	for _, id := range f.record.Releases {
		if m := t.fleet.Machine(id); m != nil {
			m.Releasing = false
		}
	}
	t.dirty = true
}

func (t *term) committed(now unit.Instant, in Committed) {
	if in.Epoch != t.epoch {
		// Of an earlier term of this node. Its records were read anew.
		return
	}
	if in.Outcome == leadership.Gone {
		t.c.leadStep(now, leadership.Deposed{})
		return
	}
	if in.Kind == CommitRound {
		t.roundCommitted(now, in)
	} else {
		t.foldCommitted(now, in)
	}
}

// roundCommitted sends the effects of a round that is stored.
func (t *term) roundCommitted(now unit.Instant, in Committed) {
	f := t.flight
	if f == nil {
		return
	}
	t.flight = nil
	if in.Outcome != leadership.OK {
		t.undo(now, f)
		t.lastRound = now.Add(200 * time.Millisecond)
		return
	}
	r := f.record
	t.ring.Put(r, in.Version)
	t.c.met.Rounds.Inc()
	for _, p := range f.places {
		t.launch(now, p, r.No)
	}
	for id := range f.jobs {
		j := t.jobs[id]
		j.Round = max(j.Round, r.No)
		j.Touch(now)
	}
	for _, h := range r.Hires {
		t.c.log.Info("renting", "hire", h.Name, "type", h.Offer.Type, "zone", h.Offer.Zone, "spot", h.Offer.Spot, "count", h.Count, "job", f.hireFor, "round", r.No, "epoch", t.epoch)
		t.desk.Hire(now, h.Name, h.Offer, h.Count, false)
	}
	if len(r.Releases) > 0 {
		t.c.log.Info("returning", "machines", r.Releases, "round", r.No, "epoch", t.epoch)
		t.desk.Release(r.Releases...)
	}
	t.c.log.Debug("round", "round", r.No, "epoch", t.epoch, "starts", len(f.places), "hires", len(r.Hires), "releases", len(r.Releases))
}

// launch lets a recorded placement start, unless its job or its machine has
// changed while the record was being written.
func (t *term) launch(now unit.Instant, p *checkpoint.Placement, no unit.RoundNo) {
	if p.State == checkpoint.Ended {
		return
	}
	m := t.fleet.Machine(p.Machine)
	if p.Job.Phase.Final() || m == nil || m.Shift != p.Shift || !t.fleet.Placeable(m) {
		t.fleet.Withdraw(now, p)
		return
	}
	p.Launch = true
	t.fleet.Push(p.Machine)
	t.c.log.Debug("launch", "job", p.Job.ID, "task", p.Task, "machine", p.Machine, "round", no, "epoch", t.epoch)
}

// world gathers what a round is planned from.
func (t *term) world(now unit.Instant, no unit.RoundNo) *round.World {
	p := t.c.set.Params
	w := &round.World{Now: now, WallMs: t.c.clock.Wall().UnixMilli(), No: no, Epoch: t.epoch, Fleet: t.fleet,
		Types: t.c.types, Zones: p.Zones, Teams: t.teams, Coming: t.coming(now),
		Blocked: func(o rental.Offer) bool { return t.desk.Blocked(now, o) },
		Policy:  t.c.pol, Expect: t.expect, Spares: t.spares(), Typical: t.typical(),
		MayVacate:  now.Sub(max(t.lastVacate, t.acquired)) >= t.c.pol.VacateEvery && !t.c.cut,
		MayHire:    len(t.c.types) > 0 && t.cloud.Level(now) >= 1 && len(t.desk.Pending()) < 4,
		ValueBytes: p.State.ValueBytes(), SpecSize: func(j *checkpoint.Job) int { return t.specSize[j.ID] }}
	w.Active = func(team unit.Team) bool {
		last, ok := t.lastWork[team]
		return ok && now.Sub(last) <= t.c.pol.GuaranteeHold
	}
	for _, j := range t.jobs {
		if len(j.Live) > 0 || len(j.Queue) > 0 {
			t.lastWork[j.Spec.Team] = now
		}
		if len(j.Live) > 0 {
			w.All = append(w.All, j)
		}
		if len(j.Queue) > 0 && !j.Phase.Final() && !now.Before(j.NotBefore) {
			w.Jobs = append(w.Jobs, j)
		}
	}
	return w
}

// coming lists the machines that are rented, or being rented, and not up.
func (t *term) coming(now unit.Instant) []round.Coming {
	var out []round.Coming
	for _, m := range t.fleet.Machines() {
		if m.Type != "" && m.Shift == 0 && !m.Releasing && !m.Failed && !t.late(now, m) {
			out = append(out, round.Coming{Offer: rental.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}})
		}
	}
	for _, h := range t.desk.Pending() {
		for range h.Count {
			out = append(out, round.Coming{Offer: h.Offer})
		}
	}
	return out
}

func (t *term) bootLimit(m *fleet.Machine) time.Duration {
	limit := t.c.pol.BootFloor
	if typ := t.fleet.Type(m.Type); typ != nil {
		limit = max(limit, time.Duration(t.c.pol.BootFactor*float64(typ.Boot)))
	}
	return limit
}

// late tells whether a machine should have come up by now. It may yet, but
// work does not wait for it any longer: others are rented for it. Guards
// against an incident in which services waited 80 s for machines that never
// came.
func (t *term) late(now unit.Instant, m *fleet.Machine) bool {
	typ := t.fleet.Type(m.Type)
	return typ != nil && now.Sub(m.Born) > time.Duration(t.c.pol.BootLate*float64(typ.Boot))+lateMargin
}

// lateMargin is added to the time to boot for the first report.
const lateMargin = 2 * time.Second

// overdue tells whether a machine has taken so long to boot that it is not
// counted on any more.
func (t *term) overdue(now unit.Instant, m *fleet.Machine) bool {
	return m.Shift == 0 && now.Sub(m.Born) > t.bootLimit(m)
}

// releasable lists the machines to return in this round, as many as fit room
// bytes of its record.
func (t *term) releasable(now unit.Instant, keep map[unit.MachineID]bool, room int) []unit.MachineID {
	var out []unit.MachineID
	silent := t.silent(now)
	for _, m := range t.fleet.Machines() {
		if m.Releasing || len(out) == rental.MaxRelease {
			continue
		}
		idle := !m.Busy() && (now.Sub(m.IdleSince) > t.idleLimit(m) && !keep[m.ID] || m.Drained || m.Vacating)
		if m.Shift == 0 {
			idle = t.overdue(now, m) && !t.c.dozy(now)
		}
		if !idle && !m.Failed && !silent[m.ID] {
			continue
		}
		room -= len(m.ID) + 8
		if room < 0 {
			break
		}
		out = append(out, m.ID)
	}
	return out
}

// idleLimit is how long a machine may be idle: as long as its like takes to
// come up again, and some. Longer costs more than to rent it anew.
func (t *term) idleLimit(m *fleet.Machine) time.Duration {
	limit := t.c.pol.IdleReturn
	if typ := t.fleet.Type(m.Type); typ != nil && typ.Boot > 0 {
		limit = min(limit, max(t.c.pol.IdleLeast, time.Duration(t.c.pol.IdleBoots*float64(typ.Boot))))
	}
	return limit
}

// spares are the specs of the classes that must start faster than machines
// come up, as last seen.
func (t *term) spares() []*checkpoint.Spec {
	var out []*checkpoint.Spec
	for _, class := range t.quick {
		if s := t.lastSpec[class]; s != nil {
			out = append(out, s)
		}
	}
	return out
}

// typical lists what the classes look like, as last seen.
func (t *term) typical() []*checkpoint.Spec {
	var out []*checkpoint.Spec
	for _, class := range slices.Sorted(maps.Keys(t.lastSpec)) {
		out = append(out, t.lastSpec[class])
	}
	return out
}

// silent picks machines that have stopped reporting while others go on.
// Returning one proves that its tasks are gone sooner than its lease does. Many
// silent machines may be a cut, and are left alone unless they surely are none:
// nobody else is falling silent any more, and most machines of the zone go on.
func (t *term) silent(now unit.Instant) map[unit.MachineID]bool {
	// While a node is out of reach, a machine may be cut off with it; and a
	// leader that stood still itself does not know who went on.
	if t.c.cut || t.c.dozy(now) {
		return nil
	}
	zones := map[unit.Zone]*hush{}
	var all hush
	limit, interval := t.silentLimit(), t.c.set.Params.Workers.ReportInterval()
	for _, m := range t.fleet.Machines() {
		if !m.Up && !m.Busy() || m.Releasing || m.Failed {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &hush{}
			zones[m.Zone] = z
		}
		last := now.Sub(max(m.LastReport, t.acquired))
		z.count(last, limit, interval*3/2, m.ID)
		all.count(last, limit, interval*3/2, m.ID)
	}
	// Those that miss their first report count too: in a cut the machines fall
	// silent one after the other, and the first must not be returned alone.
	few := all.quiet <= max(1, all.machines/10)
	silent := map[unit.MachineID]bool{}
	for _, z := range zones {
		settled := all.quiet == len(all.silent) && z.quiet <= z.machines/2
		if all.machines < 3 || !few && !settled {
			continue
		}
		for _, id := range z.silent {
			silent[id] = true
		}
	}
	return silent
}

// hush counts the machines that are heard, and those that are not.
type hush struct {
	machines, quiet int
	silent          []unit.MachineID
}

func (h *hush) count(last, limit, late time.Duration, id unit.MachineID) {
	h.machines++
	if last > late {
		h.quiet++
	}
	if last > limit {
		h.silent = append(h.silent, id)
	}
}

// silentLimit is how long a worker may be silent before its machine is taken
// for dead. It spans two reports, of which each may come a quarter late, and the
// question in between: at six seconds fixed, with reports every five, healthy
// machines were returned by the hundred with all that ran on them.
func (t *term) silentLimit() time.Duration {
	return max(t.c.pol.SilentAfter, 2*t.c.set.Params.Workers.ReportInterval())
}

// maxTxn keeps a transaction below the state service's limit of 64 KiB.
const maxTxn = 40 << 10

// maxUrgent bounds the checkpoints of one fold, so that those who wait for
// changes have their turn in between. In a flood the folds of the jobs just
// placed took three changes of four, and 440 users needed 50 s to get in.
const maxUrgent = 4

// maybeFold writes the checkpoints that somebody waits for, then those that
// have lagged longest, as far as the folds' share of the write rate goes.
func (t *term) maybeFold(now unit.Instant) {
	if t.fold != nil || t.c.lead.Sealing() || now.Before(t.retryFold) {
		return
	}
	urgent, late := t.foldable(now)
	use := statestore.UseFold
	batch := late
	if len(urgent) > 0 {
		use, batch = statestore.UseUrgentFold, urgent
	}
	n := min(len(batch), t.c.budget.WritesFor(now, use), t.c.set.Params.State.TxnOps, maxUrgent)
	if n <= 0 {
		return
	}
	f := &foldFlight{}
	txn := statestore.Txn{Guards: []statestore.Guard{t.leaderGuard()}}
	size := 0
	for _, j := range batch[:n] {
		rec, err := j.Record(t.epoch).Encode()
		if err != nil {
			t.c.log.Error("checkpoint can't be written", "job", j.ID, "err", err, "epoch", t.epoch)
			continue
		}
		size += statestore.JSONSize(rec)
		if size > maxTxn && len(f.jobs) > 0 {
			break
		}
		key := checkpoint.Key(j.ID)
		txn.Guards = append(txn.Guards, statestore.Guard{Key: key, Stamp: j.Version})
		txn.Writes = append(txn.Writes, statestore.Write{Set: key, Value: rec})
		f.jobs = append(f.jobs, foldedJob{j, j.Seq, rec.Round, rec.Phase})
		j.Writing = true
	}
	if len(f.jobs) == 0 {
		return
	}
	t.c.budget.TakeWrites(now, use, len(f.jobs))
	t.fold = f
	t.c.emit(Commit{Kind: CommitFold, Epoch: t.epoch, Txn: txn})
}

// foldable lists the jobs whose record may be written now: those that a user
// or the ring waits for, and those that have lagged long enough.
func (t *term) foldable(now unit.Instant) (urgent, late []*checkpoint.Job) {
	pressed := map[unit.JobID]bool{}
	if t.ring.Free() <= t.c.pol.RingSlots/3 {
		for _, id := range t.ring.Oldest() {
			pressed[id] = true
		}
	}
	for _, j := range t.jobs {
		if !j.Dirty() || j.Writing || t.flight != nil && t.flight.jobs[j.ID] {
			continue
		}
		if j.Urgent() || pressed[j.ID] || len(t.waiting[j.ID]) > 0 {
			urgent = append(urgent, j)
		} else if now.Sub(j.DirtySince) >= t.c.pol.FoldAge {
			late = append(late, j)
		}
	}
	sortByAge(urgent)
	sortByAge(late)
	return urgent, late
}

func (t *term) foldCommitted(now unit.Instant, in Committed) {
	f := t.fold
	if f == nil {
		return
	}
	t.fold = nil
	for _, fj := range f.jobs {
		fj.job.Writing = false
	}
	if in.Outcome != leadership.OK {
		t.foldFailed(now, in)
		return
	}
	t.c.met.Folds.Inc()
	for _, fj := range f.jobs {
		j := fj.job
		j.Version, j.Stored, j.StoredRound, j.StoredPhase = in.Version, fj.seq, fj.round, fj.phase
		if j.Dirty() {
			j.DirtySince = now
		}
		t.ring.Folded(j.ID, fj.round)
		if fj.phase.Final() {
			t.c.log.Info("job over", "job", j.ID, "phase", fj.phase, "epoch", t.epoch)
			t.answerWaiters(j.ID, intake.Known, t.c.lead.EntitledUntil())
		}
	}
}

func (t *term) foldFailed(now unit.Instant, in Committed) {
	t.retryFold = now.Add(200 * time.Millisecond)
	for _, key := range in.Failed {
		t.c.met.CASConflicts.Inc()
		id := unit.JobID(strings.TrimPrefix(key, checkpoint.KeyPrefix))
		if t.jobs[id] != nil && !t.reading[id] {
			t.reading[id] = true
			t.c.emit(ReadJob{Job: id})
		}
	}
}

// maybeSeal raises the seal when exits wait to be reaped, or when a withdrawn
// launch has not been seen: under a higher seal no late copy can start.
func (t *term) maybeSeal(now unit.Instant) {
	if t.flight != nil || t.fold != nil || t.c.lead.Sealing() {
		return
	}
	since := now.Sub(t.lastSeal)
	if since < 5*time.Second || now.Before(t.nextStuck) {
		return
	}
	t.nextStuck = now.Add(time.Second)
	if !(t.stuckHalt(now) || t.fleet.Tombstones() > 0 && since >= t.c.pol.ResealEvery) {
		return
	}
	t.c.budget.TakeWrites(now, statestore.UseLead, 1)
	t.lastSeal = now
	t.c.leadStep(now, leadership.RaiseSeal{})
}

func (t *term) stuckHalt(now unit.Instant) bool {
	for _, j := range t.jobs {
		for _, p := range j.Live {
			if p.Halting && p.State == checkpoint.Pending && now.Sub(p.Since) > 3*time.Second && p.Seal == t.epoch {
				return true
			}
		}
	}
	return false
}
