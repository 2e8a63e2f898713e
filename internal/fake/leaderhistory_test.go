package fake

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestLeaderHistoryDetectsConcurrentLeaders: the check of histories finds what it is for.
func TestLeaderHistoryDetectsConcurrentLeaders(t *testing.T) {
	at := func(s int) clock.Instant { return clock.Instant(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		what     string
		inFlight time.Duration
		acts     []LeaderAction
		wrong    bool
	}{
		{"one after the other", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 7}, {At: at(3), Process: "b", Epoch: 7}}, false},
		{"a raised token", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "a", Epoch: 6}}, false},
		{"the old one acts again", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 7}, {At: at(3), Process: "a", Epoch: 5}}, true},
		{"what it sent arrives", 2 * time.Second, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 7}, {At: at(3), Process: "a", Epoch: 5}}, false},
		{"two in one epoch", 0, []LeaderAction{{At: at(1), Process: "a", Epoch: 5}, {At: at(2), Process: "b", Epoch: 5}}, true},
	} {
		h := LeaderHistory{MaxInFlight: c.inFlight}
		wrong := false
		for _, a := range c.acts {
			wrong = h.Record(a) != nil || wrong
		}
		if wrong != c.wrong {
			t.Errorf("%s: found %v", c.what, wrong)
		}
	}
}
