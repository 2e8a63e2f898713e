package fake

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestLeaderHistoryDetectsConcurrentLeaders checks that Record returns an error for concurrent
// leaders, and for no other sequence of actions. Without it, tests that search a history for two
// leaders could pass because Record detects nothing.
func TestLeaderHistoryDetectsConcurrentLeaders(t *testing.T) {
	at := func(s int) clock.Instant { return clock.Instant(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name        string
		maxInFlight time.Duration
		actions     []LeaderAction
		wantError   bool
	}{
		{"the successor acts after the old leader", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 7}, {At: at(3), Process: "b", Epoch: 7}}, false},
		{"one process acts in a higher epoch", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "a", Epoch: 6}}, false},
		{"the old leader acts after its successor", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 7}, {At: at(3), Process: "a", Epoch: 5}}, true},
		{"a message of the old leader arrives late", 2 * time.Second, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 7}, {At: at(3), Process: "a", Epoch: 5}}, false},
		{"two processes act in one epoch", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 5}}, true},
	} {
		h := LeaderHistory{MaxInFlight: c.maxInFlight}
		failed := false
		for _, a := range c.actions {
			failed = h.Record(a) != nil || failed
		}
		if failed != c.wantError {
			t.Errorf("%s: Record failed: %v, want %v", c.name, failed, c.wantError)
		}
	}
}
