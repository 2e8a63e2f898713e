package jobs

import (
	"sort"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
)

// PlacementState is how far a placement is known to have come.
type PlacementState int

// States of a placement. Each but Ended means that the task may be on the
// machine, or may yet come to be.
const (
	PlacementPending PlacementState = iota // recorded; not seen on the machine
	PlacementFetching
	PlacementRunning
	PlacementCheckpointing
	PlacementEnded
)

// Placement is one attempt to run a task on one machine. It is over only when
// it surely can't run any more; until then it counts for limits and places.
type Placement struct {
	Job     *Job
	Task    ident.TaskIndex
	Machine ident.MachineID
	Session ident.Session
	Attempt ident.Attempt
	RoundNo ident.RoundNo // that placed it; 0: an earlier leader did
	State   PlacementState
	// FencingToken is the highest token a launch may have been sent under. A report
	// with a higher one that lacks the task proves that it never will start.
	FencingToken ident.Epoch
	// StartAllowed tells that the launch may be (re)sent.
	StartAllowed bool
	// Stopping is set once the task has been told to stop, with Leave.
	Stopping        bool
	GracePeriod     time.Duration
	StopRequestedAt clock.Instant // when it was first told to stop
	PlacedAt        clock.Instant
	RunningSince    clock.Instant // when it was first seen running
	// EndSeq is the job's sequence number at which the end was taken in; the
	// exit may be reaped once that much is stored.
	EndSeq uint64
}

// ID is the name of the placement's task.
func (p *Placement) ID() ident.TaskID { return ident.TaskID{Job: p.Job.ID, Index: p.Task} }

// Job is the leader's working copy of a job.
type Job struct {
	ID           ident.JobID
	Spec         Spec
	AcceptedAtMs int64
	Phase        Phase
	Done         indexset.Set
	Queue        indexset.Set
	Placements   map[ident.TaskIndex]*Placement
	LastRound    ident.RoundNo // the last committed round that started tasks of it

	ModRevision          ident.Revision // of the stored record
	StoredChunkOffset    int            // the number before that of its first part; see Record.Stage
	ChangeSeq, StoredSeq uint64         // changes made, changes stored
	StoredRound          ident.RoundNo
	StoredPhase          Phase
	StoredDoneTasks      int // tasks that the record counts as done
	DirtySince           clock.Instant
	FoldInFlight         bool

	// StartedTasks holds the tasks that have run for long enough to count as started, as
	// far as this leader has seen.
	StartedTasks indexset.Set

	ConsecutiveFailures int           // failures in a row
	LastFailedAttempt   ident.Attempt // of a gang, the last that has failed
	IncompleteSince     clock.Instant // of a gang, since when it lacks a task; 0: it does not
	BackoffUntil        clock.Instant // no placing before
	AvoidUntil          map[ident.MachineID]clock.Instant
	PlacementsByZone    map[ident.Zone]int // live placements
	QueuedSince         clock.Instant      // since when tasks have been waiting
	LastPlacedAt        clock.Instant      // when a task was last placed
	KnownSince          clock.Instant      // when this leader learned of the job
}

// NewJob makes the working copy of a stored record. Placements in the record
// are left to the caller, who knows what may still be on the machines.
func NewJob(id ident.JobID, r *Record, version ident.Revision, now clock.Instant) *Job {
	j := &Job{ID: id, Spec: r.Spec, AcceptedAtMs: r.AcceptedAtMs, Phase: r.Phase, Done: r.Done.Clone(),
		Placements: map[ident.TaskIndex]*Placement{}, LastRound: r.LastRound, ModRevision: version,
		StoredRound: r.LastRound, StoredPhase: r.Phase, StoredChunkOffset: r.ChunkOffset, StoredDoneTasks: r.Done.Len(), PlacementsByZone: map[ident.Zone]int{}, QueuedSince: now, KnownSince: now}
	if !j.Phase.Final() {
		j.Queue = complement(j.Done, j.Spec.Tasks)
	}
	return j
}

func complement(done indexset.Set, n int) indexset.Set {
	var out indexset.Set
	next := ident.TaskIndex(0)
	for _, s := range done {
		if s.First > next {
			out = append(out, indexset.Span{First: next, Last: s.First - 1})
		}
		next = s.Last + 1
	}
	if int(next) < n {
		out = append(out, indexset.Span{First: next, Last: ident.TaskIndex(n - 1)})
	}
	return out
}

// MarkDirty marks the job as changed since its record was written.
func (j *Job) MarkDirty(now clock.Instant) {
	if !j.Dirty() {
		j.DirtySince = now
	}
	j.ChangeSeq++
}

// Dirty tells whether the record lags behind the working copy.
func (j *Job) Dirty() bool { return j.ChangeSeq != j.StoredSeq }

// AddPlacement puts a placement under way in place of the queued task.
func (j *Job) AddPlacement(p *Placement, zone ident.Zone) {
	j.Queue.Remove(p.Task)
	j.Placements[p.Task] = p
	j.PlacementsByZone[zone]++
	j.LastPlacedAt = max(j.LastPlacedAt, p.PlacedAt)
}

// EndPlacement takes a placement out that is surely over. With requeue its task waits
// to be placed again, unless it is done or the job is over.
func (j *Job) EndPlacement(now clock.Instant, p *Placement, zone ident.Zone, requeue bool) {
	if j.Placements[p.Task] != p {
		return
	}
	delete(j.Placements, p.Task)
	if p.runTime(now) >= MinCountedRunTime {
		j.StartedTasks.Add(p.Task)
	}
	j.PlacementsByZone[zone]--
	p.State = PlacementEnded
	if requeue && !j.Phase.Final() && !j.Done.Contains(p.Task) {
		if len(j.Queue) == 0 {
			j.QueuedSince = now
		}
		j.Queue.Add(p.Task)
	}
	j.MarkDirty(now)
	p.EndSeq = j.ChangeSeq
}

// runTime is how long the task has run, up to when it was told to stop. What it
// took to save after that is no run: tasks stopped a little too early passed
// for started, and then waited behind all others for their next start.
func (p *Placement) runTime(now clock.Instant) time.Duration {
	if p.RunningSince == 0 {
		return 0
	}
	if p.Stopping {
		now = min(now, p.StopRequestedAt)
	}
	return now.Sub(p.RunningSince)
}

// CompleteTask notes that a task has completed. The tasks of a gang complete
// together.
func (j *Job) CompleteTask(now clock.Instant, i ident.TaskIndex) {
	if int(i) >= j.Spec.Tasks || !j.Done.Add(i) {
		return
	}
	j.Queue.Remove(i)
	if j.Spec.Gang {
		j.Done, j.Queue = indexset.Full(j.Spec.Tasks), nil
	}
	j.ConsecutiveFailures = 0
	if j.Phase == PhaseActive && j.Done.Len() == j.Spec.Tasks {
		j.Phase = PhaseDone
	}
	j.MarkDirty(now)
}

// Cancel cancels the job unless it is over.
func (j *Job) Cancel(now clock.Instant) {
	if j.Phase.Final() {
		return
	}
	j.Phase, j.Queue = PhaseCancelled, nil
	j.MarkDirty(now)
}

// MinCountedRunTime is how long a task must have run when it is stopped for its start to
// count to its user, with a margin.
const MinCountedRunTime = 35 * time.Second

// UnstartedTasks lists up to n queued tasks that have never run for long enough to count
// as started.
func (j *Job) UnstartedTasks(n int) []ident.TaskIndex {
	var out []ident.TaskIndex
	j.Queue.Each(func(i ident.TaskIndex) bool {
		if len(out) < n && !j.StartedTasks.Contains(i) {
			out = append(out, i)
		}
		return len(out) < n
	})
	return out
}

// HasStarted tells whether any task of the job has been started or is done.
func (j *Job) HasStarted() bool { return len(j.Placements) > 0 || len(j.Done) > 0 }

// RunningTasks counts the tasks that are seen running.
func (j *Job) RunningTasks() int {
	n := 0
	for _, p := range j.Placements {
		if p.State == PlacementRunning || p.State == PlacementCheckpointing {
			n++
		}
	}
	return n
}

// NeedsUrgentFold tells whether somebody waits for the record to be written.
func (j *Job) NeedsUrgentFold() bool { return j.Dirty() && j.Phase != j.StoredPhase }

// Record is the checkpoint of the job as it stands. Placements that a round
// under way proposes are not in it: they come to the job with that round.
func (j *Job) Record(epoch ident.Epoch) *Record {
	r := &Record{SchemaVersion: schemaPlain, Spec: j.Spec, AcceptedAtMs: j.AcceptedAtMs, Phase: j.Phase,
		Epoch: epoch, LastRound: j.LastRound, Done: j.Done.Clone(), Placements: j.placementGroups()}
	switch {
	case j.Phase.Final() && len(r.Placements) > 0:
		r.Next = ActionStop
	case j.Phase.Final():
		r.Next = ActionNone
	case len(r.Placements) > 0:
		r.Next = ActionReconcile
	default:
		r.Next = ActionPlace
	}
	return r
}

type placementKey struct {
	machine ident.MachineID
	session ident.Session
	attempt ident.Attempt
}

func (p *Placement) groupKey() placementKey { return placementKey{p.Machine, p.Session, p.Attempt} }

func (j *Job) placementGroups() []PlacementGroup {
	at := map[placementKey]int{}
	var out []PlacementGroup
	for _, p := range j.Placements {
		k := p.groupKey()
		n, ok := at[k]
		if !ok {
			n = len(out)
			at[k] = n
			out = append(out, PlacementGroup{Machine: p.Machine, Session: p.Session, Attempt: p.Attempt})
		}
		out[n].Tasks.Add(p.Task)
	}
	sort.Slice(out, func(a, b int) bool {
		switch {
		case out[a].Machine != out[b].Machine:
			return out[a].Machine < out[b].Machine
		case out[a].Attempt != out[b].Attempt:
			return out[a].Attempt < out[b].Attempt
		}
		return out[a].Session < out[b].Session
	})
	return out
}

const (
	// recordOverheadBytes bounds, in JSON, what a record holds beside its spec and what
	// is packed.
	recordOverheadBytes = 256
	// groupOverheadBytes bounds the bytes of a packed group, leaving aside its tasks
	// and the name of its machine: heads, session and attempt.
	groupOverheadBytes = 16
)

// SpareBytes is how many packed bytes more the record may hold.
type SpareBytes int

// SpareBytes tells how much may be added to the tasks under way so that the record
// stays below limit bytes in each of its parts, whatever order they end in.
// Every task under way is, at any later time, at most one span of its group or
// of the done ranges.
func (j *Job) SpareBytes(limit, parts, specSize int) SpareBytes {
	room := SpareBytes(RecordCapacity(limit, parts, specSize)*3/4 - j.Done.DeltaSizeBound() - 5)
	seen := map[placementKey]bool{}
	for _, p := range j.Placements {
		if k := p.groupKey(); !seen[k] {
			seen[k] = true
			room -= j.groupOverhead(p.Machine)
		}
	}
	return room - j.bytesPerTask()*SpareBytes(len(j.Placements))
}

// FittingTasks is how many of n tasks may be added as one group on the machine.
func (j *Job) FittingTasks(r SpareBytes, m ident.MachineID, n int) int {
	return max(0, min(n, int((r-j.groupOverhead(m))/j.bytesPerTask())))
}

// FittingSingleTasks is how many tasks may be added, each on a machine of its own.
func (j *Job) FittingSingleTasks(r SpareBytes) int {
	const longName = 32
	return max(0, int(r/(groupOverheadBytes+longName+j.bytesPerTask())))
}

// GroupBytes is what n tasks that are added as one group take of the room.
func (j *Job) GroupBytes(m ident.MachineID, n int) SpareBytes {
	return j.groupOverhead(m) + j.bytesPerTask()*SpareBytes(n)
}

func (j *Job) groupOverhead(m ident.MachineID) SpareBytes {
	return SpareBytes(groupOverheadBytes + len(m))
}

func (j *Job) bytesPerTask() SpareBytes {
	return SpareBytes(2 * indexset.UintSize(uint64(j.Spec.Tasks)))
}
