package peer

import (
	"fmt"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/wire"
)

const (
	// maxTasksPerHeartbeat limits the tasks of one heartbeat and the commands of its
	// reply. The message size does not limit them, because a small group of index
	// ranges can expand to a very large number of tasks.
	maxTasksPerHeartbeat = 10_000
	// maxTaskIndexes is the exclusive upper bound of the task indexes of a job.
	maxTaskIndexes = 1 << 20
)

// Heartbeat is the compact form of a fleet.Heartbeat, in which tasks are grouped.
type Heartbeat struct {
	Machine      ident.MachineID    `msgpack:"m" json:"m"`
	Addr         string             `msgpack:"a" json:"a"`
	Type         ident.MachineType  `msgpack:"t" json:"t"`
	Zone         ident.Zone         `msgpack:"z" json:"z"`
	Spot         bool               `msgpack:"s,omitempty" json:"s,omitempty"`
	Session      ident.Session      `msgpack:"h" json:"h"`
	HeartbeatSeq ident.HeartbeatSeq `msgpack:"y" json:"y"`
	FencingToken ident.Epoch        `msgpack:"e" json:"e"`
	// SpotNoticeSeconds is the time until the cloud interrupts the machine; nil means
	// that the cloud has not announced an interruption.
	SpotNoticeSeconds *float64                    `msgpack:"n,omitempty" json:"n,omitempty"`
	TaskGroups        wire.BoundedList[TaskGroup] `msgpack:"g,omitempty" json:"g,omitempty"`
}

// TaskGroup is a set of tasks that differ only in their index.
type TaskGroup struct {
	Job              ident.JobID     `msgpack:"j" json:"j"`
	Attempt          ident.Attempt   `msgpack:"a" json:"a"`
	State            fleet.TaskState `msgpack:"s" json:"s"`
	Cause            fleet.ExitCause `msgpack:"c,omitempty" json:"c,omitempty"`
	CheckpointStored bool            `msgpack:"d,omitempty" json:"d,omitempty"` // whether the checkpoint is stored
	Indexes          indexset.Set    `msgpack:"i" json:"i"`
}

// HeartbeatReply is the leader's reply to a heartbeat. Code is an HTTP status code.
type HeartbeatReply struct {
	Machine  ident.MachineID                `msgpack:"m" json:"m"`
	Code     int                            `msgpack:"c" json:"c"`
	Epoch    ident.Epoch                    `msgpack:"e" json:"e"`
	Commands wire.BoundedList[CommandGroup] `msgpack:"o,omitempty" json:"o,omitempty"`
}

// CommandGroup is one command for several tasks of a job and attempt.
type CommandGroup struct {
	Kind               fleet.CommandKind `msgpack:"v" json:"v"`
	Job                ident.JobID       `msgpack:"j" json:"j"`
	Attempt            ident.Attempt     `msgpack:"a" json:"a"`
	GracePeriodSeconds float64           `msgpack:"l,omitempty" json:"l,omitempty"`
	Indexes            indexset.Set      `msgpack:"i" json:"i"`
}

// taskGroupKey holds the properties that all tasks of a group share.
type taskGroupKey struct {
	job              ident.JobID
	attempt          ident.Attempt
	state            fleet.TaskState
	cause            fleet.ExitCause
	checkpointStored bool
}

// PackHeartbeat returns the compact form of a heartbeat.
func PackHeartbeat(hb *fleet.Heartbeat) Heartbeat {
	packed := Heartbeat{
		Machine: hb.Machine, Addr: hb.Addr, Type: hb.Type, Zone: hb.Zone, Spot: hb.Spot,
		Session: hb.Session, HeartbeatSeq: hb.HeartbeatSeq, FencingToken: hb.FencingToken,
	}
	if hb.InterruptionNoticed {
		seconds := hb.InterruptionIn.Seconds()
		packed.SpotNoticeSeconds = &seconds
	}
	positions := map[taskGroupKey]int{}
	for _, task := range hb.Tasks {
		key := taskGroupKey{task.Task.Job, task.Attempt, task.State, task.Cause, task.CheckpointStored}
		i, ok := positions[key]
		if !ok {
			i = len(packed.TaskGroups)
			positions[key] = i
			packed.TaskGroups = append(packed.TaskGroups, TaskGroup{
				Job: key.job, Attempt: key.attempt, State: key.state, Cause: key.cause, CheckpointStored: key.checkpointStored,
			})
		}
		packed.TaskGroups[i].Indexes.Add(task.Task.Index)
	}
	return packed
}

// Unpack returns the heartbeat in its full form; it is the inverse of PackHeartbeat. Errors
// wrap ErrMalformed.
func (h *Heartbeat) Unpack() (*fleet.Heartbeat, error) {
	if h.Machine == "" || h.Session == 0 {
		return nil, fmt.Errorf("%w: heartbeat has no machine or no session", ErrMalformed)
	}
	hb := &fleet.Heartbeat{
		Machine: h.Machine, Addr: h.Addr, Type: h.Type, Zone: h.Zone, Spot: h.Spot,
		Session: h.Session, HeartbeatSeq: h.HeartbeatSeq, FencingToken: h.FencingToken,
	}
	if h.SpotNoticeSeconds != nil {
		hb.InterruptionNoticed = true
		hb.InterruptionIn = clock.Seconds(*h.SpotNoticeSeconds)
	}
	for _, group := range h.TaskGroups {
		if !canExpand(group.Indexes, len(hb.Tasks)) {
			return nil, fmt.Errorf("%w: heartbeat has invalid task indexes or too many tasks", ErrMalformed)
		}
		for index := range group.Indexes.All() {
			hb.Tasks = append(hb.Tasks, fleet.TaskStatus{
				Task: ident.TaskID{Job: group.Job, Index: index}, Attempt: group.Attempt, State: group.State, Cause: group.Cause, CheckpointStored: group.CheckpointStored,
			})
		}
	}
	return hb, nil
}

// PackCommands returns the compact form of commands. It groups only adjacent commands, so
// that their order is preserved.
func PackCommands(commands []fleet.Command) []CommandGroup {
	var groups []CommandGroup
	for _, c := range commands {
		group := CommandGroup{Kind: c.Kind, Job: c.Task.Job, Attempt: c.Attempt, GracePeriodSeconds: c.GracePeriod.Seconds()}
		if len(groups) == 0 || !groups[len(groups)-1].sameCommand(group) {
			groups = append(groups, group)
		}
		groups[len(groups)-1].Indexes.Add(c.Task.Index)
	}
	return groups
}

// sameCommand reports whether two groups have the same command, so that they differ at
// most in their indexes.
func (g CommandGroup) sameCommand(other CommandGroup) bool {
	return g.Kind == other.Kind && g.Job == other.Job && g.Attempt == other.Attempt && g.GracePeriodSeconds == other.GracePeriodSeconds
}

// UnpackCommands returns the commands in their full form; it is the inverse of
// PackCommands. Groups with invalid indexes are skipped, and so are groups that would
// exceed maxTasksPerHeartbeat.
func (r *HeartbeatReply) UnpackCommands() []fleet.Command {
	var commands []fleet.Command
	for _, group := range r.Commands {
		if !canExpand(group.Indexes, len(commands)) {
			continue
		}
		gracePeriod := time.Duration(group.GracePeriodSeconds * float64(time.Second))
		for index := range group.Indexes.All() {
			task := ident.TaskID{Job: group.Job, Index: index}
			commands = append(commands, fleet.Command{Kind: group.Kind, Task: task, Attempt: group.Attempt, GracePeriod: gracePeriod})
		}
	}
	return commands
}

// canExpand reports whether a set of indexes from another node is valid, and can be
// expanded in addition to the tasks that were expanded before without exceeding
// maxTasksPerHeartbeat.
func canExpand(indexes indexset.Set, expanded int) bool {
	return indexes.Valid(maxTaskIndexes) && expanded+indexes.Len() <= maxTasksPerHeartbeat
}
