package quarantine

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
)

const start = clock.Instant(time.Hour)

// fixture is a tracker with the state that it has reported last for each machine.
type fixture struct {
	tracker *Tracker
	now     clock.Instant
	states  map[ident.MachineID]State
}

func newFixture() *fixture {
	return &fixture{tracker: NewTracker(), now: start, states: map[ident.MachineID]State{}}
}

// fail records the failures of n tasks of a job that were started on a machine in one attempt.
func (f *fixture) fail(job *jobs.Job, machine ident.MachineID, attempt ident.Attempt, n int) {
	for i := range n {
		f.tracker.RecordFailure(f.now, &jobs.Placement{Job: job, Task: ident.TaskIndex(i), Machine: machine, Attempt: attempt})
	}
	f.update()
}

func (f *fixture) update() {
	for _, c := range f.tracker.Update(f.now, func(ident.MachineID) bool { return true }) {
		f.states[c.Machine] = c.State
	}
}

func (f *fixture) expect(t *testing.T, event string, machine ident.MachineID, want State) {
	t.Helper()
	if got := f.states[machine]; got != want {
		t.Errorf("after %s: machine %s is %v, want %v", event, machine, got, want)
	}
}

func array(id ident.JobID, done int) *jobs.Job {
	return &jobs.Job{ID: id, Spec: jobs.Spec{Tasks: 100}, Done: indexset.Full(done)}
}

// TestTasksOfOneArrayThatFailTogether checks that an array of which no task has completed does not quarantine a machine
// on its own, however many of its tasks fail there.
func TestTasksOfOneArrayThatFailTogether(t *testing.T) {
	f := newFixture()
	mistaken := array("wk-000001", 0)
	f.fail(mistaken, "m1", 1, 16)
	f.expect(t, "16 failures of one array", "m1", InService)
	f.fail(mistaken, "m1", 2, 16)
	f.expect(t, "a second round of failures", "m1", InService)
}

// TestSuspicionEndsWhenJobsProveMistaken checks that a machine on which tasks of three jobs fail is suspected, and gets
// tasks again once the failures are explained by the jobs: one fails on a second machine, or is cancelled.
func TestSuspicionEndsWhenJobsProveMistaken(t *testing.T) {
	for name, explain := range map[string]func(*fixture, *jobs.Job){
		"failure on a second machine": func(f *fixture, job *jobs.Job) { f.fail(job, "m2", 2, 1) },
		"cancellation":                func(_ *fixture, job *jobs.Job) { job.Phase = jobs.PhaseCancelled },
	} {
		f := newFixture()
		first := array("wk-000001", 0)
		f.fail(first, "m1", 1, 1)
		f.fail(array("wk-000002", 0), "m1", 1, 1)
		f.expect(t, "failures of two jobs", "m1", InService)
		f.fail(array("wk-000003", 0), "m1", 1, 1)
		f.expect(t, "failures of three jobs", "m1", Suspected)
		explain(f, first)
		f.update()
		f.expect(t, name, "m1", InService)
	}
}

// TestJobThatRunsElsewhereProvesFault checks that a machine is considered faulty when tasks of a job fail on it whose
// other tasks complete, also if they complete only later.
func TestJobThatRunsElsewhereProvesFault(t *testing.T) {
	f := newFixture()
	job := array("wk-000001", 0)
	f.fail(job, "m1", 1, 4)
	f.expect(t, "failures of an array of which no task has completed", "m1", InService)
	job.CompleteTask(f.now, 50)
	f.update()
	f.expect(t, "the completion of a task elsewhere", "m1", Faulty)
}

// TestArrayWithMistakenTasks checks that an array of which some tasks fail on every machine, and others complete, does
// not withdraw one machine after the other.
func TestArrayWithMistakenTasks(t *testing.T) {
	f := newFixture()
	job := array("wk-000001", 20)
	for attempt, machine := range []ident.MachineID{"m1", "m2", "m3", "m4", "m5"} {
		f.fail(job, machine, ident.Attempt(attempt+1), 8)
	}
	for _, machine := range []ident.MachineID{"m1", "m2", "m3", "m4", "m5"} {
		f.expect(t, "failures on five machines", machine, InService)
	}
}

// TestReplicasProveThatServiceRuns checks that a service counts as one that runs while a replica of it runs stably, and
// afterwards: its failures on another machine then prove that machine faulty.
func TestReplicasProveThatServiceRuns(t *testing.T) {
	f := newFixture()
	job := &jobs.Job{ID: "wk-000001", Spec: jobs.Spec{Tasks: 4, Service: true}}
	replica := &jobs.Placement{Job: job, Machine: "m2", RunningSince: f.now}
	job.Placements = map[ident.TaskIndex]*jobs.Placement{0: replica}
	f.now = f.now.Add(jobs.StableRunTime - time.Second)
	f.fail(job, "m1", 1, 3)
	f.expect(t, "failures before any replica has run stably", "m1", InService)
	f.now = f.now.Add(time.Second)
	f.update()
	f.expect(t, "a stable run elsewhere", "m1", Faulty)
	job.Phase, job.Placements = jobs.PhaseCancelled, nil
	f.update()
	f.expect(t, "the cancellation of the service", "m1", Faulty)
}

// TestSuccessAndTimeEndEvidence checks that failures no longer count after a success on the machine, or when they are
// older than failureWindow.
func TestSuccessAndTimeEndEvidence(t *testing.T) {
	for name, pass := range map[string]func(*fixture){
		"a success":                func(f *fixture) { f.tracker.RecordSuccess("m1") },
		"the end of failureWindow": func(f *fixture) { f.now = f.now.Add(failureWindow + 1) },
	} {
		f := newFixture()
		f.fail(array("wk-000001", 1), "m1", 1, 2)
		pass(f)
		f.fail(array("wk-000002", 1), "m1", 1, 2)
		f.expect(t, name, "m1", InService)
		f.fail(array("wk-000003", 1), "m1", 1, 1)
		f.expect(t, "a third failure since "+name, "m1", Faulty)
	}
}

// TestQuarantineIsTried checks that a quarantined machine gets tasks again after Duration, that the next failure there
// quarantines it again, and that a success ends the probation. It guards against a failure in which a quarantine lasted
// for as long as the machine ran anything.
func TestQuarantineIsTried(t *testing.T) {
	f := newFixture()
	running := array("wk-000001", 10)
	f.fail(running, "m1", 1, 8)
	f.expect(t, "eight failures", "m1", Faulty)
	f.now = f.now.Add(Duration - 1)
	f.update()
	f.expect(t, "almost the duration of a quarantine", "m1", Faulty)
	f.now = f.now.Add(1)
	f.update()
	f.expect(t, "the duration of a quarantine", "m1", InService)
	f.fail(running, "m1", 2, 1)
	f.expect(t, "one failure on probation", "m1", Faulty)
	f.now = f.now.Add(Duration)
	f.update()
	f.tracker.RecordSuccess("m1")
	f.fail(running, "m1", 3, 2)
	f.expect(t, "two failures after a success", "m1", InService)
}

// TestSuccessDuringQuarantine checks that a success of a task that was already running on a quarantined machine ends
// the quarantine if the machine is only suspected, and not if it is faulty.
func TestSuccessDuringQuarantine(t *testing.T) {
	f := newFixture()
	f.fail(array("wk-000001", 10), "m1", 1, 3)
	for _, id := range []ident.JobID{"wk-000002", "wk-000003", "wk-000004"} {
		f.fail(array(id, 0), "m2", 1, 1)
	}
	f.expect(t, "failures of three jobs", "m2", Suspected)
	for _, machine := range []ident.MachineID{"m1", "m2"} {
		f.tracker.RecordSuccess(machine)
	}
	f.update()
	f.expect(t, "a success during the quarantine", "m1", Faulty)
	f.expect(t, "a success during the quarantine", "m2", InService)
}

// TestSuspicionIsNoProbation checks that a machine that was only suspected counts failures from zero when its
// quarantine ends, so that a single mistaken job does not quarantine it again.
func TestSuspicionIsNoProbation(t *testing.T) {
	f := newFixture()
	for _, id := range []ident.JobID{"wk-000001", "wk-000002", "wk-000003"} {
		f.fail(array(id, 0), "m1", 1, 1)
	}
	f.expect(t, "failures of three jobs", "m1", Suspected)
	f.now = f.now.Add(Duration)
	f.update()
	f.expect(t, "the duration of a quarantine", "m1", InService)
	f.fail(array("wk-000004", 0), "m1", 1, 1)
	f.expect(t, "a failure of a fourth job", "m1", InService)
}
