package fake

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// Task is one attempt to run a task on a worker.
type Task struct {
	ID        ident.TaskID
	Attempt   ident.Attempt
	State     fleet.TaskState
	Cause     fleet.ExitCause
	FetchedAt clock.Instant // when its image has been fetched
	EndsAt    clock.Instant // when it completes; 0 means never
	resources jobs.Resources
	gang      bool
	// The next three fields are set for tasks of gangs only.
	runTime         time.Duration // how long it runs once the gang runs
	waitingSince    clock.Instant // when it began to wait for the other tasks of the gang
	incompleteSince clock.Instant // when the gang, already running, first lacked a task
	// CheckpointStored is set once the stopped task has saved its checkpoint.
	CheckpointStored bool
	stopRequestedAt  clock.Instant // when the command to stop it arrived
}

// Worker is an in-memory fake of a machine's worker and of the tasks that it runs.
type Worker struct {
	ID             ident.MachineID
	Addr           string // address at which it accepts commands
	Type           *fleet.MachineType
	Zone           ident.Zone
	Spot           bool
	LeaseDuration  time.Duration
	Session        ident.Session
	HeartbeatSeq   ident.HeartbeatSeq
	FencingToken   ident.Epoch
	tasks          []*Task       // in the order of their starts, so that a seed reproduces a scenario
	leaseRenewedAt clock.Instant // when the latest heartbeat that renewed the lease was sent
	// completed holds the tasks that completed on the machine. A later attempt at one of them completes as
	// soon as it runs.
	completed map[ident.TaskID]bool
	// Spec returns the specification of a job and the run time of its tasks; ok is false if the job
	// was not submitted. A task outside a gang never completes if the run time is 0.
	Spec func(ident.JobID) (spec *jobs.Spec, run time.Duration, ok bool)
	// RunTime, if set, returns the run time of a task in place of the one that Spec returns for all tasks
	// of the job. It is not used if Spec returns a run time of 0.
	RunTime func(ident.TaskID) time.Duration
	// Fails, if set, reports whether a task fails at the end of its run time.
	Fails func(ident.TaskID) bool
	// FetchTime is how long fetching an image takes.
	FetchTime time.Duration
	// OnTaskChange is called with started true when a task starts on the machine, and with started false
	// when a started task exits or is killed. A task of a gang counts as started while it waits for the
	// other tasks.
	OnTaskChange func(now clock.Instant, w *Worker, id ident.TaskID, started bool)
	// OnExit, if set, is called when a started task exits. KillAll does not call it.
	OnExit func(id ident.TaskID, t *Task)
}

// NewWorker returns the worker of a machine that has just booted. Its lease starts now.
func NewWorker(id ident.MachineID, t *fleet.MachineType, zone ident.Zone, spot bool, lease time.Duration, now clock.Instant) *Worker {
	return &Worker{ID: id, Addr: "127.0.0.1:1", Type: t, Zone: zone, Spot: spot, LeaseDuration: lease, Session: 1, leaseRenewedAt: now,
		completed: map[ident.TaskID]bool{}}
}

// ExpireLease kills all tasks and begins a new session if the lease has expired. The lease also
// expires on a hung machine, so that its tasks do not continue when the machine resumes.
func (w *Worker) ExpireLease(now clock.Instant) {
	if now.Sub(w.leaseRenewedAt) > w.LeaseDuration {
		w.KillAll(now)
		w.Session++
		w.leaseRenewedAt = now
	}
}

// Advance advances the worker to the time now: it expires the lease, starts the tasks whose images
// have been fetched, and completes the running tasks at the end of their run time. A task of a gang,
// once started, waits until AdvanceGangs finds that all tasks of the gang are present.
func (w *Worker) Advance(now clock.Instant) {
	w.ExpireLease(now)
	for _, t := range w.tasks {
		if t.State == fleet.TaskFetching && !now.Before(t.FetchedAt) {
			t.State = fleet.TaskRunning
			if t.gang {
				t.State, t.waitingSince = fleet.TaskWaitingForGang, now
			}
			w.OnTaskChange(now, w, t.ID, true)
		}
		if t.State == fleet.TaskRunning && (w.completed[t.ID] || t.EndsAt != 0 && !now.Before(t.EndsAt)) {
			w.end(now, t)
		}
	}
}

// end ends a task at the end of its run time: it completes or fails.
func (w *Worker) end(now clock.Instant, t *Task) {
	if !w.completed[t.ID] && w.Fails != nil && w.Fails(t.ID) {
		w.exit(now, t, fleet.ExitError)
		return
	}
	w.completed[t.ID] = true
	w.exit(now, t, fleet.ExitDone)
}

// KillAll kills all tasks and removes them, so that no heartbeat reports them any more.
func (w *Worker) KillAll(now clock.Instant) {
	for _, t := range w.tasks {
		if t.isStarted() {
			w.OnTaskChange(now, w, t.ID, false)
		}
	}
	w.tasks = nil
}

// isStarted reports whether the task has started and has not exited.
func (t *Task) isStarted() bool {
	return t.State == fleet.TaskRunning || t.State == fleet.TaskWaitingForGang || t.State == fleet.TaskCheckpointing
}

// exit ends a task. Heartbeats report the exited task until a forget command removes it.
func (w *Worker) exit(now clock.Instant, t *Task, cause fleet.ExitCause) {
	wasStarted := t.isStarted()
	if wasStarted {
		w.OnTaskChange(now, w, t.ID, false)
	}
	t.State, t.Cause = fleet.TaskExited, cause
	if wasStarted && w.OnExit != nil {
		w.OnExit(t.ID, t)
	}
}

// Heartbeat returns the next heartbeat, with the next sequence number.
func (w *Worker) Heartbeat() *fleet.Heartbeat {
	w.HeartbeatSeq++
	heartbeat := &fleet.Heartbeat{Machine: w.ID, Addr: w.Addr, Type: w.Type.Name, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, HeartbeatSeq: w.HeartbeatSeq, FencingToken: w.FencingToken}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, fleet.TaskStatus{Task: t.ID, Attempt: t.Attempt, State: t.State, Cause: t.Cause, CheckpointStored: t.CheckpointStored})
	}
	return heartbeat
}

// HandleHeartbeatReply renews the lease as of the time at which the heartbeat was sent, and
// executes the commands in the reply. It reports whether the reply was accepted: a reply to
// another session or with a lower fencing token is ignored.
func (w *Worker) HandleHeartbeatReply(now, sent clock.Instant, session ident.Session, token ident.Epoch, commands []fleet.Command) bool {
	if session != w.Session || token < w.FencingToken {
		return false
	}
	w.FencingToken = token
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	w.execute(now, commands)
	return true
}

// HandleCommand executes direct commands, and returns the heartbeat for the response. Commands
// for another session or with a lower fencing token are not executed.
func (w *Worker) HandleCommand(now clock.Instant, token ident.Epoch, session ident.Session, commands []fleet.Command) *fleet.Heartbeat {
	if token >= w.FencingToken && session == w.Session {
		w.FencingToken = token
		w.execute(now, commands)
	}
	return w.Heartbeat()
}

// execute executes commands, except those that do not apply to the state of their task.
func (w *Worker) execute(now clock.Instant, commands []fleet.Command) {
	for _, command := range commands {
		t := w.task(command.Task, command.Attempt)
		switch {
		case command.Kind == fleet.CommandStart && t == nil:
			w.start(now, command)
		case command.Kind == fleet.CommandStop && t != nil && t.State != fleet.TaskExited:
			w.stop(now, command, t)
		case command.Kind == fleet.CommandForget && t != nil && t.State == fleet.TaskExited:
			w.tasks = slices.DeleteFunc(w.tasks, func(other *Task) bool { return other == t })
		}
	}
}

// stop executes a stop command. A running task of a gang that takes checkpoints saves one before
// it exits, if the grace period is long enough; checkpointGang completes the save.
func (w *Worker) stop(now clock.Instant, command fleet.Command, t *Task) {
	spec, _, ok := w.Spec(command.Task.Job)
	savesCheckpoint := ok && spec.Gang && spec.CheckpointIntervalSeconds > 0 && command.GracePeriod >= clock.Seconds(spec.CheckpointSeconds)
	switch {
	case savesCheckpoint && t.State == fleet.TaskRunning:
		t.State, t.stopRequestedAt = fleet.TaskCheckpointing, now
	case savesCheckpoint && t.State == fleet.TaskCheckpointing: // the save is in progress
	default:
		w.exit(now, t, fleet.ExitStopped)
	}
}

// start executes a start command. A start that is refused leaves an exited task with the cause.
func (w *Worker) start(now clock.Instant, command fleet.Command) {
	t := &Task{ID: command.Task, Attempt: command.Attempt, State: fleet.TaskFetching, FetchedAt: now.Add(w.FetchTime)}
	spec, run, ok := w.Spec(command.Task.Job)
	if ok {
		t.resources, t.gang = spec.TaskResources(), spec.Gang
	}
	if w.RunTime != nil && run > 0 {
		run = w.RunTime(command.Task)
	}
	refuse := func(c fleet.ExitCause) { t.State, t.Cause = fleet.TaskExited, c }
	switch {
	case !ok:
		refuse(fleet.ExitUnknownTask)
	case w.hasActiveAttempt(command.Task):
		refuse(fleet.ExitBusy)
	case !w.FreeResources().Fits(t.resources):
		refuse(fleet.ExitNoCapacity)
	case spec.Gang:
		t.runTime = run
	case run > 0:
		t.EndsAt = t.FetchedAt.Add(run)
	}
	w.tasks = append(w.tasks, t)
}

// task returns the given attempt of a task, or nil if the worker does not have it.
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

// FreeResources returns the capacity of the machine less the resources of its tasks that have
// not exited.
func (w *Worker) FreeResources() jobs.Resources {
	free := w.Type.Capacity
	for _, t := range w.tasks {
		if t.State != fleet.TaskExited {
			free = free.Sub(t.resources)
		}
	}
	return free
}
