package relay

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestRouterRelaysReturningWorkers: a worker is redirected to the leader
// first; one that comes back soon could not reach it, and is relayed for a while.
func TestRouterRelaysReturningWorkers(t *testing.T) {
	router := &Router{}
	now := clock.Instant(time.Hour)
	reachable := func() bool { return true }
	if !router.ShouldRedirect(now, "host-1", "n1", reachable) {
		t.Fatal("relayed at first sight")
	}
	if router.ShouldRedirect(now.Add(5*time.Second), "host-1", "n1", reachable) {
		t.Error("redirected to a leader that it could not reach")
	}
	if router.ShouldRedirect(now.Add(30*time.Second), "host-1", "n1", reachable) {
		t.Error("not relayed for long enough")
	}
	if !router.ShouldRedirect(now.Add(60*time.Second), "host-1", "n1", reachable) {
		t.Error("never redirected again")
	}
	if router.ShouldRedirect(now.Add(62*time.Second), "host-1", "n1", reachable) {
		t.Error("redirected twice in a row")
	}
	if !router.ShouldRedirect(now.Add(63*time.Second), "host-1", "n2", reachable) {
		t.Error("relayed to a new leader that may be in reach")
	}
}
