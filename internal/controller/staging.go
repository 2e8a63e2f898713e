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

// stagingKey is changed by each transaction that stores parts of a record which
// takes several. Its stamp guards them: a late copy of one fails, so it can't
// overwrite parts of a later record.
const stagingKey = chunk.KeyPrefix + "stage"

// maxStagedChunkBytes bounds the parts of such a record, so that a transaction holds one
// beside the key whatever a value may hold.
const maxStagedChunkBytes = 16 << 10

// stagingMarker is the value of stageKey.
type stagingMarker struct {
	Job   ident.JobID `msgpack:"j" json:"j"`
	Chunk int         `msgpack:"n" json:"n"` // the first that was written with it
}

// stagedWrite is a record that is too large for one transaction and is being written in
// several: its parts, then the record itself, by which they come to count. There is
// at most one at a time.
type stagedWrite struct {
	revision ident.Revision // of stageKey
	job      *jobs.Job
	head     *jobs.Record
	chunks   []*chunk.Value
	written  int // parts that are stored
	inFlight int // parts under way; 0: none
	folded   foldedJob
}

// beginStaging begins to write a record in several transactions, if all nodes can
// read it. It tells whether it did.
func (t *term) beginStaging(j *jobs.Job, rec *jobs.Record) bool {
	if t.staging.job != nil || t.schema.version() < schemaversion.ChunkedRounds {
		return false
	}
	head, rest, err := rec.SplitMultiTxn(min(t.schema.storeLimits().MaxValueBytes(), maxStagedChunkBytes), j.StoredChunkOffset)
	if err != nil {
		t.log.Error("checkpoint can't be written in parts", "job", j.ID, "err", err, "epoch", t.epoch)
		return false
	}
	t.log.Info("checkpoint is written in several transactions", "job", j.ID, "parts", len(rest), "epoch", t.epoch)
	t.staging = stagedWrite{revision: t.staging.revision, job: j, head: head, chunks: rest, folded: foldedJob{j, j.ChangeSeq, rec.LastRound, rec.Phase, rec.Done.Len()}}
	j.FoldInFlight = true
	return true
}

// continueStaging sends the next parts of a record, as far as the budget goes. Folds
// wait meanwhile: they write job records too.
func (t *term) continueStaging(now clock.Instant) {
	s := &t.staging
	if s.job == nil || s.inFlight > 0 || t.foldInFlight != nil || t.core.election.AdvancingEpoch() || now.Before(t.foldRetryAt) {
		return
	}
	if s.written == len(s.chunks) {
		t.commitStagedHead(now)
		return
	}
	n := min(len(s.chunks)-s.written, max(1, t.schema.storeLimits().MaxTxnValues()-1), t.budget.AvailableWrites(now, kvstore.PurposeUrgentFold)-1)
	if n <= 0 {
		return
	}
	first := s.head.ChunkInfo.Offset + s.written + 1
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(t.epoch), {Key: stagingKey, ModRevision: s.revision}},
		Operations: []kvstore.Operation{{SetKey: stagingKey, Value: stagingMarker{s.job.ID, first}}},
	}
	for i, part := range s.chunks[s.written : s.written+n] {
		txn.Operations = append(txn.Operations, kvstore.Operation{SetKey: jobs.ChunkKey(s.job.ID, first+i), Value: part})
	}
	s.inFlight = n
	t.budget.ForceTakeWrites(now, len(txn.Operations))
	t.emit(CommitTransaction{Kind: StagingTransaction, Epoch: t.epoch, Txn: txn})
}

// commitStagedHead stores the record itself, as a fold of its own.
func (t *term) commitStagedHead(now clock.Instant) {
	s := &t.staging
	if t.budget.AvailableWrites(now, kvstore.PurposeUrgentFold) < 1 {
		return
	}
	t.budget.ForceTakeWrites(now, 1)
	t.foldInFlight = &foldInFlight{jobs: []foldedJob{s.folded}, firstChunk: s.head.ChunkInfo.Offset}
	key := jobs.Key(s.job.ID)
	t.emit(CommitTransaction{Kind: FoldTransaction, Epoch: t.epoch, Txn: kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(t.epoch), {Key: key, ModRevision: s.job.ModRevision}},
		Operations: []kvstore.Operation{{SetKey: key, Value: s.head}},
	}})
	t.staging = stagedWrite{revision: s.revision}
}

// stagingCompleted takes in that parts were stored, or gives the record up: it is
// begun anew, under the stamp that stageKey has then.
func (t *term) stagingCompleted(now clock.Instant, in TransactionCompleted) {
	s := &t.staging
	if s.job == nil || s.inFlight == 0 {
		return
	}
	if in.Outcome == election.OutcomeOK {
		s.revision = in.Revision
		s.written += s.inFlight
		s.inFlight = 0
		return
	}
	s.inFlight = 0
	t.foldRetryAt = now.Add(stagingRetryDelay)
}
