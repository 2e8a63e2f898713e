package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestMissingTaskEndsPlacementOnlyUnderHigherFencingToken checks that a heartbeat without the task ends the placement
// only if it reports a higher fencing token than that of the start command. Otherwise, the command may still be in
// transit.
func TestMissingTaskEndsPlacementOnlyUnderHigherFencingToken(t *testing.T) {
	f := newFixture(1)
	p := f.place(0, 5)
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("commands %v, want a start of task 0", got)
	}
	f.sendHeartbeat(1, 2, epoch)
	if p.State == jobs.PlacementEnded {
		t.Fatal("the placement ended although its start command was sent under the reported fencing token")
	}
	if got := describeCommands(f.fleet.Commands(f.machine, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("the start command is not repeated: %v", got)
	}
	f.fleet.SetEpoch(epoch + 5)
	c := f.sendHeartbeat(1, 3, epoch+5)
	if p.State != jobs.PlacementEnded || len(c.Ended) != 1 || !f.job.Queue.Contains(0) {
		t.Error("the placement did not end although the heartbeat reports a higher fencing token")
	}
}

// TestOldHeartbeatsAreStale checks that a heartbeat is not applied if a later one of its session, or one of a later
// session, was applied before.
func TestOldHeartbeatsAreStale(t *testing.T) {
	f := newFixture(2)
	p := f.place(0, 5)
	f.fleet.Commands(f.machine, true)
	f.sendHeartbeat(1, 9, epoch, taskStatus(0, 5, TaskRunning, ""))
	if c := f.sendHeartbeat(1, 8, epoch, taskStatus(0, 5, TaskExited, ExitError)); !c.Stale || p.State != jobs.PlacementRunning {
		t.Error("a heartbeat with a lower sequence number was applied")
	}
	if c := f.sendHeartbeat(2, 1, epoch); len(c.Ended) != 1 || p.State != jobs.PlacementEnded {
		t.Error("a later session did not end the placement")
	}
	if c := f.sendHeartbeat(1, 10, epoch, taskStatus(0, 5, TaskRunning, "")); !c.Stale {
		t.Error("a heartbeat of the previous session was applied")
	}
}

// TestOrphanTasksAreAdopted checks that a running task without a record gets a placement, so that it is not started on
// another machine, that a completed one counts as completed, and that a task of an unknown job is stopped.
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
		t.Errorf("commands %v, want a stop of the task of an unknown job", got)
	}
	if f.fleet.Schedulable(f.machine) {
		t.Error("a machine that runs a task of an unknown job is schedulable")
	}
}

// TestTaskNamedOnlyByOldHeartbeatIsEnded checks that an adopted placement ends if its task was reported only by a
// delayed heartbeat from before the failover, as soon as a heartbeat with this leader's fencing token does not report
// the task. Only a token higher than that of the placement ends it. The adopted placement used to get the leader's own
// token, and its task was then not queued again before the epoch was advanced for another reason.
func TestTaskNamedOnlyByOldHeartbeatIsEnded(t *testing.T) {
	f := newFixture(1)
	f.machine.HeartbeatSeq = 0 // as for a leader that knows no newer heartbeat
	f.sendHeartbeat(1, 1, epoch-3, taskStatus(0, 5, TaskRunning, ""))
	if f.job.Placements[0] == nil {
		t.Fatal("a task that may be running has no placement")
	}
	f.sendHeartbeat(1, 9, epoch-1)
	f.sendHeartbeat(1, 10, epoch)
	if f.job.Placements[0] != nil || !f.job.Queue.Contains(0) {
		t.Error("a task that newer heartbeats do not report still has a placement, or is not queued")
	}
}
