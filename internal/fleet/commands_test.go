package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/ident"
)

// TestForgetRequiresStoredExitAndHigherFencingToken checks that a worker is commanded to forget an exit only when the
// result of the exit is stored and the worker has seen a higher fencing token than that of the start command. Otherwise
// a delayed copy of the start command could run the task again.
func TestForgetRequiresStoredExitAndHigherFencingToken(t *testing.T) {
	f := newFixture(1)
	f.place(0, 5)
	f.fleet.Commands(f.machine, true)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitStopped))
	if got := describeCommands(f.fleet.Commands(f.machine, true)); got != nil {
		t.Fatalf("forget command sent before the result of the exit is stored: %v", got)
	}
	f.job.Stored.Seq = f.job.ChangeSeq
	if got := describeCommands(f.fleet.Commands(f.machine, true)); got != nil {
		t.Fatalf("forget command sent while a copy of the start command can still be executed: %v", got)
	}
	f.fleet.SetEpoch(epoch + 1)
	f.sendHeartbeat(1, 3, epoch+1, taskStatus(0, 5, TaskExited, ExitStopped))
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"reap 0/5"}) {
		t.Fatalf("commands %v, want a forget", got)
	}
	f.sendHeartbeat(1, 4, epoch+1)
	if f.fleet.TombstoneCount() != 0 {
		t.Error("the tombstone remains after the worker has forgotten the exit")
	}
}

// TestTombstoneIsKeptWhenNextAttemptIsPlaced checks that placing the next attempt of a task on the same machine does
// not replace the tombstone of the last one.
func TestTombstoneIsKeptWhenNextAttemptIsPlaced(t *testing.T) {
	f := newFixture(1)
	f.place(0, 5)
	f.fleet.Commands(f.machine, true)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitStopped))
	f.job.Stored.Seq = f.job.ChangeSeq
	f.place(0, 6)
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"launch 0/6"}) {
		t.Errorf("commands %v, want only the start of the new attempt", got)
	}
}

// TestMissedHeartbeatIsProbed checks that a machine that has missed a heartbeat is probed, and that its response counts
// as contact without renewing its lease.
func TestMissedHeartbeatIsProbed(t *testing.T) {
	f := newFixture(1)
	if got := f.fleet.ClaimProbes(f.now.Add(4 * time.Second)); got != nil {
		t.Fatal("probed before a heartbeat was missed")
	}
	f.now = f.now.Add(5 * time.Second)
	if got := f.fleet.ClaimProbes(f.now); len(got) != 1 || f.fleet.ClaimProbes(f.now) != nil {
		t.Fatal("not probed, or probed again while a probe is in flight")
	}
	f.fleet.FinishCommand(f.now, "host-1", true)
	f.fleet.ApplyCommandResponse(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 9, FencingToken: epoch})
	if f.machine.LastContact != f.now || f.machine.LastRenewal == f.now {
		t.Error("the response does not count as contact, or it renewed the lease")
	}
}

// TestOneCommandInFlightPerMachine checks that a machine is sent one command at a time and only while it is up, and
// that a command that becomes due in the meantime is sent afterwards.
func TestOneCommandInFlightPerMachine(t *testing.T) {
	f := newFixture(1)
	f.fleet.Ensure(f.now, "host-2").Addr = "10.0.0.2:1"
	f.fleet.ScheduleCommand("host-2")
	f.fleet.ScheduleCommand("host-1")
	if got := f.fleet.ClaimDueCommands(); len(got) != 1 || got[0] != f.machine {
		t.Fatalf("claimed %v, want only host-1, because host-2 is not up", got)
	}
	f.fleet.ScheduleCommand("host-1")
	if got := f.fleet.ClaimDueCommands(); got != nil {
		t.Errorf("claimed %v while a command is in flight", got)
	}
	f.fleet.FinishCommand(f.now, "host-1", true)
	if got := f.fleet.ClaimDueCommands(); len(got) != 1 {
		t.Error("a command that became due while another was in flight is lost")
	}
}

// TestHeartbeatIsRequestedOnce checks that after a failover a heartbeat is requested once from each machine that has an
// address and has not sent a status.
func TestHeartbeatIsRequestedOnce(t *testing.T) {
	f := newFixture(1)
	for _, id := range []ident.MachineID{"host-2", "host-3", "host-4"} {
		f.fleet.Ensure(f.now, id).Addr = "10.0.0.2:1"
	}
	f.fleet.Ensure(f.now, "host-5")
	if got := f.fleet.ClaimHeartbeatRequests(2); len(got) != 2 || got[0].ID != "host-2" || !got[0].HeartbeatRequested() {
		t.Errorf("claimed %v, want host-2 and host-3", got)
	}
	if got := f.fleet.ClaimHeartbeatRequests(2); len(got) != 1 || got[0].ID != "host-4" {
		t.Errorf("claimed %v, want host-4", got)
	}
}
