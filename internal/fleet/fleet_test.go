package fleet

import (
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

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
	r := &fixture{job: jobs.NewJob("wk-000001", jobs.NewRecord(spec, 0), 1, t0), now: t0}
	r.fleet = New(Timing{HeartbeatInterval: 3 * time.Second, LeaseDuration: 27 * time.Second}, epoch, t0, func(id ident.JobID) *jobs.Job {
		if id == r.job.ID {
			return r.job
		}
		return nil
	})
	r.fleet.SetMachineTypes([]*MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 8}, CacheGB: 3}})
	r.sendHeartbeat(1, 1, epoch)
	r.machine = r.fleet.Machine("host-1")
	return r
}

func (r *fixture) sendHeartbeat(session ident.Session, tally ident.HeartbeatSeq, token ident.Epoch, entries ...TaskStatus) Changes {
	return r.fleet.ApplyHeartbeat(r.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: session, HeartbeatSeq: tally, FencingToken: token, Tasks: entries}, true)
}

func (r *fixture) place(i ident.TaskIndex, attempt ident.Attempt) *jobs.Placement {
	p := &jobs.Placement{Job: r.job, Task: i, Machine: "host-1", Session: r.machine.Session, Attempt: attempt, StartAllowed: true}
	r.fleet.Place(r.now, p)
	return p
}

func taskStatus(i ident.TaskIndex, attempt ident.Attempt, s TaskState, c ExitCause) TaskStatus {
	return TaskStatus{Task: ident.TaskID{Job: "wk-000001", Index: i}, Attempt: attempt, State: s, Cause: c}
}

func describeCommands(orders []Command) []string {
	var out []string
	for _, o := range orders {
		out = append(out, fmt.Sprintf("%s %d/%d", o.Kind, o.Task.Index, o.Attempt))
	}
	return out
}

// TestAbsenceProvesNothingUnderTheSameSeal: a launch may be on its way, so a
// report that lacks the task ends the placement only under a higher token.
func TestAbsenceProvesNothingUnderSameFencingToken(t *testing.T) {
	r := newFixture(1)
	p := r.place(0, 5)
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("orders %v", got)
	}
	r.sendHeartbeat(1, 2, epoch)
	if p.State == jobs.PlacementEnded {
		t.Fatal("ended by absence under the token of its launch")
	}
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("the launch is not repeated: %v", got)
	}
	r.fleet.SetEpoch(epoch + 5)
	c := r.sendHeartbeat(1, 3, epoch+5)
	if p.State != jobs.PlacementEnded || len(c.Ended) != 1 || !r.job.Queue.Contains(0) {
		t.Error("absence under a higher token did not end it")
	}
}

// TestForgetOnlyWhatNoLateStartCanRevive: an exit is reaped only once its
// meaning is stored and the worker has seen a higher token than its launch.
func TestForgetOnlyWhatNoLateStartCanRevive(t *testing.T) {
	r := newFixture(1)
	r.place(0, 5)
	r.fleet.Commands(r.now, r.machine, true)
	r.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitStopped))
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); got != nil {
		t.Fatalf("reaped before it is stored: %v", got)
	}
	r.job.StoredSeq = r.job.ChangeSeq
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); got != nil {
		t.Fatalf("reaped while a copy of its launch may come: %v", got)
	}
	r.fleet.SetEpoch(epoch + 1)
	r.sendHeartbeat(1, 3, epoch+1, taskStatus(0, 5, TaskExited, ExitStopped))
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); !cmp.Equal(got, []string{"reap 0/5"}) {
		t.Fatalf("orders %v, want a reap", got)
	}
	r.sendHeartbeat(1, 4, epoch+1)
	if r.fleet.TombstoneCount() != 0 {
		t.Error("the tombstone stays after the reap")
	}
}

// TestTombstoneOutlivesNextAttempt: the next attempt on the same machine must
// not push the tombstone of the last one out.
func TestTombstoneOutlivesNextAttempt(t *testing.T) {
	r := newFixture(1)
	r.place(0, 5)
	r.fleet.Commands(r.now, r.machine, true)
	r.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitStopped))
	r.job.StoredSeq = r.job.ChangeSeq
	r.place(0, 6)
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); !cmp.Equal(got, []string{"launch 0/6"}) {
		t.Errorf("orders %v, want only the launch of the new attempt", got)
	}
}

func TestOldHeartbeatsAreStale(t *testing.T) {
	r := newFixture(2)
	p := r.place(0, 5)
	r.fleet.Commands(r.now, r.machine, true)
	r.sendHeartbeat(1, 9, epoch, taskStatus(0, 5, TaskRunning, ""))
	if c := r.sendHeartbeat(1, 8, epoch, taskStatus(0, 5, TaskExited, ExitError)); !c.Stale || p.State != jobs.PlacementRunning {
		t.Error("an overtaken report was taken in")
	}
	if c := r.sendHeartbeat(2, 1, epoch); len(c.Ended) != 1 || p.State != jobs.PlacementEnded {
		t.Error("a later session did not end the placement")
	}
	if c := r.sendHeartbeat(1, 10, epoch, taskStatus(0, 5, TaskRunning, "")); !c.Stale {
		t.Error("a report of the session before was taken in")
	}
}

// TestLeaseCountsFromLastRenewal: placements on a silent machine are over
// only when the lease has surely run out, counted from the last answer, and
// for a successor from the time it took over.
func TestLeaseCountsFromLastRenewal(t *testing.T) {
	r := newFixture(1)
	p := r.place(0, 5)
	r.now = t0.Add(20 * time.Second)
	r.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskRunning, ""))
	if c := r.fleet.ExpireLeases(r.now.Add(27 * time.Second)); len(c.Ended) != 0 {
		t.Fatal("ended within the lease")
	}
	if c := r.fleet.ExpireLeases(r.now.Add(28 * time.Second)); len(c.Ended) != 1 || p.State != jobs.PlacementEnded {
		t.Fatal("not ended after the lease")
	}
	if c := r.sendHeartbeat(1, 3, epoch, taskStatus(0, 5, TaskRunning, "")); !c.Stale {
		t.Error("a report of the expired session was taken in")
	}
}

// TestNewShiftHasAFullLease guards against a task once run twice: a session that
// becomes known by the refusal of a direct command has answered no report yet,
// and its lease still runs in full.
func TestNewSessionHasAFullLease(t *testing.T) {
	r := newFixture(1)
	r.now = t0.Add(40 * time.Second)
	r.fleet.ApplyHeartbeat(r.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 2, HeartbeatSeq: 1, FencingToken: epoch}, false)
	p := r.place(0, 7)
	if c := r.fleet.ExpireLeases(r.now.Add(5 * time.Second)); len(c.Ended) != 0 || p.State == jobs.PlacementEnded {
		t.Error("the new session was taken for expired")
	}
}

// TestStrayTasksAreAdopted: what runs without a record counts as a placement,
// so that it is not started elsewhere; what is done counts as done.
func TestStrayTasksAreAdopted(t *testing.T) {
	r := newFixture(3)
	r.sendHeartbeat(1, 2, epoch, taskStatus(0, 3, TaskRunning, ""), taskStatus(1, 3, TaskExited, ExitDone))
	if r.job.Placements[0] == nil || r.job.Queue.Contains(0) {
		t.Error("a running task may be started again")
	}
	if !r.job.Done.Contains(1) || r.job.Queue.Contains(1) {
		t.Error("a completed task may be started again")
	}
	r.sendHeartbeat(1, 3, epoch, TaskStatus{Task: ident.TaskID{Job: "wk-999999"}, Attempt: 1, State: TaskRunning})
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, true)); !cmp.Equal(got, []string{"halt 0/1"}) {
		t.Errorf("orders %v, want a halt of the task of no job", got)
	}
	if r.fleet.Schedulable(r.machine) {
		t.Error("a machine with a task of no job gets more")
	}
}

// TestStopBeforeStartIsSent: a retracted launch that never left is over at
// once; one that may have left is halted until it surely is.
func TestStopBeforeStartIsSent(t *testing.T) {
	r := newFixture(2)
	p, q := r.place(0, 5), r.place(1, 5)
	r.fleet.StopPlacement(r.now, p, 0)
	if p.State != jobs.PlacementEnded {
		t.Error("the launch that never left is still pending")
	}
	r.fleet.Commands(r.now, r.machine, false)
	r.fleet.StopPlacement(r.now, q, 0)
	if q.State == jobs.PlacementEnded {
		t.Error("the launch that left is taken for over")
	}
	if got := describeCommands(r.fleet.Commands(r.now, r.machine, false)); !cmp.Equal(got, []string{"halt 1/5"}) {
		t.Errorf("orders %v", got)
	}
}

// TestMissedHeartbeatIsProbed: a machine that has missed a report is asked, and
// its answer shows that it lives without renewing its lease.
func TestMissedHeartbeatIsProbed(t *testing.T) {
	r := newFixture(1)
	if got := r.fleet.ClaimProbes(r.now.Add(4 * time.Second)); got != nil {
		t.Fatal("asked before a report was missed")
	}
	r.now = r.now.Add(5 * time.Second)
	if got := r.fleet.ClaimProbes(r.now); len(got) != 1 || r.fleet.ClaimProbes(r.now) != nil {
		t.Fatal("not asked, or asked twice at once")
	}
	r.fleet.FinishCommand(r.now, "host-1", true)
	r.fleet.ApplyHeartbeat(r.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 9, FencingToken: epoch}, false)
	if r.machine.LastContact != r.now || r.machine.LastRenewal == r.now {
		t.Error("the answer must show life, and not count for the lease")
	}
}

func TestImagesAreEvictedAsCacheFills(t *testing.T) {
	r := newFixture(1)
	r.fleet.recordImageUse(t0, r.machine, &jobs.Spec{Image: "a", ImageGB: 2})
	r.fleet.recordImageUse(t0+1, r.machine, &jobs.Spec{Image: "b", ImageGB: 2})
	if r.machine.HasImage("a") || !r.machine.HasImage("b") {
		t.Error("the cache holds more than fits, or forgot the wrong image")
	}
}

func FuzzDecodeHeartbeat(f *testing.F) {
	seed, err := msgpack.Marshal(map[string]any{"shamba": "host-1", "addr": "10.0.0.1:9000", "frame": "m", "hall": "a",
		"loaner": false, "shift": 1, "tally": 2, "seal": 3, "recallS": nil,
		"entries": []any{map[string]any{"entry": "wk-000001/0", "try": 1, "standing": "running"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x81, 0xa7, 'e', 'n', 't', 'r', 'i', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x91, 0x91, 0x91})
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeHeartbeat(data); err == nil && (r.Machine == "" || r.Session == 0) {
			t.Errorf("report without machine or session: %+v", r)
		}
	})
}

// TestDuplicatesRenewNoLease: copies of reports go on arriving after their
// machine has died. They must not put off the moment at which its tasks are
// surely gone.
func TestDuplicatesRenewNoLease(t *testing.T) {
	r := newFixture(1)
	r.sendHeartbeat(1, 20, epoch)
	last := r.now
	for range 8 {
		r.now = r.now.Add(5 * time.Second)
		if !r.sendHeartbeat(1, 5, epoch).Stale {
			t.Fatal("a copy was taken for news")
		}
	}
	if !r.fleet.LeaseExpired(r.now, r.machine) {
		t.Errorf("the lease still runs %v after the last report", r.now.Sub(last))
	}
	// An answer to a report that a direct command has overtaken does renew the
	// lease; but from before the command.
	r.now = r.now.Add(time.Second)
	r.fleet.ApplyHeartbeat(r.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 22, FencingToken: epoch}, false)
	overtaken := r.now
	r.now = r.now.Add(time.Second)
	r.sendHeartbeat(1, 21, epoch)
	if r.machine.LastRenewal != overtaken {
		t.Errorf("the answer counts from %v, want %v", r.machine.LastRenewal, overtaken)
	}
}

// TestUnconfirmedMachinesGetNoTasks: the report of a machine that nothing vouches for may
// be a copy, long after the machine was returned by an earlier leader.
func TestUnconfirmedMachinesGetNoTasks(t *testing.T) {
	r := newFixture(1)
	copied := &Heartbeat{Machine: "host-9", Addr: "10.0.0.9:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 70, FencingToken: epoch - 3}
	r.fleet.ApplyHeartbeat(r.now, copied, true)
	m := r.fleet.Machine("host-9")
	if r.fleet.Schedulable(m) {
		t.Fatal("a machine known by one old report may get tasks")
	}
	if got := r.fleet.ClaimProbes(r.now); len(got) != 1 || got[0] != m || r.fleet.ClaimProbes(r.now) != nil {
		t.Fatalf("asked: %v, want the stranger once", got)
	}
	r.fleet.FinishCommand(r.now, m.ID, false)
	if r.fleet.Schedulable(m) {
		t.Error("it did not answer and may get tasks")
	}
	answer := *copied
	answer.HeartbeatSeq++
	r.fleet.FinishCommand(r.now, m.ID, true)
	r.fleet.ApplyHeartbeat(r.now, &answer, false)
	if !r.fleet.Schedulable(m) {
		t.Error("it has answered and gets no tasks")
	}
	if !r.fleet.Schedulable(r.machine) {
		t.Error("one that has reported our token gets no tasks")
	}
}

// TestUnreachableMachinesGetNoTasks: where reports arrive and no command does, no
// task is placed, in a later session either; after a while it is tried again.
func TestUnreachableMachinesGetNoTasks(t *testing.T) {
	r := newFixture(1)
	r.fleet.FinishCommand(r.now, r.machine.ID, false)
	if !r.fleet.Schedulable(r.machine) {
		t.Fatal("one lost command takes a machine out")
	}
	r.fleet.FinishCommand(r.now, r.machine.ID, false)
	r.sendHeartbeat(2, 1, epoch)
	if r.fleet.Schedulable(r.machine) {
		t.Error("a machine that hears nothing may get tasks in its next session")
	}
	r.now = r.now.Add(unansweredCommandWindow + time.Second)
	r.sendHeartbeat(2, 9, epoch)
	if !r.fleet.Schedulable(r.machine) {
		t.Error("never tried again")
	}
}

// TestPhantomOfOldHeartbeat: a copy of a report of before the takeover names a
// task that is long over. The next report, under this leader's token, proves it
// gone; with the leader's own token on it, its task waited until the token was
// raised for something else.
func TestPhantomOfOldHeartbeat(t *testing.T) {
	r := newFixture(1)
	r.machine.HeartbeatSeq = 0 // a leader that knows nothing newer
	r.sendHeartbeat(1, 1, epoch-3, taskStatus(0, 5, TaskRunning, ""))
	if r.job.Placements[0] == nil {
		t.Fatal("what may run does not count")
	}
	r.sendHeartbeat(1, 9, epoch-1)
	r.sendHeartbeat(1, 10, epoch)
	if r.job.Placements[0] != nil || !r.job.Queue.Contains(0) {
		t.Error("a task that no newer report names still counts")
	}
}

// TestMachineWithoutHeartbeatsGetsNoTasks: a machine whose reports no longer come gets no
// task, though it answers commands: its lease ends all the same.
func TestMachineWithoutHeartbeatsGetsNoTasks(t *testing.T) {
	r := newFixture(1)
	for range 4 {
		r.now = r.now.Add(3 * time.Second)
		r.fleet.ApplyHeartbeat(r.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: r.machine.HeartbeatSeq + 1, FencingToken: epoch}, false)
	}
	if !r.fleet.HeartbeatOverdue(r.now, r.machine) {
		t.Error("a machine that only answers commands may get tasks")
	}
	r.sendHeartbeat(1, r.machine.HeartbeatSeq+1, epoch)
	if r.fleet.HeartbeatOverdue(r.now, r.machine) {
		t.Error("a machine that reports again gets nothing")
	}
}

// TestCommandAnswersCountAfterFailover: a machine that answers a command may get tasks for
// as long as its worker may still wait for the lost leader, and not for longer
// without a report.
func TestCommandAnswersCountAfterFailover(t *testing.T) {
	const wait = 8 * time.Second
	f := New(Timing{HeartbeatInterval: time.Second, LeaseDuration: 27 * time.Second, RejoinGrace: wait}, epoch, t0, func(ident.JobID) *jobs.Job { return nil })
	m := f.Ensure(t0, "host-1")
	if !f.HeartbeatOverdue(t0, m) {
		t.Error("a machine that nothing was heard of")
	}
	f.ApplyHeartbeat(t0, &Heartbeat{Machine: "host-1", Session: 1, HeartbeatSeq: 1}, false)
	if f.HeartbeatOverdue(t0.Add(wait-time.Second), m) {
		t.Error("its worker may still be waiting for the lost leader")
	}
	if !f.HeartbeatOverdue(t0.Add(wait), m) {
		t.Error("it answers commands, and has not reported")
	}
}
