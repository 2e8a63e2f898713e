package controller

import (
	"maps"
	"slices"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/recovery"
)

// JobRequest is a user's status query or cancel request.
type JobRequest struct {
	Responder Responder[JobReply]
	Job       ident.JobID
	Cancel    bool
}

// JobReply answers a JobRequest.
type JobReply struct {
	Responder Responder[JobReply]
	Outcome   api.QueryOutcome
	Status    api.Status
	// ValidUntil is the deadline for sending a reply that holds the status of a job.
	ValidUntil clock.Instant
}

// JobChanged notifies the leader that a job was stored or has changed.
type JobChanged struct {
	Job         ident.JobID
	ModRevision ident.Revision // 0 if unknown
}

// ReadJobRecord is the effect that reads the record of one job and its chunks.
type ReadJobRecord struct{ Job ident.JobID }

// JobRecordRead is the outcome of a ReadJobRecord.
type JobRecordRead struct {
	Job    ident.JobID
	OK     bool
	Item   kvstore.KeyValue
	Chunks map[int][]byte // by chunk number
}

// Deliver sends the reply to the responder of the request.
func (r JobReply) Deliver() { r.Responder.Respond(r) }

func (JobRequest) input()     {}
func (JobChanged) input()     {}
func (JobRecordRead) input()  {}
func (JobReply) effect()      {}
func (ReadJobRecord) effect() {}

// cancelStoreTimeout bounds how long a cancel request waits until the checkpoint of its job is stored.
const cancelStoreTimeout = 1500 * time.Millisecond

// jobChanged reads the record of a job that was stored or changed after the leader loaded the records.
func (t *term) jobChanged(in JobChanged) {
	if t.recovery.isLoaded() {
		t.jobs.readIfOutdated(in.Job, in.ModRevision)
	}
}

// jobRecordRead adds a job from its record, or adopts a record that is newer than the known one.
func (t *term) jobRecordRead(now clock.Instant, in JobRecordRead) {
	t.jobs.readCompleted(in.Job)
	if !t.recovery.isLoaded() || !in.OK || in.Item.ModRevision == 0 {
		return
	}
	j := t.jobs.get(in.Job)
	if j == nil {
		t.acceptJob(now, in)
		return
	}
	if j.WriteInFlight || in.Item.ModRevision <= j.Stored.ModRevision {
		return
	}
	// Only this leader changes job records, since each of its writes is conditional on its epoch. A newer record was
	// therefore written by this leader, and the response to that write was lost. Its revision is adopted, and the
	// record is written again on top of it.
	t.metrics.CASConflicts.Inc()
	j.Stored.ModRevision, j.Stored.ChunkOffset = in.Item.ModRevision, 0
	if r, err := jobs.Decode(in.Item.Value); err == nil {
		t.adoptStoredRecord(now, j, r)
	}
	j.MarkDirty(now)
}

// acceptJob adds a job that was stored after this leader loaded the records.
func (t *term) acceptJob(now clock.Instant, in JobRecordRead) {
	stored, err := recovery.DecodeJob(in.Job, in.Item, func(n int) []byte { return in.Chunks[n] })
	if err != nil {
		t.reportUnreadable(recovery.UnreadableRecord{Key: in.Item.Key, Err: err})
		return
	}
	t.addJob(now, stored)
	spec := &stored.Record.Spec
	t.log.Info("job accepted", "job", in.Job, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks, "epoch", t.epoch)
}

// adoptStoredRecord adopts the chunk offset and the final phase from the head of a record that a write of this leader
// has stored.
func (t *term) adoptStoredRecord(now clock.Instant, j *jobs.Job, head *jobs.Record) {
	if head.ChunkInfo != nil {
		j.Stored.ChunkOffset = head.ChunkInfo.Offset
	}
	if !head.Phase.Final() {
		return
	}
	if !j.Phase.Final() {
		j.Phase, j.Queue = head.Phase, nil
		t.stopCancelledTasks(now, j)
	}
	j.Stored.Phase = head.Phase
}

// handleJobRequest passes a user's request to the term if this node holds a valid lease and has loaded the records.
// Otherwise it replies NoLeader.
func (c *Core) handleJobRequest(now clock.Instant, in JobRequest) {
	if !c.election.LeaseValid(now) || c.term == nil || !c.term.recovery.isLoaded() {
		c.emit(JobReply{Responder: in.Responder, Outcome: api.NoLeader})
		return
	}
	c.term.handleJobRequest(now, in)
}

// handleJobRequest answers a status query, or starts a cancellation.
func (t *term) handleJobRequest(now clock.Instant, in JobRequest) {
	j := t.jobs.get(in.Job)
	if j == nil {
		t.jobChanged(JobChanged{Job: in.Job})
		t.emit(JobReply{Responder: in.Responder, Outcome: api.JobNotFound})
		return
	}
	switch {
	case in.Cancel && !j.Stored.Phase.Final():
		t.cancel(now, j, in.Responder)
	case !in.Cancel && isFinalPhaseInFlight(j):
		t.emit(JobReply{Responder: in.Responder, Outcome: api.JobNotFound})
	default:
		t.emit(JobReply{Responder: in.Responder, Outcome: api.JobFound, Status: api.StatusOfJob(j), ValidUntil: t.core.election.LeaseValidUntil()})
	}
}

// cancel cancels a job. The reply is sent once the cancellation is stored.
func (t *term) cancel(now clock.Instant, j *jobs.Job, responder Responder[JobReply]) {
	if !j.Phase.Final() {
		t.log.Info("job cancelled", "job", j.ID, "epoch", t.epoch)
	}
	j.Cancel(now)
	t.stopCancelledTasks(now, j)
	t.jobs.addPendingCancel(now, j.ID, responder)
	t.rounds.requestPlan()
}

// isFinalPhaseInFlight reports whether the final phase of a job is being written, and may already be stored. If the
// response to the write is late or lost, another node may have read the phase and reported it to a user. Until the
// write completes, only the stored record shows which phase is valid.
func isFinalPhaseInFlight(j *jobs.Job) bool {
	return j.WriteInFlight && j.Phase.Final() && !j.Stored.Phase.Final()
}

// stopCancelledTasks stops the tasks of a cancelled job, except those whose start is being recorded.
func (t *term) stopCancelledTasks(now clock.Instant, j *jobs.Job) {
	if j.Phase != jobs.PhaseCancelled {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(j.Placements)) {
		if !t.rounds.isPlacementInFlight(j.Placements[i]) {
			t.fleet.StopPlacement(now, j.Placements[i], 0)
		}
	}
}
