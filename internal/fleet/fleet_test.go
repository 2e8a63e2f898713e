package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

const (
	t0    = unit.Instant(time.Hour)
	epoch = unit.Epoch(10)
)

// rig is a fleet with one job and one machine that has just come up.
type rig struct {
	f   *Fleet
	j   *checkpoint.Job
	m   *Machine
	now unit.Instant
}

func newRig(tasks int) *rig {
	spec := checkpoint.Spec{Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 2}
	r := &rig{j: checkpoint.NewJob("wk-000001", checkpoint.NewRecord(spec, 0), 1, t0), now: t0}
	r.f = New(Times{Report: 3 * time.Second, Lease: 27 * time.Second}, epoch, t0, func(id unit.JobID) *checkpoint.Job {
		if id == r.j.ID {
			return r.j
		}
		return nil
	})
	r.f.SetTypes([]*Type{{Name: "m", Capacity: checkpoint.Resources{CPUs: 4, MemoryGB: 8}, CacheGB: 3}})
	r.report(1, 1, epoch)
	r.m = r.f.Machine("host-1")
	return r
}

func (r *rig) report(session unit.Session, tally unit.HeartbeatSeq, token unit.Epoch, entries ...Entry) Changes {
	return r.f.Take(r.now, &Report{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: session, Tally: tally, Token: token, Entries: entries}, true)
}

func (r *rig) place(i unit.TaskIndex, attempt unit.Attempt) *checkpoint.Placement {
	p := &checkpoint.Placement{Job: r.j, Task: i, Machine: "host-1", Session: r.m.Session, Attempt: attempt, StartAllowed: true}
	r.f.Place(r.now, p)
	return p
}

func entry(i unit.TaskIndex, attempt unit.Attempt, s State, c Cause) Entry {
	return Entry{Task: unit.TaskID{Job: "wk-000001", Index: i}, Attempt: attempt, State: s, Cause: c}
}

func verbs(orders []Order) []string {
	var out []string
	for _, o := range orders {
		out = append(out, fmt.Sprintf("%s %d/%d", o.Verb, o.Task.Index, o.Attempt))
	}
	return out
}

// TestAbsenceProvesNothingUnderTheSameSeal: a launch may be on its way, so a
// report that lacks the task ends the placement only under a higher token.
func TestAbsenceProvesNothingUnderTheSameToken(t *testing.T) {
	r := newRig(1)
	p := r.place(0, 5)
	if got := verbs(r.f.Orders(r.now, r.m, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("orders %v", got)
	}
	r.report(1, 2, epoch)
	if p.State == checkpoint.PlacementEnded {
		t.Fatal("ended by absence under the token of its launch")
	}
	if got := verbs(r.f.Orders(r.now, r.m, true)); !cmp.Equal(got, []string{"launch 0/5"}) {
		t.Fatalf("the launch is not repeated: %v", got)
	}
	r.f.SetEpoch(epoch + 5)
	c := r.report(1, 3, epoch+5)
	if p.State != checkpoint.PlacementEnded || len(c.Ended) != 1 || !r.j.Queue.Contains(0) {
		t.Error("absence under a higher token did not end it")
	}
}

// TestReapOnlyWhatNoLateLaunchCanRevive: an exit is reaped only once its
// meaning is stored and the worker has seen a higher token than its launch.
func TestReapOnlyWhatNoLateLaunchCanRevive(t *testing.T) {
	r := newRig(1)
	r.place(0, 5)
	r.f.Orders(r.now, r.m, true)
	r.report(1, 2, epoch, entry(0, 5, stateExited, CauseStopped))
	if got := verbs(r.f.Orders(r.now, r.m, true)); got != nil {
		t.Fatalf("reaped before it is stored: %v", got)
	}
	r.j.StoredSeq = r.j.ChangeSeq
	if got := verbs(r.f.Orders(r.now, r.m, true)); got != nil {
		t.Fatalf("reaped while a copy of its launch may come: %v", got)
	}
	r.f.SetEpoch(epoch + 1)
	r.report(1, 3, epoch+1, entry(0, 5, stateExited, CauseStopped))
	if got := verbs(r.f.Orders(r.now, r.m, true)); !cmp.Equal(got, []string{"reap 0/5"}) {
		t.Fatalf("orders %v, want a reap", got)
	}
	r.report(1, 4, epoch+1)
	if r.f.Tombstones() != 0 {
		t.Error("the tombstone stays after the reap")
	}
}

// TestTombstoneOutlivesNextAttempt: the next attempt on the same machine must
// not push the tombstone of the last one out.
func TestTombstoneOutlivesNextAttempt(t *testing.T) {
	r := newRig(1)
	r.place(0, 5)
	r.f.Orders(r.now, r.m, true)
	r.report(1, 2, epoch, entry(0, 5, stateExited, CauseStopped))
	r.j.StoredSeq = r.j.ChangeSeq
	r.place(0, 6)
	if got := verbs(r.f.Orders(r.now, r.m, true)); !cmp.Equal(got, []string{"launch 0/6"}) {
		t.Errorf("orders %v, want only the launch of the new attempt", got)
	}
}

func TestOldReportsAreStale(t *testing.T) {
	r := newRig(2)
	p := r.place(0, 5)
	r.f.Orders(r.now, r.m, true)
	r.report(1, 9, epoch, entry(0, 5, stateRunning, ""))
	if c := r.report(1, 8, epoch, entry(0, 5, stateExited, CauseError)); !c.Stale || p.State != checkpoint.PlacementRunning {
		t.Error("an overtaken report was taken in")
	}
	if c := r.report(2, 1, epoch); len(c.Ended) != 1 || p.State != checkpoint.PlacementEnded {
		t.Error("a later session did not end the placement")
	}
	if c := r.report(1, 10, epoch, entry(0, 5, stateRunning, "")); !c.Stale {
		t.Error("a report of the session before was taken in")
	}
}

// TestLeaseCountsFromTheLastAnswer: placements on a silent machine are over
// only when the lease has surely run out, counted from the last answer, and
// for a successor from the time it took over.
func TestLeaseCountsFromTheLastAnswer(t *testing.T) {
	r := newRig(1)
	p := r.place(0, 5)
	r.now = t0.Add(20 * time.Second)
	r.report(1, 2, epoch, entry(0, 5, stateRunning, ""))
	if c := r.f.Expire(r.now.Add(27 * time.Second)); len(c.Ended) != 0 {
		t.Fatal("ended within the lease")
	}
	if c := r.f.Expire(r.now.Add(28 * time.Second)); len(c.Ended) != 1 || p.State != checkpoint.PlacementEnded {
		t.Fatal("not ended after the lease")
	}
	if c := r.report(1, 3, epoch, entry(0, 5, stateRunning, "")); !c.Stale {
		t.Error("a report of the expired session was taken in")
	}
}

// TestNewShiftHasAFullLease guards against a task once run twice: a session that
// becomes known by the refusal of a direct command has answered no report yet,
// and its lease still runs in full.
func TestNewSessionHasAFullLease(t *testing.T) {
	r := newRig(1)
	r.now = t0.Add(40 * time.Second)
	r.f.Take(r.now, &Report{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 2, Tally: 1, Token: epoch}, false)
	p := r.place(0, 7)
	if c := r.f.Expire(r.now.Add(5 * time.Second)); len(c.Ended) != 0 || p.State == checkpoint.PlacementEnded {
		t.Error("the new session was taken for expired")
	}
}

// TestStrayRunsAreAdopted: what runs without a record counts as a placement,
// so that it is not started elsewhere; what is done counts as done.
func TestStrayRunsAreAdopted(t *testing.T) {
	r := newRig(3)
	r.report(1, 2, epoch, entry(0, 3, stateRunning, ""), entry(1, 3, stateExited, CauseDone))
	if r.j.Placements[0] == nil || r.j.Queue.Contains(0) {
		t.Error("a running task may be started again")
	}
	if !r.j.Done.Contains(1) || r.j.Queue.Contains(1) {
		t.Error("a completed task may be started again")
	}
	r.report(1, 3, epoch, Entry{Task: unit.TaskID{Job: "wk-999999"}, Attempt: 1, State: stateRunning})
	if got := verbs(r.f.Orders(r.now, r.m, true)); !cmp.Equal(got, []string{"halt 0/1"}) {
		t.Errorf("orders %v, want a halt of the task of no job", got)
	}
	if r.f.Placeable(r.m) {
		t.Error("a machine with a task of no job gets more")
	}
}

// TestHaltBeforeTheLaunchLeaves: a retracted launch that never left is over at
// once; one that may have left is halted until it surely is.
func TestHaltBeforeTheLaunchLeaves(t *testing.T) {
	r := newRig(2)
	p, q := r.place(0, 5), r.place(1, 5)
	r.f.Halt(r.now, p, 0)
	if p.State != checkpoint.PlacementEnded {
		t.Error("the launch that never left is still pending")
	}
	r.f.Orders(r.now, r.m, false)
	r.f.Halt(r.now, q, 0)
	if q.State == checkpoint.PlacementEnded {
		t.Error("the launch that left is taken for over")
	}
	if got := verbs(r.f.Orders(r.now, r.m, false)); !cmp.Equal(got, []string{"halt 1/5"}) {
		t.Errorf("orders %v", got)
	}
}

// TestMissedReportIsAskedFor: a machine that has missed a report is asked, and
// its answer shows that it lives without renewing its lease.
func TestMissedReportIsAskedFor(t *testing.T) {
	r := newRig(1)
	if got := r.f.Probes(r.now.Add(4 * time.Second)); got != nil {
		t.Fatal("asked before a report was missed")
	}
	r.now = r.now.Add(5 * time.Second)
	if got := r.f.Probes(r.now); len(got) != 1 || r.f.Probes(r.now) != nil {
		t.Fatal("not asked, or asked twice at once")
	}
	r.f.Pushed(r.now, "host-1", true)
	r.f.Take(r.now, &Report{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, Tally: 9, Token: epoch}, false)
	if r.m.LastReport != r.now || r.m.LastAnswer == r.now {
		t.Error("the answer must show life, and not count for the lease")
	}
}

func TestImagesAreForgottenAsTheCacheFills(t *testing.T) {
	r := newRig(1)
	r.f.touchImage(t0, r.m, &checkpoint.Spec{Image: "a", ImageGB: 2})
	r.f.touchImage(t0+1, r.m, &checkpoint.Spec{Image: "b", ImageGB: 2})
	if r.m.HasImage("a") || !r.m.HasImage("b") {
		t.Error("the cache holds more than fits, or forgot the wrong image")
	}
}

func FuzzDecodeReport(f *testing.F) {
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
		if r, err := DecodeReport(data); err == nil && (r.Machine == "" || r.Session == 0) {
			t.Errorf("report without machine or session: %+v", r)
		}
	})
}

// TestCopiesKeepNoLeaseAlive: copies of reports go on arriving after their
// machine has died. They must not put off the moment at which its tasks are
// surely gone.
func TestCopiesKeepNoLeaseAlive(t *testing.T) {
	r := newRig(1)
	r.report(1, 20, epoch)
	last := r.now
	for range 8 {
		r.now = r.now.Add(5 * time.Second)
		if !r.report(1, 5, epoch).Stale {
			t.Fatal("a copy was taken for news")
		}
	}
	if !r.f.LeaseOver(r.now, r.m) {
		t.Errorf("the lease still runs %v after the last report", r.now.Sub(last))
	}
	// An answer to a report that a direct command has overtaken does renew the
	// lease; but from before the command.
	r.now = r.now.Add(time.Second)
	r.f.Take(r.now, &Report{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, Tally: 22, Token: epoch}, false)
	overtaken := r.now
	r.now = r.now.Add(time.Second)
	r.report(1, 21, epoch)
	if r.m.LastAnswer != overtaken {
		t.Errorf("the answer counts from %v, want %v", r.m.LastAnswer, overtaken)
	}
}

// TestStrangersGetNoTasks: the report of a machine that nothing vouches for may
// be a copy, long after the machine was returned by an earlier leader.
func TestStrangersGetNoTasks(t *testing.T) {
	r := newRig(1)
	copied := &Report{Machine: "host-9", Addr: "10.0.0.9:1", Type: "m", Zone: "a", Session: 1, Tally: 70, Token: epoch - 3}
	r.f.Take(r.now, copied, true)
	m := r.f.Machine("host-9")
	if r.f.Placeable(m) {
		t.Fatal("a machine known by one old report may get tasks")
	}
	if got := r.f.Probes(r.now); len(got) != 1 || got[0] != m || r.f.Probes(r.now) != nil {
		t.Fatalf("asked: %v, want the stranger once", got)
	}
	r.f.Pushed(r.now, m.ID, false)
	if r.f.Placeable(m) {
		t.Error("it did not answer and may get tasks")
	}
	answer := *copied
	answer.Tally++
	r.f.Pushed(r.now, m.ID, true)
	r.f.Take(r.now, &answer, false)
	if !r.f.Placeable(m) {
		t.Error("it has answered and gets no tasks")
	}
	if !r.f.Placeable(r.m) {
		t.Error("one that has reported our token gets no tasks")
	}
}

// TestMachinesThatNothingReaches: where reports arrive and no command does, no
// task is placed, in a later session either; after a while it is tried again.
func TestMachinesThatNothingReaches(t *testing.T) {
	r := newRig(1)
	r.f.Pushed(r.now, r.m.ID, false)
	if !r.f.Placeable(r.m) {
		t.Fatal("one lost command takes a machine out")
	}
	r.f.Pushed(r.now, r.m.ID, false)
	r.report(2, 1, epoch)
	if r.f.Placeable(r.m) {
		t.Error("a machine that hears nothing may get tasks in its next session")
	}
	r.now = r.now.Add(unheardFor + time.Second)
	r.report(2, 9, epoch)
	if !r.f.Placeable(r.m) {
		t.Error("never tried again")
	}
}

// TestPhantomOfAnOldReport: a copy of a report of before the takeover names a
// task that is long over. The next report, under this leader's token, proves it
// gone; with the leader's own token on it, its task waited until the token was
// raised for something else.
func TestPhantomOfAnOldReport(t *testing.T) {
	r := newRig(1)
	r.m.Tally = 0 // a leader that knows nothing newer
	r.report(1, 1, epoch-3, entry(0, 5, stateRunning, ""))
	if r.j.Placements[0] == nil {
		t.Fatal("what may run does not count")
	}
	r.report(1, 9, epoch-1)
	r.report(1, 10, epoch)
	if r.j.Placements[0] != nil || !r.j.Queue.Contains(0) {
		t.Error("a task that no newer report names still counts")
	}
}

// TestMuteMachineGetsNothing: a machine whose reports no longer come gets no
// task, though it answers commands: its lease ends all the same.
func TestMuteMachineGetsNothing(t *testing.T) {
	r := newRig(1)
	for range 4 {
		r.now = r.now.Add(3 * time.Second)
		r.f.Take(r.now, &Report{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, Tally: r.m.Tally + 1, Token: epoch}, false)
	}
	if !r.f.Overdue(r.now, r.m) {
		t.Error("a machine that only answers commands may get tasks")
	}
	r.report(1, r.m.Tally+1, epoch)
	if r.f.Overdue(r.now, r.m) {
		t.Error("a machine that reports again gets nothing")
	}
}

// TestAnswersCountAfterATakeover: a machine that answers a command may get tasks for
// as long as its worker may still wait for the lost leader, and not for longer
// without a report.
func TestAnswersCountAfterATakeover(t *testing.T) {
	const wait = 8 * time.Second
	f := New(Times{Report: time.Second, Lease: 27 * time.Second, Return: wait}, epoch, t0, func(unit.JobID) *checkpoint.Job { return nil })
	m := f.Ensure(t0, "host-1")
	if !f.Overdue(t0, m) {
		t.Error("a machine that nothing was heard of")
	}
	f.Take(t0, &Report{Machine: "host-1", Session: 1, Tally: 1}, false)
	if f.Overdue(t0.Add(wait-time.Second), m) {
		t.Error("its worker may still be waiting for the lost leader")
	}
	if !f.Overdue(t0.Add(wait), m) {
		t.Error("it answers commands, and has not reported")
	}
}
