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
	// maxBatchBytes keeps a transaction below the state service's limit of 64 KiB.
	maxBatchBytes = 40 << 10
	// maxBatchedJobs bounds the checkpoints in one transaction, so that other writes get their turn between these
	// transactions. Without the bound, under a burst of submissions, the checkpoints of newly placed jobs used three
	// quarters of the writes, and it took 50 s to serve 440 users.
	maxBatchedJobs = 4
	// oversizedRetryDelay is the delay before a checkpoint that was too large is retried.
	oversizedRetryDelay = 2 * time.Second
	// checkpointRetryDelay is the delay before checkpoints, or chunks of a staged record, are written again after their
	// transaction failed.
	checkpointRetryDelay = 200 * time.Millisecond
)

// checkpointWriter writes the checkpoints of jobs, which are their stored records, one transaction at a time. A
// CheckpointTransaction stores the records of a batch of one or more jobs. A record that is too large for one
// transaction is staged: several transactions store its chunks, and then a CheckpointTransaction stores its head.
type checkpointWriter struct {
	*environment
	inFlight       *checkpointBatch // nil if no batch is being written
	retryAt        clock.Instant
	oversizedUntil map[ident.JobID]clock.Instant // when an oversized checkpoint may be retried
	staging        stagedWrite
}

// checkpointBatch holds the jobs whose checkpoints are written by one transaction.
type checkpointBatch struct {
	jobs        []batchedJob
	chunkOffset int // the chunks of its records are numbered from chunkOffset+1
}

// batchedJob is a job whose record is being written, with the state that the record will hold.
type batchedJob struct {
	job    *jobs.Job
	stored jobs.StoredState // without ModRevision and ChunkOffset, which are set once the record is stored
}

func newBatchedJob(j *jobs.Job, record *jobs.Record) batchedJob {
	return batchedJob{job: j, stored: j.StateAfterWrite(record)}
}

func newCheckpointWriter(env *environment) *checkpointWriter {
	return &checkpointWriter{environment: env, oversizedUntil: map[ident.JobID]clock.Instant{}}
}

// isWriting reports whether a batch is being written.
func (w *checkpointWriter) isWriting() bool { return w.inFlight != nil }

// writeIfDue writes the urgent checkpoints or, if there are none, those that have been out of date longest, within the
// write budget for checkpoints.
func (w *checkpointWriter) writeIfDue(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, table *jobTable, rounds *schedulingLoop) {
	if w.inFlight != nil || now.Before(w.retryAt) {
		return
	}
	urgent, late := w.candidates(now, table, rounds)
	purpose, due := kvstore.PurposeCheckpoint, late
	if len(urgent) > 0 {
		purpose, due = kvstore.PurposeUrgentCheckpoint, urgent
	}
	maxOps := schema.storeLimits().MaxTxnOps
	available := w.budget.AvailableWrites(now, purpose)
	n := min(len(due), available, maxOps, maxBatchedJobs)
	if n <= 0 {
		return
	}
	batch, txn := w.newBatch(now, epoch, schema, due[:n], min(available, maxOps))
	if len(batch.jobs) == 0 {
		return
	}
	w.budget.ForceTakeWrites(now, len(txn.Operations))
	w.inFlight = batch
	w.emit(CommitTransaction{Kind: CheckpointTransaction, Epoch: epoch, Txn: txn})
}

// newBatch combines the checkpoints of the due jobs into one transaction, as many as fit.
func (w *checkpointWriter) newBatch(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement, due []*jobs.Job,
	maxOps int) (*checkpointBatch, kvstore.Txn) {
	batch := &checkpointBatch{}
	txn := kvstore.Txn{Conditions: []kvstore.Condition{election.EpochCondition(epoch)}}
	size := 0
	for _, j := range due {
		operations, batched, ok := w.checkpointOperations(now, epoch, schema, j)
		if !ok {
			continue
		}
		size += kvstore.JSONSize(operations[0].Value)
		if len(batch.jobs) > 0 && (size > maxBatchBytes || len(txn.Operations)+len(operations) > maxOps) {
			break
		}
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: operations[0].SetKey, ModRevision: j.Stored.ModRevision})
		txn.Operations = append(txn.Operations, operations...)
		batch.jobs = append(batch.jobs, batched)
		j.WriteInFlight = true
	}
	return batch, txn
}

// checkpointOperations returns the operations that store the checkpoint of a job: its record and the chunks of the
// record. It returns false for a checkpoint that is too large for one transaction: the checkpoint is staged, or retried
// after oversizedRetryDelay, and does not delay those of other jobs.
func (w *checkpointWriter) checkpointOperations(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement,
	j *jobs.Job) ([]kvstore.Operation, batchedJob, bool) {
	record := j.Record(epoch)
	head, chunks, err := record.Split(schema.storeLimits().MaxValueBytes(), schema.maxJobValues(), kvstore.JSONSize)
	if err != nil {
		w.metrics.OversizedRecords.Inc()
		if !w.beginStaging(j, record, epoch, schema) {
			w.oversizedUntil[j.ID] = now.Add(oversizedRetryDelay)
			w.log.Warn("checkpoint deferred, too large for one transaction", "job", j.ID, "err", err, "epoch", epoch)
		}
		return nil, batchedJob{}, false
	}
	operations := recordOperations(jobs.Key(j.ID), head, chunks, func(n int) string { return jobs.ChunkKey(j.ID, n) })
	return operations, newBatchedJob(j, record), true
}

// candidates returns the jobs whose records may be written now, each group in the order in which they became dirty: the
// urgent ones, for which a user or the ring of round records waits, and those that have been out of date for
// MaxCheckpointDelay.
func (w *checkpointWriter) candidates(now clock.Instant, table *jobTable, rounds *schedulingLoop) (urgent, late []*jobs.Job) {
	blocking := rounds.jobsBlockingRing()
	for j := range table.all() {
		if !j.Dirty() || j.WriteInFlight || now.Before(w.oversizedUntil[j.ID]) || rounds.startsTasksOf(j.ID) {
			continue
		}
		if j.NeedsUrgentWrite() || blocking[j.ID] || table.hasPendingCancels(j.ID) {
			urgent = append(urgent, j)
		} else if now.Sub(j.DirtySince) >= w.policy.MaxCheckpointDelay {
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

// writeCompleted applies the outcome of the batch in flight. It returns the jobs whose records it has stored.
func (w *checkpointWriter) writeCompleted(now clock.Instant, in TransactionCompleted) []batchedJob {
	batch := w.inFlight
	if batch == nil {
		return nil
	}
	w.inFlight = nil
	for _, batched := range batch.jobs {
		batched.job.WriteInFlight = false
	}
	if in.Outcome != election.OutcomeOK {
		w.retryAt = now.Add(checkpointRetryDelay)
		return nil
	}
	w.metrics.CheckpointTransactions.Inc()
	for _, batched := range batch.jobs {
		j := batched.job
		j.Stored = batched.stored
		j.Stored.ModRevision, j.Stored.ChunkOffset = in.Revision, batch.chunkOffset
		if j.Dirty() {
			j.DirtySince = now
		}
	}
	return batch.jobs
}

// checkpointsCompleted records which rounds the stored records include, and answers the cancel requests that waited for
// them. If the transaction failed, it reads the records that have changed unexpectedly.
func (t *term) checkpointsCompleted(now clock.Instant, in TransactionCompleted) {
	wasWriting := t.checkpoints.isWriting()
	for _, batched := range t.checkpoints.writeCompleted(now, in) {
		id := batched.job.ID
		t.rounds.jobCheckpointed(id, batched.stored.Round)
		if batched.stored.Phase.Final() {
			t.log.Info("job ended", "job", id, "phase", batched.stored.Phase, "epoch", t.epoch)
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
