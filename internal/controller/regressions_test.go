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

// TestServiceStartsDespiteFailedBoot checks that services start although the first requested machines never come up. It
// guards against a failure in which the scheduler expected such machines for four times their boot time, so that
// services waited for them.
func TestServiceStartsDespiteFailedBoot(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 3)
	bootFails := true
	s.cloud.BootTime = func() time.Duration {
		if bootFails {
			return time.Hour // longer than the test runs: the machine never comes up
		}
		return 5 * time.Second
	}
	id := s.submit(1, serviceSpec, 0)
	s.runFor(8 * time.Second)
	if len(s.cloud.Machines) == 0 {
		t.Fatal("no machine was requested")
	}
	bootFails = false
	s.runFor(25 * time.Second)
	if n := s.running.len(); n != serviceSpec.Tasks {
		t.Errorf("%d of %d replicas of %s run after some machines failed to boot", n, serviceSpec.Tasks, id)
	}
}

// TestDelayedHeartbeatsDoNotDeprovisionMachines checks that slightly delayed heartbeats do not lead to the
// deprovisioning of healthy machines. It guards against a failure with a fixed silence timeout of 6 s: workers send
// heartbeats every 5 s with a jitter of a quarter, so machines with a slightly late heartbeat were considered dead and
// were deprovisioned together with all their tasks.
func TestDelayedHeartbeatsDoNotDeprovisionMachines(t *testing.T) {
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
		t.Errorf("%d replicas of %s restarted without any fault, %d run", s.taskStarts-before, id, s.running.len())
	}
}

// TestNewerSchemaRecordStopsNode checks that a leader that reads a record of a newer schema version stops its
// node: a program that can't read the decisions of a newer release must not make decisions itself.
func TestNewerSchemaRecordStopsNode(t *testing.T) {
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
	t.Error("the node did not stop at a record of a newer schema version")
}

// TestUnreadableRoundDelaysPlacement checks the recovery from a round record that can't be read. Nothing is placed
// until every task that the round may have started has ended for certain: after the lease TTL of the workers plus the
// duration of a delegation grant. The number of the round is never used again.
func TestUnreadableRoundDelaysPlacement(t *testing.T) {
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
		t.Errorf("the slot of the unreadable round has revision %d, want 12", tm.rounds.ring.Revision(6))
	}
	g.submit(1, arraySpec)
	start := g.now
	for tm.rounds.ring.FreeSlots() == g.core.policy.RingSlots && g.now.Sub(start) < 2*time.Minute {
		g.advance(200 * time.Millisecond)
	}
	waited := g.now.Sub(start)
	if minWait := g.core.settings.Params.Workers.LeaseTTL() + leasedelegation.GrantDuration(g.core.settings.Params.Workers); waited < minWait || waited > minWait+10*time.Second {
		t.Errorf("first placement after %v, want at least %v and at most 10 s more", waited, minWait)
	}
	if next, _ := tm.rounds.ring.Next(); next <= 6+ident.RoundNo(g.core.policy.RingSlots)-1 {
		t.Errorf("next round number is %d, which the unreadable round may have used", next)
	}
}

// TestStatusWhileFinalPhaseIsBeingStored checks that the leader does not answer status queries from memory while the
// final phase of a job is being stored, but has the record read. It guards against contradictory answers: another node
// could read the stored record and answer "done" before the leader received the result of its write, and the leader
// then answered "queued".
func TestStatusWhileFinalPhaseIsBeingStored(t *testing.T) {
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
		t.Fatal("the leader did not reply to the status query")
		return JobReply{}
	}
	if got := queryStatus(); got.Outcome != api.JobFound || got.Status.State != api.Queued {
		t.Errorf("before the job ended: %+v, want a queued job", got)
	}
	for i := range arraySpec.Tasks {
		j.CompleteTask(g.now, ident.TaskIndex(i))
	}
	var write *CommitTransaction
	for range 40 {
		g.now = g.now.Add(50 * time.Millisecond)
		for _, e := range g.core.Step(g.now, Tick{}) {
			if c, ok := e.(CommitTransaction); ok && c.Kind == CheckpointTransaction {
				write = &c
			}
		}
		if write != nil {
			break
		}
	}
	if write == nil {
		t.Fatal("the final phase of the job was not written")
	}
	if got := queryStatus(); got.Outcome != api.JobNotFound {
		t.Errorf("while the final phase is being stored: %+v, want JobNotFound, so that the record is read", got)
	}
	g.core.Step(g.now, TransactionCompleted{Kind: CheckpointTransaction, Epoch: write.Epoch, Revision: 999})
	if got := queryStatus(); got.Outcome != api.JobFound || got.Status.State != api.Done {
		t.Errorf("after the final phase was stored: %+v, want a job that is done", got)
	}
}

// TestGangReplacementSurvivesFailover checks that a new leader that replays the rounds of a gang restores a replaced
// task on its new machine, under the attempt of the gang, and no longer on the machine that lost it. The new leader
// must not replace further tasks of this gang, because it does not know since when the gang has been waiting.
func TestGangReplacementSurvivesFailover(t *testing.T) {
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
		t.Error("the machine that lost the task still has a placement of it")
	}
	if _, ok := tm.replacementAttempt(g.now, j); ok {
		t.Error("the new leader may replace tasks of a gang although it does not know since when the gang has been waiting")
	}
}

// TestPausedLeaderDeprovisionsNothing checks that a leader that was paused for less than its lease does not
// deprovision a machine that kept sending heartbeats, which the leader did not receive during the pause. It guards
// against a failure in which most machines had sent a heartbeat just before the pause and the one that had not was
// deprovisioned.
func TestPausedLeaderDeprovisionsNothing(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 12)
	g.fillMachines(12)
	g.advance(time.Second)
	for i := 1; i < 12; i++ {
		g.sendHeartbeat(i)
	}
	machine := g.core.term.fleet.Machine(g.machines[0].Machine)
	machine.LastContact = g.now.Add(-6 * time.Second) // as long ago as it may be for a healthy machine
	g.now = g.now.Add(4900 * time.Millisecond)
	g.step(Tick{})
	if machine.Deprovisioning {
		t.Error("the leader deprovisioned a machine whose heartbeats it missed during its pause")
	}
	for k := range 200 { // The machine now sends no heartbeats while the leader runs.
		g.now = g.now.Add(50 * time.Millisecond)
		if k%20 == 0 {
			for i := 1; i < 12; i++ {
				g.sendHeartbeat(i)
			}
		}
		machine.LastContact = 1
		g.step(Tick{})
	}
	if !machine.Deprovisioning {
		t.Error("a silent machine was not deprovisioned although the leader had run for 10 s")
	}
}

// TestCorrelatedMachineFailures checks that many machines that fail together are deprovisioned long before their leases
// expire, which proves early that their tasks have ended. Machines are not deprovisioned if a whole zone, or every
// machine, stops sending heartbeats, because that may be a network partition.
func TestCorrelatedMachineFailures(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]func(int) bool{
		"third of machines": func(i int) bool { return i%3 == 0 },
		"whole zone":        func(i int) bool { return i%2 == 0 },
		"all machines":      func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newCoreFixture(t, 100)
			g.fillMachines(100)
			g.unresponsiveMachines = map[int]bool{}
			var busy []*fleet.Machine
			for i, r := range g.machines {
				g.unresponsiveMachines[i] = fails(i)
				if m := g.core.term.fleet.Machine(r.Machine); g.unresponsiveMachines[i] && m.Busy() && !m.Deprovisioning {
					busy = append(busy, m)
				}
			}
			// The last heartbeat of one failed machine is a quarter of the heartbeat interval older, which is the
			// jitter of the workers. That machine is the first to exceed the silence timeout.
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
			deprovisioned := 0
			for _, m := range busy {
				if m.Deprovisioning {
					deprovisioned++
				}
			}
			if want := map[bool]int{true: len(busy)}[name == "third of machines"]; deprovisioned != want || len(busy) < 7 {
				t.Errorf("%s: %d of %d failed machines with tasks were deprovisioned in 13 s, want %d",
					name, deprovisioned, len(busy), want)
			}
		})
	}
}

// TestNoDeprovisioningWhileMachinesReconnect checks that, while silent machines reconnect one after the other, at the
// end of a network partition or through other nodes, those that have not reconnected yet are not considered dead. It
// guards against a failure in which half the fleet was deprovisioned together with all its tasks.
func TestNoDeprovisioningWhileMachinesReconnect(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 100)
	g.fillMachines(100)
	g.unresponsiveMachines = map[int]bool{}
	for i := range g.machines {
		g.unresponsiveMachines[i] = true
	}
	before := len(g.deprovisioningMachines())
	for range 12 {
		g.advance(time.Second)
	}
	for i := range g.machines {
		g.unresponsiveMachines[i] = i%3 == 0
	}
	for range 8 {
		g.advance(time.Second)
	}
	if n := len(g.deprovisioningMachines()) - before; n > 0 {
		t.Errorf("%d machines were deprovisioned while others reconnected", n)
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

// TestUnreadableJobIsSkipped checks that the record of a job that is stored during the term of this leader, and can't
// be decoded, is only counted and otherwise ignored. It guards against a panic of the leader.
func TestUnreadableJobIsSkipped(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	item := kvstore.KeyValue{Key: "job/wk-000001", Value: []byte{0xc1}, ModRevision: 9}
	g.step(JobRecordRead{Job: "wk-000001", OK: true, Item: item})
	if g.core.term == nil || g.core.term.jobs.len() != 0 {
		t.Error("the job was added, or the term has ended")
	}
}

// TestSpareCapacityForFastStarts checks that spare capacity is kept for the classes whose start objective is shorter
// than the boot time of every machine type that they may use, and for no other class. It guards against a failure in
// which no capacity was kept for a class with an objective of 12 s and machines that take 30 s to boot: its lost
// replicas waited 46 s for a machine.
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
			spec.MachineTypes = []ident.MachineType{"small"} // boots in 40 s; large boots in 15 s
		}
		tm.jobs.typicalSpecs[class] = &spec
	}
	var classes []ident.Class
	for _, s := range tm.spareSpecs() {
		classes = append(classes, s.Class)
	}
	if !slices.Equal(classes, []ident.Class{"fast", "small"}) {
		t.Errorf("spare capacity is kept for classes %v, want fast and small", classes)
	}
	for _, typ := range g.core.machineTypes {
		typ.Zones = nil // The cloud lists no zones: the type is available in all of them.
	}
	if again := tm.spareSpecs(); len(again) != len(classes) {
		t.Errorf("spare capacity is kept for %d classes if machine types list no zones, want %d", len(again), len(classes))
	}
}
