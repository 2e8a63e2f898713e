package relay

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestRouterRelaysReturningWorkers checks that a worker is first redirected to the leader,
// that its heartbeats are relayed for some time if it returns soon, because it could not
// reach the leader, and that it is redirected again after that time or when the leader
// changes.
func TestRouterRelaysReturningWorkers(t *testing.T) {
	router := &Router{}
	now := clock.Instant(time.Hour)
	reachable := func() bool { return true }
	if !router.ShouldRedirect(now, "host-1", "n1", reachable) {
		t.Fatal("a new worker was relayed instead of redirected")
	}
	if router.ShouldRedirect(now.Add(5*time.Second), "host-1", "n1", reachable) {
		t.Error("a worker that returned soon after a redirect was redirected again")
	}
	if router.ShouldRedirect(now.Add(30*time.Second), "host-1", "n1", reachable) {
		t.Error("a relayed worker was redirected before the relay period ended")
	}
	if !router.ShouldRedirect(now.Add(60*time.Second), "host-1", "n1", reachable) {
		t.Error("a worker was not redirected after the relay period")
	}
	if router.ShouldRedirect(now.Add(62*time.Second), "host-1", "n1", reachable) {
		t.Error("a worker that returned soon after the second redirect was redirected again")
	}
	if !router.ShouldRedirect(now.Add(63*time.Second), "host-1", "n2", reachable) {
		t.Error("a worker was not redirected to a new leader")
	}
}
