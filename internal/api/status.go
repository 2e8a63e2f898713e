package api

import (
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// JobState is the state of a job that is reported to users. Its values are sent on the
// wire.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// Status is the status of a job that is reported to users.
type Status struct {
	State                   JobState
	DoneTasks, RunningTasks int
}

// StatusOfJob returns the status of a job from the leader's in-memory state. It uses the
// stored phase, so a final phase is reported only after it has been stored: otherwise a
// later leader, which reads the stored phase, could report the job as active again.
func StatusOfJob(j *jobs.Job) Status {
	return newStatus(j.Stored.Phase, j.Done.Len(), j.RunningTasks())
}

// StatusOfRecord returns the status of a job from its stored record.
func StatusOfRecord(r *jobs.Record) Status {
	if info := r.ChunkInfo; info != nil {
		return newStatus(r.Phase, info.DoneTasks, info.LiveTasks)
	}
	return newStatus(r.Phase, r.Done.Len(), r.LiveTasks())
}

func newStatus(phase jobs.Phase, done, running int) Status {
	switch {
	case phase == jobs.PhaseDone:
		return Status{State: Done, DoneTasks: done}
	case phase == jobs.PhaseCancelled:
		return Status{State: Cancelled, DoneTasks: done}
	case running > 0:
		return Status{State: Running, DoneTasks: done, RunningTasks: running}
	}
	return Status{State: Queued, DoneTasks: done}
}

// statusMessage is the body of a 200 or 201 response.
type statusMessage struct {
	ID           ident.JobID `msgpack:"id"`
	State        JobState    `msgpack:"standing"`
	DoneTasks    int         `msgpack:"done"`
	RunningTasks int         `msgpack:"running"`
}

// EncodeStatus encodes the body of a 200 or 201 response as MessagePack.
func EncodeStatus(id ident.JobID, s Status) ([]byte, error) {
	return msgpack.Marshal(statusMessage{ID: id, State: s.State, DoneTasks: s.DoneTasks, RunningTasks: s.RunningTasks})
}
