package fleet

import (
	"fmt"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	t0    = clock.Instant(time.Hour)
	epoch = ident.Epoch(10)
)

// fixture is a fleet with one job and one machine that has just come up.

type fixture struct {
	fleet   *Fleet
	job     *jobs.Job
	machine *Machine
	now     clock.Instant
}

func newFixture(tasks int) *fixture {
	spec := jobs.Spec{Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 2}
	f := &fixture{job: jobs.NewJob("wk-000001", jobs.NewRecord(spec, 0), 1, t0), now: t0}
	f.fleet = New(Timing{HeartbeatInterval: 3 * time.Second, LeaseTTL: 27 * time.Second}, epoch, t0, func(id ident.JobID) *jobs.Job {
		if id == f.job.ID {
			return f.job
		}
		return nil
	})
	f.fleet.SetMachineTypes([]*MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 8}, CacheGB: 3}})
	f.sendHeartbeat(1, 1, epoch)
	f.machine = f.fleet.Machine("host-1")
	return f
}

func (f *fixture) sendHeartbeat(session ident.Session, seq ident.HeartbeatSeq, token ident.Epoch, tasks ...TaskStatus) Changes {
	return f.fleet.ApplyHeartbeat(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: session, HeartbeatSeq: seq, FencingToken: token, Tasks: tasks}, true)
}

func (f *fixture) place(task ident.TaskIndex, attempt ident.Attempt) *jobs.Placement {
	p := &jobs.Placement{Job: f.job, Task: task, Machine: "host-1", Session: f.machine.Session, Attempt: attempt, StartAllowed: true}
	f.fleet.Place(f.now, p)
	return p
}

func taskStatus(index ident.TaskIndex, attempt ident.Attempt, state TaskState, cause ExitCause) TaskStatus {
	return TaskStatus{Task: ident.TaskID{Job: "wk-000001", Index: index}, Attempt: attempt, State: state, Cause: cause}
}

func describeCommands(commands []Command) []string {
	var out []string
	for _, c := range commands {
		out = append(out, fmt.Sprintf("%s %d/%d", c.Kind, c.Task.Index, c.Attempt))
	}
	return out
}

// TestAbsenceProvesNothingUnderSameFencingToken: a start command may be on its way, so a

// heartbeat that lacks the task ends the placement only under a higher fencing token.

// TestForgetOnlyWhatNoLateStartCanRevive: an exit is forgotten only once its meaning is

// stored and the worker has seen a higher fencing token than its start command's.

// TestTombstoneOutlivesNextAttempt: the next attempt on the same machine must not push

// the tombstone of the last one out.

// TestLeaseCountsFromLastRenewal: placements on a silent machine end only when

// the lease has surely expired, counted from the last answer, and for a successor from

// the failover.

// TestNewSessionHasAFullLease guards against a task once run twice: a session that becomes

// known by the refusal of a direct command has had no heartbeat answered yet, and its

// lease still lasts in full.

// TestStrayTasksAreAdopted: what runs without a record counts as a placement, so that

// it is not started elsewhere; what is done counts as done.

// TestStopBeforeStartIsSent: a start that was never sent ends at once when it is stopped;

// one that may have been sent is stopped until it surely has ended.

// TestMissedHeartbeatIsProbed: a machine that has missed a heartbeat is probed, and its

// answer shows that it lives without renewing its lease.

// TestDuplicatesRenewNoLease: copies of heartbeats go on arriving after their machine has

// died. They must not put off the moment at which its tasks are surely gone.

// TestUnconfirmedMachinesGetNoTasks: the heartbeat of an unconfirmed machine may be a copy,

// long after an earlier leader deprovisioned the machine.

// TestUnreachableMachinesGetNoTasks: where heartbeats arrive and no command does, no task is

// placed, in a later session either; after a while it is tried again.

// TestPhantomOfOldHeartbeat: a copy of a heartbeat of before the failover names a task that

// ended long ago. The next heartbeat, under this leader's fencing token, proves it gone;

// with the leader's own token on it, its task waited until the epoch was advanced for

// something else.

// TestMachineWithoutHeartbeatsGetsNoTasks: a machine whose heartbeats no longer come

// gets no task, though it answers commands: its lease expires all the same.

// TestCommandAnswersCountAfterFailover: a machine that answers a command may get tasks

// for as long as its worker may still wait for the lost leader, and no longer without a

// heartbeat.
