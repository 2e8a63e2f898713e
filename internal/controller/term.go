package controller

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/intake"
	"badgerbay/internal/leadership"
	"badgerbay/internal/rental"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// term is what a node holds while it leads: the working copy of everything
// that the state service, the workers and the cloud are the authority of.
type term struct {
	c        *Core
	epoch    unit.Epoch
	acquired unit.Instant
	loaded   bool
	cluster  *rollout.Cluster // the nodes' versions
	// formStamp is the version of the key that holds the form agreed on.
	formStamp unit.Version
	ready     bool // reconciled: places from now on
	jobs      map[unit.JobID]*checkpoint.Job
	specSize  map[unit.JobID]int
	reading   map[unit.JobID]bool
	fleet     *fleet.Fleet
	ring      *round.Ring
	desk      *rental.Desk
	cloud     *statestore.Bucket
	teams     map[unit.Team]config.Team

	dirty      bool // something changed since the last plan
	lastRound  unit.Instant
	planCost   time.Duration // of processor time, about, for the last plan
	nextPlan   unit.Instant
	flight     *flight
	fold       *foldFlight
	retryFold  unit.Instant
	lastRaise  unit.Instant
	lastVacate unit.Instant
	listing    bool
	listRead   bool // the machine list has been read in this term
	nextList   unit.Instant
	nextTypes  unit.Instant
	nextSweep  unit.Instant
	nextStuck  unit.Instant
	waiting    map[unit.JobID][]waiter
	parked     []parked
	tooLarge   map[unit.JobID]unit.Instant // checkpoints not to be tried before
	stage      stage
	reach      reach
	found      unit.Instant // when a machine that was silent for too long was last heard again
	ledger     *delegation.Ledger
	expect     map[unit.Class]round.Expect
	lastWork   map[unit.Team]unit.Instant // when the team last had work
	quick      []unit.Class               // classes that must start faster than machines come up
	lastSpec   map[unit.Class]*checkpoint.Spec
}

// waiter is a withdrawal whose answer waits for the checkpoint.
type waiter struct {
	ticket Ticket
	until  unit.Instant
}

// waitStored bounds how long a withdrawal waits for its checkpoint.
const waitStored = 1500 * time.Millisecond

// parked is a report that came before the records were read.
type parked struct {
	in    Reported
	until unit.Instant
}

// parkFor bounds the wait for the records: a worker waits for its answer.
const parkFor = 1500 * time.Millisecond

func newTerm(c *Core, now unit.Instant, epoch unit.Epoch) *term {
	t := &term{c: c, epoch: epoch, acquired: now, jobs: map[unit.JobID]*checkpoint.Job{},
		specSize: map[unit.JobID]int{}, reading: map[unit.JobID]bool{},
		desk: rental.NewDesk(c.pol.HireBackoff), ring: round.NewRing(c.pol.RingSlots),
		waiting: map[unit.JobID][]waiter{}, teams: c.set.Params.TeamsByName(),
		lastWork: map[unit.Team]unit.Instant{}, expect: map[unit.Class]round.Expect{}, lastSpec: map[unit.Class]*checkpoint.Spec{}, tooLarge: map[unit.JobID]unit.Instant{},
		lastRaise: now, nextTypes: now.Add(5 * time.Second)}
	w, p := c.set.Params.Workers, c.set.Params
	t.cluster = rollout.New(c.set.PeerLabels(), 0)
	t.fleet = fleet.New(fleet.Times{Report: w.ReportInterval(), Lease: w.Lease()}, epoch, now, t.job)
	t.fleet.SetTypes(c.types)
	t.ledger = delegation.NewLedger(c.set, now)
	t.fleet.SetDelegated(t.ledger.Zone)
	t.cloud = statestore.NewBucket(p.Cloud.RPS*0.8, max(1, p.Cloud.RPS))
	t.objectives()
	return t
}

// quickStart: a class that must start within this is kept room free for.
const quickStart = 10 * time.Second

func (t *term) objectives() {
	for _, o := range t.c.set.Params.Objectives {
		e, within := t.expect[o.Class], unit.Seconds(o.WithinS)
		switch {
		case o.Kind == "wait" && within > 0:
			e.Start = within
			if within <= quickStart {
				t.quick = append(t.quick, o.Class)
			}
		case o.Kind == "finished" && within > 0:
			e.Finish = within
		}
		t.expect[o.Class] = e
	}
}

func (t *term) job(id unit.JobID) *checkpoint.Job { return t.jobs[id] }

func (t *term) setToken(e unit.Epoch) {
	t.epoch = e
	t.fleet.SetEpoch(e)
}

// abandon answers those who wait when leadership ends.
func (t *term) abandon() {
	for id := range t.waiting {
		t.answerWaiters(id, intake.NoLeader, 0)
	}
	t.refuseParked(func(parked) bool { return true })
}

// park lets a report wait for the records. Without them nobody knows what must
// end, and an answer without that order renews the lease of what a user was told
// is withdrawn: leaders that came and went before they had read anything kept
// such tasks running for as long as they did.
func (t *term) park(now unit.Instant, in Reported) {
	t.parked = append(t.parked, parked{in, now.Add(parkFor)})
}

// refuseParked refuses the parked reports that are due to be.
func (t *term) refuseParked(due func(parked) bool) {
	t.parked = slices.DeleteFunc(t.parked, func(p parked) bool {
		if !due(p) {
			return false
		}
		t.c.emit(ReplyReport{Ticket: p.in.Ticket, Code: http.StatusServiceUnavailable})
		return true
	})
}

// unpark takes in the reports that waited for the records.
func (t *term) unpark(now unit.Instant) {
	waited := t.parked
	t.parked = nil
	for _, p := range waited {
		if t.c.term != t {
			// One of them has shown a later leader.
			t.c.emit(ReplyReport{Ticket: p.in.Ticket, Code: http.StatusServiceUnavailable})
			continue
		}
		t.c.reported(now, p.in)
	}
}

func (t *term) take(now unit.Instant, in Input) {
	switch in := in.(type) {
	case Loaded:
		t.load(now, in)
	case JobRead:
		t.jobRead(now, in)
	case Noticed:
		t.noticed(in)
	case Committed:
		t.committed(now, in)
	case DoDone:
		t.doDone(now, in)
	case HireDone:
		t.hireDone(now, in)
	case ReleaseDone:
		t.releaseDone(now, in)
	case ListDone:
		t.listDone(now, in)
	}
}

// advance does whatever is due.
func (t *term) advance(now unit.Instant) {
	if !t.loaded {
		t.refuseParked(func(p parked) bool { return !now.Before(p.until) })
		return
	}
	t.sweep(now)
	if !t.c.lead.Entitled(now) {
		return
	}
	if t.cannotLead(now) {
		return
	}
	t.reconciled(now)
	t.maybeAgree(now)
	t.maybeRaise(now)
	t.maybeStage(now)
	t.maybeFold(now)
	t.maybeRound(now)
	t.callCloud(now)
	t.push(now)
}

// load takes in all records, as the successor of whoever led before.
func (t *term) load(now unit.Instant, in Loaded) {
	if in.Epoch != t.epoch || t.loaded {
		return // of an earlier term
	}
	if !in.OK {
		t.c.emit(LoadAll{Epoch: t.epoch})
		return
	}
	t.formStamp = in.Agreed.Stamp
	var agreed rollout.Agreed
	if in.Agreed.Stamp != 0 {
		if err := msgpack.Unmarshal(in.Agreed.Value, &agreed); err != nil {
			t.unreadable(in.Agreed.Key, err)
		}
	}
	t.cluster = rollout.New(t.c.set.PeerLabels(), agreed.Form)
	parts := make(map[string][]byte, len(in.Parts))
	for _, item := range in.Parts {
		parts[item.Key] = item.Value
	}
	for _, item := range in.Jobs {
		id := unit.JobID(strings.TrimPrefix(item.Key, checkpoint.KeyPrefix))
		t.addJob(now, id, item, func(n int) []byte { return parts[checkpoint.PartKey(id, n)] })
	}
	var stored []round.Stored
	for _, item := range in.Parts {
		if item.Key == stageKey {
			t.stage.stamp = item.Stamp
		}
	}
	for _, item := range in.Rounds {
		r, err := round.Decode(item.Value, func(n int) []byte { return parts[round.PartKey(item.Key, n)] })
		if err != nil {
			t.unreadable(item.Key, err)
			continue
		}
		stored = append(stored, round.Stored{Key: item.Key, Record: r, Version: item.Stamp})
	}
	ring, open := round.Restore(t.c.pol.RingSlots, stored)
	t.ring = ring
	for _, r := range open {
		t.replay(now, r)
	}
	t.loaded, t.dirty = true, true
	t.unpark(now)
	t.c.log.Info("checkpoints read", "epoch", t.epoch, "jobs", len(t.jobs), "open_rounds", len(open))
}

// unreadable handles a record that can't be read. One of a later schema stops
// the node: it must not decide without knowing what a newer one has decided.
func (t *term) unreadable(key string, err error) {
	t.c.log.Error("record can't be read", "key", key, "err", err, "epoch", t.epoch)
	if errors.Is(err, checkpoint.ErrSchema) || errors.Is(err, round.ErrSchema) {
		t.c.emit(Stop{Err: fmt.Errorf("%s: %w; run the newer program", key, err)})
	}
}

// addJob takes in a job record with the placements it holds.
func (t *term) addJob(now unit.Instant, id unit.JobID, item statestore.Item, part func(int) []byte) {
	r, err := checkpoint.DecodeWhole(item.Value, part)
	if err != nil {
		t.unreadable(item.Key, err)
		return
	}
	j := checkpoint.NewJob(id, r, item.Stamp, now)
	j.StoredFirst = checkpoint.FirstPart(item.Value)
	t.jobs[id] = j
	if old := t.lastSpec[r.Spec.Class]; old == nil || r.Phase == checkpoint.Active {
		t.lastSpec[r.Spec.Class] = &j.Spec
	}
	t.specSize[id] = statestore.JSONSize(&r.Spec)
	for _, g := range r.Live {
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
		if j == nil || j.StoredRound >= r.No {
			t.ring.Folded(s.Job, r.No)
			continue
		}
		t.restore(now, j, checkpoint.Group{Machine: s.Machine, Session: s.Session, Attempt: s.AttemptIn(r.No), Tasks: s.Tasks})
		j.Round = max(j.Round, r.No)
		j.Touch(now)
	}
	for _, h := range r.Hires {
		t.desk.Hire(now, h.Name, h.Offer, h.Count, true)
	}
	for _, id := range r.Releases {
		t.fleet.Ensure(now, id).Releasing = true
		t.desk.Release(id)
	}
}

// restore puts placements back that an earlier leader recorded. They may or
// may not have been launched, under any token below ours.
func (t *term) restore(now unit.Instant, j *checkpoint.Job, g checkpoint.Group) {
	m := t.fleet.Ensure(now, g.Machine)
	m.Confirmed = true
	m.Session = max(m.Session, g.Session)
	g.Tasks.Each(func(i unit.TaskIndex) bool {
		if int(i) >= j.Spec.Tasks || j.Done.Has(i) {
			return true
		}
		if old := j.Live[i]; old != nil {
			if old.Attempt > g.Attempt {
				return true
			}
			// The later was decided when the earlier was over: another attempt, or
			// a replacement in a gang's. Rounds are replayed in their order.
			t.fleet.Withdraw(now, old)
		}
		p := &checkpoint.Placement{Job: j, Task: i, Machine: g.Machine, Session: g.Session,
			Attempt: g.Attempt, Token: t.epoch - 1, Since: now}
		t.fleet.Place(now, p)
		if j.Phase.Final() {
			t.fleet.Halt(now, p, 0)
		}
		return true
	})
}

// reconciled decides when placing may begin: nearly all machines with
// placements have reported to us, or a report interval has passed and the
// quarter by which reports may be late.
// Among hundreds some are always silent, and what they hold counts as there.
func (t *term) reconciled(now unit.Instant) {
	if t.ready {
		return
	}
	interval := t.c.set.Params.Workers.ReportInterval()
	// Where nothing was ever placed or rented, and the cloud lists nothing,
	// nobody is left to wait for.
	empty := t.listRead && t.ring.Fresh() && t.fleet.Len() == 0
	if now.Sub(t.acquired) < interval+interval/4 && !t.nearlyAllHeard() && !empty {
		return
	}
	t.ready, t.dirty = true, true
	t.c.met.Recoveries.Inc()
	t.c.log.Info("reconciled", "epoch", t.epoch, "machines", t.fleet.Len(), "after", now.Sub(t.acquired))
}

// silentPart: one machine in so many may be silent when placing begins.
const silentPart = 20

func (t *term) nearlyAllHeard() bool {
	busy, silent, up := 0, 0, 0
	for _, m := range t.fleet.Machines() {
		if m.Up {
			up++
		}
		if m.Busy() {
			busy++
			if !m.Up || m.Token < t.epoch {
				silent++
			}
		}
	}
	return up > 0 && silent <= busy/silentPart
}

// sweep does what only time brings about.
func (t *term) sweep(now unit.Instant) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(200 * time.Millisecond)
	t.ended(now, t.fleet.Expire(now))
	t.endBroken(now)
	if t.c.lead.Entitled(now) {
		t.probe(now)
	}
	for id, ws := range t.waiting {
		if len(ws) > 0 && !now.Before(ws[0].until) {
			t.answerWaiters(id, intake.Busy, 0)
		}
	}
	t.c.met.watch(t, now)
}

// reported takes in a report and answers it.
func (t *term) reported(now unit.Instant, in Reported) {
	reply := ReplyReport{Ticket: in.Ticket, Code: http.StatusOK, Epoch: t.epoch, Until: t.c.lead.EntitledUntil()}
	t.reach.note(now, in.Report.Machine, in.Via)
	switch {
	case in.Report.Token > t.epoch:
		// Somebody else was elected, or a raise of ours came through late.
		t.c.leadStep(now, leadership.Deposed{})
		t.c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusServiceUnavailable})
		return
	case !t.loaded:
		t.park(now, in)
		return
	}
	if t.fleet.Gone(in.Report.Machine) {
		t.c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusServiceUnavailable})
		return
	}
	m := t.fleet.Ensure(now, in.Report.Machine)
	if in.Report.Session < m.Session {
		// Its lease is surely over; the answer would be dropped.
		t.c.emit(ReplyReport{Ticket: in.Ticket, Code: http.StatusServiceUnavailable})
		return
	}
	t.noteFound(now, m)
	// A report overtaken by the answer to a direct command is stale, and the
	// worker still waits for its answer.
	if changes := t.fleet.Take(now, in.Report, true); !changes.Stale {
		t.changed(now, m, changes)
	}
	reply.Orders = t.fleet.Orders(now, m, true)
	t.c.emit(reply)
}

func (t *term) doDone(now unit.Instant, in DoDone) {
	t.fleet.Pushed(now, in.Machine, in.Report != nil)
	if in.Report == nil || in.Report.Machine != in.Machine || t.fleet.Machine(in.Machine) == nil {
		return
	}
	if in.Report.Token > t.epoch && in.Epoch == t.epoch {
		t.c.leadStep(now, leadership.Deposed{})
		return
	}
	t.noteFound(now, t.fleet.Machine(in.Machine))
	changes := t.fleet.Take(now, in.Report, false)
	if !changes.Stale {
		t.changed(now, t.fleet.Machine(in.Machine), changes)
	}
}

// changed follows what a report brought.
func (t *term) changed(now unit.Instant, m *fleet.Machine, ch fleet.Changes) {
	if ch.NewUp {
		t.dirty = true
		t.c.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "session", m.Session, "epoch", t.epoch)
	}
	if ch.Noticed {
		t.drain(now, m)
	}
	for _, s := range ch.Started {
		m.Suspect = 0
		t.c.log.Debug("task running", "job", s.Placement.Job.ID, "task", s.Placement.Task, "machine", m.ID, "epoch", t.epoch)
	}
	t.ended(now, ch)
}

// drain stops what is on a machine that the cloud takes away, with leave to
// save as much as the notice allows.
func (t *term) drain(now unit.Instant, m *fleet.Machine) {
	t.dirty = true
	left := m.NoticeAt.Sub(now)
	t.c.log.Info("machine to be taken", "machine", m.ID, "in", left, "epoch", t.epoch)
	for _, p := range m.Live() {
		if p.Job.Spec.Gang {
			t.haltGang(now, p.Job, unit.Seconds(p.Job.Spec.SaveS))
			continue
		}
		t.fleet.Halt(now, p, unit.Seconds(p.Job.Spec.SaveS))
	}
}

const (
	maxBackoff   = 30 * time.Second
	avoidFaulty  = time.Minute
	avoidRefused = 3 * time.Second
	// suspectAfter failed tasks in a row, of jobs that run elsewhere, a
	// machine gets no more.
	suspectAfter = 3
	// blameJob: after this many failures in a row on different machines it is
	// the job, not the machines.
	blameJob = 3
)

func (t *term) ended(now unit.Instant, ch fleet.Changes) {
	for _, e := range ch.Ended {
		t.dirty = true
		j, m := e.Placement.Job, t.fleet.Machine(e.Placement.Machine)
		t.c.log.Debug("task ended", "job", j.ID, "task", e.Placement.Task, "machine", e.Placement.Machine,
			"cause", e.Cause, "attempt", e.Placement.Attempt, "epoch", t.epoch)
		switch e.Cause {
		case fleet.CauseError:
			t.failed(now, j, m)
		case fleet.CauseNoRoom, fleet.CauseBusy, fleet.CauseUnknown:
			t.avoid(now, j, e.Placement.Machine, avoidRefused)
			j.NotBefore = max(j.NotBefore, now.Add(time.Second))
			t.c.met.Refusals.Inc()
		case fleet.CauseIncomplete, fleet.CausePeers:
			t.gangFailed(now, e.Placement)
		case fleet.CauseDone:
			if m != nil {
				m.Suspect = 0
			}
		}
	}
}

func (t *term) avoid(now unit.Instant, j *checkpoint.Job, id unit.MachineID, d time.Duration) {
	if j.Avoid == nil {
		j.Avoid = map[unit.MachineID]unit.Instant{}
	}
	j.Avoid[id] = now.Add(d)
}

// failed backs the job off, and counts the failure against the machine unless
// the job fails wherever it goes.
func (t *term) failed(now unit.Instant, j *checkpoint.Job, m *fleet.Machine) {
	j.Errors++
	wait := min(maxBackoff, 500*time.Millisecond<<min(j.Errors, 7))
	j.NotBefore = max(j.NotBefore, now.Add(wait))
	if m == nil {
		return
	}
	t.avoid(now, j, m.ID, avoidFaulty)
	if j.Errors > blameJob {
		return
	}
	m.Suspect++
	if m.Suspect >= suspectAfter && !m.Drained {
		m.Drained = true
		t.c.log.Info("machine drained as faulty", "machine", m.ID, "epoch", t.epoch)
	}
}

func (t *term) noticed(in Noticed) {
	j := t.jobs[in.Job]
	if t.reading[in.Job] || (j != nil && (in.Stamp <= j.Version || j.Writing)) || !t.loaded {
		return
	}
	if j != nil && in.Stamp == 0 {
		return
	}
	t.reading[in.Job] = true
	t.c.emit(ReadJob{Job: in.Job})
}

func (t *term) jobRead(now unit.Instant, in JobRead) {
	delete(t.reading, in.Job)
	if !t.loaded || !in.OK || in.Item.Stamp == 0 {
		return
	}
	j := t.jobs[in.Job]
	if j == nil {
		t.addJob(now, in.Job, in.Item, func(n int) []byte { return in.Parts[n] })
		t.c.log.Info("job taken in", "job", in.Job, "class", t.jobs[in.Job].Spec.Class, "team", t.jobs[in.Job].Spec.Team, "tasks", t.jobs[in.Job].Spec.Tasks, "epoch", t.epoch)
		return
	}
	if j.Writing || in.Item.Stamp <= j.Version {
		return
	}
	// Only we change records, under the guard of our epoch: this is a write
	// of ours whose answer was lost. Write again, on top of it.
	t.c.met.CASConflicts.Inc()
	j.Version, j.StoredFirst = in.Item.Stamp, checkpoint.FirstPart(in.Item.Value)
	if r, err := checkpoint.Decode(in.Item.Value); err == nil && r.Phase.Final() {
		if !j.Phase.Final() {
			j.Phase, j.Queue = r.Phase, nil
			t.haltAll(now, j)
		}
		j.StoredPhase = r.Phase
	}
	j.Touch(now)
}

// asked answers a poll, or begins a withdrawal.
func (t *term) asked(now unit.Instant, in Asked) {
	j := t.jobs[in.Job]
	if j == nil {
		t.noticed(Noticed{Job: in.Job})
		t.c.emit(ReplyAsk{Ticket: in.Ticket, Outcome: intake.Absent})
		return
	}
	if !in.Withdraw || j.StoredPhase.Final() {
		t.c.emit(ReplyAsk{Ticket: in.Ticket, Outcome: intake.Known, Status: intake.StatusOf(j), Until: t.c.lead.EntitledUntil()})
		return
	}
	if !j.Phase.Final() {
		t.c.log.Info("job withdrawn", "job", j.ID, "epoch", t.epoch)
	}
	j.Cancel(now)
	t.haltAll(now, j)
	t.waiting[j.ID] = append(t.waiting[j.ID], waiter{in.Ticket, now.Add(waitStored)})
	t.dirty = true
}

func (t *term) haltAll(now unit.Instant, j *checkpoint.Job) {
	if j.Phase != checkpoint.Cancelled {
		return
	}
	ids := make([]unit.TaskIndex, 0, len(j.Live))
	for i := range j.Live {
		ids = append(ids, i)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, i := range ids {
		if !t.proposed(j.Live[i]) {
			t.fleet.Halt(now, j.Live[i], 0)
		}
	}
}

func (t *term) answerWaiters(id unit.JobID, o intake.Outcome, until unit.Instant) {
	for _, w := range t.waiting[id] {
		reply := ReplyAsk{Ticket: w.ticket, Outcome: o, Until: until}
		if j := t.jobs[id]; j != nil {
			reply.Status = intake.StatusOf(j)
		}
		t.c.emit(reply)
	}
	delete(t.waiting, id)
}

// probe sends commands to machines that have missed a report.
func (t *term) probe(now unit.Instant) {
	for _, m := range t.fleet.Probes(now) {
		t.c.emit(Do{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Orders: t.fleet.Orders(now, m, false)})
	}
}

// push sends direct commands where they are due.
func (t *term) push(now unit.Instant) {
	for _, m := range t.fleet.Pushes() {
		orders := t.fleet.Orders(now, m, false)
		if len(orders) == 0 {
			t.fleet.Pushed(now, m.ID, true)
			continue
		}
		t.c.emit(Do{Machine: m.ID, Addr: m.Addr, Epoch: t.epoch, Session: m.Session, Orders: orders})
	}
}
