package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestStopBeforeStartIsSent: a start that was never sent ends at once when it is stopped;
// one that may have been sent is stopped until it surely has ended.
func TestStopBeforeStartIsSent(t *testing.T) {
	f := newFixture(2)
	p, q := f.place(0, 5), f.place(1, 5)
	f.fleet.StopPlacement(f.now, p, 0)
	if p.State != jobs.PlacementEnded {
		t.Error("the start that was never sent is still pending")
	}
	f.fleet.Commands(f.machine, false)
	f.fleet.StopPlacement(f.now, q, 0)
	if q.State == jobs.PlacementEnded {
		t.Error("the start that was sent is taken for ended")
	}
	if got := describeCommands(f.fleet.Commands(f.machine, false)); !cmp.Equal(got, []string{"halt 1/5"}) {
		t.Errorf("commands %v", got)
	}
}

// TestUnconfirmedMachinesGetNoTasks: the heartbeat of an unconfirmed machine may be a copy,
// long after an earlier leader deprovisioned the machine.
func TestUnconfirmedMachinesGetNoTasks(t *testing.T) {
	f := newFixture(1)
	staleHeartbeat := &Heartbeat{Machine: "host-9", Addr: "10.0.0.9:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 70, FencingToken: epoch - 3}
	f.fleet.ApplyHeartbeat(f.now, staleHeartbeat)
	m := f.fleet.Machine("host-9")
	if f.fleet.Schedulable(m) {
		t.Fatal("a machine known by one old heartbeat may get tasks")
	}
	if got := f.fleet.ClaimProbes(f.now); len(got) != 1 || got[0] != m || f.fleet.ClaimProbes(f.now) != nil {
		t.Fatalf("probed: %v, want the unconfirmed machine once", got)
	}
	f.fleet.FinishCommand(f.now, m.ID, false)
	if f.fleet.Schedulable(m) {
		t.Error("it did not answer and may get tasks")
	}
	response := *staleHeartbeat
	response.HeartbeatSeq++
	f.fleet.FinishCommand(f.now, m.ID, true)
	f.fleet.ApplyCommandAnswer(f.now, &response)
	if !f.fleet.Schedulable(m) {
		t.Error("it has answered and gets no tasks")
	}
	if !f.fleet.Schedulable(f.machine) {
		t.Error("one that has reported this leader's fencing token gets no tasks")
	}
}

// TestUnreachableMachinesGetNoTasks: where heartbeats arrive and no command does, no task is
// placed, in a later session either; after a while it is tried again.
func TestUnreachableMachinesGetNoTasks(t *testing.T) {
	f := newFixture(1)
	f.fleet.FinishCommand(f.now, f.machine.ID, false)
	if !f.fleet.Schedulable(f.machine) {
		t.Fatal("one lost command takes a machine out")
	}
	f.fleet.FinishCommand(f.now, f.machine.ID, false)
	f.sendHeartbeat(2, 1, epoch)
	if f.fleet.Schedulable(f.machine) {
		t.Error("a machine that hears nothing may get tasks in its next session")
	}
	f.now = f.now.Add(unansweredCommandWindow + time.Second)
	f.sendHeartbeat(2, 9, epoch)
	if !f.fleet.Schedulable(f.machine) {
		t.Error("never tried again")
	}
}

// TestMachineWithoutHeartbeatsGetsNoTasks: a machine whose heartbeats no longer come
// gets no task, though it answers commands: its lease expires all the same.
func TestMachineWithoutHeartbeatsGetsNoTasks(t *testing.T) {
	f := newFixture(1)
	for range 4 {
		f.now = f.now.Add(3 * time.Second)
		f.fleet.ApplyCommandAnswer(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: f.machine.HeartbeatSeq + 1, FencingToken: epoch})
	}
	if !f.fleet.HeartbeatOverdue(f.now, f.machine) {
		t.Error("a machine that only answers commands may get tasks")
	}
	f.sendHeartbeat(1, f.machine.HeartbeatSeq+1, epoch)
	if f.fleet.HeartbeatOverdue(f.now, f.machine) {
		t.Error("a machine that sends heartbeats again gets nothing")
	}
}

// TestCommandResponsesCountDuringRejoinGrace: a machine that answers a command may get tasks
// for as long as its worker may still wait for the lost leader, and no longer without a
// heartbeat.
func TestCommandResponsesCountDuringRejoinGrace(t *testing.T) {
	const rejoinGrace = 8 * time.Second
	f := New(Timing{HeartbeatInterval: time.Second, LeaseTTL: 27 * time.Second, RejoinGrace: rejoinGrace}, epoch, t0, func(ident.JobID) *jobs.Job { return nil })
	m := f.Ensure(t0, "host-1")
	if !f.HeartbeatOverdue(t0, m) {
		t.Error("a machine that nothing was heard of")
	}
	f.ApplyCommandAnswer(t0, &Heartbeat{Machine: "host-1", Session: 1, HeartbeatSeq: 1})
	if f.HeartbeatOverdue(t0.Add(rejoinGrace-time.Second), m) {
		t.Error("its worker may still be waiting for the lost leader")
	}
	if !f.HeartbeatOverdue(t0.Add(rejoinGrace), m) {
		t.Error("it answers commands, and has sent no heartbeat")
	}
}
