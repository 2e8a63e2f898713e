package controller

import (
	"badgerbay/internal/checkpoint"
	"badgerbay/internal/leadership"
	"badgerbay/internal/parts"
	"badgerbay/internal/rollout"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// stageKey is changed by each transaction that stores parts of a record which
// takes several. Its stamp guards them: a late copy of one fails, so it can't
// overwrite parts of a later record.
const stageKey = parts.KeyPrefix + "stage"

// mostStaged bounds the parts of such a record, so that a transaction holds one
// beside the key whatever a value may hold.
const mostStaged = 16 << 10

// staged is the value of stageKey.
type staged struct {
	Job  unit.JobID `msgpack:"j" json:"j"`
	Part int        `msgpack:"n" json:"n"` // the first that was written with it
}

// stage is a record that is too large for one transaction and is being written in
// several: its parts, then the record itself, by which they come to count. There is
// at most one at a time.
type stage struct {
	stamp   unit.Revision // of stageKey
	job     *checkpoint.Job
	head    *checkpoint.Record
	rest    []*parts.Value
	written int // parts that are stored
	sending int // parts under way; 0: none
	final   foldedJob
}

// beginStage begins to write a record in several transactions, if all nodes can
// read it. It tells whether it did.
func (t *term) beginStage(j *checkpoint.Job, rec *checkpoint.Record) bool {
	if t.stage.job != nil || t.cluster.Version() < rollout.ChunkedRounds {
		return false
	}
	head, rest, err := rec.SplitMultiTxn(min(t.limits().MaxValueBytes(), mostStaged), j.StoredChunkOffset)
	if err != nil {
		t.c.log.Error("checkpoint can't be written in parts", "job", j.ID, "err", err, "epoch", t.epoch)
		return false
	}
	t.c.log.Info("checkpoint is written in several transactions", "job", j.ID, "parts", len(rest), "epoch", t.epoch)
	t.stage = stage{stamp: t.stage.stamp, job: j, head: head, rest: rest, final: foldedJob{j, j.ChangeSeq, rec.LastRound, rec.Phase, rec.Done.Len()}}
	j.FoldInFlight = true
	return true
}

// maybeStage sends the next parts of a record, as far as the budget goes. Folds
// wait meanwhile: they write job records too.
func (t *term) maybeStage(now unit.Instant) {
	s := &t.stage
	if s.job == nil || s.sending > 0 || t.fold != nil || t.c.lead.AdvancingEpoch() || now.Before(t.retryFold) {
		return
	}
	if s.written == len(s.rest) {
		t.writeHead(now)
		return
	}
	n := min(len(s.rest)-s.written, max(1, t.limits().MaxTxnValues()-1), t.c.budget.AvailableWrites(now, statestore.PurposeUrgentFold)-1)
	if n <= 0 {
		return
	}
	first := s.head.ChunkInfo.Offset + s.written + 1
	txn := statestore.Txn{
		Conditions: []statestore.Condition{t.leaderGuard(), {Key: stageKey, ModRevision: s.stamp}},
		Operations: []statestore.Operation{{SetKey: stageKey, Value: staged{s.job.ID, first}}},
	}
	for i, part := range s.rest[s.written : s.written+n] {
		txn.Operations = append(txn.Operations, statestore.Operation{SetKey: checkpoint.ChunkKey(s.job.ID, first+i), Value: part})
	}
	s.sending = n
	t.c.budget.ForceTakeWrites(now, len(txn.Operations))
	t.c.emit(Commit{Kind: CommitStage, Epoch: t.epoch, Txn: txn})
}

// writeHead stores the record itself, as a fold of its own.
func (t *term) writeHead(now unit.Instant) {
	s := &t.stage
	if t.c.budget.AvailableWrites(now, statestore.PurposeUrgentFold) < 1 {
		return
	}
	t.c.budget.ForceTakeWrites(now, 1)
	t.fold = &foldFlight{jobs: []foldedJob{s.final}, first: s.head.ChunkInfo.Offset}
	key := checkpoint.Key(s.job.ID)
	t.c.emit(Commit{Kind: CommitFold, Epoch: t.epoch, Txn: statestore.Txn{
		Conditions: []statestore.Condition{t.leaderGuard(), {Key: key, ModRevision: s.job.ModRevision}},
		Operations: []statestore.Operation{{SetKey: key, Value: s.head}},
	}})
	t.stage = stage{stamp: s.stamp}
}

// stageCommitted takes in that parts were stored, or gives the record up: it is
// begun anew, under the stamp that stageKey has then.
func (t *term) stageCommitted(now unit.Instant, in Committed) {
	s := &t.stage
	if s.job == nil || s.sending == 0 {
		return
	}
	if in.Outcome == leadership.OutcomeOK {
		s.stamp = in.Version
		s.written += s.sending
		s.sending = 0
		return
	}
	s.sending = 0
	t.retryFold = now.Add(retryStage)
}
