package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// MaxBody bounds the bodies that workers and we exchange.
const MaxBody = 64 << 10

const maxName = 128

// State of a task as its worker reports it.
type State string

// Wire states and causes.
const (
	stateFetching State = "fetching"
	stateRunning  State = "running"
	stateFlushing State = "flushing"
	// stateGathering: a task of a gang that waits for the others.
	stateGathering State = "gathering"
	stateExited    State = "exited"
)

// Cause of an exit.
type Cause string

// Causes.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "no_room"
	CauseBusy    Cause = "busy"
	CauseUnknown Cause = "unknown"
	// CausePeers and CauseIncomplete end the task of a gang whose others are
	// gone, or did not come.
	CausePeers      Cause = "peers"
	CauseIncomplete Cause = "incomplete"
	CauseLost       Cause = "lost" // ours: the machine or its lease has ended
)

type wireEntry struct {
	Entry    string       `msgpack:"entry"`
	Try      unit.Attempt `msgpack:"try"`
	Standing State        `msgpack:"standing"`
	Cause    Cause        `msgpack:"cause"`
	Stored   bool         `msgpack:"stored"`
}

type wireReport struct {
	Shamba  string                      `msgpack:"shamba"`
	Addr    string                      `msgpack:"addr"`
	Frame   string                      `msgpack:"frame"`
	Hall    string                      `msgpack:"hall"`
	Loaner  bool                        `msgpack:"loaner"`
	Session unit.Session                `msgpack:"shift"`
	Tally   unit.HeartbeatSeq           `msgpack:"tally"`
	Token   unit.Epoch                  `msgpack:"seal"`
	RecallS *float64                    `msgpack:"recallS"`
	Entries wire.BoundedList[wireEntry] `msgpack:"entries"`
}

type wireOrder struct {
	Verb   string       `msgpack:"verb"`
	Entry  string       `msgpack:"entry"`
	Try    unit.Attempt `msgpack:"try"`
	LeaveS *float64     `msgpack:"leaveS,omitempty"`
}

type wireAnswer struct {
	Token  unit.Epoch  `msgpack:"seal"`
	Orders []wireOrder `msgpack:"orders"`
}

type wireDo struct {
	Token   unit.Epoch   `msgpack:"seal"`
	Session unit.Session `msgpack:"shift"`
	Orders  []wireOrder  `msgpack:"orders"`
}

type wireRedirect struct {
	Clerk string `msgpack:"clerk,omitempty"`
}

// Entry is one task in a report.
type Entry struct {
	Task    unit.TaskID
	Attempt unit.Attempt
	State   State
	Cause   Cause
	Stored  bool
}

// Report is what a worker says of its machine.
type Report struct {
	Machine unit.MachineID
	Addr    string
	Type    unit.MachineType
	Zone    unit.Zone
	Spot    bool
	Session unit.Session
	Tally   unit.HeartbeatSeq
	Token   unit.Epoch
	Notice  time.Duration // until the cloud takes the machine; 0: no notice
	Noticed bool
	Entries []Entry
	Strange int // entries that could not be read, and were left out
}

// DecodeReport reads a report. Entries that make no sense are left out and
// counted: one strange task must not take the machine's others with it.
func DecodeReport(data []byte) (*Report, error) {
	var w wireReport
	if err := msgpack.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decoding report: %w", err)
	}
	if w.Shamba == "" || len(w.Shamba) > maxName || w.Session == 0 {
		return nil, errors.New("report without machine or session")
	}
	if len(w.Frame) > maxName || len(w.Hall) > maxName {
		return nil, errors.New("report with overlong names")
	}
	if _, err := netip.ParseAddrPort(w.Addr); err != nil {
		return nil, fmt.Errorf("report with a bad address: %w", err)
	}
	r := &Report{Machine: unit.MachineID(w.Shamba), Addr: w.Addr, Type: unit.MachineType(w.Frame),
		Zone: unit.Zone(w.Hall), Spot: w.Loaner, Session: w.Session, Tally: w.Tally, Token: w.Token}
	if w.RecallS != nil {
		r.Noticed, r.Notice = true, unit.Seconds(*w.RecallS)
	}
	r.takeEntries(w.Entries)
	return r, nil
}

func (r *Report) takeEntries(entries []wireEntry) {
	for _, e := range entries {
		id, err := unit.ParseTaskID(e.Entry)
		if err != nil || !known(e.Standing) {
			r.Strange++
			continue
		}
		r.Entries = append(r.Entries, Entry{Task: id, Attempt: e.Try, State: e.Standing, Cause: e.Cause, Stored: e.Stored})
	}
}

func known(s State) bool {
	switch s {
	case stateFetching, stateGathering, stateRunning, stateFlushing, stateExited:
		return true
	}
	return false
}

// Verb of an order.
type Verb string

// Verbs.
const (
	Launch Verb = "launch"
	Halt   Verb = "halt"
	Reap   Verb = "reap"
)

// Order is a command to a worker.
type Order struct {
	Verb    Verb
	Task    unit.TaskID
	Attempt unit.Attempt
	Leave   time.Duration // of a halt
}

func toWire(orders []Order) []wireOrder {
	out := make([]wireOrder, 0, len(orders))
	for _, o := range orders {
		w := wireOrder{Verb: string(o.Verb), Entry: o.Task.String(), Try: o.Attempt}
		if o.Verb == Halt {
			leave := o.Leave.Seconds()
			w.LeaveS = &leave
		}
		out = append(out, w)
	}
	return out
}

// EncodeAnswer makes the body of a 200 to a report.
func EncodeAnswer(token unit.Epoch, orders []Order) ([]byte, error) {
	return msgpack.Marshal(wireAnswer{Token: token, Orders: toWire(orders)})
}

// EncodeDo makes the body of a direct command.
func EncodeDo(token unit.Epoch, session unit.Session, orders []Order) ([]byte, error) {
	return msgpack.Marshal(wireDo{Token: token, Session: session, Orders: toWire(orders)})
}

// EncodeRedirect makes the body of a 421.
func EncodeRedirect(leader string) ([]byte, error) {
	return msgpack.Marshal(wireRedirect{Clerk: leader})
}
