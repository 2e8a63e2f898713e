package checkpoint

import (
	"sort"
	"time"

	"badgerbay/internal/unit"
)

// PlacementState is how far a placement is known to have come.
type PlacementState int

// States of a placement. Each but Ended means that the task may be on the
// machine, or may yet come to be.
const (
	Pending PlacementState = iota // recorded; not seen on the machine
	Fetching
	Running
	Flushing
	Ended
)

// Placement is one attempt to run a task on one machine. It is over only when
// it surely can't run any more; until then it counts for limits and places.
type Placement struct {
	Job     *Job
	Task    unit.TaskIndex
	Machine unit.MachineID
	Session unit.Session
	Attempt unit.Attempt
	Round   unit.RoundNo // that placed it; 0: an earlier leader did
	State   PlacementState
	// Token is the highest token a launch may have been sent under. A report
	// with a higher one that lacks the task proves that it never will start.
	Token unit.Epoch
	// Launch tells that the launch may be (re)sent.
	Launch bool
	// Halting is set once the task has been told to stop, with Leave.
	Halting bool
	Leave   time.Duration
	Halted  unit.Instant // when it was first told to stop
	Since   unit.Instant
	Ran     unit.Instant // when it was first seen running
	// EndSeq is the job's sequence number at which the end was taken in; the
	// exit may be reaped once that much is stored.
	EndSeq uint64
}

// ID is the name of the placement's task.
func (p *Placement) ID() unit.TaskID { return unit.TaskID{Job: p.Job.ID, Index: p.Task} }

// Job is the leader's working copy of a job.
type Job struct {
	ID       unit.JobID
	Spec     Spec
	Accepted int64
	Phase    Phase
	Done     unit.Ranges
	Queue    unit.Ranges
	Live     map[unit.TaskIndex]*Placement
	Round    unit.RoundNo // the last committed round that started tasks of it

	Version     unit.Version // of the stored record
	StoredFirst int          // the number before that of its first part; see Record.Stage
	Seq, Stored uint64       // changes made, changes stored
	StoredRound unit.RoundNo
	StoredPhase Phase
	StoredDone  int // tasks that the record counts as done
	DirtySince  unit.Instant
	Writing     bool

	// Ran holds the tasks that have run for long enough to count as started, as
	// far as this leader has seen.
	Ran unit.Ranges

	Errors    int          // failures in a row
	GangError unit.Attempt // of a gang, the last that has failed
	LostAt    unit.Instant // of a gang, since when it lacks a task; 0: it does not
	NotBefore unit.Instant // no placing before
	Avoid     map[unit.MachineID]unit.Instant
	ByZone    map[unit.Zone]int // live placements
	QueuedAt  unit.Instant      // since when tasks have been waiting
	LastStart unit.Instant      // when a task was last placed
	Known     unit.Instant      // when this leader learned of the job
}

// NewJob makes the working copy of a stored record. Placements in the record
// are left to the caller, who knows what may still be on the machines.
func NewJob(id unit.JobID, r *Record, version unit.Version, now unit.Instant) *Job {
	j := &Job{ID: id, Spec: r.Spec, Accepted: r.Accepted, Phase: r.Phase, Done: r.Done.Clone(),
		Live: map[unit.TaskIndex]*Placement{}, Round: r.Round, Version: version,
		StoredRound: r.Round, StoredPhase: r.Phase, StoredFirst: r.FirstPart, StoredDone: r.Done.Len(), ByZone: map[unit.Zone]int{}, QueuedAt: now, Known: now}
	if !j.Phase.Final() {
		j.Queue = gaps(j.Done, j.Spec.Tasks)
	}
	return j
}

func gaps(done unit.Ranges, n int) unit.Ranges {
	var out unit.Ranges
	next := unit.TaskIndex(0)
	for _, s := range done {
		if s.First > next {
			out = append(out, unit.Span{First: next, Last: s.First - 1})
		}
		next = s.Last + 1
	}
	if int(next) < n {
		out = append(out, unit.Span{First: next, Last: unit.TaskIndex(n - 1)})
	}
	return out
}

// Touch marks the job as changed since its record was written.
func (j *Job) Touch(now unit.Instant) {
	if !j.Dirty() {
		j.DirtySince = now
	}
	j.Seq++
}

// Dirty tells whether the record lags behind the working copy.
func (j *Job) Dirty() bool { return j.Seq != j.Stored }

// Start puts a placement under way in place of the queued task.
func (j *Job) Start(p *Placement, zone unit.Zone) {
	j.Queue.Remove(p.Task)
	j.Live[p.Task] = p
	j.ByZone[zone]++
	j.LastStart = max(j.LastStart, p.Since)
}

// End takes a placement out that is surely over. With requeue its task waits
// to be placed again, unless it is done or the job is over.
func (j *Job) End(now unit.Instant, p *Placement, zone unit.Zone, requeue bool) {
	if j.Live[p.Task] != p {
		return
	}
	delete(j.Live, p.Task)
	if p.ranBy(now) >= Counts {
		j.Ran.Add(p.Task)
	}
	j.ByZone[zone]--
	p.State = Ended
	if requeue && !j.Phase.Final() && !j.Done.Has(p.Task) {
		if len(j.Queue) == 0 {
			j.QueuedAt = now
		}
		j.Queue.Add(p.Task)
	}
	j.Touch(now)
	p.EndSeq = j.Seq
}

// ranBy is how long the task has run, up to when it was told to stop. What it
// took to save after that is no run: tasks stopped a little too early passed
// for started, and then waited behind all others for their next start.
func (p *Placement) ranBy(now unit.Instant) time.Duration {
	if p.Ran == 0 {
		return 0
	}
	if p.Halting {
		now = min(now, p.Halted)
	}
	return now.Sub(p.Ran)
}

// Complete notes that a task has completed. The tasks of a gang complete
// together.
func (j *Job) Complete(now unit.Instant, i unit.TaskIndex) {
	if int(i) >= j.Spec.Tasks || !j.Done.Add(i) {
		return
	}
	j.Queue.Remove(i)
	if j.Spec.Gang {
		j.Done, j.Queue = unit.Full(j.Spec.Tasks), nil
	}
	j.Errors = 0
	if j.Phase == Active && j.Done.Len() == j.Spec.Tasks {
		j.Phase = Done
	}
	j.Touch(now)
}

// Cancel cancels the job unless it is over.
func (j *Job) Cancel(now unit.Instant) {
	if j.Phase.Final() {
		return
	}
	j.Phase, j.Queue = Cancelled, nil
	j.Touch(now)
}

// Counts is how long a task must have run when it is stopped for its start to
// count to its user, with a margin.
const Counts = 35 * time.Second

// Fresh lists up to n queued tasks that have never run for long enough to count
// as started.
func (j *Job) Fresh(n int) []unit.TaskIndex {
	var out []unit.TaskIndex
	j.Queue.Each(func(i unit.TaskIndex) bool {
		if len(out) < n && !j.Ran.Has(i) {
			out = append(out, i)
		}
		return len(out) < n
	})
	return out
}

// Begun tells whether any task of the job has been started or is done.
func (j *Job) Begun() bool { return len(j.Live) > 0 || len(j.Done) > 0 }

// Running counts the tasks that are seen running.
func (j *Job) Running() int {
	n := 0
	for _, p := range j.Live {
		if p.State == Running || p.State == Flushing {
			n++
		}
	}
	return n
}

// Urgent tells whether somebody waits for the record to be written.
func (j *Job) Urgent() bool { return j.Dirty() && j.Phase != j.StoredPhase }

// Record is the checkpoint of the job as it stands. Placements that a round
// under way proposes are not in it: they come to the job with that round.
func (j *Job) Record(epoch unit.Epoch) *Record {
	r := &Record{Schema: schemaPlain, Spec: j.Spec, Accepted: j.Accepted, Phase: j.Phase,
		Epoch: epoch, Round: j.Round, Done: j.Done.Clone(), Live: j.groups()}
	switch {
	case j.Phase.Final() && len(r.Live) > 0:
		r.Next = Halt
	case j.Phase.Final():
		r.Next = None
	case len(r.Live) > 0:
		r.Next = Reconcile
	default:
		r.Next = Place
	}
	return r
}

type groupKey struct {
	machine unit.MachineID
	session unit.Session
	attempt unit.Attempt
}

func (p *Placement) group() groupKey { return groupKey{p.Machine, p.Session, p.Attempt} }

func (j *Job) groups() []Group {
	at := map[groupKey]int{}
	var out []Group
	for _, p := range j.Live {
		k := p.group()
		n, ok := at[k]
		if !ok {
			n = len(out)
			at[k] = n
			out = append(out, Group{Machine: p.Machine, Session: p.Session, Attempt: p.Attempt})
		}
		out[n].Tasks.Add(p.Task)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].Machine != out[b].Machine {
			return out[a].Machine < out[b].Machine
		}
		return out[a].Attempt < out[b].Attempt
	})
	return out
}

const (
	// recordSize bounds, in JSON, what a record holds beside its spec and what
	// is packed.
	recordSize = 256
	// groupHead bounds the bytes of a packed group, leaving aside its tasks
	// and the name of its machine: heads, session and attempt.
	groupHead = 16
)

// Room is how many packed bytes more the record may hold.
type Room int

// Room tells how much may be added to the tasks under way so that the record
// stays below limit bytes in each of its parts, whatever order they end in.
// Every task under way is, at any later time, at most one span of its group or
// of the done ranges.
func (j *Job) Room(limit, parts, specSize int) Room {
	room := Room(Capacity(limit, parts, specSize)*3/4 - j.Done.PackedSize() - 5)
	seen := map[groupKey]bool{}
	for _, p := range j.Live {
		if k := p.group(); !seen[k] {
			seen[k] = true
			room -= j.groupCost(p.Machine)
		}
	}
	return room - j.taskCost()*Room(len(j.Live))
}

// Fit is how many of n tasks may be added as one group on the machine.
func (j *Job) Fit(r Room, m unit.MachineID, n int) int {
	return max(0, min(n, int((r-j.groupCost(m))/j.taskCost())))
}

// Alone is how many tasks may be added, each on a machine of its own.
func (j *Job) Alone(r Room) int {
	const longName = 32
	return max(0, int(r/(groupHead+longName+j.taskCost())))
}

// Cost is what n tasks that are added as one group take of the room.
func (j *Job) Cost(m unit.MachineID, n int) Room {
	return j.groupCost(m) + j.taskCost()*Room(n)
}

func (j *Job) groupCost(m unit.MachineID) Room { return Room(groupHead + len(m)) }

func (j *Job) taskCost() Room { return Room(2 * unit.NumberSize(uint64(j.Spec.Tasks))) }
