package peer

import (
	"errors"
	"fmt"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/quota"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/wire"
)

// Keys of the state service through which a cut-off node and the leader
// exchange batches. Each node has one key each way.
const (
	BatchKeyPrefix = "relay/up/"
	ReplyKeyPrefix = "relay/down/"
)

// Batch is what a node hands to the leader: workers' reports, and what users
// ask. It is kept small, since it travels in one value.
type Batch struct {
	ID             string                          `msgpack:"id" json:"id"`
	Node           string                          `msgpack:"n" json:"n"` // that hands it over
	Heartbeats     wire.BoundedList[Heartbeat]     `msgpack:"r,omitempty" json:"r,omitempty"`
	CancelRequests wire.BoundedList[CancelRequest] `msgpack:"a,omitempty" json:"a,omitempty"`
	// WantsDelegation asks for a grant, and for what the node has done by its own.
	WantsDelegation bool `msgpack:"v,omitempty" json:"v,omitempty"`
	// AckedBatchID names the last answers that the node has had through the state
	// service before it said, in QuietMs, how long ago it kept a worker.
	AckedBatchID string `msgpack:"e,omitempty" json:"e,omitempty"`
	IdleMs       int64  `msgpack:"q,omitempty" json:"q,omitempty"`
	// SchemaVersion is what the node can; see package rollout.
	SchemaVersion schemaversion.Version `msgpack:"f,omitempty" json:"f,omitempty"`
	// Quota is what a holder of team quotas asks; see package quota.
	Quota *quota.AllocationRequest `msgpack:"qa,omitempty" json:"-"`
}

// CancelRequest is a cancellation on its way to the leader.
type CancelRequest struct {
	Job ident.JobID `msgpack:"j" json:"j"`
}

// Heartbeat is a worker's report with its tasks in groups.
type Heartbeat struct {
	Machine           ident.MachineID             `msgpack:"m" json:"m"`
	Addr              string                      `msgpack:"a" json:"a"`
	Type              ident.MachineType           `msgpack:"t" json:"t"`
	Zone              ident.Zone                  `msgpack:"z" json:"z"`
	Spot              bool                        `msgpack:"s,omitempty" json:"s,omitempty"`
	Session           ident.Session               `msgpack:"h" json:"h"`
	HeartbeatSeq      ident.HeartbeatSeq          `msgpack:"y" json:"y"`
	FencingToken      ident.Epoch                 `msgpack:"e" json:"e"`
	SpotNoticeSeconds *float64                    `msgpack:"n,omitempty" json:"n,omitempty"`
	TaskGroups        wire.BoundedList[TaskGroup] `msgpack:"g,omitempty" json:"g,omitempty"`
}

// TaskGroup are tasks of one job and attempt in one state.
type TaskGroup struct {
	Job     ident.JobID     `msgpack:"j" json:"j"`
	Attempt ident.Attempt   `msgpack:"a" json:"a"`
	State   fleet.TaskState `msgpack:"s" json:"s"`
	Cause   fleet.ExitCause `msgpack:"c,omitempty" json:"c,omitempty"`
	Stored  bool            `msgpack:"d,omitempty" json:"d,omitempty"`
	Indexes indexset.Set    `msgpack:"i" json:"i"`
}

// BatchReply is what the leader hands back for a batch.
type BatchReply struct {
	ID            string                           `msgpack:"id" json:"id"`
	Heartbeats    wire.BoundedList[HeartbeatReply] `msgpack:"r,omitempty" json:"r,omitempty"`
	Cancellations wire.BoundedList[CancelReply]    `msgpack:"a,omitempty" json:"a,omitempty"`
	Delegation    *DelegationStatus                `msgpack:"v,omitempty" json:"v,omitempty"`
	Quota         *quota.AllocationResponse        `msgpack:"qa,omitempty" json:"-"`
}

// DelegationStatus is what a node says of grants; see package delegation.
type DelegationStatus struct {
	Epoch         ident.Epoch                       `msgpack:"e" json:"e"`
	TTLMs         int64                             `msgpack:"l" json:"l"`
	IdleMs        int64                             `msgpack:"q" json:"q"`
	Excluded      wire.BoundedList[ident.MachineID] `msgpack:"o,omitempty" json:"o,omitempty"`
	SchemaVersion schemaversion.Version             `msgpack:"f,omitempty" json:"f,omitempty"`
	// EnforcesQuotas: as leader the node keeps to what was allotted of teams' limits.
	EnforcesQuotas bool `msgpack:"k,omitempty" json:"k,omitempty"`
}

// PackDelegationStatus makes the form of it that travels.
func PackDelegationStatus(s leasedelegation.Status) *DelegationStatus {
	return &DelegationStatus{Epoch: s.Epoch, TTLMs: s.GrantDuration.Milliseconds(), IdleMs: s.IdleFor.Milliseconds(), Excluded: s.ExcludedMachines, SchemaVersion: schemaversion.Latest, EnforcesQuotas: true}
}

// Unpack undoes PackDelegation. What can't be is taken for no grant.
func (v *DelegationStatus) Unpack() (leasedelegation.Status, error) {
	const most = 1 << 40 // milliseconds: some decades
	if v.TTLMs < 0 || v.TTLMs > most || v.IdleMs < 0 || v.IdleMs > most {
		return leasedelegation.Status{}, errors.New("a grant with an impossible time")
	}
	return leasedelegation.Status{Epoch: v.Epoch, GrantDuration: time.Duration(v.TTLMs) * time.Millisecond,
		IdleFor: time.Duration(v.IdleMs) * time.Millisecond, ExcludedMachines: v.Excluded}, nil
}

// HeartbeatReply answers one report.
type HeartbeatReply struct {
	Machine  ident.MachineID                `msgpack:"m" json:"m"`
	Code     int                            `msgpack:"c" json:"c"`
	Epoch    ident.Epoch                    `msgpack:"e" json:"e"`
	Commands wire.BoundedList[CommandGroup] `msgpack:"o,omitempty" json:"o,omitempty"`
}

// CommandGroup are the same order for tasks of one job and attempt.
type CommandGroup struct {
	Kind               fleet.CommandKind `msgpack:"v" json:"v"`
	Job                ident.JobID       `msgpack:"j" json:"j"`
	Attempt            ident.Attempt     `msgpack:"a" json:"a"`
	GracePeriodSeconds float64           `msgpack:"l,omitempty" json:"l,omitempty"`
	Indexes            indexset.Set      `msgpack:"i" json:"i"`
}

// CancelReply answers an ask.
type CancelReply struct {
	Job       ident.JobID `msgpack:"j" json:"j"`
	State     string      `msgpack:"s" json:"s"` // empty: ask again
	DoneTasks int         `msgpack:"d,omitempty" json:"d,omitempty"`
}

// PackHeartbeat makes the compact form of a report.
func PackHeartbeat(r *fleet.Heartbeat) Heartbeat {
	out := Heartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, HeartbeatSeq: r.HeartbeatSeq, FencingToken: r.FencingToken}
	if r.InterruptionNoticed {
		s := r.InterruptionIn.Seconds()
		out.SpotNoticeSeconds = &s
	}
	at := map[taskGroupKey]int{}
	for _, e := range r.Tasks {
		k := taskGroupKey{e.Task.Job, e.Attempt, e.State, e.Cause, e.CheckpointStored}
		n, ok := at[k]
		if !ok {
			n = len(out.TaskGroups)
			at[k] = n
			out.TaskGroups = append(out.TaskGroups, TaskGroup{Job: k.job, Attempt: k.attempt, State: k.state, Cause: k.cause, Stored: k.stored})
		}
		out.TaskGroups[n].Indexes.Add(e.Task.Index)
	}
	return out
}

// taskGroupKey tells groups of tasks apart.
type taskGroupKey struct {
	job     ident.JobID
	attempt ident.Attempt
	state   fleet.TaskState
	cause   fleet.ExitCause
	stored  bool
}

// maxTasksPerHeartbeat bounds the tasks of one relayed report.
const maxTasksPerHeartbeat = 10_000

// Unpack makes a report of its compact form.
func (r *Heartbeat) Unpack() (*fleet.Heartbeat, error) {
	if r.Machine == "" || r.Session == 0 {
		return nil, errors.New("relayed report without machine or session")
	}
	out := &fleet.Heartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, HeartbeatSeq: r.HeartbeatSeq, FencingToken: r.FencingToken}
	if r.SpotNoticeSeconds != nil {
		out.InterruptionNoticed, out.InterruptionIn = true, clock.Seconds(*r.SpotNoticeSeconds)
	}
	for _, g := range r.TaskGroups {
		if !g.Indexes.Valid(1<<20) || len(out.Tasks)+g.Indexes.Len() > maxTasksPerHeartbeat {
			return nil, errors.New("relayed report with impossible tasks")
		}
		g.Indexes.Each(func(i ident.TaskIndex) bool {
			out.Tasks = append(out.Tasks, fleet.TaskStatus{Task: ident.TaskID{Job: g.Job, Index: i},
				Attempt: g.Attempt, State: g.State, Cause: g.Cause, CheckpointStored: g.Stored})
			return true
		})
	}
	return out, nil
}

// PackCommands makes the compact form of orders, keeping their sequence of
// halts, launches and reaps.
func PackCommands(orders []fleet.Command) []CommandGroup {
	var out []CommandGroup
	for _, o := range orders {
		n := len(out) - 1
		if n < 0 || out[n].Kind != o.Kind || out[n].Job != o.Task.Job || out[n].Attempt != o.Attempt || out[n].GracePeriodSeconds != o.GracePeriod.Seconds() {
			out = append(out, CommandGroup{Kind: o.Kind, Job: o.Task.Job, Attempt: o.Attempt, GracePeriodSeconds: o.GracePeriod.Seconds()})
			n++
		}
		out[n].Indexes.Add(o.Task.Index)
	}
	return out
}

// UnpackCommands makes the orders of an answer.
func (a *HeartbeatReply) UnpackCommands() []fleet.Command {
	var out []fleet.Command
	for _, g := range a.Commands {
		if !g.Indexes.Valid(1<<20) || len(out)+g.Indexes.Len() > maxTasksPerHeartbeat {
			continue
		}
		g.Indexes.Each(func(i ident.TaskIndex) bool {
			out = append(out, fleet.Command{Kind: g.Kind, Task: ident.TaskID{Job: g.Job, Index: i}, Attempt: g.Attempt,
				GracePeriod: time.Duration(g.GracePeriodSeconds * float64(time.Second))})
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

// maxDecompressedBytes bounds what a squeezed batch, or its answers, may hold.
const maxDecompressedBytes = 1 << 20

// DecompressBatch reads a batch that was squeezed into a value.
func DecompressBatch(value []byte) (*Batch, error) {
	data, err := wire.DecompressMessage(value, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("relayed batch: %w", err)
	}
	return DecodeBatch(data)
}

// DecompressReply reads answers that were squeezed into a value.
func DecompressReply(value []byte) (*BatchReply, error) {
	data, err := wire.DecompressMessage(value, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("relayed answers: %w", err)
	}
	return DecodeReply(data)
}

// DecodeReply reads the answers to a batch.
func DecodeReply(data []byte) (*BatchReply, error) {
	a := new(BatchReply)
	if err := msgpack.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("decoding relayed answers: %w", err)
	}
	return a, nil
}
