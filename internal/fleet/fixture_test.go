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

// newFixture returns a fixture whose job has the given number of tasks.
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

// sendHeartbeat applies a heartbeat of host-1.
func (f *fixture) sendHeartbeat(session ident.Session, seq ident.HeartbeatSeq, token ident.Epoch, tasks ...TaskStatus) Changes {
	return f.fleet.ApplyHeartbeat(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: session, HeartbeatSeq: seq, FencingToken: token, Tasks: tasks})
}

// place adds a placement of a task on host-1, whose start command may be sent.
func (f *fixture) place(task ident.TaskIndex, attempt ident.Attempt) *jobs.Placement {
	p := &jobs.Placement{Job: f.job, Task: task, Machine: "host-1", Session: f.machine.Session, Attempt: attempt, StartAllowed: true}
	f.fleet.AddPlacement(f.now, p)
	return p
}

func taskStatus(index ident.TaskIndex, attempt ident.Attempt, state TaskState, cause ExitCause) TaskStatus {
	return TaskStatus{Task: ident.TaskID{Job: "wk-000001", Index: index}, Attempt: attempt, State: state, Cause: cause}
}

// describeCommands formats each command as "kind index/attempt".
func describeCommands(commands []Command) []string {
	var out []string
	for _, c := range commands {
		out = append(out, fmt.Sprintf("%s %d/%d", c.Kind, c.Task.Index, c.Attempt))
	}
	return out
}
