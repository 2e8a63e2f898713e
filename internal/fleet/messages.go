package fleet

import (
	"time"

	"badgerbay/internal/ident"
)

// TaskState is the state of a task as its worker reports it. Its values are sent on the wire.
type TaskState string

// States of a task.
const (
	TaskFetching       TaskState = "fetching"  // its image is being fetched
	TaskWaitingForGang TaskState = "gathering" // it waits for the other tasks of its gang
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "flushing" // it saves a checkpoint before it stops
	TaskExited         TaskState = "exited"
)

// ExitCause is the reason why a task exited. Its values, except ExitMachineLost, are sent on the wire.
type ExitCause string

// Causes of an exit.
const (
	ExitDone           ExitCause = "done"
	ExitStopped        ExitCause = "stopped"    // by a command
	ExitError          ExitCause = "error"      // the task failed
	ExitNoCapacity     ExitCause = "no_room"    // start refused: not enough free resources
	ExitBusy           ExitCause = "busy"       // start refused: an attempt of the task is active already
	ExitUnknownTask    ExitCause = "unknown"    // start refused: no such task
	ExitGangPeersLost  ExitCause = "peers"      // other tasks of its gang were lost
	ExitGangIncomplete ExitCause = "incomplete" // other tasks of its gang did not join
	// ExitMachineLost is set by the leader and never sent on the wire: the machine, its session or its lease has ended,
	// or a heartbeat proves that the task does not exist.
	ExitMachineLost ExitCause = "lost"
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	State   TaskState
	Cause   ExitCause // set if the task has exited
	// CheckpointStored means that a stopped task's progress was saved.
	CheckpointStored bool
}

// Heartbeat is a worker's status report on its machine and tasks.
type Heartbeat struct {
	Machine      ident.MachineID
	Addr         string // host and port of the worker
	Type         ident.MachineType
	Zone         ident.Zone
	Spot         bool
	Session      ident.Session
	HeartbeatSeq ident.HeartbeatSeq
	FencingToken ident.Epoch // highest token that the worker has seen
	// InterruptionNoticed means that the cloud has announced that it will reclaim the machine; InterruptionIn is the
	// time left until then.
	InterruptionNoticed bool
	InterruptionIn      time.Duration
	Tasks               []TaskStatus
	UnreadableTasks     int // number of task entries that could not be decoded and were skipped
}

// CommandKind is the action that a command requests from a worker. Its values are sent on the wire.
type CommandKind string

// Kinds of commands.
const (
	CommandStart  CommandKind = "launch"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "reap" // deletes the worker's record of a task's exit
)

// Command is a command to a worker.
type Command struct {
	Kind        CommandKind
	Task        ident.TaskID
	Attempt     ident.Attempt
	GracePeriod time.Duration // of a stop: time to save a checkpoint
}
