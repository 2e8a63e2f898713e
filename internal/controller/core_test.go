package controller

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leadtransfer"
	"badgerbay/internal/metrics"
	"badgerbay/internal/policy"
	"badgerbay/internal/roundlog"
)

// fixedClock is a clock that always returns the same time.
type fixedClock clock.Instant

func (c fixedClock) Now() clock.Instant { return clock.Instant(c) }
func (fixedClock) Wall() time.Time      { return time.UnixMilli(1_700_000_000_000) }

// newLeadingCore returns a core that is leader in epoch 77 and has read all records, and the current time of its clock.
func newLeadingCore(t *testing.T) (*Core, clock.Instant) {
	t.Helper()
	set := simulationSettings()
	set.Peers = []config.Peer{{NodeName: "n1", Addr: "127.0.0.1:1"}}
	pol, err := policy.Default()
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Instant(time.Hour)
	c := NewCore(set, pol, fixedClock(now), kvstore.NewBudget(2, 80, 25), rand.New(rand.NewPCG(1, 2)),
		slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.New())
	c.machineTypes = []*fleet.MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, Zones: []ident.Zone{"a"}}}
	c.Step(now, ElectionInput{election.LeaderKeysRead{OK: true}})
	c.Step(now, ElectionInput{election.LeaseGranted{OK: true, LeaseID: 1, SentAt: now}})
	c.Step(now, ElectionInput{election.LeaderKeyAcquired{Outcome: election.OutcomeOK, Epoch: 77}})
	c.Step(now, RecordsRead{Epoch: 77, OK: true})
	return c, now
}

// TestNewLeaderGivesWorkersTimeToConnectBeforeTransfer checks that a new leader counts unreachable workers only after
// all workers have had a heartbeat interval to reach it, and then transfers leadership after leadtransfer.Delay. It
// guards against a failure during a partition between two zones, in which the new leader counted the workers of its own
// zone as unreachable and transferred leadership back at once.
func TestNewLeaderGivesWorkersTimeToConnectBeforeTransfer(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 12)
	tm := g.core.term
	interval := g.core.settings.Params.Workers.HeartbeatInterval()
	tm.acquiredAt, g.core.stallEnded = g.now, 0
	sendHeartbeats := func() {
		for _, m := range tm.fleet.Machines() {
			tm.monitor.recordHeartbeat(g.now, HeartbeatReceived{Heartbeat: &fleet.Heartbeat{Machine: m.ID}, RelayedBy: "n1"})
		}
	}
	for g.now.Sub(tm.acquiredAt) < interval+interval/4 {
		sendHeartbeats()
		if tm.transferLeadershipIfUnreachable(g.now) {
			t.Fatalf("leadership transferred %v after the term began", g.now.Sub(tm.acquiredAt))
		}
		g.now = g.now.Add(200 * time.Millisecond)
	}
	connectedAt := g.now
	for !tm.transferLeadershipIfUnreachable(g.now) && g.now.Sub(connectedAt) < time.Minute {
		sendHeartbeats()
		g.now = g.now.Add(200 * time.Millisecond)
	}
	if d := g.now.Sub(connectedAt); d < leadtransfer.Delay-time.Second || d > leadtransfer.Delay+time.Second {
		t.Errorf("leadership transferred %v after the workers had time to connect, want about %v", d, leadtransfer.Delay)
	}
}

// TestTransactionResultsOfEarlierTermsAreIgnored checks that a node that is leader again ignores the result of a
// transaction that it sent in an earlier term. It guards against such a result being attributed to the round in flight
// or ending the new term.
func TestTransactionResultsOfEarlierTermsAreIgnored(t *testing.T) {
	t.Parallel()
	c, now := newLeadingCore(t)
	c.term.rounds.inFlight = &roundInFlight{record: &roundlog.Record{RoundNo: 1}}
	c.Step(now, TransactionCompleted{Kind: RoundTransaction, Epoch: 50, Outcome: election.OutcomeOK, Revision: 60})
	if !c.term.rounds.isWriting() {
		t.Error("the result of a transaction of an earlier term completed the round in flight")
	}
	c.Step(now, TransactionCompleted{Kind: RoundTransaction, Epoch: 50, Outcome: election.OutcomeGone})
	if c.term == nil {
		t.Error("the result of a transaction of an earlier term ended the current term")
	}
}
