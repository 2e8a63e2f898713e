package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestStopBeforeStartIsSent checks that a placement whose start command was never sent ends at once when it is stopped,
// and that a placement whose start command may have been sent gets a stop command and does not end before it is certain
// that the task has ended.
func TestStopBeforeStartIsSent(t *testing.T) {
	f := newFixture(2)
	p, q := f.place(0, 5), f.place(1, 5)
	f.fleet.StopPlacement(f.now, p, 0)
	if p.State != jobs.PlacementEnded {
		t.Error("the placement whose start command was never sent has not ended")
	}
	f.fleet.Commands(f.machine, false)
	f.fleet.StopPlacement(f.now, q, 0)
	if q.State == jobs.PlacementEnded {
		t.Error("the placement whose start command was sent has ended without a report of its worker")
	}
	if got := describeCommands(f.fleet.Commands(f.machine, false)); !cmp.Equal(got, []string{"halt 1/5"}) {
		t.Errorf("commands %v, want a stop of task 1", got)
	}
}

// TestUnconfirmedMachinesGetNoTasks checks that an unconfirmed machine is probed and gets no tasks before it responds:
// its heartbeat may be a delayed copy that arrives long after an earlier leader deprovisioned the machine.
func TestUnconfirmedMachinesGetNoTasks(t *testing.T) {
	f := newFixture(1)
	staleHeartbeat := &Heartbeat{Machine: "host-9", Addr: "10.0.0.9:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 70, FencingToken: epoch - 3}
	f.fleet.ApplyHeartbeat(f.now, staleHeartbeat)
	m := f.fleet.Machine("host-9")
	if f.fleet.Schedulable(m) {
		t.Fatal("a machine that is known only from an old heartbeat is schedulable")
	}
	if got := f.fleet.ClaimProbes(f.now); len(got) != 1 || got[0] != m || f.fleet.ClaimProbes(f.now) != nil {
		t.Fatalf("probed %v, want the unconfirmed machine once", got)
	}
	f.fleet.FinishCommand(f.now, m.ID, false)
	if f.fleet.Schedulable(m) {
		t.Error("a machine that did not respond is schedulable")
	}
	response := *staleHeartbeat
	response.HeartbeatSeq++
	f.fleet.FinishCommand(f.now, m.ID, true)
	f.fleet.ApplyCommandResponse(f.now, &response)
	if !f.fleet.Schedulable(m) {
		t.Error("a machine that has responded is not schedulable")
	}
	if !f.fleet.Schedulable(f.machine) {
		t.Error("a machine that has reported this leader's fencing token is not schedulable")
	}
}

// TestUnreachableMachinesGetNoTasks checks that a machine whose heartbeats arrive, but which does not respond to
// commands, gets no tasks, not even in its next session, until unansweredCommandWindow has passed.
func TestUnreachableMachinesGetNoTasks(t *testing.T) {
	f := newFixture(1)
	f.fleet.FinishCommand(f.now, f.machine.ID, false)
	if !f.fleet.Schedulable(f.machine) {
		t.Fatal("a machine is not schedulable after one unanswered command")
	}
	f.fleet.FinishCommand(f.now, f.machine.ID, false)
	f.sendHeartbeat(2, 1, epoch)
	if f.fleet.Schedulable(f.machine) {
		t.Error("a machine that does not respond to commands is schedulable in its next session")
	}
	f.now = f.now.Add(unansweredCommandWindow + time.Second)
	f.sendHeartbeat(2, 9, epoch)
	if !f.fleet.Schedulable(f.machine) {
		t.Error("not schedulable after unansweredCommandWindow")
	}
}

// TestMachineWithoutHeartbeatsGetsNoTasks checks that a machine whose heartbeats no longer arrive gets no tasks
// although it responds to commands, because its lease expires nevertheless.
func TestMachineWithoutHeartbeatsGetsNoTasks(t *testing.T) {
	f := newFixture(1)
	for range 4 {
		f.now = f.now.Add(3 * time.Second)
		f.fleet.ApplyCommandResponse(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: f.machine.HeartbeatSeq + 1, FencingToken: epoch})
	}
	if !f.fleet.HeartbeatOverdue(f.now, f.machine) {
		t.Error("the heartbeats of a machine that only responds to commands are not overdue")
	}
	f.sendHeartbeat(1, f.machine.HeartbeatSeq+1, epoch)
	if f.fleet.HeartbeatOverdue(f.now, f.machine) {
		t.Error("the heartbeats of a machine that sends them again are overdue")
	}
}

// TestCommandResponsesCountDuringRejoinGrace checks that a machine that responds to a command may get tasks while its
// worker may still be waiting for the previous leader, but not afterwards unless it sends a heartbeat.
func TestCommandResponsesCountDuringRejoinGrace(t *testing.T) {
	const rejoinGrace = 8 * time.Second
	f := New(Timing{HeartbeatInterval: time.Second, LeaseTTL: 27 * time.Second, RejoinGrace: rejoinGrace}, epoch, t0, func(ident.JobID) *jobs.Job { return nil })
	m := f.Ensure(t0, "host-1")
	if !f.HeartbeatOverdue(t0, m) {
		t.Error("the heartbeats of a machine that has sent no status are not overdue")
	}
	f.ApplyCommandResponse(t0, &Heartbeat{Machine: "host-1", Session: 1, HeartbeatSeq: 1})
	if f.HeartbeatOverdue(t0.Add(rejoinGrace-time.Second), m) {
		t.Error("heartbeats are overdue although the worker may still be waiting for the previous leader")
	}
	if !f.HeartbeatOverdue(t0.Add(rejoinGrace), m) {
		t.Error("heartbeats are not overdue although the grace period has passed without one")
	}
}
