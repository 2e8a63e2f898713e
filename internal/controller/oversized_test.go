package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/chunk"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/schemaversion"
)

// storeOversizedJob stores a job with so many running tasks that its record does not fit in one transaction under the
// announced stricter limits of the state service. A release that does not know these limits may leave such a record.
func (s *simulation) storeOversizedJob(id ident.JobID, groups int) {
	spec := arraySpec
	spec.Tasks = 4 * groups
	r := jobs.NewRecord(spec, simulatedClock{s, nil}.Wall().UnixMilli())
	for i := range groups {
		first := ident.TaskIndex(4 * i)
		r.Placements = append(r.Placements, jobs.PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", 1000+i*7919%900_000)),
			Session: ident.Session(1 + i%40), Attempt: ident.Attempt(1 + i*31%997), Tasks: indexset.Set{{First: first, Last: first}, {First: first + 2, Last: first + 2}}})
	}
	stored, err := r.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	maxValueBytes, maxTxnOps := s.store.MaxValueBytes, s.store.MaxTxnOps
	s.store.MaxValueBytes, s.store.MaxTxnOps = 0, 0
	if _, err := s.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: jobs.Key(id), Value: stored}}}); err != nil {
		s.t.Fatal(err)
	}
	s.store.MaxValueBytes, s.store.MaxTxnOps = maxValueBytes, maxTxnOps
	s.jobs[id] = &simulatedJob{spec: spec, submitted: true, runTime: time.Minute, acceptedAt: s.now, startedAt: s.now, lastStatusAt: s.now, reportedState: api.Queued}
}

// readWholeRecord returns the record of a job, assembled from its head and chunks as a new leader would read it at
// this moment. It returns nil if the head can't be fetched, and ends the test if the record can't be decoded.
func (s *simulation) readWholeRecord(id ident.JobID) *jobs.Record {
	item, err := s.store.Get(jobs.Key(id))
	if err != nil {
		return nil
	}
	r, err := jobs.DecodeWithChunks(item.Value, func(n int) []byte {
		chunkItem, _ := s.store.Get(jobs.ChunkKey(id, n))
		return chunkItem.Value
	})
	if err != nil {
		s.t.Fatalf("decode job record: %v", err)
	}
	return r
}

// TestOversizedJobCanBeCancelled checks that a job can be cancelled although its record does not fit in one
// transaction. The record is written in several transactions. It must be readable as a whole at any moment, whichever
// of these transactions the leader crashes before, and also if some of them are applied late.
func TestOversizedJobCanBeCancelled(t *testing.T) {
	t.Parallel()
	for crashAt := range 14 {
		t.Run(fmt.Sprint(crashAt), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 700+uint64(crashAt))
			s.settings.Params.StateService.Next = &config.StateLimits{WriteRPS: 15, MaxValueKB: 2, MaxTxnOps: 4}
			for _, n := range s.nodes {
				s.crash(n, time.Millisecond)
			}
			const id = "wk-000777"
			s.storeOversizedJob(id, 600)
			s.submit(1, oneZoneSpec, 20*time.Second)
			s.runFor(12 * time.Second) // enough for all nodes to know the agreed schema version
			s.store.MaxValueBytes, s.store.MaxTxnOps = 2048, 4
			if crashAt%3 == 2 {
				s.lateCommitProbability = 0.2
			}
			s.effectsUntilCrash = crashAt
			s.cancelJob(id)
			s.scheduleEvery(50*time.Millisecond, func() { s.readWholeRecord(id) })
			s.runFor(25 * time.Second)
			s.lateCommitProbability = 0
			if s.jobs[id].cancelledAt == 0 {
				t.Fatal("the cancellation was not confirmed")
			}
			if r := s.readWholeRecord(id); r.Phase != jobs.PhaseCancelled {
				t.Errorf("stored phase is %q, want %q", r.Phase, jobs.PhaseCancelled)
			}
			s.runFor(15 * time.Second)
			s.healAndFinish()
		})
	}
}

// TestLateChunksAreFenced checks that a delayed copy of a chunk transaction has no effect once a later chunk
// transaction has been applied: each must change the staging key, on condition of a revision of that key that no
// earlier one named.
func TestLateChunksAreFenced(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	g.core.settings.Params.StateService.Next = &config.StateLimits{WriteRPS: 15, MaxValueKB: 2, MaxTxnOps: 4}
	tm := g.core.term
	tm.schema.negotiator = schemaversion.New(nil, schemaversion.Latest)
	r := jobs.NewRecord(arraySpec, 0)
	r.Spec.Tasks = 8000
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		r.Placements = append(r.Placements, jobs.PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", rng.IntN(1_000_000))), Session: 1,
			Attempt: ident.Attempt(rng.IntN(1 << 30)), Tasks: indexset.Set{{First: ident.TaskIndex(4 * i), Last: ident.TaskIndex(4 * i)}}})
	}
	data, err := msgpack.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	tm.acceptJob(g.now, JobRecordRead{Job: "wk-000001", OK: true, Item: kvstore.KeyValue{Key: "job/wk-000001", Value: data, ModRevision: 5}})
	tm.jobs.get("wk-000001").Cancel(g.now)
	stagingRevisions := map[ident.Revision]bool{}
	revision := ident.Revision(100)
	var handleEffects func([]Effect)
	handleEffects = func(effects []Effect) {
		for _, e := range effects {
			c, ok := e.(CommitTransaction)
			if !ok || c.Kind != StagingTransaction {
				continue
			}
			if condition := c.Txn.Conditions[1]; condition.Key != stagingKey || stagingRevisions[condition.ModRevision] || c.Txn.Operations[0].SetKey != stagingKey {
				t.Fatalf("chunk transaction does not update %s under a new revision of it: condition %+v", stagingKey, condition)
			}
			stagingRevisions[c.Txn.Conditions[1].ModRevision] = true
			revision++
			handleEffects(g.core.Step(g.now, TransactionCompleted{Kind: StagingTransaction, Epoch: c.Epoch, Revision: revision}))
		}
	}
	for range 40 {
		g.now = g.now.Add(300 * time.Millisecond)
		handleEffects(g.core.Step(g.now, ElectionInput{election.LeaseRenewed{LeaseID: 1, Outcome: election.OutcomeOK, SentAt: g.now}}))
		handleEffects(g.core.Step(g.now, Tick{}))
	}
	if len(stagingRevisions) < 2 {
		t.Errorf("%d chunk transactions, want at least 2", len(stagingRevisions))
	}
	if !tm.jobs.get("wk-000001").WriteInFlight {
		t.Error("the head of the record is not being written")
	}
	if chunk.Key("stage", 1) == stagingKey {
		t.Error("the key of a chunk collides with the staging key")
	}
}
