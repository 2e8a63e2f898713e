package fleet

import (
	"time"

	"badgerbay/internal/ident"
)

// TaskState is the state of a task as its worker reports it. The values are those of the
// wire.
type TaskState string

// States of a task.
const (
	TaskFetching  TaskState = "fetching"  // its image is being fetched
	TaskGathering TaskState = "gathering" // waits for the other tasks of its gang
	TaskRunning   TaskState = "running"
	TaskFlushing  TaskState = "flushing" // saves a checkpoint, then stops
	TaskExited    TaskState = "exited"
)

// ExitCause tells why a task exited. The values are those of the wire.
type ExitCause string

// Causes of an exit.
const (
	ExitDone           ExitCause = "done"
	ExitStopped        ExitCause = "stopped"    // by a command
	ExitError          ExitCause = "error"      // the task failed
	ExitNoCapacity     ExitCause = "no_room"    // start refused: not enough free resources
	ExitBusy           ExitCause = "busy"       // start refused
	ExitUnknownTask    ExitCause = "unknown"    // start refused: no such task
	ExitGangPeersLost  ExitCause = "peers"      // other tasks of its gang are gone
	ExitGangIncomplete ExitCause = "incomplete" // other tasks of its gang did not come
	// ExitMachineLost is never on the wire: the machine or its lease has ended.
	ExitMachineLost ExitCause = "lost"
)

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	State   TaskState
	Cause   ExitCause // if it has exited
	// CheckpointStored tells that a stopped task's progress was saved.
	CheckpointStored bool
}

// Heartbeat is what a worker reports of its machine.
type Heartbeat struct {
	Machine      ident.MachineID
	Addr         string // of the worker, host and port
	Type         ident.MachineType
	Zone         ident.Zone
	Spot         bool
	Session      ident.Session
	HeartbeatSeq ident.HeartbeatSeq
	FencingToken ident.Epoch // the highest that the worker has seen
	// InterruptionNoticed tells that the cloud has given notice that it takes the machine
	// back; InterruptionIn is the time left until then.
	InterruptionNoticed bool
	InterruptionIn      time.Duration
	Tasks               []TaskStatus
	UnreadableTasks     int // entries that could not be read, and were left out
}

// CommandKind is what a command asks of a worker. The values are those of the wire.
type CommandKind string

// Kinds of commands.
const (
	CommandStart  CommandKind = "launch"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "reap" // forget the exit of a task
)

// Command is a command to a worker.
type Command struct {
	Kind        CommandKind
	Task        ident.TaskID
	Attempt     ident.Attempt
	GracePeriod time.Duration // of a stop: for a checkpoint
}
