package controller

import (
	"iter"
	"maps"
	"slices"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/recovery"
)

// jobTable is the leader's copy of all jobs, with the reads of job records in flight and the cancel requests that wait
// for a checkpoint.
type jobTable struct {
	*environment
	byID           map[ident.JobID]*jobs.Job
	specBytes      map[ident.JobID]int // size of the spec as JSON
	readsInFlight  map[ident.JobID]bool
	pendingCancels map[ident.JobID][]pendingCancel
	typicalSpecs   map[ident.Class]*jobs.Spec // of the last active job added of each class, or else of the first job
}

// pendingCancel is a cancel request whose reply waits for the checkpoint of its job.
type pendingCancel struct {
	responder Responder[JobReply]
	deadline  clock.Instant
}

func newJobTable(env *environment) *jobTable {
	return &jobTable{environment: env, byID: map[ident.JobID]*jobs.Job{}, specBytes: map[ident.JobID]int{},
		readsInFlight: map[ident.JobID]bool{}, pendingCancels: map[ident.JobID][]pendingCancel{},
		typicalSpecs: map[ident.Class]*jobs.Spec{}}
}

// get returns a job, or nil if it is unknown.
func (t *jobTable) get(id ident.JobID) *jobs.Job { return t.byID[id] }

func (t *jobTable) len() int { return len(t.byID) }

// all iterates over the jobs in no particular order.
func (t *jobTable) all() iter.Seq[*jobs.Job] { return maps.Values(t.byID) }

// add adds a job from its record, without placements.
func (t *jobTable) add(now clock.Instant, stored recovery.JobRecord) *jobs.Job {
	spec := &stored.Record.Spec
	j := jobs.NewJob(stored.ID, stored.Record, stored.Revision, now)
	t.byID[j.ID] = j
	if t.typicalSpecs[spec.Class] == nil || stored.Record.Phase == jobs.PhaseActive {
		t.typicalSpecs[spec.Class] = &j.Spec
	}
	t.specBytes[j.ID] = kvstore.JSONSize(spec)
	return j
}

// specJSONSize returns the size of a job's spec as JSON, in bytes.
func (t *jobTable) specJSONSize(j *jobs.Job) int { return t.specBytes[j.ID] }

// typicalByClass returns the typical spec of each class, sorted by class name.
func (t *jobTable) typicalByClass() []*jobs.Spec {
	var specs []*jobs.Spec
	for _, class := range slices.Sorted(maps.Keys(t.typicalSpecs)) {
		specs = append(specs, t.typicalSpecs[class])
	}
	return specs
}

// readIfOutdated reads a job's record, unless the revision is already known or this leader is writing the record.
func (t *jobTable) readIfOutdated(id ident.JobID, revision ident.Revision) {
	j := t.byID[id]
	known := j != nil && (revision <= j.Stored.ModRevision || j.WriteInFlight)
	if !known {
		t.read(id)
	}
}

// read reads a job's record, unless a read of it is in flight.
func (t *jobTable) read(id ident.JobID) {
	if t.readsInFlight[id] {
		return
	}
	t.readsInFlight[id] = true
	t.emit(ReadJobRecord{Job: id})
}

func (t *jobTable) readCompleted(id ident.JobID) { delete(t.readsInFlight, id) }

// addPendingCancel makes a cancel request wait for the checkpoint of its job.
func (t *jobTable) addPendingCancel(now clock.Instant, id ident.JobID, responder Responder[JobReply]) {
	t.pendingCancels[id] = append(t.pendingCancels[id], pendingCancel{responder, now.Add(cancelStoreTimeout)})
}

// hasPendingCancels reports whether a cancel request waits for the checkpoint of a job.
func (t *jobTable) hasPendingCancels(id ident.JobID) bool { return len(t.pendingCancels[id]) > 0 }

// answerCancellations answers all pending cancel requests for a job.
func (t *jobTable) answerCancellations(id ident.JobID, outcome api.QueryOutcome, validUntil clock.Instant) {
	for _, pending := range t.pendingCancels[id] {
		reply := JobReply{Responder: pending.responder, Outcome: outcome, ValidUntil: validUntil}
		if j := t.byID[id]; j != nil {
			reply.Status = api.StatusOfJob(j)
		}
		t.emit(reply)
	}
	delete(t.pendingCancels, id)
}

// answerOverdueCancellations replies LeaderBusy to the pending cancel requests of each job whose oldest request is past
// its deadline.
func (t *jobTable) answerOverdueCancellations(now clock.Instant) {
	for _, id := range slices.Sorted(maps.Keys(t.pendingCancels)) {
		if pending := t.pendingCancels[id]; len(pending) > 0 && !now.Before(pending[0].deadline) {
			t.answerCancellations(id, api.LeaderBusy, 0)
		}
	}
}

// abandonCancellations replies NoLeader to all pending cancel requests when leadership ends.
func (t *jobTable) abandonCancellations() {
	for _, id := range slices.Sorted(maps.Keys(t.pendingCancels)) {
		t.answerCancellations(id, api.NoLeader, 0)
	}
}
