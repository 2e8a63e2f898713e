package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/api"
	"badgerbay/internal/election"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

// foldInFlight is a fold that is being written.
type foldInFlight struct {
	jobs       []foldedJob
	firstChunk int // the number before that of the first part of its records
}

type foldedJob struct {
	job       *jobs.Job
	seq       uint64
	round     ident.RoundNo
	phase     jobs.Phase
	doneTasks int // tasks
}

// maxFoldBytes keeps a transaction below the state service's limit of 64 KiB.
const maxFoldBytes = 40 << 10

// oversizedRetryDelay is how long a checkpoint that is too large is not tried again.
const oversizedRetryDelay = 2 * time.Second

// stagingRetryDelay is how long parts of a record are not sent again after a refusal.
const stagingRetryDelay = 200 * time.Millisecond

// maxFoldedJobs bounds the checkpoints of one fold, so that those who wait for
// changes have their turn in between. In a flood the folds of the jobs just
// placed took three changes of four, and 440 users needed 50 s to get in.
const maxFoldedJobs = 4

// foldIfDue writes the checkpoints that somebody waits for, then those that
// have lagged longest, as far as the folds' share of the write rate goes.
func (t *term) foldIfDue(now clock.Instant) {
	if t.foldInFlight != nil || t.core.election.AdvancingEpoch() || now.Before(t.foldRetryAt) {
		return
	}
	urgent, late := t.jobsToFold(now)
	use := kvstore.PurposeFold
	batch := late
	if len(urgent) > 0 {
		use, batch = kvstore.PurposeUrgentFold, urgent
	}
	limits := t.schema.storeLimits()
	may := t.budget.AvailableWrites(now, use)
	n := min(len(batch), may, limits.MaxTxnOps, maxFoldedJobs)
	if n <= 0 {
		return
	}
	f := &foldInFlight{}
	txn := kvstore.Txn{Conditions: []kvstore.Condition{election.EpochCondition(t.epoch)}}
	size := 0
	for _, j := range batch[:n] {
		writes, folded, ok := t.foldOperations(now, j)
		if !ok {
			continue
		}
		size += kvstore.JSONSize(writes[0].Value)
		if len(f.jobs) > 0 && (size > maxFoldBytes || len(txn.Operations)+len(writes) > min(may, limits.MaxTxnOps)) {
			break
		}
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: writes[0].SetKey, ModRevision: j.ModRevision})
		txn.Operations = append(txn.Operations, writes...)
		f.jobs = append(f.jobs, folded)
		j.FoldInFlight = true
	}
	if len(f.jobs) == 0 {
		return
	}
	t.budget.ForceTakeWrites(now, len(txn.Operations))
	t.foldInFlight = f
	t.emit(CommitTransaction{Kind: FoldTransaction, Epoch: t.epoch, Txn: txn})
}

// foldOperations are the changes that store a job's checkpoint: its record, and the
// parts of it. One that is too large for a transaction is written in several, or
// tried again a little later; it keeps no others from their turn.
func (t *term) foldOperations(now clock.Instant, j *jobs.Job) ([]kvstore.Operation, foldedJob, bool) {
	whole := j.Record(t.epoch)
	rec, rest, err := whole.Split(t.schema.storeLimits().MaxValueBytes(), t.schema.maxJobValues(), kvstore.JSONSize)
	if err != nil {
		t.metrics.OversizedRecords.Inc()
		if !t.beginStaging(j, whole) {
			t.oversizedUntil[j.ID] = now.Add(oversizedRetryDelay)
			t.log.Warn("checkpoint is too large for one transaction", "job", j.ID, "err", err, "epoch", t.epoch)
		}
		return nil, foldedJob{}, false
	}
	writes := recordOperations(jobs.Key(j.ID), rec, rest, func(n int) string { return jobs.ChunkKey(j.ID, n) })
	return writes, foldedJob{j, j.ChangeSeq, rec.LastRound, rec.Phase, whole.Done.Len()}, true
}

// jobsToFold lists the jobs whose record may be written now: those that a user
// or the ring waits for, and those that have lagged long enough.
func (t *term) jobsToFold(now clock.Instant) (urgent, late []*jobs.Job) {
	blocking := t.rounds.jobsBlockingRing()
	for j := range t.jobs.all() {
		if !j.Dirty() || j.FoldInFlight || now.Before(t.oversizedUntil[j.ID]) || t.rounds.isChanging(j.ID) {
			continue
		}
		if j.NeedsUrgentFold() || blocking[j.ID] || t.jobs.isAwaited(j.ID) {
			urgent = append(urgent, j)
		} else if now.Sub(j.DirtySince) >= t.policy.MaxFoldDelay {
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

func (t *term) foldCompleted(now clock.Instant, in TransactionCompleted) {
	f := t.foldInFlight
	if f == nil {
		return
	}
	t.foldInFlight = nil
	for _, fj := range f.jobs {
		fj.job.FoldInFlight = false
	}
	if in.Outcome != election.OutcomeOK {
		t.foldFailed(now, in)
		return
	}
	t.metrics.Folds.Inc()
	for _, fj := range f.jobs {
		j := fj.job
		j.ModRevision, j.StoredSeq, j.StoredRound, j.StoredPhase, j.StoredChunkOffset = in.Revision, fj.seq, fj.round, fj.phase, f.firstChunk
		j.StoredDoneTasks = fj.doneTasks
		if j.Dirty() {
			j.DirtySince = now
		}
		t.rounds.jobFolded(j.ID, fj.round)
		if fj.phase.Final() {
			t.log.Info("job over", "job", j.ID, "phase", fj.phase, "epoch", t.epoch)
			t.jobs.answerCancellations(j.ID, api.JobFound, t.core.election.LeaseValidUntil())
		}
	}
}

func (t *term) foldFailed(now clock.Instant, in TransactionCompleted) {
	t.foldRetryAt = now.Add(200 * time.Millisecond)
	for _, key := range in.FailedConditions {
		t.metrics.CASConflicts.Inc()
		id := ident.JobID(strings.TrimPrefix(key, jobs.KeyPrefix))
		if t.jobs.get(id) != nil {
			t.jobs.read(id)
		}
	}
}
