package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// MaxMessageBytes limits the size of the bodies that are exchanged with workers.
const MaxMessageBytes = 64 << 10

const maxNameBytes = 128

// ErrMalformedHeartbeat is returned when a heartbeat cannot be used, whatever its task entries contain.
var ErrMalformedHeartbeat = errors.New("malformed heartbeat")

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

type wireHeartbeatResponse struct {
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

// DecodeHeartbeat decodes a heartbeat. Invalid task entries are skipped and counted, because one invalid entry must not
// hide the machine's other tasks. Errors wrap ErrMalformedHeartbeat.
func DecodeHeartbeat(data []byte) (*Heartbeat, error) {
	var w wireHeartbeat
	if err := msgpack.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedHeartbeat, err)
	}
	if err := w.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedHeartbeat, err)
	}
	h := &Heartbeat{
		Machine:      ident.MachineID(w.Machine),
		Addr:         w.Addr,
		Type:         ident.MachineType(w.MachineType),
		Zone:         ident.Zone(w.Zone),
		Spot:         w.Spot,
		Session:      w.Session,
		HeartbeatSeq: w.HeartbeatSeq,
		FencingToken: w.FencingToken,
	}
	if w.InterruptionSeconds != nil {
		h.InterruptionNoticed, h.InterruptionIn = true, clock.Seconds(*w.InterruptionSeconds)
	}
	h.addTasks(w.Tasks)
	return h, nil
}

func (w *wireHeartbeat) validate() error {
	if w.Machine == "" || w.Session == 0 {
		return errors.New("machine ID or session is missing")
	}
	if max(len(w.Machine), len(w.MachineType), len(w.Zone)) > maxNameBytes {
		return fmt.Errorf("machine ID, machine type or zone is longer than %d bytes", maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(w.Addr); err != nil {
		return fmt.Errorf("parsing worker address: %w", err)
	}
	return nil
}

func (h *Heartbeat) addTasks(tasks []wireTask) {
	for _, w := range tasks {
		id, err := ident.ParseTaskID(w.Task)
		if err != nil || !isKnownState(w.State) {
			h.UnreadableTasks++
			continue
		}
		h.Tasks = append(h.Tasks, TaskStatus{Task: id, Attempt: w.Attempt, State: w.State, Cause: w.Cause, CheckpointStored: w.Stored})
	}
}

func isKnownState(s TaskState) bool {
	switch s {
	case TaskFetching, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited:
		return true
	}
	return false
}

func wireCommands(commands []Command) []wireCommand {
	out := make([]wireCommand, 0, len(commands))
	for _, c := range commands {
		w := wireCommand{Kind: string(c.Kind), Task: c.Task.String(), Attempt: c.Attempt}
		if c.Kind == CommandStop {
			seconds := c.GracePeriod.Seconds()
			w.GraceSeconds = &seconds
		}
		out = append(out, w)
	}
	return out
}

// EncodeHeartbeatResponse encodes the response to a heartbeat, which is sent with status 200.
func EncodeHeartbeatResponse(token ident.Epoch, commands []Command) ([]byte, error) {
	return msgpack.Marshal(wireHeartbeatResponse{FencingToken: token, Commands: wireCommands(commands)})
}

// EncodeDirectCommands encodes commands that are sent to a worker outside the response to a heartbeat. The worker
// refuses them if it is in another session.
func EncodeDirectCommands(token ident.Epoch, session ident.Session, commands []Command) ([]byte, error) {
	return msgpack.Marshal(wireDirectCommands{FencingToken: token, Session: session, Commands: wireCommands(commands)})
}

// EncodeRedirect encodes the body of a response with status 421. The leader's label is omitted if it is empty.
func EncodeRedirect(leader string) ([]byte, error) {
	return msgpack.Marshal(wireRedirect{Leader: leader})
}
