package controller

import (
	"strings"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/leadership"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// foldFlight is a fold that is being written.
type foldFlight struct {
	jobs  []foldedJob
	first int // the number before that of the first part of its records
}

type foldedJob struct {
	job   *checkpoint.Job
	seq   uint64
	round unit.RoundNo
	phase checkpoint.Phase
	done  int // tasks
}

// maxTxn keeps a transaction below the state service's limit of 64 KiB.
const maxTxn = 40 << 10

// tooLargeRest is how long a checkpoint that is too large is not tried again.
const tooLargeRest = 2 * time.Second

// retryStage is how long parts of a record are not sent again after a refusal.
const retryStage = 200 * time.Millisecond

// maxUrgent bounds the checkpoints of one fold, so that those who wait for
// changes have their turn in between. In a flood the folds of the jobs just
// placed took three changes of four, and 440 users needed 50 s to get in.
const maxUrgent = 4

// maybeFold writes the checkpoints that somebody waits for, then those that
// have lagged longest, as far as the folds' share of the write rate goes.
func (t *term) maybeFold(now unit.Instant) {
	if t.fold != nil || t.c.lead.AdvancingEpoch() || now.Before(t.retryFold) {
		return
	}
	urgent, late := t.foldable(now)
	use := statestore.PurposeFold
	batch := late
	if len(urgent) > 0 {
		use, batch = statestore.PurposeUrgentFold, urgent
	}
	limits := t.limits()
	may := t.c.budget.AvailableWrites(now, use)
	n := min(len(batch), may, limits.MaxTxnOps, maxUrgent)
	if n <= 0 {
		return
	}
	f := &foldFlight{}
	txn := statestore.Txn{Conditions: []statestore.Condition{t.leaderGuard()}}
	size := 0
	for _, j := range batch[:n] {
		writes, folded, ok := t.foldWrites(now, j)
		if !ok {
			continue
		}
		size += statestore.JSONSize(writes[0].Value)
		if len(f.jobs) > 0 && (size > maxTxn || len(txn.Operations)+len(writes) > min(may, limits.MaxTxnOps)) {
			break
		}
		txn.Conditions = append(txn.Conditions, statestore.Condition{Key: writes[0].SetKey, ModRevision: j.ModRevision})
		txn.Operations = append(txn.Operations, writes...)
		f.jobs = append(f.jobs, folded)
		j.FoldInFlight = true
	}
	if len(f.jobs) == 0 {
		return
	}
	t.c.budget.ForceTakeWrites(now, len(txn.Operations))
	t.fold = f
	t.c.emit(Commit{Kind: CommitFold, Epoch: t.epoch, Txn: txn})
}

// foldWrites are the changes that store a job's checkpoint: its record, and the
// parts of it. One that is too large for a transaction is written in several, or
// tried again a little later; it keeps no others from their turn.
func (t *term) foldWrites(now unit.Instant, j *checkpoint.Job) ([]statestore.Operation, foldedJob, bool) {
	whole := j.Record(t.epoch)
	rec, rest, err := whole.Split(t.limits().MaxValueBytes(), t.parts(), statestore.JSONSize)
	if err != nil {
		t.c.met.TooLarge.Inc()
		if !t.beginStage(j, whole) {
			t.tooLarge[j.ID] = now.Add(tooLargeRest)
			t.c.log.Warn("checkpoint is too large for one transaction", "job", j.ID, "err", err, "epoch", t.epoch)
		}
		return nil, foldedJob{}, false
	}
	writes := recordWrites(checkpoint.Key(j.ID), rec, rest, func(n int) string { return checkpoint.ChunkKey(j.ID, n) })
	return writes, foldedJob{j, j.ChangeSeq, rec.LastRound, rec.Phase, whole.Done.Len()}, true
}

// foldable lists the jobs whose record may be written now: those that a user
// or the ring waits for, and those that have lagged long enough.
func (t *term) foldable(now unit.Instant) (urgent, late []*checkpoint.Job) {
	pressed := map[unit.JobID]bool{}
	if t.ring.FreeSlots() <= t.c.pol.RingSlots/3 {
		for _, id := range t.ring.OldestOpenJobs() {
			pressed[id] = true
		}
	}
	for _, j := range t.jobs {
		if !j.Dirty() || j.FoldInFlight || now.Before(t.tooLarge[j.ID]) || t.flight != nil && t.flight.jobs[j.ID] {
			continue
		}
		if j.NeedsUrgentFold() || pressed[j.ID] || len(t.waiting[j.ID]) > 0 {
			urgent = append(urgent, j)
		} else if now.Sub(j.DirtySince) >= t.c.pol.MaxFoldDelay {
			late = append(late, j)
		}
	}
	sortByAge(urgent)
	sortByAge(late)
	return urgent, late
}

func (t *term) foldCommitted(now unit.Instant, in Committed) {
	f := t.fold
	if f == nil {
		return
	}
	t.fold = nil
	for _, fj := range f.jobs {
		fj.job.FoldInFlight = false
	}
	if in.Outcome != leadership.OutcomeOK {
		t.foldFailed(now, in)
		return
	}
	t.c.met.Folds.Inc()
	for _, fj := range f.jobs {
		j := fj.job
		j.ModRevision, j.StoredSeq, j.StoredRound, j.StoredPhase, j.StoredChunkOffset = in.Version, fj.seq, fj.round, fj.phase, f.first
		j.StoredDoneTasks = fj.done
		if j.Dirty() {
			j.DirtySince = now
		}
		t.ring.JobFolded(j.ID, fj.round)
		if fj.phase.Final() {
			t.c.log.Info("job over", "job", j.ID, "phase", fj.phase, "epoch", t.epoch)
			t.answerWaiters(j.ID, userapi.JobFound, t.c.lead.LeaseValidUntil())
		}
	}
}

func (t *term) foldFailed(now unit.Instant, in Committed) {
	t.retryFold = now.Add(200 * time.Millisecond)
	for _, key := range in.Failed {
		t.c.met.CASConflicts.Inc()
		id := unit.JobID(strings.TrimPrefix(key, checkpoint.KeyPrefix))
		if t.jobs[id] != nil && !t.reading[id] {
			t.reading[id] = true
			t.c.emit(ReadJob{Job: id})
		}
	}
}
