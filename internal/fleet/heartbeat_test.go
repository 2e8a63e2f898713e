package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestMissingTaskEndsPlacementOnlyUnderHigherFencingToken: a start command may be on its way, so a
// heartbeat that lacks the task ends the placement only under a higher fencing token.
func TestMissingTaskEndsPlacementOnlyUnderHigherFencingToken(t *testing.T) {
	f := newFixture(1)
	p := f.place(0, 5)
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("commands %v", got)
	}
	f.sendHeartbeat(1, 2, epoch)
	if p.State == jobs.PlacementEnded {
		t.Fatal("ended by absence under the fencing token of its start command")
	}
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("the start command is not repeated: %v", got)
	}
	f.fleet.SetEpoch(epoch + 5)
	c := f.sendHeartbeat(1, 3, epoch+5)
	if p.State != jobs.PlacementEnded || len(c.Ended) != 1 || !f.job.Queue.Contains(0) {
		t.Error("absence under a higher fencing token did not end it")
	}
}

func TestOldHeartbeatsAreStale(t *testing.T) {
	f := newFixture(2)
	p := f.place(0, 5)
	f.fleet.Commands(f.machine, true)
	f.sendHeartbeat(1, 9, epoch, taskStatus(0, 5, TaskRunning, ""))
	if c := f.sendHeartbeat(1, 8, epoch, taskStatus(0, 5, TaskExited, ExitError)); !c.Stale || p.State != jobs.PlacementRunning {
		t.Error("an overtaken heartbeat was applied")
	}
	if c := f.sendHeartbeat(2, 1, epoch); len(c.Ended) != 1 || p.State != jobs.PlacementEnded {
		t.Error("a later session did not end the placement")
	}
	if c := f.sendHeartbeat(1, 10, epoch, taskStatus(0, 5, TaskRunning, "")); !c.Stale {
		t.Error("a heartbeat of the session before was applied")
	}
}

// TestOrphanTasksAreAdopted: what runs without a record counts as a placement, so that
// it is not started elsewhere; what is done counts as done.
func TestOrphanTasksAreAdopted(t *testing.T) {
	f := newFixture(3)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 3, TaskRunning, ""), taskStatus(1, 3, TaskExited, ExitDone))
	if f.job.Placements[0] == nil || f.job.Queue.Contains(0) {
		t.Error("a running task may be started again")
	}
	if !f.job.Done.Contains(1) || f.job.Queue.Contains(1) {
		t.Error("a completed task may be started again")
	}
	f.sendHeartbeat(1, 3, epoch, TaskStatus{Task: ident.TaskID{Job: "wk-999999"}, Attempt: 1, State: TaskRunning})
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"halt 0/1"}) {
		t.Errorf("commands %v, want a stop of the task of no job", got)
	}
	if f.fleet.Schedulable(f.machine) {
		t.Error("a machine with a task of no job gets more")
	}
}

// TestTaskNamedOnlyByOldHeartbeatIsEnded: a copy of a heartbeat of before the failover names a task that
// ended long ago. The next heartbeat, under this leader's fencing token, proves it gone;
// with the leader's own token on it, its task waited until the epoch was advanced for
// something else.
func TestTaskNamedOnlyByOldHeartbeatIsEnded(t *testing.T) {
	f := newFixture(1)
	f.machine.HeartbeatSeq = 0 // a leader that knows nothing newer
	f.sendHeartbeat(1, 1, epoch-3, taskStatus(0, 5, TaskRunning, ""))
	if f.job.Placements[0] == nil {
		t.Fatal("what may run does not count")
	}
	f.sendHeartbeat(1, 9, epoch-1)
	f.sendHeartbeat(1, 10, epoch)
	if f.job.Placements[0] != nil || !f.job.Queue.Contains(0) {
		t.Error("a task that no newer heartbeat names still counts")
	}
}
