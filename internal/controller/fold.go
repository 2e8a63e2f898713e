package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

const (
	// maxFoldBytes keeps a transaction below the state service's limit of 64 KiB.
	maxFoldBytes = 40 << 10
	// maxFoldedJobs bounds the checkpoints of one fold, so that those who wait for changes have their turn in between. In a
	// flood the folds of the jobs just placed took three changes of four, and 440 users needed 50 s to get in.
	maxFoldedJobs = 4
	// oversizedRetryDelay is the pause after a checkpoint that was too large.
	oversizedRetryDelay = 2 * time.Second
	// foldRetryDelay is the pause after a fold, or a part of a staged record, that was refused.
	foldRetryDelay = 200 * time.Millisecond
)

// checkpointWriter writes the checkpoints of jobs, one transaction at a time: several jobs in one (a fold), or a record
// that fits into none in several (staging).
type checkpointWriter struct {
	*environment
	inFlight       *foldInFlight // nil: no fold is being written
	retryAt        clock.Instant
	oversizedUntil map[ident.JobID]clock.Instant // checkpoints that are not tried before
	staging        stagedWrite
}

// foldInFlight is a fold that is being written.
type foldInFlight struct {
	jobs        []foldedJob
	chunkOffset int // the number before that of the first chunk of its records
}

// foldedJob is what the record of a job holds that is being written.
type foldedJob struct {
	job    *jobs.Job
	stored jobs.StoredState // but for its revision and chunk offset
}

func newFoldedJob(j *jobs.Job, record *jobs.Record) foldedJob {
	return foldedJob{job: j, stored: j.StateOnceStored(record)}
}

func newCheckpointWriter(env *environment) *checkpointWriter {
	return &checkpointWriter{environment: env, oversizedUntil: map[ident.JobID]clock.Instant{}}
}

// isWriting tells whether a fold is being written.
func (w *checkpointWriter) isWriting() bool { return w.inFlight != nil }

// foldIfDue writes the checkpoints that somebody waits for, then those that have lagged longest, as far as the folds'
// share of the write rate goes.
func (w *checkpointWriter) foldIfDue(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, table *jobTable, rounds *schedulingLoop) {
	if w.inFlight != nil || now.Before(w.retryAt) {
		return
	}
	urgent, late := w.candidates(now, table, rounds)
	purpose, batch := kvstore.PurposeFold, late
	if len(urgent) > 0 {
		purpose, batch = kvstore.PurposeUrgentFold, urgent
	}
	maxOps := schema.storeLimits().MaxTxnOps
	available := w.budget.AvailableWrites(now, purpose)
	n := min(len(batch), available, maxOps, maxFoldedJobs)
	if n <= 0 {
		return
	}
	fold, txn := w.newFold(now, epoch, schema, batch[:n], min(available, maxOps))
	if len(fold.jobs) == 0 {
		return
	}
	w.budget.ForceTakeWrites(now, len(txn.Operations))
	w.inFlight = fold
	w.emit(CommitTransaction{Kind: FoldTransaction, Epoch: epoch, Txn: txn})
}

// newFold makes one transaction of the checkpoints of jobs, as many as fit into it.
func (w *checkpointWriter) newFold(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, batch []*jobs.Job,
	maxOps int) (*foldInFlight, kvstore.Txn) {
	fold := &foldInFlight{}
	txn := kvstore.Txn{Conditions: []kvstore.Condition{election.EpochCondition(epoch)}}
	size := 0
	for _, j := range batch {
		operations, folded, ok := w.checkpointOperations(now, epoch, schema, j)
		if !ok {
			continue
		}
		size += kvstore.JSONSize(operations[0].Value)
		if len(fold.jobs) > 0 && (size > maxFoldBytes || len(txn.Operations)+len(operations) > maxOps) {
			break
		}
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: operations[0].SetKey, ModRevision: j.Stored.ModRevision})
		txn.Operations = append(txn.Operations, operations...)
		fold.jobs = append(fold.jobs, folded)
		j.FoldInFlight = true
	}
	return fold, txn
}

// checkpointOperations store the checkpoint of a job: its record and its chunks. One that is too large for a transaction is
// staged, or tried again a little later; it keeps no others from their turn.
func (w *checkpointWriter) checkpointOperations(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement,
	j *jobs.Job) ([]kvstore.Operation, foldedJob, bool) {
	record := j.Record(epoch)
	head, chunks, err := record.Split(schema.storeLimits().MaxValueBytes(), schema.maxJobValues(), kvstore.JSONSize)
	if err != nil {
		w.metrics.OversizedRecords.Inc()
		if !w.beginStaging(j, record, epoch, schema) {
			w.oversizedUntil[j.ID] = now.Add(oversizedRetryDelay)
			w.log.Warn("checkpoint deferred, too large for one transaction", "job", j.ID, "err", err, "epoch", epoch)
		}
		return nil, foldedJob{}, false
	}
	operations := recordOperations(jobs.Key(j.ID), head, chunks, func(n int) string { return jobs.ChunkKey(j.ID, n) })
	return operations, newFoldedJob(j, record), true
}

// candidates lists the jobs whose record may be written now: those that a user or the ring of rounds waits for, and those
// that have lagged long enough.
func (w *checkpointWriter) candidates(now clock.Instant, table *jobTable, rounds *schedulingLoop) (urgent, late []*jobs.Job) {
	blocking := rounds.jobsBlockingRing()
	for j := range table.all() {
		if !j.Dirty() || j.FoldInFlight || now.Before(w.oversizedUntil[j.ID]) || rounds.startsTasksOf(j.ID) {
			continue
		}
		if j.NeedsUrgentFold() || blocking[j.ID] || table.isAwaited(j.ID) {
			urgent = append(urgent, j)
		} else if now.Sub(j.DirtySince) >= w.policy.MaxFoldDelay {
			late = append(late, j)
		}
	}
	sortByDirtySince(urgent)
	sortByDirtySince(late)
	return urgent, late
}

func sortByDirtySince(list []*jobs.Job) {
	slices.SortFunc(list, func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(a.DirtySince, b.DirtySince), cmp.Compare(a.ID, b.ID))
	})
}

// foldCompleted ends the fold in flight, and returns what it has stored of which jobs.
func (w *checkpointWriter) foldCompleted(now clock.Instant, in TransactionCompleted) []foldedJob {
	fold := w.inFlight
	if fold == nil {
		return nil
	}
	w.inFlight = nil
	for _, folded := range fold.jobs {
		folded.job.FoldInFlight = false
	}
	if in.Outcome != election.OutcomeOK {
		w.retryAt = now.Add(foldRetryDelay)
		return nil
	}
	w.metrics.Folds.Inc()
	for _, folded := range fold.jobs {
		j := folded.job
		j.Stored = folded.stored
		j.Stored.ModRevision, j.Stored.ChunkOffset = in.Revision, fold.chunkOffset
		if j.Dirty() {
			j.DirtySince = now
		}
	}
	return fold.jobs
}

// foldCompleted tells those who waited for the checkpoints of a fold, and reads the records that were not as expected.
func (t *term) foldCompleted(now clock.Instant, in TransactionCompleted) {
	wasWriting := t.checkpoints.isWriting()
	for _, folded := range t.checkpoints.foldCompleted(now, in) {
		id := folded.job.ID
		t.rounds.jobFolded(id, folded.stored.Round)
		if folded.stored.Phase.Final() {
			t.log.Info("job ended", "job", id, "phase", folded.stored.Phase, "epoch", t.epoch)
			t.jobs.answerCancellations(id, api.JobFound, t.core.election.LeaseValidUntil())
		}
	}
	if wasWriting && in.Outcome != election.OutcomeOK {
		t.readConflictingRecords(in.FailedConditions)
	}
}

// readConflictingRecords reads the job records whose conditions failed.
func (t *term) readConflictingRecords(keys []string) {
	for _, key := range keys {
		t.metrics.CASConflicts.Inc()
		id := ident.JobID(strings.TrimPrefix(key, jobs.KeyPrefix))
		if t.jobs.get(id) != nil {
			t.jobs.read(id)
		}
	}
}
