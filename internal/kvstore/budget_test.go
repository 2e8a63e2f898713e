package kvstore_test

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/kvstore"
)

// TestBudgetsKeepTheServicesLimits: however hard all nodes push, together they stay
// below the service's limit, and folds leave room for submissions.
func TestBudgetsKeepTheServicesLimits(t *testing.T) {
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
		t.Errorf("%d writes in %d s, limit %v a second", taken, seconds, limit)
	}
	// However many submissions come, rounds get their writes.
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
		t.Errorf("%d rounds in %d s of submissions", rounds, seconds)
	}
	now = now.Add(time.Minute)
	for nodes[0].TakeWrites(now, kvstore.PurposeFold, 1) {
	}
	if !nodes[0].TakeWrites(now, kvstore.PurposeSubmission, 1) || !nodes[0].TakeWrites(now, kvstore.PurposeRound, 1) {
		t.Error("folds left nothing for submissions and rounds")
	}
}
