// Package jobs defines the state that is kept for each job: its spec, and the checkpoint from
// which any leader can resume it. The record in the state service is authoritative; a Job in
// memory is the leader's working copy of it. The package owns the record's schemas, splits a
// record that does not fit into one value, and bounds how many tasks may be placed so that the
// record still fits. Callers decide when records are written and where tasks are placed.
package jobs

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
)

// MinCountedRunTime is how long a task must have run before it is stopped so that the start
// counts for its user. It includes a margin.
const MinCountedRunTime = 35 * time.Second

// Job is the leader's working copy of a job.
type Job struct {
	ID           ident.JobID
	Spec         Spec
	AcceptedAtMs int64 // time of day
	Phase        Phase
	Done         indexset.Set
	Queue        indexset.Set // tasks waiting to be placed
	Placements   map[ident.TaskIndex]*Placement
	LastRound    ident.RoundNo // the last committed round that started tasks of the job

	Stored        StoredState
	ChangeSeq     uint64        // incremented by each change
	DirtySince    clock.Instant // since when the stored record has lagged behind
	WriteInFlight bool          // a write of the record is in flight

	// StartedTasks holds the tasks that have run for at least MinCountedRunTime, as far as
	// this leader has observed.
	StartedTasks indexset.Set

	ConsecutiveFailures int
	LastFailedAttempt   ident.Attempt // for a gang
	IncompleteSince     clock.Instant // for a gang: since when it has lacked a task; 0: it lacks none
	BackoffUntil        clock.Instant // no task is placed before this instant
	AvoidUntil          map[ident.MachineID]clock.Instant
	PlacementsByZone    map[ident.Zone]int
	QueuedSince         clock.Instant // since when tasks have been waiting to be placed
	LastPlacedAt        clock.Instant
	KnownSince          clock.Instant // when this leader created the working copy
}

// StoredState describes a job's stored record, as far as the leader knows it.
type StoredState struct {
	ModRevision ident.Revision
	Seq         uint64 // the job's ChangeSeq that the record reflects
	Round       ident.RoundNo
	Phase       Phase
	DoneTasks   int
	ChunkOffset int // one less than the number of its first chunk; see Record.SplitMultiTxn
}

// NewJob returns a working copy of the record that is stored with the given revision. The
// caller adds the placements, because it knows which tasks may still be on the machines.
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

// StateAfterWrite returns the job's stored state after a successful write of r, the record of
// its current state. It leaves out the revision and the chunk offset, which are known only after
// the write.
func (j *Job) StateAfterWrite(r *Record) StoredState {
	return StoredState{Seq: j.ChangeSeq, Round: r.LastRound, Phase: r.Phase, DoneTasks: r.Done.Len()}
}

// MarkDirty notes a change that the stored record does not reflect yet.
func (j *Job) MarkDirty(now clock.Instant) {
	if !j.Dirty() {
		j.DirtySince = now
	}
	j.ChangeSeq++
}

// Dirty reports whether the stored record lags behind the working copy.
func (j *Job) Dirty() bool { return j.ChangeSeq != j.Stored.Seq }

// AddPlacement adds a placement of a queued task and removes the task from the queue.
func (j *Job) AddPlacement(p *Placement, zone ident.Zone) {
	j.Queue.Remove(p.Task)
	j.Placements[p.Task] = p
	j.PlacementsByZone[zone]++
	j.LastPlacedAt = max(j.LastPlacedAt, p.PlacedAt)
}

// EndPlacement removes a placement whose task certainly cannot run any more. If requeue is set,
// the task is queued again unless it is done or the job's phase is final.
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

// CompleteTask marks a task as done. The tasks of a gang complete together, so all of them are
// marked.
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

// Cancel cancels the job unless its phase is final.
func (j *Job) Cancel(now clock.Instant) {
	if j.Phase.Final() {
		return
	}
	j.Phase, j.Queue = PhaseCancelled, nil
	j.MarkDirty(now)
}

// UnstartedTasks returns up to n queued tasks that have never run for MinCountedRunTime.
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

// Avoids reports whether the job avoids a machine, because it has just failed there.
func (j *Job) Avoids(id ident.MachineID, now clock.Instant) bool {
	until, failed := j.AvoidUntil[id]
	return failed && !until.Before(now)
}

// WaitingSince returns since when the queued tasks have been waiting without any of them being
// placed.
func (j *Job) WaitingSince() clock.Instant { return max(j.QueuedSince, j.LastPlacedAt) }

// HasStarted reports whether any task of the job is placed or done.
func (j *Job) HasStarted() bool { return len(j.Placements) > 0 || len(j.Done) > 0 }

// RunningTasks returns the number of tasks that are observed running or checkpointing.
func (j *Job) RunningTasks() int {
	n := 0
	for _, p := range j.Placements {
		if p.State == PlacementRunning || p.State == PlacementCheckpointing {
			n++
		}
	}
	return n
}

// NeedsUrgentWrite reports whether somebody is waiting for the record to be written, which is the
// case when the phase has changed since the last write.
func (j *Job) NeedsUrgentWrite() bool { return j.Dirty() && j.Phase != j.Stored.Phase }

// Record returns the checkpoint of the job's current state, to be written by the leader of the
// given epoch. It does not include the placements that a round in flight proposes, because the
// job receives them only when that round is committed.
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
