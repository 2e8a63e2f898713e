package handover

import (
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/unit"
)

// TestPoorlyPlacedLeaderGivesUp: a leader that nearly all workers don't reach,
// of which some come through another node, leaves leadership to that node; but
// not at once, and not if nobody is known to be better placed. Guards against a
// day on which a leader in the smaller of two zones held on for half a minute,
// because most of the others were not even relayed.
func TestPoorlyPlacedLeaderGivesUp(t *testing.T) {
	var alone, r Reach
	begun := unit.Instant(time.Hour)
	for now := begun; now.Sub(begun) < 20*time.Second; now = now.Add(time.Second) {
		hear(&r, now, "near", 10, "")
		hear(&alone, now, "near", 10, "")
		if heir := alone.Heir(now, 100, Delay); heir != "" {
			t.Fatalf("leaves it to %q, which nobody comes through", heir)
		}
		hear(&r, now, "far", 16, "n2")
		if heir := r.Heir(now, 100, Delay); (heir == "n2") != (now.Sub(begun) >= Delay) {
			t.Fatalf("heir %q after %v", heir, now.Sub(begun))
		}
	}
	fewer := Reach{}
	for now := begun; now.Sub(begun) < 20*time.Second; now = now.Add(time.Second) {
		hear(&fewer, now, "near", 10, "")
		hear(&fewer, now, "far", 10, "n2")
		if heir := fewer.Heir(now, 100, Delay); heir != "" {
			t.Fatalf("leaves it to %q, which brings no more than come here", heir)
		}
	}
	now := begun.Add(20 * time.Second)
	hear(&r, now, "near", 50, "")
	if r.Heir(now, 100, Delay) != "" {
		t.Error("gives up although many workers reach it")
	}
}

// TestHandoversBackOff: a node that has handed leadership over is more patient when
// it leads again soon, and forgets that after a while.
func TestHandoversBackOff(t *testing.T) {
	var h History
	now := unit.Instant(time.Hour)
	for want := Delay; want <= Delay<<mostBackoffs; want *= 2 {
		if got := h.Delay(now); got != want {
			t.Errorf("waits for %v, want %v", got, want)
		}
		h.Note(now)
		now = now.Add(30 * time.Second)
	}
	if got := h.Delay(now); got != Delay<<mostBackoffs {
		t.Errorf("waits for %v", got)
	}
	if got := h.Delay(now.Add(BackoffReset)); got != Delay {
		t.Errorf("waits for %v after a quiet while", got)
	}
}

// hear notes a report of each of n workers, through the node via if one is named.
func hear(r *Reach, now unit.Instant, name string, n int, via string) {
	for i := range n {
		r.Note(now, unit.MachineID(fmt.Sprintf("%s-%d", name, i)), via)
	}
}
