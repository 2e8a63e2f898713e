package controller

import (
	"badgerbay/internal/chunk"
	"badgerbay/internal/clock"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/schemaversion"
)

const (
	// stagingKey is written by each transaction that stores chunks of a staged record, on condition of the key's
	// previous revision. This fences the transactions: a delayed duplicate of one fails, so that it can't overwrite the
	// chunks of a later record.
	stagingKey = chunk.KeyPrefix + "stage"
	// maxStagedChunkBytes bounds the size of a chunk of a staged record, so that a transaction has room for one chunk
	// and stagingKey, whatever the size limit of a value is.
	maxStagedChunkBytes = 16 << 10
)

// stagingMarker is the value of stagingKey.
type stagingMarker struct {
	Job   ident.JobID `msgpack:"j" json:"j"`
	Chunk int         `msgpack:"n" json:"n"` // number of the first chunk in the same transaction
}

// stagedWrite is a record that is too large for one transaction and is written in several: first its chunks, then its
// head, which makes the chunks valid. At most one record is staged at a time.
type stagedWrite struct {
	revision ident.Revision // of stagingKey
	job      *jobs.Job      // nil if nothing is staged
	head     *jobs.Record
	chunks   []*chunk.Value
	written  int        // chunks that are stored
	inFlight int        // chunks that are being written
	batched  batchedJob // the job, with the state that the complete record will hold
}

// resumeStaging adopts the revision of stagingKey that an earlier leader left.
func (w *checkpointWriter) resumeStaging(revision ident.Revision) { w.staging.revision = revision }

// beginStaging starts to write a record in several transactions. It returns false if another record is being staged, if
// not all nodes can read such a record, or if the record can't be split.
func (w *checkpointWriter) beginStaging(j *jobs.Job, record *jobs.Record, epoch ident.Epoch, schema *schemaAgreement) bool {
	if w.staging.job != nil || schema.version() < schemaversion.ChunkedRounds {
		return false
	}
	head, chunks, err := record.SplitMultiTxn(min(schema.storeLimits().MaxValueBytes(), maxStagedChunkBytes), j.Stored.ChunkOffset)
	if err != nil {
		w.log.Error("checkpoint not staged", "job", j.ID, "err", err, "epoch", epoch)
		return false
	}
	w.log.Info("checkpoint staging started", "job", j.ID, "chunks", len(chunks), "epoch", epoch)
	w.staging = stagedWrite{revision: w.staging.revision, job: j, head: head, chunks: chunks, batched: newBatchedJob(j, record)}
	j.WriteInFlight = true
	return true
}

// continueStaging writes the next chunks of a staged record, within the write budget, and its head once all chunks are
// stored. It waits while a CheckpointTransaction is in flight, because that writes job records too.
func (w *checkpointWriter) continueStaging(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement) {
	s := &w.staging
	if s.job == nil || s.inFlight > 0 || w.inFlight != nil || now.Before(w.retryAt) {
		return
	}
	if s.written == len(s.chunks) {
		w.commitStagedHead(now, epoch)
		return
	}
	n := min(len(s.chunks)-s.written, max(1, schema.storeLimits().MaxTxnValues()-1), w.budget.AvailableWrites(now, kvstore.PurposeUrgentCheckpoint)-1)
	if n <= 0 {
		return
	}
	first := s.head.ChunkInfo.Offset + s.written + 1
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(epoch), {Key: stagingKey, ModRevision: s.revision}},
		Operations: []kvstore.Operation{{SetKey: stagingKey, Value: stagingMarker{s.job.ID, first}}},
	}
	for i, value := range s.chunks[s.written : s.written+n] {
		txn.Operations = append(txn.Operations, kvstore.Operation{SetKey: jobs.ChunkKey(s.job.ID, first+i), Value: value})
	}
	s.inFlight = n
	w.budget.ForceTakeWrites(now, len(txn.Operations))
	w.emit(CommitTransaction{Kind: StagingTransaction, Epoch: epoch, Txn: txn})
}

// commitStagedHead stores the head of the staged record, in a batch that contains no other job.
func (w *checkpointWriter) commitStagedHead(now clock.Instant, epoch ident.Epoch) {
	s := &w.staging
	if w.budget.AvailableWrites(now, kvstore.PurposeUrgentCheckpoint) < 1 {
		return
	}
	w.budget.ForceTakeWrites(now, 1)
	w.inFlight = &checkpointBatch{jobs: []batchedJob{s.batched}, chunkOffset: s.head.ChunkInfo.Offset}
	key := jobs.Key(s.job.ID)
	w.emit(CommitTransaction{Kind: CheckpointTransaction, Epoch: epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(epoch), {Key: key, ModRevision: s.job.Stored.ModRevision}},
		Operations: []kvstore.Operation{{SetKey: key, Value: s.head}},
	}})
	w.staging = stagedWrite{revision: s.revision}
}

// stagingCompleted records that chunks are stored. If they were not, they are written again after checkpointRetryDelay.
func (w *checkpointWriter) stagingCompleted(now clock.Instant, in TransactionCompleted) {
	s := &w.staging
	if s.job == nil || s.inFlight == 0 {
		return
	}
	if in.Outcome == election.OutcomeOK {
		s.revision = in.Revision
		s.written += s.inFlight
	} else {
		w.retryAt = now.Add(checkpointRetryDelay)
	}
	s.inFlight = 0
}
