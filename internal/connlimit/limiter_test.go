package connlimit

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestLimiterEviction: a connection is admitted as long as another may be evicted, and is
// rejected otherwise; unidentified ones are evicted before workers.
func TestLimiterEviction(t *testing.T) {
	limiter := NewLimiter(Limits{MaxConnections: 3, IdleTimeout: 10 * time.Second})
	now := clock.Instant(time.Hour)
	admit := func() (*Entry, *Entry) { return limiter.Admit(now, func() {}) }
	worker, _ := admit()
	limiter.BeginRequest(worker, Worker)
	limiter.EndRequest(now, worker)
	now = now.Add(3 * time.Second)
	unidentified, _ := admit()
	busy, _ := admit()
	limiter.BeginRequest(busy, User)
	if entry, _ := admit(); entry != nil || limiter.Rejected != 1 {
		t.Error("a fourth of three connections was admitted, and none had been idle for long")
	}
	now = now.Add(2 * time.Second)
	if entry, evict := admit(); entry == nil || evict != unidentified {
		t.Error("an unidentified connection is evicted before a worker between heartbeats")
	}
	if entry, _ := admit(); entry != nil {
		t.Error("a worker was evicted within its timeout")
	}
	now = now.Add(6 * time.Second)
	first := limiter.idleByKind[Unidentified].Front().Value.(*Entry)
	limiter.BeginRequest(first, User)
	if entry, evict := admit(); entry == nil || evict != worker {
		t.Error("a worker that was idle for too long is evicted")
	}
	limiter.Remove(worker) // its connection closes after it was evicted
	if limiter.OpenCount() != 3 || limiter.Count(User) != 2 || limiter.Count(Worker) != 0 || limiter.Count(Unidentified) != 1 {
		t.Errorf("%d open: %d users, %d workers, %d unidentified", limiter.OpenCount(), limiter.Count(User), limiter.Count(Worker), limiter.Count(Unidentified))
	}
	if limiter.BeginRequest(worker, Worker) {
		t.Error("an evicted connection is kept")
	}
}
