package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

// MaxMessageBytes bounds the bodies that workers and we exchange.
const MaxMessageBytes = 64 << 10

const maxNameBytes = 128

// TaskState of a task as its worker reports it.
type TaskState string

// Wire states and causes.
const (
	TaskFetching TaskState = "fetching"
	TaskRunning  TaskState = "running"
	TaskFlushing TaskState = "flushing"
	// TaskGathering: a task of a gang that waits for the others.
	TaskGathering TaskState = "gathering"
	TaskExited    TaskState = "exited"
)

// ExitCause of an exit.
type ExitCause string

// Causes.
const (
	ExitDone        ExitCause = "done"
	ExitStopped     ExitCause = "stopped"
	ExitError       ExitCause = "error"
	ExitNoCapacity  ExitCause = "no_room"
	ExitBusy        ExitCause = "busy"
	ExitUnknownTask ExitCause = "unknown"
	// ExitGangPeersLost and CauseIncomplete end the task of a gang whose others are
	// gone, or did not come.
	ExitGangPeersLost  ExitCause = "peers"
	ExitGangIncomplete ExitCause = "incomplete"
	ExitMachineLost    ExitCause = "lost" // ours: the machine or its lease has ended
)

type wireTask struct {
	Task    string        `msgpack:"entry"`
	Attempt ident.Attempt `msgpack:"try"`
	State   TaskState     `msgpack:"standing"`
	Cause   ExitCause     `msgpack:"cause"`
	Stored  bool          `msgpack:"stored"`
}

type wireHeartbeat struct {
	Machine             string                     `msgpack:"shamba"`
	Addr                string                     `msgpack:"addr"`
	MachineType         string                     `msgpack:"frame"`
	Zone                string                     `msgpack:"hall"`
	Spot                bool                       `msgpack:"loaner"`
	Session             ident.Session              `msgpack:"shift"`
	HeartbeatSeq        ident.HeartbeatSeq         `msgpack:"tally"`
	FencingToken        ident.Epoch                `msgpack:"seal"`
	InterruptionSeconds *float64                   `msgpack:"recallS"`
	Tasks               wire.BoundedList[wireTask] `msgpack:"entries"`
}

type wireCommand struct {
	Kind         string        `msgpack:"verb"`
	Task         string        `msgpack:"entry"`
	Attempt      ident.Attempt `msgpack:"try"`
	GraceSeconds *float64      `msgpack:"leaveS,omitempty"`
}

type wireHeartbeatAnswer struct {
	FencingToken ident.Epoch   `msgpack:"seal"`
	Commands     []wireCommand `msgpack:"orders"`
}

type wireDirectCommands struct {
	FencingToken ident.Epoch   `msgpack:"seal"`
	Session      ident.Session `msgpack:"shift"`
	Commands     []wireCommand `msgpack:"orders"`
}

type wireRedirect struct {
	Leader string `msgpack:"clerk,omitempty"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task             ident.TaskID
	Attempt          ident.Attempt
	State            TaskState
	Cause            ExitCause
	CheckpointStored bool
}

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	Machine             ident.MachineID
	Addr                string
	Type                ident.MachineType
	Zone                ident.Zone
	Spot                bool
	Session             ident.Session
	HeartbeatSeq        ident.HeartbeatSeq
	FencingToken        ident.Epoch
	InterruptionIn      time.Duration // until the cloud takes the machine; 0: no notice
	InterruptionNoticed bool
	Tasks               []TaskStatus
	UnreadableTasks     int // entries that could not be read, and were left out
}

// DecodeHeartbeat reads a report. Entries that make no sense are left out and
// counted: one strange task must not take the machine's others with it.
func DecodeHeartbeat(data []byte) (*Heartbeat, error) {
	var w wireHeartbeat
	if err := msgpack.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decoding report: %w", err)
	}
	if w.Machine == "" || len(w.Machine) > maxNameBytes || w.Session == 0 {
		return nil, errors.New("report without machine or session")
	}
	if len(w.MachineType) > maxNameBytes || len(w.Zone) > maxNameBytes {
		return nil, errors.New("report with overlong names")
	}
	if _, err := netip.ParseAddrPort(w.Addr); err != nil {
		return nil, fmt.Errorf("report with a bad address: %w", err)
	}
	r := &Heartbeat{Machine: ident.MachineID(w.Machine), Addr: w.Addr, Type: ident.MachineType(w.MachineType),
		Zone: ident.Zone(w.Zone), Spot: w.Spot, Session: w.Session, HeartbeatSeq: w.HeartbeatSeq, FencingToken: w.FencingToken}
	if w.InterruptionSeconds != nil {
		r.InterruptionNoticed, r.InterruptionIn = true, clock.Seconds(*w.InterruptionSeconds)
	}
	r.addTasks(w.Tasks)
	return r, nil
}

func (r *Heartbeat) addTasks(entries []wireTask) {
	for _, e := range entries {
		id, err := ident.ParseTaskID(e.Task)
		if err != nil || !isKnownState(e.State) {
			r.UnreadableTasks++
			continue
		}
		r.Tasks = append(r.Tasks, TaskStatus{Task: id, Attempt: e.Attempt, State: e.State, Cause: e.Cause, CheckpointStored: e.Stored})
	}
}

func isKnownState(s TaskState) bool {
	switch s {
	case TaskFetching, TaskGathering, TaskRunning, TaskFlushing, TaskExited:
		return true
	}
	return false
}

// CommandKind of an order.
type CommandKind string

// Verbs.
const (
	CommandStart  CommandKind = "launch"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "reap"
)

// Command is a command to a worker.
type Command struct {
	Kind        CommandKind
	Task        ident.TaskID
	Attempt     ident.Attempt
	GracePeriod time.Duration // of a halt
}

func wireCommands(orders []Command) []wireCommand {
	out := make([]wireCommand, 0, len(orders))
	for _, o := range orders {
		w := wireCommand{Kind: string(o.Kind), Task: o.Task.String(), Attempt: o.Attempt}
		if o.Kind == CommandStop {
			leave := o.GracePeriod.Seconds()
			w.GraceSeconds = &leave
		}
		out = append(out, w)
	}
	return out
}

// EncodeHeartbeatAnswer makes the body of a 200 to a report.
func EncodeHeartbeatAnswer(token ident.Epoch, orders []Command) ([]byte, error) {
	return msgpack.Marshal(wireHeartbeatAnswer{FencingToken: token, Commands: wireCommands(orders)})
}

// EncodeDirectCommands makes the body of a direct command.
func EncodeDirectCommands(token ident.Epoch, session ident.Session, orders []Command) ([]byte, error) {
	return msgpack.Marshal(wireDirectCommands{FencingToken: token, Session: session, Commands: wireCommands(orders)})
}

// EncodeRedirect makes the body of a 421.
func EncodeRedirect(leader string) ([]byte, error) {
	return msgpack.Marshal(wireRedirect{Leader: leader})
}
