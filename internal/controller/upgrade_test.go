package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/schemaversion"
)

// simulateUpgrade simulates a rolling upgrade: the nodes are upgraded from the previous version to this one, one at a
// time, and some time after the last upgrade the state service begins to enforce its announced stricter limits.
func simulateUpgrade(t *testing.T, seed uint64, injectFaults func(*simulation)) *simulation {
	s := newSimulation(t, 9000+seed)
	s.settings.Params.StateService.Next = &config.StateLimits{WriteRPS: 15, MaxValueKB: 2, MaxTxnOps: 4}
	s.onPreviousVersion = map[int]bool{0: true, 1: true, 2: true}
	s.settings.Params.Teams = []config.Team{{Name: "red", CPUGuarantee: 100, CPULimit: 400}, {Name: "blue", CPUGuarantee: 16, CPULimit: 24}}
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] *= 8
	}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	wide := arraySpec
	wide.Tasks, wide.Class = 150, "wide"
	s.submitMixedLoad()
	for i := range 4 {
		s.submit(400+i, wide, time.Duration(25+20*i)*time.Second)
	}
	for i := range 6 {
		s.schedule(time.Duration(8+8*i)*time.Second, func() { s.submit(450+i, gangSpec, 12*time.Second) })
	}
	injectFaults(s)
	for i, n := range s.nodes {
		s.schedule(time.Duration(10+10*i)*time.Second, func() {
			delete(s.onPreviousVersion, n.index)
			s.crash(n, 3*time.Second)
		})
	}
	s.schedule(34*time.Second+time.Duration(s.rng.IntN(8000))*time.Millisecond, func() {
		s.limitGraceUntil = s.now.Add(5 * time.Second)
		s.store.MaxValueBytes, s.store.MaxTxnOps = 2048, 4
	})
	s.runFor(150 * time.Second)
	return s
}

// Record fields that the previous version of the program knows; previousSchemaVersion is the newest schema version that
// it knows of each record. It drops all other fields when it rewrites a record.
var (
	previousJobFields   = []string{"v", "spec", "at", "ph", "e", "r", "d", "l", "pk", "nx"}
	previousRoundFields = []string{"v", "no", "e", "lo", "st", "pk", "hi", "re"}
)

// previousSchemaVersion is the newest schema version of job and round records that the previous version reads.
const previousSchemaVersion = 2

// checkReadableByPreviousVersion checks that the previous version of the program can read all stored job and round
// records, and drops no field when it rewrites them.
func (s *simulation) checkReadableByPreviousVersion() {
	for prefix, fields := range map[string][]string{jobs.KeyPrefix: previousJobFields, roundlog.KeyPrefix: previousRoundFields} {
		items, _, _ := s.store.List(prefix)
		for _, item := range items {
			var stored map[string]any
			if err := msgpack.Unmarshal(item.Value, &stored); err != nil {
				s.t.Fatalf("%s: %v", item.Key, err)
			}
			for field := range stored {
				if !slices.Contains(fields, field) {
					s.t.Errorf("%s: the previous version drops field %q", item.Key, field)
				}
			}
			if v, ok := stored["v"].(int8); !ok || v > previousSchemaVersion {
				s.t.Errorf("%s: schema version %v, want at most %d", item.Key, stored["v"], previousSchemaVersion)
			}
		}
	}
}

// TestRollingUpgrade checks that nodes of two versions serve side by side, that data which only the newer version can
// read is stored once all nodes have been upgraded and not before, and that the stricter limits of the state service
// change nothing that a user sees.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	for name, injectFaults := range map[string]func(*simulation){
		"no faults": func(*simulation) {},
		"leader crashes": func(s *simulation) {
			s.faultsActive = true
			s.repeatWhileFaultsActive(6*sec, 14*sec, func() { s.crashLeader(4 * sec) })
		},
		"store outage and restart of the previous version": func(s *simulation) {
			s.schedule(22*sec, func() { s.beginStoreOutage(9 * sec) })
			s.schedule(25*sec, func() {
				// Node 2 crashes before its upgrade and restarts with the previous version.
				s.crash(s.nodes[2], 200*time.Millisecond)
			})
		},
		"leader crashes around the schema agreement": func(s *simulation) {
			for i := range 10 {
				s.schedule(32*sec+time.Duration(i)*700*time.Millisecond, func() { s.effectsUntilCrash = 1 + i%4 })
			}
		},
		"late downgrade of one node": func(s *simulation) {
			s.schedule(70*sec, func() {
				s.onPreviousVersion[2] = true
				s.crash(s.nodes[2], 200*time.Millisecond)
			})
			s.schedule(80*sec, func() { s.crashLeader(sec) })
			s.schedule(110*sec, func() {
				if agreement, _ := s.store.Get(schemaversion.Key); agreement.ModRevision == 0 {
					s.t.Error("the stored schema agreement was deleted")
				}
				delete(s.onPreviousVersion, 2)
				s.crash(s.nodes[2], 200*time.Millisecond)
			})
		},
		"node isolated while the limits change": func(s *simulation) {
			s.schedule(33*sec, func() { s.isolated[1] = true })
			s.schedule(90*sec, func() { delete(s.isolated, 1) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					tooEarly, agreed, upgraded := false, false, 0
					s := simulateUpgrade(t, seed, func(s *simulation) {
						injectFaults(s)
						s.scheduleEvery(sec, func() {
							chunks, _, _ := s.store.List(chunk.KeyPrefix)
							agreement, _ := s.store.Get(schemaversion.Key)
							if agreement.ModRevision != 0 {
								agreed = true
							}
							if !agreed && len(s.onPreviousVersion) > 0 {
								tooEarly = tooEarly || len(chunks) > 0
								s.checkReadableByPreviousVersion()
							}
							if agreement.ModRevision != 0 && upgraded < len(s.nodes) {
								tooEarly = true
							}
							upgraded = max(upgraded, len(s.nodes)-len(s.onPreviousVersion))
						})
					})
					if tooEarly {
						t.Error("chunks or the schema agreement were stored before all nodes had been upgraded")
					}
					if agreement, _ := s.store.Get(schemaversion.Key); agreement.ModRevision == 0 {
						t.Error("the schema agreement was never stored")
					}
					s.faultsActive = false
					s.healAndFinish()
					t.Logf("limit violations in the grace period: %d", s.limitViolations)
				})
			}
		})
	}
}

// TestOversizedCheckpointDoesNotBlockOthers checks that a checkpoint that is too large for one transaction even when
// it is split into chunks, and is therefore only counted and deferred, does not block the checkpoints behind it.
func TestOversizedCheckpointDoesNotBlockOthers(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 0)
	g.core.settings.Params.StateService.Next = &config.StateLimits{WriteRPS: 15, MaxValueKB: 2, MaxTxnOps: 4}
	tm := g.core.term
	tm.schema.negotiator.ObserveReducedLimits()
	rng := rand.New(rand.NewPCG(1, 1))
	wide := arraySpec
	wide.Tasks = 90_000
	huge := jobs.NewRecord(wide, 0)
	for i := range 3000 {
		first := ident.TaskIndex(30*i + rng.IntN(29))
		huge.Placements = append(huge.Placements, jobs.PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", rng.IntN(1_000_000))),
			Session: ident.Session(1 + rng.IntN(50)), Attempt: ident.Attempt(rng.IntN(1 << 30)), Tasks: indexset.Set{{First: first, Last: first}}})
	}
	for id, r := range map[ident.JobID]*jobs.Record{"wk-000001": huge, "wk-000002": jobs.NewRecord(arraySpec, 0)} {
		data, err := encodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		tm.acceptJob(g.now, JobRecordRead{Job: id, OK: true, Item: kvstore.KeyValue{Key: jobs.Key(id), Value: data, ModRevision: 5}})
	}
	tm.jobs.get("wk-000001").Cancel(g.now)
	tm.jobs.get("wk-000002").Cancel(g.now.Add(time.Millisecond))
	for range 40 {
		g.now = g.now.Add(50 * time.Millisecond)
		for g.core.budget.AvailableWrites(g.now, kvstore.PurposeUrgentCheckpoint) > 1 {
			g.core.budget.ForceTakeWrites(g.now, 1) // leaves one write, enough for one job
		}
		for _, e := range g.core.Step(g.now, Tick{}) {
			c, ok := e.(CommitTransaction)
			if !ok || c.Kind != CheckpointTransaction {
				continue
			}
			if len(c.Txn.Operations) != 1 || c.Txn.Operations[0].SetKey != "job/wk-000002" {
				t.Fatalf("operations are %+v, want one for job/wk-000002", c.Txn.Operations)
			}
			return
		}
	}
	t.Error("the checkpoint behind the oversized one was not written")
}
