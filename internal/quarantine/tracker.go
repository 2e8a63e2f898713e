// Package quarantine decides which machines get no tasks because tasks fail on them. A task may
// fail because its machine is faulty or because its job was submitted with a mistake, and the
// failure itself does not show which. The package therefore weighs the failures on a machine by
// what is known of their jobs: whether their tasks succeed elsewhere, and on how many machines
// they fail. It is a pure state machine. The leader reports the outcomes of tasks, and applies the
// changes of state to its view of the machines.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// State tells whether a machine gets tasks.
type State int

const (
	// InService means that the machine gets tasks.
	InService State = iota
	// Suspected means that tasks of several jobs failed on the machine, but not enough of these
	// jobs are known to run elsewhere. The machine gets no tasks, and is kept.
	Suspected
	// Faulty means that jobs that run elsewhere fail on the machine. It gets no tasks, and need
	// not be kept.
	Faulty
)

func (s State) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Faulty:
		return "faulty"
	default:
		return "in service"
	}
}

const (
	// minEvidence is the number of failures attributed to a machine at which it is quarantined.
	minEvidence = 3
	// maxMachinesAtFault is on how many machines a job that runs elsewhere may fail before its
	// failures are no longer all attributed to the machines: some of its tasks may be mistaken.
	maxMachinesAtFault = 3
	// failureWindow is how long a failure counts.
	failureWindow = 10 * time.Minute
	// Duration is how long a machine is quarantined before it is tried again. Work that fits
	// nowhere else may wait for it for 90 s.
	Duration = time.Minute
	// minProbationEvidence takes the place of minEvidence on a machine that is being tried again.
	minProbationEvidence = 1
)

// Change is a change of a machine's state.
type Change struct {
	Machine ident.MachineID
	State   State
	// Evidence is the number of failures that are attributed to the machine.
	Evidence int
	// Jobs are the jobs that failed on the machine, sorted.
	Jobs []ident.JobID
}

// Tracker holds the failures of tasks by machine and by job.
type Tracker struct {
	machines map[ident.MachineID]*machineHistory
	jobs     map[*jobs.Job]*jobHistory
}

// machineHistory holds the failures on a machine since a task last succeeded there, or since the
// end of its last quarantine if that is later.
type machineHistory struct {
	state         State
	quarantinedAt clock.Instant
	failures      map[*jobs.Job]*failures
	// releasedAt is when a faulty machine's last quarantine ended by its duration; 0: never. The
	// machine is on probation from then on, until a task succeeds or failureWindow has passed.
	releasedAt clock.Instant
}

// onProbation reports whether the machine is being tried again.
func (m *machineHistory) onProbation(now clock.Instant) bool {
	return m.releasedAt != 0 && now.Sub(m.releasedAt) <= failureWindow
}

// failures counts the failures of one job on one machine.
type failures struct {
	tasks int
	// attempts counts the rounds in which tasks were started that then failed. The tasks of an
	// array that are started in the same round tend to fail together.
	attempts int
	lastAt   clock.Instant
}

// jobHistory holds what is known of a job whose tasks failed.
type jobHistory struct {
	lastFailure map[ident.MachineID]jobFailure // by machine
	runs        bool                           // tasks of the job succeeded, so the job as such is not mistaken
}

// jobFailure is the last failure of a job on a machine.
type jobFailure struct {
	attempt ident.Attempt
	at      clock.Instant
}

// NewTracker returns a tracker that knows of no failures.
func NewTracker() *Tracker {
	return &Tracker{machines: map[ident.MachineID]*machineHistory{}, jobs: map[*jobs.Job]*jobHistory{}}
}

// RecordFailure records that the task of a placement failed. It reports whether this is the first
// failure of the job on the machine in the placement's attempt.
func (t *Tracker) RecordFailure(now clock.Instant, p *jobs.Placement) (firstOfAttempt bool) {
	job := t.historyOf(p.Job)
	previous, failedBefore := job.lastFailure[p.Machine]
	firstOfAttempt = !failedBefore || previous.attempt != p.Attempt
	job.lastFailure[p.Machine] = jobFailure{attempt: p.Attempt, at: now}
	job.runs = job.runs || p.RanStably(now)
	t.failuresOn(p.Machine, p.Job).add(now, firstOfAttempt)
	return firstOfAttempt
}

func (t *Tracker) historyOf(job *jobs.Job) *jobHistory {
	history := t.jobs[job]
	if history == nil {
		history = &jobHistory{lastFailure: map[ident.MachineID]jobFailure{}}
		t.jobs[job] = history
	}
	return history
}

// failuresOn returns the counts of the failures of a job on a machine.
func (t *Tracker) failuresOn(id ident.MachineID, job *jobs.Job) *failures {
	machine := t.machines[id]
	if machine == nil {
		machine = &machineHistory{failures: map[*jobs.Job]*failures{}}
		t.machines[id] = machine
	}
	f := machine.failures[job]
	if f == nil {
		f = &failures{}
		machine.failures[job] = f
	}
	return f
}

func (f *failures) add(now clock.Instant, firstOfAttempt bool) {
	f.tasks++
	if firstOfAttempt || f.attempts == 0 {
		f.attempts++
	}
	f.lastAt = now
}

// RecordSuccess records that a task succeeded on a machine, so that the earlier failures there no
// longer count. It has no effect on a faulty machine, whose last tasks may succeed all the same.
func (t *Tracker) RecordSuccess(id ident.MachineID) {
	if machine := t.machines[id]; machine != nil && machine.state != Faulty {
		clear(machine.failures)
		machine.releasedAt = 0
	}
}

// Update returns the changes of state since the last call, sorted by machine. It forgets machines
// that no longer exist, and failures older than failureWindow.
func (t *Tracker) Update(now clock.Instant, exists func(ident.MachineID) bool) []Change {
	for job, history := range t.jobs {
		history.runs = history.runs || runs(now, job)
	}
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(t.machines)) {
		if change, changed := t.updateMachine(now, id); changed {
			changes = append(changes, change)
		}
		if machine := t.machines[id]; !exists(id) || machine.isUnremarkable(now) {
			delete(t.machines, id)
		}
	}
	t.forgetJobs(now)
	return changes
}

// updateMachine sets the state of a machine according to the failures attributed to it and the time
// it has been quarantined, and reports whether the state has changed.
func (t *Tracker) updateMachine(now clock.Instant, id ident.MachineID) (Change, bool) {
	machine := t.machines[id]
	maps.DeleteFunc(machine.failures, func(_ *jobs.Job, f *failures) bool { return isOld(now, f.lastAt) })
	evidence, proven := t.weigh(machine)
	state := stateFor(evidence, proven, machine.requiredEvidence(now))
	expired := machine.state != InService && now.Sub(machine.quarantinedAt) >= Duration
	if expired {
		state = InService
	}
	if state == machine.state {
		return Change{}, false
	}
	change := Change{Machine: id, State: state, Evidence: evidence, Jobs: machine.failedJobs()}
	if expired {
		machine.release(now)
	} else {
		machine.setState(now, state)
	}
	return change, true
}

// release ends the quarantine of a machine without regard to the evidence, and puts it on probation
// if it was faulty.
func (m *machineHistory) release(now clock.Instant) {
	if m.state == Faulty {
		m.releasedAt = now
	}
	m.state = InService
	clear(m.failures)
}

func (m *machineHistory) setState(now clock.Instant, state State) {
	if m.state == InService {
		m.quarantinedAt = now
	}
	m.state = state
}

// requiredEvidence returns how many failures quarantine the machine.
func (m *machineHistory) requiredEvidence(now clock.Instant) int {
	if m.onProbation(now) {
		return minProbationEvidence
	}
	return minEvidence
}

// isUnremarkable reports whether nothing needs to be remembered of the machine.
func (m *machineHistory) isUnremarkable(now clock.Instant) bool {
	return m.state == InService && len(m.failures) == 0 && !m.onProbation(now)
}

func (m *machineHistory) failedJobs() []ident.JobID {
	ids := make([]ident.JobID, 0, len(m.failures))
	for job := range m.failures {
		ids = append(ids, job.ID)
	}
	slices.Sort(ids)
	return ids
}

// stateFor returns the state of a machine to which evidence failures are attributed, of which
// proven are those of jobs that run elsewhere, if required failures quarantine it.
func stateFor(evidence, proven, required int) State {
	switch {
	case proven >= required:
		return Faulty
	case evidence >= required:
		return Suspected
	default:
		return InService
	}
}

// weigh returns the number of failures that are attributed to a machine, and how many of them are
// those of jobs that run elsewhere.
func (t *Tracker) weigh(machine *machineHistory) (evidence, proven int) {
	for job, f := range machine.failures {
		history := t.jobs[job]
		switch {
		case history.runs && len(history.lastFailure) <= maxMachinesAtFault:
			proven += f.tasks
		case history.runs:
			proven += f.attempts
		case !history.likelyMistaken() && !job.Phase.Final():
			// Either the job or the machine may be at fault. The job counts once, however many
			// of its tasks failed together.
			evidence++
		}
	}
	return evidence + proven, proven
}

// LikelyMistaken reports whether a job has failed on more than one machine, and no task of it is
// known to succeed.
func (t *Tracker) LikelyMistaken(job *jobs.Job) bool {
	history := t.jobs[job]
	return history != nil && history.likelyMistaken()
}

func (h *jobHistory) likelyMistaken() bool { return !h.runs && len(h.lastFailure) > 1 }

// runs reports whether a task of the job has completed, or a replica of it runs stably.
func runs(now clock.Instant, job *jobs.Job) bool {
	if len(job.Done) > 0 || !job.Spec.Service {
		return len(job.Done) > 0
	}
	for _, p := range job.Placements {
		if p.RanStably(now) {
			return true
		}
	}
	return false
}

// forgetJobs deletes the failures of jobs that are older than failureWindow.
func (t *Tracker) forgetJobs(now clock.Instant) {
	for job, history := range t.jobs {
		maps.DeleteFunc(history.lastFailure, func(_ ident.MachineID, last jobFailure) bool { return isOld(now, last.at) })
		if len(history.lastFailure) == 0 {
			delete(t.jobs, job)
		}
	}
}

func isOld(now, failedAt clock.Instant) bool { return now.Sub(failedAt) > failureWindow }
