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
	// maxFoldedJobs bounds the checkpoints in one fold, so that other writes get their turn between folds. Without the
	// bound, under a burst of submissions, folds of newly placed jobs used three quarters of the writes, and it took
	// 50 s to serve 440 users.
	maxFoldedJobs = 4
	// oversizedRetryDelay is the delay before a checkpoint that was too large is retried.
	oversizedRetryDelay = 2 * time.Second
	// foldRetryDelay is the delay before checkpoints, or chunks of a staged record, are written again after their
	// transaction failed.
	foldRetryDelay = 200 * time.Millisecond
)

// checkpointWriter writes the checkpoints of jobs, which are their stored records, one transaction at a time. A
// transaction that stores the records of one or more jobs is called a fold. A record that is too large for one
// transaction is staged: several transactions store its chunks, and then a fold stores its head.
type checkpointWriter struct {
	*environment
	inFlight       *foldInFlight // nil if no fold is being written
	retryAt        clock.Instant
	oversizedUntil map[ident.JobID]clock.Instant // when an oversized checkpoint may be retried
	staging        stagedWrite
}

// foldInFlight is a fold whose transaction is in flight.
type foldInFlight struct {
	jobs        []foldedJob
	chunkOffset int // the chunks of its records are numbered from chunkOffset+1
}

// foldedJob is a job whose record is being written, with the state that the record will hold.
type foldedJob struct {
	job    *jobs.Job
	stored jobs.StoredState // without ModRevision and ChunkOffset, which are set once the record is stored
}

func newFoldedJob(j *jobs.Job, record *jobs.Record) foldedJob {
	return foldedJob{job: j, stored: j.StateAfterWrite(record)}
}

func newCheckpointWriter(env *environment) *checkpointWriter {
	return &checkpointWriter{environment: env, oversizedUntil: map[ident.JobID]clock.Instant{}}
}

// isWriting reports whether a fold is being written.
func (w *checkpointWriter) isWriting() bool { return w.inFlight != nil }

// foldIfDue writes the urgent checkpoints or, if there are none, those that have been out of date longest, within the
// write budget for folds.
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

// newFold combines the checkpoints of jobs into one transaction, as many as fit.
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
		j.WriteInFlight = true
	}
	return fold, txn
}

// checkpointOperations returns the operations that store the checkpoint of a job: its record and the chunks of the
// record. It returns false for a checkpoint that is too large for one transaction: the checkpoint is staged, or retried
// after oversizedRetryDelay, and does not delay those of other jobs.
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

// candidates returns the jobs whose records may be written now, each group in the order in which they became dirty: the
// urgent ones, for which a user or the ring of round records waits, and those that have been out of date for
// MaxFoldDelay.
func (w *checkpointWriter) candidates(now clock.Instant, table *jobTable, rounds *schedulingLoop) (urgent, late []*jobs.Job) {
	blocking := rounds.jobsBlockingRing()
	for j := range table.all() {
		if !j.Dirty() || j.WriteInFlight || now.Before(w.oversizedUntil[j.ID]) || rounds.startsTasksOf(j.ID) {
			continue
		}
		if j.NeedsUrgentWrite() || blocking[j.ID] || table.hasPendingCancels(j.ID) {
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

// foldCompleted applies the outcome of the fold in flight. It returns the jobs whose records it has stored.
func (w *checkpointWriter) foldCompleted(now clock.Instant, in TransactionCompleted) []foldedJob {
	fold := w.inFlight
	if fold == nil {
		return nil
	}
	w.inFlight = nil
	for _, folded := range fold.jobs {
		folded.job.WriteInFlight = false
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

// foldCompleted records which rounds the stored records include, and answers the cancel requests that waited for them.
// If the fold failed, it reads the records that have changed unexpectedly.
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
