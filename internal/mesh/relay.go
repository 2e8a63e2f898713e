package mesh

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/quota"
	"badgerbay/internal/rollout"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// Keys of the state service through which a cut-off node and the leader
// exchange batches. Each node has one key each way.
const (
	UpPrefix   = "relay/up/"
	DownPrefix = "relay/down/"
)

// Batch is what a node hands to the leader: workers' reports, and what users
// ask. It is kept small, since it travels in one value.
type Batch struct {
	ID      string                   `msgpack:"id" json:"id"`
	Node    string                   `msgpack:"n" json:"n"` // that hands it over
	Reports wire.BoundedList[Report] `msgpack:"r,omitempty" json:"r,omitempty"`
	Asks    wire.BoundedList[Ask]    `msgpack:"a,omitempty" json:"a,omitempty"`
	// Delegation asks for a grant, and for what the node has done by its own.
	Delegation bool `msgpack:"v,omitempty" json:"v,omitempty"`
	// Echo names the last answers that the node has had through the state
	// service before it said, in QuietMs, how long ago it kept a worker.
	Echo    string `msgpack:"e,omitempty" json:"e,omitempty"`
	QuietMs int64  `msgpack:"q,omitempty" json:"q,omitempty"`
	// Form is what the node can; see package rollout.
	Form rollout.Version `msgpack:"f,omitempty" json:"f,omitempty"`
	// Quota is what a holder of team quotas asks; see package quota.
	Quota *quota.AllocationRequest `msgpack:"qa,omitempty" json:"-"`
}

// Ask is a cancellation on its way to the leader.
type Ask struct {
	Job unit.JobID `msgpack:"j" json:"j"`
}

// Report is a worker's report with its tasks in groups.
type Report struct {
	Machine unit.MachineID          `msgpack:"m" json:"m"`
	Addr    string                  `msgpack:"a" json:"a"`
	Type    unit.MachineType        `msgpack:"t" json:"t"`
	Zone    unit.Zone               `msgpack:"z" json:"z"`
	Spot    bool                    `msgpack:"s,omitempty" json:"s,omitempty"`
	Session unit.Session            `msgpack:"h" json:"h"`
	Tally   unit.HeartbeatSeq       `msgpack:"y" json:"y"`
	Token   unit.Epoch              `msgpack:"e" json:"e"`
	Notice  *float64                `msgpack:"n,omitempty" json:"n,omitempty"`
	Tasks   wire.BoundedList[Tasks] `msgpack:"g,omitempty" json:"g,omitempty"`
}

// Tasks are tasks of one job and attempt in one state.
type Tasks struct {
	Job     unit.JobID      `msgpack:"j" json:"j"`
	Attempt unit.Attempt    `msgpack:"a" json:"a"`
	State   fleet.TaskState `msgpack:"s" json:"s"`
	Cause   fleet.ExitCause `msgpack:"c,omitempty" json:"c,omitempty"`
	Stored  bool            `msgpack:"d,omitempty" json:"d,omitempty"`
	Indexes unit.Set        `msgpack:"i" json:"i"`
}

// Answers is what the leader hands back for a batch.
type Answers struct {
	ID         string                     `msgpack:"id" json:"id"`
	Reports    wire.BoundedList[Answer]   `msgpack:"r,omitempty" json:"r,omitempty"`
	Asks       wire.BoundedList[AskState] `msgpack:"a,omitempty" json:"a,omitempty"`
	Delegation *Delegation                `msgpack:"v,omitempty" json:"v,omitempty"`
	Quota      *quota.AllocationResponse  `msgpack:"qa,omitempty" json:"-"`
}

// Delegation is what a node says of grants; see package delegation.
type Delegation struct {
	Epoch    unit.Epoch                       `msgpack:"e" json:"e"`
	LifeMs   int64                            `msgpack:"l" json:"l"`
	QuietMs  int64                            `msgpack:"q" json:"q"`
	Excluded wire.BoundedList[unit.MachineID] `msgpack:"o,omitempty" json:"o,omitempty"`
	Form     rollout.Version                  `msgpack:"f,omitempty" json:"f,omitempty"`
	// Quotas: as leader the node keeps to what was allotted of teams' limits.
	Quotas bool `msgpack:"k,omitempty" json:"k,omitempty"`
}

// PackDelegation makes the form of it that travels.
func PackDelegation(s delegation.Status) *Delegation {
	return &Delegation{Epoch: s.Epoch, LifeMs: s.GrantDuration.Milliseconds(), QuietMs: s.IdleFor.Milliseconds(), Excluded: s.ExcludedMachines, Form: rollout.Latest, Quotas: true}
}

// Unpack undoes PackDelegation. What can't be is taken for no grant.
func (v *Delegation) Unpack() (delegation.Status, error) {
	const most = 1 << 40 // milliseconds: some decades
	if v.LifeMs < 0 || v.LifeMs > most || v.QuietMs < 0 || v.QuietMs > most {
		return delegation.Status{}, errors.New("a grant with an impossible time")
	}
	return delegation.Status{Epoch: v.Epoch, GrantDuration: time.Duration(v.LifeMs) * time.Millisecond,
		IdleFor: time.Duration(v.QuietMs) * time.Millisecond, ExcludedMachines: v.Excluded}, nil
}

// Answer answers one report.
type Answer struct {
	Machine unit.MachineID           `msgpack:"m" json:"m"`
	Code    int                      `msgpack:"c" json:"c"`
	Epoch   unit.Epoch               `msgpack:"e" json:"e"`
	Orders  wire.BoundedList[Orders] `msgpack:"o,omitempty" json:"o,omitempty"`
}

// Orders are the same order for tasks of one job and attempt.
type Orders struct {
	Verb    fleet.CommandKind `msgpack:"v" json:"v"`
	Job     unit.JobID        `msgpack:"j" json:"j"`
	Attempt unit.Attempt      `msgpack:"a" json:"a"`
	LeaveS  float64           `msgpack:"l,omitempty" json:"l,omitempty"`
	Indexes unit.Set          `msgpack:"i" json:"i"`
}

// AskState answers an ask.
type AskState struct {
	Job      unit.JobID `msgpack:"j" json:"j"`
	Standing string     `msgpack:"s" json:"s"` // empty: ask again
	Done     int        `msgpack:"d,omitempty" json:"d,omitempty"`
}

// Pack makes the compact form of a report.
func Pack(r *fleet.Heartbeat) Report {
	out := Report{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Tally: r.HeartbeatSeq, Token: r.FencingToken}
	if r.InterruptionNoticed {
		s := r.InterruptionIn.Seconds()
		out.Notice = &s
	}
	at := map[tasksKey]int{}
	for _, e := range r.Tasks {
		k := tasksKey{e.Task.Job, e.Attempt, e.State, e.Cause, e.CheckpointStored}
		n, ok := at[k]
		if !ok {
			n = len(out.Tasks)
			at[k] = n
			out.Tasks = append(out.Tasks, Tasks{Job: k.job, Attempt: k.attempt, State: k.state, Cause: k.cause, Stored: k.stored})
		}
		out.Tasks[n].Indexes.Add(e.Task.Index)
	}
	return out
}

// tasksKey tells groups of tasks apart.
type tasksKey struct {
	job     unit.JobID
	attempt unit.Attempt
	state   fleet.TaskState
	cause   fleet.ExitCause
	stored  bool
}

// maxTasks bounds the tasks of one relayed report.
const maxTasks = 10_000

// Unpack makes a report of its compact form.
func (r *Report) Unpack() (*fleet.Heartbeat, error) {
	if r.Machine == "" || r.Session == 0 {
		return nil, errors.New("relayed report without machine or session")
	}
	out := &fleet.Heartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, HeartbeatSeq: r.Tally, FencingToken: r.Token}
	if r.Notice != nil {
		out.InterruptionNoticed, out.InterruptionIn = true, unit.Seconds(*r.Notice)
	}
	for _, g := range r.Tasks {
		if !g.Indexes.Valid(1<<20) || len(out.Tasks)+g.Indexes.Len() > maxTasks {
			return nil, errors.New("relayed report with impossible tasks")
		}
		g.Indexes.Each(func(i unit.TaskIndex) bool {
			out.Tasks = append(out.Tasks, fleet.TaskStatus{Task: unit.TaskID{Job: g.Job, Index: i},
				Attempt: g.Attempt, State: g.State, Cause: g.Cause, CheckpointStored: g.Stored})
			return true
		})
	}
	return out, nil
}

// PackOrders makes the compact form of orders, keeping their sequence of
// halts, launches and reaps.
func PackOrders(orders []fleet.Command) []Orders {
	var out []Orders
	for _, o := range orders {
		n := len(out) - 1
		if n < 0 || out[n].Verb != o.Kind || out[n].Job != o.Task.Job || out[n].Attempt != o.Attempt || out[n].LeaveS != o.GracePeriod.Seconds() {
			out = append(out, Orders{Verb: o.Kind, Job: o.Task.Job, Attempt: o.Attempt, LeaveS: o.GracePeriod.Seconds()})
			n++
		}
		out[n].Indexes.Add(o.Task.Index)
	}
	return out
}

// Unpack makes the orders of an answer.
func (a *Answer) Unpack() []fleet.Command {
	var out []fleet.Command
	for _, g := range a.Orders {
		if !g.Indexes.Valid(1<<20) || len(out)+g.Indexes.Len() > maxTasks {
			continue
		}
		g.Indexes.Each(func(i unit.TaskIndex) bool {
			out = append(out, fleet.Command{Kind: g.Verb, Task: unit.TaskID{Job: g.Job, Index: i}, Attempt: g.Attempt,
				GracePeriod: time.Duration(g.LeaveS * float64(time.Second))})
			return true
		})
	}
	return out
}

// DecodeBatch reads a batch.
func DecodeBatch(data []byte) (*Batch, error) {
	b := new(Batch)
	if err := msgpack.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("decoding relayed batch: %w", err)
	}
	return b, nil
}

// maxExpanded bounds what a squeezed batch, or its answers, may hold.
const maxExpanded = 1 << 20

// ExpandBatch reads a batch that was squeezed into a value.
func ExpandBatch(value []byte) (*Batch, error) {
	data, err := wire.DecompressMessage(value, maxExpanded)
	if err != nil {
		return nil, fmt.Errorf("relayed batch: %w", err)
	}
	return DecodeBatch(data)
}

// ExpandAnswers reads answers that were squeezed into a value.
func ExpandAnswers(value []byte) (*Answers, error) {
	data, err := wire.DecompressMessage(value, maxExpanded)
	if err != nil {
		return nil, fmt.Errorf("relayed answers: %w", err)
	}
	return DecodeAnswers(data)
}

// DecodeAnswers reads the answers to a batch.
func DecodeAnswers(data []byte) (*Answers, error) {
	a := new(Answers)
	if err := msgpack.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("decoding relayed answers: %w", err)
	}
	return a, nil
}
