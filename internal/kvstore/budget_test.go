package kvstore_test

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/kvstore"
)

// TestBudgetsStayWithinServiceLimits checks that the nodes together stay within the write limit of
// the service and use most of it while each of them writes as much as its budget permits, that
// continuous submissions don't starve rounds, and that checkpoints leave writes for a submission and
// a round.
func TestBudgetsStayWithinServiceLimits(t *testing.T) {
	const limit = 20.0
	now := clock.Instant(time.Hour)
	nodes := []*kvstore.Budget{kvstore.NewBudget(3, 150, limit), kvstore.NewBudget(3, 150, limit), kvstore.NewBudget(3, 150, limit)}
	nodes[0].SetLeader(now, true)
	taken := 0
	const seconds = 20
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for _, b := range nodes {
			for b.TakeWrites(now, kvstore.PurposeSubmission, 1) {
				taken++
			}
		}
	}
	if maxTaken := limit*seconds + limit; float64(taken) > maxTaken || float64(taken) < 0.8*limit*seconds {
		t.Errorf("%d writes in %d s, limit %v per second", taken, seconds, limit)
	}
	// Rounds are written even while submissions take every write that they may.
	rounds := 0
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for nodes[0].TakeWrites(now, kvstore.PurposeSubmission, 1) {
		}
		if nodes[0].TakeWrites(now, kvstore.PurposeRound, 1) {
			rounds++
		}
	}
	if rounds < seconds {
		t.Errorf("%d rounds in %d s of continuous submissions", rounds, seconds)
	}
	now = now.Add(time.Minute)
	for nodes[0].TakeWrites(now, kvstore.PurposeCheckpoint, 1) {
	}
	if !nodes[0].TakeWrites(now, kvstore.PurposeSubmission, 1) || !nodes[0].TakeWrites(now, kvstore.PurposeRound, 1) {
		t.Error("checkpoints left no write for a submission and a round")
	}
}
