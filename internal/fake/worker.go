package fake

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// Task is an attempt to run a task on a worker.
type Task struct {
	ID        ident.TaskID
	Attempt   ident.Attempt
	State     fleet.TaskState
	Cause     fleet.ExitCause
	FetchedAt clock.Instant // its image is there
	EndsAt    clock.Instant // it completes; 0: never
	need      jobs.Resources
	gang      bool
	// of a gang: how long it runs, since when it waits for the others, and since
	// when it has lost one of them
	runTime                       time.Duration
	waitingSince, incompleteSince clock.Instant
	// Stored tells that it was stopped and has saved; stopRequestedAt is when it was told to.
	Stored          bool
	stopRequestedAt clock.Instant
}

// Worker is a stand-in for a worker.
type Worker struct {
	ID             ident.MachineID
	Addr           string // where it takes commands
	Type           *fleet.MachineType
	Zone           ident.Zone
	Spot           bool
	LeaseDuration  time.Duration
	Session        ident.Session
	HeartbeatSeq   ident.HeartbeatSeq
	FencingToken   ident.Epoch
	tasks          []*Task       // in the order of their starts, so that scenarios repeat by seed
	leaseRenewedAt clock.Instant // when the last answered heartbeat was sent
	completed      map[ident.TaskID]bool
	// Spec tells what a job is; ok is false for one not submitted.
	Spec func(ident.JobID) (spec *jobs.Spec, run time.Duration, ok bool)
	// RunTime, if set, is how long a task runs; else all of a job run as Spec says.
	RunTime func(ident.TaskID) time.Duration
	// FetchTime is how long an image takes.
	FetchTime time.Duration
	// OnTask is told of each task that comes to be on the machine, or leaves it.
	OnTask func(now clock.Instant, w *Worker, id ident.TaskID, on bool)
	// OnExit, if set, is told of each exit of a task that was on the machine.
	OnExit func(id ident.TaskID, t *Task)
}

// NewWorker returns a worker that has just come up.
func NewWorker(id ident.MachineID, t *fleet.MachineType, zone ident.Zone, spot bool, lease time.Duration, now clock.Instant) *Worker {
	return &Worker{ID: id, Addr: "127.0.0.1:1", Type: t, Zone: zone, Spot: spot, LeaseDuration: lease, Session: 1, leaseRenewedAt: now,
		completed: map[ident.TaskID]bool{}}
}

// ExpireLease ends the session if its lease has run out. It holds for a machine that
// hangs as well: its tasks never go on after that.
func (w *Worker) ExpireLease(now clock.Instant) {
	if now.Sub(w.leaseRenewedAt) > w.LeaseDuration {
		w.KillAll(now)
		w.Session++
		w.leaseRenewedAt = now
	}
}

// Advance lets time pass on the machine.
func (w *Worker) Advance(now clock.Instant) {
	w.ExpireLease(now)
	for _, t := range w.tasks {
		if t.State == fleet.TaskFetching && !now.Before(t.FetchedAt) {
			t.State = fleet.TaskRunning
			if t.gang {
				t.State, t.waitingSince = fleet.TaskWaitingForGang, now
			}
			w.OnTask(now, w, t.ID, true)
		}
		if t.State == fleet.TaskRunning && (w.completed[t.ID] || t.EndsAt != 0 && !now.Before(t.EndsAt)) {
			w.completed[t.ID] = true
			w.exit(now, t, fleet.ExitDone)
		}
	}
}

// KillAll kills and forgets all tasks.
func (w *Worker) KillAll(now clock.Instant) {
	for _, t := range w.tasks {
		if t.isStarted() {
			w.OnTask(now, w, t.ID, false)
		}
	}
	w.tasks = nil
}

// isStarted tells whether the task is on its machine.
func (t *Task) isStarted() bool {
	return t.State == fleet.TaskRunning || t.State == fleet.TaskWaitingForGang || t.State == fleet.TaskCheckpointing
}

func (w *Worker) exit(now clock.Instant, t *Task, cause fleet.ExitCause) {
	was := t.isStarted()
	if was {
		w.OnTask(now, w, t.ID, false)
	}
	t.State, t.Cause = fleet.TaskExited, cause
	if was && w.OnExit != nil {
		w.OnExit(t.ID, t)
	}
}

// Heartbeat makes the next heartbeat.
func (w *Worker) Heartbeat() *fleet.Heartbeat {
	w.HeartbeatSeq++
	r := &fleet.Heartbeat{Machine: w.ID, Addr: w.Addr, Type: w.Type.Name, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, HeartbeatSeq: w.HeartbeatSeq, FencingToken: w.FencingToken}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, fleet.TaskStatus{Task: t.ID, Attempt: t.Attempt, State: t.State, Cause: t.Cause, CheckpointStored: t.Stored})
	}
	return r
}

// HandleHeartbeatReply handles the reply to a heartbeat that was sent at sent in the session.
func (w *Worker) HandleHeartbeatReply(now, sent clock.Instant, session ident.Session, token ident.Epoch, orders []fleet.Command) bool {
	if session != w.Session || token < w.FencingToken {
		return false
	}
	w.FencingToken = token
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	w.execute(now, orders)
	return true
}

// HandleCommand handles a direct command, and returns the heartbeat with which the worker responds.
func (w *Worker) HandleCommand(now clock.Instant, token ident.Epoch, session ident.Session, orders []fleet.Command) *fleet.Heartbeat {
	if token >= w.FencingToken && session == w.Session {
		w.FencingToken = token
		w.execute(now, orders)
	}
	return w.Heartbeat()
}

func (w *Worker) execute(now clock.Instant, orders []fleet.Command) {
	for _, o := range orders {
		t := w.task(o.Task, o.Attempt)
		switch {
		case o.Kind == fleet.CommandStart && t == nil:
			w.start(now, o)
		case o.Kind == fleet.CommandStop && t != nil && t.State != fleet.TaskExited:
			w.stop(now, o, t)
		case o.Kind == fleet.CommandForget && t != nil && t.State == fleet.TaskExited:
			w.tasks = slices.DeleteFunc(w.tasks, func(other *Task) bool { return other == t })
		}
	}
}

// stop ends a task. One of a gang that runs saves first, if it has the time; see
// gather.
func (w *Worker) stop(now clock.Instant, o fleet.Command, t *Task) {
	spec, _, ok := w.Spec(o.Task.Job)
	saves := ok && spec.Gang && spec.CheckpointIntervalSeconds > 0 && o.GracePeriod >= clock.Seconds(spec.CheckpointSeconds)
	switch {
	case saves && t.State == fleet.TaskRunning:
		t.State, t.stopRequestedAt = fleet.TaskCheckpointing, now
	case saves && t.State == fleet.TaskCheckpointing:
	default:
		w.exit(now, t, fleet.ExitStopped)
	}
}

func (w *Worker) start(now clock.Instant, o fleet.Command) {
	t := &Task{ID: o.Task, Attempt: o.Attempt, State: fleet.TaskFetching, FetchedAt: now.Add(w.FetchTime)}
	spec, run, ok := w.Spec(o.Task.Job)
	if ok {
		t.need, t.gang = spec.TaskResources(), spec.Gang
	}
	if w.RunTime != nil && run > 0 {
		run = w.RunTime(o.Task)
	}
	refuse := func(c fleet.ExitCause) { t.State, t.Cause = fleet.TaskExited, c }
	switch {
	case !ok:
		refuse(fleet.ExitUnknownTask)
	case w.hasActiveAttempt(o.Task):
		refuse(fleet.ExitBusy)
	case !w.FreeResources().Fits(t.need):
		refuse(fleet.ExitNoCapacity)
	case spec.Gang:
		t.runTime = run
	case run > 0:
		t.EndsAt = t.FetchedAt.Add(run)
	}
	w.tasks = append(w.tasks, t)
}

// task returns an attempt of a task, or nil if it is not known here.
func (w *Worker) task(id ident.TaskID, attempt ident.Attempt) *Task {
	for _, t := range w.tasks {
		if t.ID == id && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

func (w *Worker) hasActiveAttempt(id ident.TaskID) bool {
	return slices.ContainsFunc(w.tasks, func(t *Task) bool { return t.ID == id && t.State != fleet.TaskExited })
}

// FreeResources is what no task takes of the machine.
func (w *Worker) FreeResources() jobs.Resources {
	free := w.Type.Capacity
	for _, t := range w.tasks {
		if t.State != fleet.TaskExited {
			free = free.Sub(t.need)
		}
	}
	return free
}
