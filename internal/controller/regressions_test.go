package controller

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/recovery"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/scheduler"
	"badgerbay/internal/wire"
)

// TestLateMachinesAreNotWaitedFor guards against an incident: machines that
// never came up were counted on for four times their boot time, and services
// waited for them.
func TestLateMachinesAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 3)
	firstBoot := true
	s.cloud.BootTime = func() time.Duration {
		if firstBoot {
			return time.Hour // the first machine never comes up
		}
		return 5 * time.Second
	}
	id := s.submit(1, serviceSpec, 0)
	s.runFor(8 * time.Second)
	if len(s.cloud.Machines) == 0 {
		t.Fatal("nothing was rented")
	}
	firstBoot = false
	s.runFor(25 * time.Second)
	if n := s.running.len(); n != serviceSpec.Tasks {
		t.Errorf("%d of %d replicas of %s run, with machines that never come up", n, serviceSpec.Tasks, id)
	}
}

// TestLateHeartbeatsKeepMachines guards against an incident: with heartbeats every
// five seconds, give or take a quarter, machines whose report was a little late
// were taken for dead after six and returned with all that ran on them.
func TestLateHeartbeatsKeepMachines(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 4)
	s.settings.Params.Workers.HeartbeatSeconds = 5
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	id := s.submit(1, serviceSpec, 0)
	s.runFor(40 * time.Second)
	before := s.taskStarts
	s.runFor(10 * time.Minute)
	if s.taskStarts != before || s.running.len() != serviceSpec.Tasks {
		t.Errorf("%d replicas of %s started anew on a quiet day, %d run", s.taskStarts-before, id, s.running.len())
	}
}

// TestRecordOfLaterSchemaStopsTheNode: a program that can't read what a newer one has
// decided must not decide itself.
func TestRecordOfLaterSchemaStopsTheNode(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	g.core.term.recovery.loaded = false
	later := jobs.NewRecord(arraySpec, 0)
	later.SchemaVersion = jobs.SchemaVersion + 1
	data, err := encodeRecord(later)
	if err != nil {
		t.Fatal(err)
	}
	items := []kvstore.KeyValue{{Key: "job/wk-000001", Value: data, ModRevision: 3}}
	for _, e := range g.core.Step(g.now, RecordsRead{Epoch: 10, OK: true, Stored: recovery.StoredRecords{Jobs: items}}) {
		if stop, ok := e.(StopNode); ok && errors.Is(stop.Err, jobs.ErrNewerSchema) {
			return
		}
	}
	t.Error("a record of a later schema was passed over")
}

// TestDamagedRoundIsWaitedOut: where a round's record can't be read, nothing is placed
// until all that it may have started is surely over, and its number never comes
// again.
func TestDamagedRoundIsWaitedOut(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 3)
	tm := g.core.term
	tm.recovery.loaded, tm.recovery.schedulingOpen, tm.acquiredAt = false, false, g.now
	readable := &roundlog.Record{SchemaVersion: 2, RoundNo: 5, Epoch: 4, LowWatermark: 5}
	readableValue, err := msgpack.Marshal(readable)
	if err != nil {
		t.Fatal(err)
	}
	unreadableValue, err := msgpack.Marshal(&roundlog.Record{SchemaVersion: 3, RoundNo: 6, Epoch: 4, LowWatermark: 5, ChunkInfo: &roundlog.ChunkInfo{Chunks: 2, Checksum: 7}})
	if err != nil {
		t.Fatal(err)
	}
	g.step(RecordsRead{Epoch: tm.epoch, OK: true, Stored: recovery.StoredRecords{Rounds: []kvstore.KeyValue{
		{Key: "round/5", Value: readableValue, ModRevision: 11}, {Key: "round/6", Value: unreadableValue, ModRevision: 12}}}})
	if tm.rounds.ring.Revision(6) != 12 {
		t.Errorf("the slot is written under version %d", tm.rounds.ring.Revision(6))
	}
	g.submit(1, arraySpec)
	start := g.now
	for tm.rounds.ring.FreeSlots() == g.core.policy.RingSlots && g.now.Sub(start) < 2*time.Minute {
		g.advance(200 * time.Millisecond)
	}
	waited := g.now.Sub(start)
	if minWait := g.core.settings.Params.Workers.LeaseTTL() + leasedelegation.GrantDuration(g.core.settings.Params.Workers); waited < minWait || waited > minWait+10*time.Second {
		t.Errorf("placed after %v, want a little more than %v", waited, minWait)
	}
	if next, _ := tm.rounds.ring.Next(); next <= 6+ident.RoundNo(g.core.policy.RingSlots)-1 {
		t.Errorf("round %d comes after one that can't be read", next)
	}
}

// TestStatusWhileEndIsBeingStored: while the end of a job is being stored the leader does not
// answer polls from memory. Other nodes may have read the record and told "done"
// before the answer to the write came, and the leader then said "queued".
func TestStatusWhileEndIsBeingStored(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	g.submit(1, arraySpec)
	const id = "wk-000001"
	j := g.core.term.jobs.get(id)
	queryStatus := func() JobReply {
		for _, e := range g.core.Step(g.now, JobRequest{Job: id}) {
			if reply, ok := e.(JobReply); ok {
				return reply
			}
		}
		t.Fatal("no answer")
		return JobReply{}
	}
	if got := queryStatus(); got.Outcome != api.JobFound || got.Status.State != api.Queued {
		t.Errorf("before its end: %+v", got)
	}
	for i := range arraySpec.Tasks {
		j.CompleteTask(g.now, ident.TaskIndex(i))
	}
	var write *CommitTransaction
	for range 40 {
		g.now = g.now.Add(50 * time.Millisecond)
		for _, e := range g.core.Step(g.now, Tick{}) {
			if c, ok := e.(CommitTransaction); ok && c.Kind == FoldTransaction {
				write = &c
			}
		}
		if write != nil {
			break
		}
	}
	if write == nil {
		t.Fatal("the end is not stored")
	}
	if got := queryStatus(); got.Outcome != api.JobNotFound {
		t.Errorf("while its end is being stored: %+v, want that the record is read", got)
	}
	g.core.Step(g.now, TransactionCompleted{Kind: FoldTransaction, Epoch: write.Epoch, Revision: 999})
	if got := queryStatus(); got.Outcome != api.JobFound || got.Status.State != api.Done {
		t.Errorf("after it was stored: %+v", got)
	}
}

// TestGangReplacementOutlivesItsLeader: a successor that replays the rounds of a gang
// takes the replacement of a lost task for where it is, under the gang's attempt,
// and not the machine that lost it.
func TestGangReplacementOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 3)
	tm := g.core.term
	tm.recovery.loaded, tm.recovery.schedulingOpen = false, false
	spec := gangSpec
	spec.Tasks = 2
	job, err := encodeRecord(jobs.NewRecord(spec, 0))
	if err != nil {
		t.Fatal(err)
	}
	start := func(m ident.MachineID, i ident.TaskIndex, attempt ident.Attempt) roundlog.Start {
		return roundlog.Start{Job: "wk-000001", Machine: m, Session: 1, Tasks: indexset.Set{{First: i, Last: i}}, Attempt: attempt}
	}
	var rounds []kvstore.KeyValue
	for _, r := range []*roundlog.Record{
		{RoundNo: 5, Epoch: 4, LowWatermark: 5, Starts: wire.BoundedList[roundlog.Start]{start("m1", 0, 0), start("m2", 1, 0)}},
		{RoundNo: 7, Epoch: 4, LowWatermark: 5, Starts: wire.BoundedList[roundlog.Start]{start("m3", 1, 5)}},
	} {
		head, _, err := r.Split(2048, 4, kvstore.JSONSize)
		if err != nil {
			t.Fatal(err)
		}
		value, err := msgpack.Marshal(head)
		if err != nil {
			t.Fatal(err)
		}
		rounds = append(rounds, kvstore.KeyValue{Key: tm.rounds.ring.Key(r.RoundNo), Value: value, ModRevision: 20 + ident.Revision(r.RoundNo)})
	}
	g.core.Step(g.now, RecordsRead{Epoch: tm.epoch, OK: true, Stored: recovery.StoredRecords{Rounds: rounds,
		Jobs: []kvstore.KeyValue{{Key: "job/wk-000001", Value: job, ModRevision: 9}}}})
	j := tm.jobs.get("wk-000001")
	if p := j.Placements[0]; p == nil || p.Machine != "m1" || p.Attempt != 5 {
		t.Errorf("task 0: %+v", p)
	}
	if p := j.Placements[1]; p == nil || p.Machine != "m3" || p.Attempt != 5 {
		t.Errorf("task 1: %+v", p)
	}
	if len(tm.fleet.Machine("m2").LivePlacements()) != 0 {
		t.Error("the machine that lost the task still counts as having it")
	}
	if _, ok := tm.replacementAttempt(g.now, j); ok {
		t.Error("a successor replaces tasks of a gang whose wait it does not know")
	}
}

// TestPausedLeaderDeprovisionsNothing: a leader that stood still for less than its lease
// has heard nobody, and must not return a machine that went on reporting. Where
// most machines had reported just before, the one that had not was returned.
func TestPausedLeaderDeprovisionsNothing(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 12)
	g.fillMachines(12)
	g.advance(time.Second)
	for i := 1; i < 12; i++ {
		g.sendHeartbeat(i)
	}
	silent := g.core.term.fleet.Machine(g.machines[0].Machine)
	silent.LastContact = g.now.Add(-6 * time.Second) // as far as a healthy one may be
	g.now = g.now.Add(4900 * time.Millisecond)
	g.step(Tick{})
	if silent.Deprovisioning {
		t.Error("a leader that just woke returned a machine that it had not heard")
	}
	for k := range 200 { // and now it says nothing although the leader is awake
		g.now = g.now.Add(50 * time.Millisecond)
		if k%20 == 0 {
			for i := 1; i < 12; i++ {
				g.sendHeartbeat(i)
			}
		}
		silent.LastContact = 1
		g.step(Tick{})
	}
	if !silent.Deprovisioning {
		t.Error("a silent machine was kept though the leader had been awake for long")
	}
}

// TestThirdOfMachinesFails: machines that die together are returned, which
// proves their tasks gone, long before their leases are over, although they are
// many; not so the machines of a zone that falls silent as a whole.
func TestThirdOfMachinesFails(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]func(int) bool{
		"a third":    func(i int) bool { return i%3 == 0 },
		"a zone":     func(i int) bool { return i%2 == 0 },
		"everything": func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newCoreFixture(t, 100)
			g.fillMachines(100)
			g.deadMachines = map[int]bool{}
			var busy []*fleet.Machine
			for i, r := range g.machines {
				g.deadMachines[i] = fails(i)
				if m := g.core.term.fleet.Machine(r.Machine); g.deadMachines[i] && m.Busy() && !m.Deprovisioning {
					busy = append(busy, m)
				}
			}
			// One of them would have reported a quarter late, so it is the first to
			// have been silent for too long.
			oldest := busy[0]
			for _, m := range busy {
				if m.LastContact < oldest.LastContact {
					oldest = m
				}
			}
			oldest.LastContact = oldest.LastContact.Add(-1250 * time.Millisecond)
			for range 13 {
				g.advance(time.Second)
			}
			returned := 0
			for _, m := range busy {
				if m.Deprovisioning {
					returned++
				}
			}
			if want := map[bool]int{true: len(busy)}[name == "a third"]; returned != want || len(busy) < 7 {
				t.Errorf("%s: %d of %d dead machines with tasks were returned in 13 s, want %d", name, returned, len(busy), want)
			}
		})
	}
}

// TestMachinesHeardAgain: as machines that nobody heard come back one after the
// other, at the end of a cut or by other ways, those that are not there yet are
// not taken for dead. Half the fleet was returned with all that ran on it.
func TestMachinesHeardAgain(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 100)
	g.fillMachines(100)
	g.deadMachines = map[int]bool{}
	for i := range g.machines {
		g.deadMachines[i] = true
	}
	before := len(g.deprovisioningMachines())
	for range 12 {
		g.advance(time.Second)
	}
	for i := range g.machines {
		g.deadMachines[i] = i%3 == 0
	}
	for range 8 {
		g.advance(time.Second)
	}
	if n := len(g.deprovisioningMachines()) - before; n > 0 {
		t.Errorf("%d machines were returned as others were found again", n)
	}
}

func (g *coreFixture) deprovisioningMachines() []ident.MachineID {
	var out []ident.MachineID
	for _, m := range g.core.term.fleet.Machines() {
		if m.Deprovisioning {
			out = append(out, m.ID)
		}
	}
	return out
}

// TestUnreadableJobIsSkipped: the record of a job that turns up while this node
// leads, and can't be read, is counted and left alone. The leader panicked.
func TestUnreadableJobIsSkipped(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	item := kvstore.KeyValue{Key: "job/wk-000001", Value: []byte{0xc1}, ModRevision: 9}
	g.step(JobRecordRead{Job: "wk-000001", OK: true, Item: item})
	if g.core.term == nil || g.core.term.jobs.len() != 0 {
		t.Error("taken in, or the term is over")
	}
}

// TestSpareCapacityForFastStarts: room is kept for a class that must start
// sooner than any machine that it may use comes up, and for no other. Twelve seconds
// with machines that take thirty were not enough: lost replicas waited 46 s for one.
func TestSpareCapacityForFastStarts(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	tm := g.core.term
	tm.rounds.objectives = map[ident.Class]scheduler.Objectives{}
	for class, startWithin := range map[ident.Class]time.Duration{"fast": 12 * time.Second, "slow": 30 * time.Second, "small": 30 * time.Second} {
		tm.rounds.objectives[class] = scheduler.Objectives{}.With("wait", startWithin)
		spec := serviceSpec
		spec.Class = class
		if class == "small" {
			spec.MachineTypes = []ident.MachineType{"small"} // 40 s, large 15 s
		}
		tm.jobs.typicalSpecs[class] = &spec
	}
	var classes []ident.Class
	for _, s := range tm.spareSpecs() {
		classes = append(classes, s.Class)
	}
	if !slices.Equal(classes, []ident.Class{"fast", "small"}) {
		t.Errorf("room is kept for %v", classes)
	}
	for _, typ := range g.core.machineTypes {
		typ.Zones = nil // the cloud names none: all zones
	}
	if again := tm.spareSpecs(); len(again) != len(classes) {
		t.Errorf("room is kept for %d classes where types name no zones, want %d", len(again), len(classes))
	}
}
