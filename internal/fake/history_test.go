package fake

import (
	"testing"
	"time"

	"badgerbay/internal/unit"
)

// TestHistoryFindsTwoLeaders: the check of histories finds what it is for.
func TestHistoryFindsTwoLeaders(t *testing.T) {
	at := func(s int) unit.Instant { return unit.Instant(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		what     string
		inFlight time.Duration
		acts     []Act
		wrong    bool
	}{
		{"one after the other", 0, []Act{{At: at(1), By: "a", Epoch: 5}, {At: at(2), By: "b", Epoch: 7}, {At: at(3), By: "b", Epoch: 7}}, false},
		{"a raised token", 0, []Act{{At: at(1), By: "a", Epoch: 5}, {At: at(2), By: "a", Epoch: 6}}, false},
		{"the old one acts again", 0, []Act{{At: at(1), By: "a", Epoch: 5}, {At: at(2), By: "b", Epoch: 7}, {At: at(3), By: "a", Epoch: 5}}, true},
		{"what it sent arrives", 2 * time.Second, []Act{{At: at(1), By: "a", Epoch: 5}, {At: at(2), By: "b", Epoch: 7}, {At: at(3), By: "a", Epoch: 5}}, false},
		{"two in one epoch", 0, []Act{{At: at(1), By: "a", Epoch: 5}, {At: at(2), By: "b", Epoch: 5}}, true},
	} {
		h := History{InFlight: c.inFlight}
		wrong := false
		for _, a := range c.acts {
			wrong = h.Note(a) != nil || wrong
		}
		if wrong != c.wrong {
			t.Errorf("%s: found %v", c.what, wrong)
		}
	}
}
