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
	// stagingKey is changed by each transaction that stores chunks of a staged record. Its revision fences them: a late
	// copy of one fails, so that it can't overwrite chunks of a later record.
	stagingKey = chunk.KeyPrefix + "stage"
	// maxStagedChunkBytes bounds the chunks of a staged record, so that a transaction holds one beside the key whatever a
	// value may hold.
	maxStagedChunkBytes = 16 << 10
)

// stagingMarker is the value of stagingKey.
type stagingMarker struct {
	Job   ident.JobID `msgpack:"j" json:"j"`
	Chunk int         `msgpack:"n" json:"n"` // the first that was written with it
}

// stagedWrite is a record that is too large for one transaction and is being written in several: its chunks, then its
// head, by which they come to count. There is at most one at a time.
type stagedWrite struct {
	revision ident.Revision // of stagingKey
	job      *jobs.Job      // nil: nothing is staged
	head     *jobs.Record
	chunks   []*chunk.Value
	written  int // chunks that are stored
	inFlight int // chunks that are being written
	folded   foldedJob
}

// resumeStaging takes over the revision of stagingKey from an earlier leader.
func (w *checkpointWriter) resumeStaging(revision ident.Revision) { w.staging.revision = revision }

// beginStaging begins to write a record in several transactions, if all nodes can read it. It tells whether it did.
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
	w.staging = stagedWrite{revision: w.staging.revision, job: j, head: head, chunks: chunks, folded: newFoldedJob(j, record)}
	j.FoldInFlight = true
	return true
}

// continueStaging writes the next chunks of a staged record, as far as the budget goes, and its head when all are stored.
// Folds wait meanwhile: they write job records too.
func (w *checkpointWriter) continueStaging(now clock.Instant, epoch ident.Epoch, schema *schemaAgreement) {
	s := &w.staging
	if s.job == nil || s.inFlight > 0 || w.inFlight != nil || now.Before(w.retryAt) {
		return
	}
	if s.written == len(s.chunks) {
		w.commitStagedHead(now, epoch)
		return
	}
	n := min(len(s.chunks)-s.written, max(1, schema.storeLimits().MaxTxnValues()-1), w.budget.AvailableWrites(now, kvstore.PurposeUrgentFold)-1)
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

// commitStagedHead writes the head of a staged record, as a fold of its own.
func (w *checkpointWriter) commitStagedHead(now clock.Instant, epoch ident.Epoch) {
	s := &w.staging
	if w.budget.AvailableWrites(now, kvstore.PurposeUrgentFold) < 1 {
		return
	}
	w.budget.ForceTakeWrites(now, 1)
	w.inFlight = &foldInFlight{jobs: []foldedJob{s.folded}, chunkOffset: s.head.ChunkInfo.Offset}
	key := jobs.Key(s.job.ID)
	w.emit(CommitTransaction{Kind: FoldTransaction, Epoch: epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(epoch), {Key: key, ModRevision: s.job.Stored.ModRevision}},
		Operations: []kvstore.Operation{{SetKey: key, Value: s.head}},
	}})
	w.staging = stagedWrite{revision: s.revision}
}

// stagingCompleted notes that chunks are stored, or has them written anew a little later.
func (w *checkpointWriter) stagingCompleted(now clock.Instant, in TransactionCompleted) {
	s := &w.staging
	if s.job == nil || s.inFlight == 0 {
		return
	}
	if in.Outcome == election.OutcomeOK {
		s.revision = in.Revision
		s.written += s.inFlight
	} else {
		w.retryAt = now.Add(foldRetryDelay)
	}
	s.inFlight = 0
}
