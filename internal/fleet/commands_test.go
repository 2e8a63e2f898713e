package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestForgetOnlyWhatNoLateStartCanRevive: an exit is forgotten only once its meaning is
// stored and the worker has seen a higher fencing token than its start command's.
func TestForgetOnlyWhatNoLateStartCanRevive(t *testing.T) {
	f := newFixture(1)
	f.place(0, 5)
	f.fleet.Commands(f.machine, true)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitStopped))
	if got := describeCommands(f.fleet.Commands(f.machine, true)); got != nil {
		t.Fatalf("forgotten before it is stored: %v", got)
	}
	f.job.StoredSeq = f.job.ChangeSeq
	if got := describeCommands(f.fleet.Commands(f.machine, true)); got != nil {
		t.Fatalf("forgotten while a copy of its start command may come: %v", got)
	}
	f.fleet.SetEpoch(epoch + 1)
	f.sendHeartbeat(1, 3, epoch+1, taskStatus(0, 5, TaskExited, ExitStopped))
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"reap 0/5"}) {
		t.Fatalf("commands %v, want a forget", got)
	}
	f.sendHeartbeat(1, 4, epoch+1)
	if f.fleet.TombstoneCount() != 0 {
		t.Error("the tombstone stays after the forget")
	}
}

// TestTombstoneOutlivesNextAttempt: the next attempt on the same machine must not push
// the tombstone of the last one out.
func TestTombstoneOutlivesNextAttempt(t *testing.T) {
	f := newFixture(1)
	f.place(0, 5)
	f.fleet.Commands(f.machine, true)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitStopped))
	f.job.StoredSeq = f.job.ChangeSeq
	f.place(0, 6)
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"launch 0/6"}) {
		t.Errorf("commands %v, want only the start of the new attempt", got)
	}
}

// TestMissedHeartbeatIsProbed: a machine that has missed a heartbeat is probed, and its
// answer shows that it lives without renewing its lease.
func TestMissedHeartbeatIsProbed(t *testing.T) {
	f := newFixture(1)
	if got := f.fleet.ClaimProbes(f.now.Add(4 * time.Second)); got != nil {
		t.Fatal("probed before a heartbeat was missed")
	}
	f.now = f.now.Add(5 * time.Second)
	if got := f.fleet.ClaimProbes(f.now); len(got) != 1 || f.fleet.ClaimProbes(f.now) != nil {
		t.Fatal("not probed, or probed twice at once")
	}
	f.fleet.FinishCommand(f.now, "host-1", true)
	f.fleet.ApplyCommandAnswer(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 9, FencingToken: epoch})
	if f.machine.LastContact != f.now || f.machine.LastRenewal == f.now {
		t.Error("the answer must show life, and not count for the lease")
	}
}
