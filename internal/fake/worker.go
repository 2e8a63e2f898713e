package fake

import (
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

// Task is a task on a worker.
type Task struct {
	Attempt unit.Attempt
	State   fleet.TaskState
	Cause   fleet.ExitCause
	Ready   unit.Instant // its image is there
	Ends    unit.Instant // it completes; 0: never
	// of a gang: how long it runs, since when it waits for the others, and since
	// when it has lost one of them
	run            time.Duration
	waiting, alone unit.Instant
	// Stored tells that it was stopped and has saved; told is when it was told to.
	Stored bool
	told   unit.Instant
}

// Worker is a stand-in for a worker.
type Worker struct {
	ID       unit.MachineID
	Addr     string // where it takes commands
	Type     *fleet.MachineType
	Zone     unit.Zone
	Spot     bool
	Lease    time.Duration
	Session  unit.Session
	Tally    unit.HeartbeatSeq
	Token    unit.Epoch
	Tasks    map[unit.TaskID]map[unit.Attempt]*Task
	lastSent unit.Instant // when the last answered report was sent
	done     map[unit.TaskID]bool
	// Spec tells what a job is; ok is false for one not submitted.
	Spec func(unit.JobID) (spec *checkpoint.Spec, run time.Duration, ok bool)
	// Run, if set, is how long a task runs; else all of a job run as Spec says.
	Run func(unit.TaskID) time.Duration
	// Fetch is how long an image takes.
	Fetch time.Duration
	// Seen is told of each task that comes to be on the machine, or leaves it.
	Seen func(now unit.Instant, w *Worker, id unit.TaskID, on bool)
	// Exit, if set, is told of each exit of a task that was on the machine.
	Exit func(id unit.TaskID, t *Task)
}

// NewWorker returns a worker that has just come up.
func NewWorker(id unit.MachineID, t *fleet.MachineType, zone unit.Zone, spot bool, lease time.Duration, now unit.Instant) *Worker {
	return &Worker{ID: id, Addr: "127.0.0.1:1", Type: t, Zone: zone, Spot: spot, Lease: lease, Session: 1, lastSent: now,
		Tasks: map[unit.TaskID]map[unit.Attempt]*Task{}, done: map[unit.TaskID]bool{}}
}

// States of tasks, as a worker writes them.
const (
	fetching fleet.TaskState = "fetching"
	running  fleet.TaskState = "running"
	exited   fleet.TaskState = "exited"
	// gathering: a task of a gang that waits for the others
	gathering fleet.TaskState = "gathering"
	flushing  fleet.TaskState = "flushing"
)

// Expire ends the session if its lease has run out. It holds for a machine that
// hangs as well: its tasks never go on after that.
func (w *Worker) Expire(now unit.Instant) {
	if now.Sub(w.lastSent) > w.Lease {
		w.Clear(now)
		w.Session++
		w.lastSent = now
	}
}

// Advance lets time pass on the machine.
func (w *Worker) Advance(now unit.Instant) {
	w.Expire(now)
	for id, attempts := range w.Tasks {
		for _, t := range attempts {
			if t.State == fetching && !now.Before(t.Ready) {
				t.State = running
				if spec, _, ok := w.Spec(id.Job); ok && spec.Gang {
					t.State, t.waiting = gathering, now
				}
				w.Seen(now, w, id, true)
			}
			if t.State == running && (w.done[id] || t.Ends != 0 && !now.Before(t.Ends)) {
				w.done[id] = true
				w.exit(now, id, t, fleet.ExitDone)
			}
		}
	}
}

// Clear kills and forgets all tasks.
func (w *Worker) Clear(now unit.Instant) {
	for id, attempts := range w.Tasks {
		for _, t := range attempts {
			if t.on() {
				w.Seen(now, w, id, false)
			}
		}
	}
	w.Tasks = map[unit.TaskID]map[unit.Attempt]*Task{}
}

// on tells whether the task is on its machine.
func (t *Task) on() bool {
	return t.State == running || t.State == gathering || t.State == flushing
}

func (w *Worker) exit(now unit.Instant, id unit.TaskID, t *Task, cause fleet.ExitCause) {
	was := t.on()
	if was {
		w.Seen(now, w, id, false)
	}
	t.State, t.Cause = exited, cause
	if was && w.Exit != nil {
		w.Exit(id, t)
	}
}

// Report makes the next report.
func (w *Worker) Report() *fleet.Heartbeat {
	w.Tally++
	r := &fleet.Heartbeat{Machine: w.ID, Addr: w.Addr, Type: w.Type.Name, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, HeartbeatSeq: w.Tally, FencingToken: w.Token}
	for id, attempts := range w.Tasks {
		for a, t := range attempts {
			r.Tasks = append(r.Tasks, fleet.TaskStatus{Task: id, Attempt: a, State: t.State, Cause: t.Cause, CheckpointStored: t.Stored})
		}
	}
	return r
}

// Answered takes in the answer to a report that was sent at sent in the session.
func (w *Worker) Answered(now, sent unit.Instant, session unit.Session, token unit.Epoch, orders []fleet.Command) bool {
	if session != w.Session || token < w.Token {
		return false
	}
	w.Token = token
	w.lastSent = max(w.lastSent, sent)
	w.execute(now, orders)
	return true
}

// Do takes a direct command, and returns the report that answers it.
func (w *Worker) Do(now unit.Instant, token unit.Epoch, session unit.Session, orders []fleet.Command) *fleet.Heartbeat {
	if token >= w.Token && session == w.Session {
		w.Token = token
		w.execute(now, orders)
	}
	return w.Report()
}

func (w *Worker) execute(now unit.Instant, orders []fleet.Command) {
	for _, o := range orders {
		t := w.Tasks[o.Task][o.Attempt]
		switch {
		case o.Kind == fleet.CommandStart && t == nil:
			w.launch(now, o)
		case o.Kind == fleet.CommandStop && t != nil && t.State != exited:
			w.halt(now, o, t)
		case o.Kind == fleet.CommandForget && t != nil && t.State == exited:
			delete(w.Tasks[o.Task], o.Attempt)
		}
	}
}

// halt ends a task. One of a gang that runs saves first, if it has the time; see
// gather.
func (w *Worker) halt(now unit.Instant, o fleet.Command, t *Task) {
	spec, _, ok := w.Spec(o.Task.Job)
	saves := ok && spec.Gang && spec.CheckpointIntervalSeconds > 0 && o.GracePeriod >= unit.Seconds(spec.CheckpointSeconds)
	switch {
	case saves && t.State == running:
		t.State, t.told = flushing, now
	case saves && t.State == flushing:
	default:
		w.exit(now, o.Task, t, fleet.ExitStopped)
	}
}

func (w *Worker) launch(now unit.Instant, o fleet.Command) {
	t := &Task{Attempt: o.Attempt, State: fetching, Ready: now.Add(w.Fetch)}
	spec, run, ok := w.Spec(o.Task.Job)
	if w.Run != nil && run > 0 {
		run = w.Run(o.Task)
	}
	refuse := func(c fleet.ExitCause) { t.State, t.Cause = exited, c }
	switch {
	case !ok:
		refuse(fleet.ExitUnknownTask)
	case w.active(o.Task):
		refuse(fleet.ExitBusy)
	case !w.Free().Fits(spec.TaskResources()):
		refuse(fleet.ExitNoCapacity)
	case spec.Gang:
		t.run = run
	case run > 0:
		t.Ends = t.Ready.Add(run)
	}
	if w.Tasks[o.Task] == nil {
		w.Tasks[o.Task] = map[unit.Attempt]*Task{}
	}
	w.Tasks[o.Task][o.Attempt] = t
}

func (w *Worker) active(id unit.TaskID) bool {
	for _, t := range w.Tasks[id] {
		if t.State != exited {
			return true
		}
	}
	return false
}

// Free is what no task takes of the machine.
func (w *Worker) Free() checkpoint.Resources {
	free := w.Type.Capacity
	for id, attempts := range w.Tasks {
		for _, t := range attempts {
			if spec, _, ok := w.Spec(id.Job); ok && t.State != exited {
				free = free.Sub(spec.TaskResources())
			}
		}
	}
	return free
}
