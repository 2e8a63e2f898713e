// Package jobs holds what is kept of a job: its spec, and the checkpoint from which any leader
// can go on. The record in the state service is the authority; the Job in memory is the
// leader's working copy of it. The package owns the record's schemas, how it is split where it
// does not fit one value, and how much may be placed so that it still fits; when records are
// written, and where tasks are placed, is left to the callers.
package jobs

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
)

// MinCountedRunTime is how long a task must have run when it is stopped for its start to
// count to its user, with a margin.
const MinCountedRunTime = 35 * time.Second

// Job is the leader's working copy of a job.
type Job struct {
	ID           ident.JobID
	Spec         Spec
	AcceptedAtMs int64 // time of day
	Phase        Phase
	Done         indexset.Set
	Queue        indexset.Set // tasks that wait to be placed
	Placements   map[ident.TaskIndex]*Placement
	LastRound    ident.RoundNo // the last committed round that started tasks of it

	Stored       StoredState
	ChangeSeq    uint64 // counts changes
	DirtySince   clock.Instant
	FoldInFlight bool // the record is being written

	// StartedTasks holds the tasks that have run for long enough to count as started, as
	// far as this leader has seen.
	StartedTasks indexset.Set

	ConsecutiveFailures int
	LastFailedAttempt   ident.Attempt // of a gang
	IncompleteSince     clock.Instant // of a gang, since when it lacks a task; 0: it does not
	BackoffUntil        clock.Instant // nothing is placed before
	AvoidUntil          map[ident.MachineID]clock.Instant
	PlacementsByZone    map[ident.Zone]int
	QueuedSince         clock.Instant // since when tasks have been waiting
	LastPlacedAt        clock.Instant
	KnownSince          clock.Instant // when this leader learned of the job
}

// StoredState is what the leader knows of a job's stored record.
type StoredState struct {
	ModRevision ident.Revision
	Seq         uint64 // the job's ChangeSeq that it holds
	Round       ident.RoundNo
	Phase       Phase
	DoneTasks   int
	ChunkOffset int // the number before that of its first chunk; see Record.SplitMultiTxn
}

// NewJob makes the working copy of the stored record that has the revision. Its placements
// are left to the caller, who knows what may still be on the machines.
func NewJob(id ident.JobID, r *Record, revision ident.Revision, now clock.Instant) *Job {
	j := &Job{
		ID:           id,
		Spec:         r.Spec,
		AcceptedAtMs: r.AcceptedAtMs,
		Phase:        r.Phase,
		Done:         r.Done.Clone(),
		Placements:   map[ident.TaskIndex]*Placement{},
		LastRound:    r.LastRound,
		Stored: StoredState{
			ModRevision: revision,
			Round:       r.LastRound,
			Phase:       r.Phase,
			DoneTasks:   r.Done.Len(),
			ChunkOffset: r.ChunkOffset,
		},
		PlacementsByZone: map[ident.Zone]int{},
		QueuedSince:      now,
		KnownSince:       now,
	}
	if !j.Phase.Final() {
		j.Queue = j.Done.Complement(j.Spec.Tasks)
	}
	return j
}

// StateOnceStored is the stored state once r, the record of the job as it stands, is written;
// the revision and the chunks are known only then.
func (j *Job) StateOnceStored(r *Record) StoredState {
	return StoredState{Seq: j.ChangeSeq, Round: r.LastRound, Phase: r.Phase, DoneTasks: r.Done.Len()}
}

// MarkDirty marks the job as changed since its record was written.
func (j *Job) MarkDirty(now clock.Instant) {
	if !j.Dirty() {
		j.DirtySince = now
	}
	j.ChangeSeq++
}

// Dirty tells whether the record lags behind the working copy.
func (j *Job) Dirty() bool { return j.ChangeSeq != j.Stored.Seq }

// AddPlacement takes a placement of a queued task in.
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

// CompleteTask notes that a task has completed. The tasks of a gang complete
// together.
func (j *Job) CompleteTask(now clock.Instant, task ident.TaskIndex) {
	if int(task) >= j.Spec.Tasks || !j.Done.Add(task) {
		return
	}
	j.Queue.Remove(task)
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

// UnstartedTasks lists up to n queued tasks that have never run for long enough to count
// as started.
func (j *Job) UnstartedTasks(n int) []ident.TaskIndex {
	var tasks []ident.TaskIndex
	for task := range j.Queue.All() {
		if len(tasks) >= n {
			break
		}
		if !j.StartedTasks.Contains(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// HasStarted tells whether any task of the job is placed or done.
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
func (j *Job) NeedsUrgentFold() bool { return j.Dirty() && j.Phase != j.Stored.Phase }

// Record is the checkpoint of the job as it stands, written by the leader of the epoch.
// Placements that a round in flight proposes are not in it: they come to the job with that
// round.
func (j *Job) Record(epoch ident.Epoch) *Record {
	r := &Record{
		SchemaVersion: schemaPlain,
		Spec:          j.Spec,
		AcceptedAtMs:  j.AcceptedAtMs,
		Phase:         j.Phase,
		Epoch:         epoch,
		LastRound:     j.LastRound,
		Done:          j.Done.Clone(),
		Placements:    j.placementGroups(),
	}
	r.Next = r.nextAction()
	return r
}
