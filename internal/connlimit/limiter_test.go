package connlimit

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestLimiterEviction checks that at the limit a new connection is admitted if another may
// be evicted and rejected otherwise, and that unidentified connections are evicted before
// workers. It guards against a flood of connections without requests displacing workers.
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
		t.Error("a fourth connection was admitted although no connection may be evicted yet")
	}
	now = now.Add(2 * time.Second)
	if entry, evict := admit(); entry == nil || evict != unidentified {
		t.Error("the unidentified connection was not evicted before an idle worker")
	}
	if entry, _ := admit(); entry != nil {
		t.Error("a worker was evicted before its idle timeout")
	}
	now = now.Add(6 * time.Second)
	first := limiter.idleByKind[Unidentified].Front().Value.(*Entry)
	limiter.BeginRequest(first, User)
	if entry, evict := admit(); entry == nil || evict != worker {
		t.Error("a worker past its idle timeout was not evicted")
	}
	limiter.Remove(worker) // the evicted connection is closed afterwards
	if limiter.OpenCount() != 3 || limiter.Count(User) != 2 || limiter.Count(Worker) != 0 || limiter.Count(Unidentified) != 1 {
		t.Errorf("%d open: %d users, %d workers, %d unidentified", limiter.OpenCount(), limiter.Count(User), limiter.Count(Worker), limiter.Count(Unidentified))
	}
	if limiter.BeginRequest(worker, Worker) {
		t.Error("an evicted connection was kept")
	}
}
