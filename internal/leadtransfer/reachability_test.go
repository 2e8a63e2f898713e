package leadtransfer

import (
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// TestPoorlyPlacedLeaderTransfersLeadership: a leader that nearly all workers don't reach,
// of which some come through another node, leaves leadership to that node; but
// not at once, and not if nobody is known to be better placed. Guards against a
// day on which a leader in the smaller of two zones held on for half a minute,
// because most of the others were not even relayed.
func TestPoorlyPlacedLeaderTransfersLeadership(t *testing.T) {
	var alone, r Reachability
	begun := clock.Instant(time.Hour)
	for now := begun; now.Sub(begun) < 20*time.Second; now = now.Add(time.Second) {
		recordHeartbeats(&r, now, "near", 10, "")
		recordHeartbeats(&alone, now, "near", 10, "")
		if heir := alone.Transferee(now, 100, Delay); heir != "" {
			t.Fatalf("leaves it to %q, which nobody comes through", heir)
		}
		recordHeartbeats(&r, now, "far", 16, "n2")
		if heir := r.Transferee(now, 100, Delay); (heir == "n2") != (now.Sub(begun) >= Delay) {
			t.Fatalf("heir %q after %v", heir, now.Sub(begun))
		}
	}
	fewer := Reachability{}
	for now := begun; now.Sub(begun) < 20*time.Second; now = now.Add(time.Second) {
		recordHeartbeats(&fewer, now, "near", 10, "")
		recordHeartbeats(&fewer, now, "far", 10, "n2")
		if heir := fewer.Transferee(now, 100, Delay); heir != "" {
			t.Fatalf("leaves it to %q, which brings no more than come here", heir)
		}
	}
	now := begun.Add(20 * time.Second)
	recordHeartbeats(&r, now, "near", 50, "")
	if r.Transferee(now, 100, Delay) != "" {
		t.Error("gives up although many workers reach it")
	}
}

// TestTransfersBackOff: a node that has handed leadership over is more patient when
// it leads again soon, and forgets that after a while.
func TestTransfersBackOff(t *testing.T) {
	var h History
	now := clock.Instant(time.Hour)
	for want := Delay; want <= Delay<<maxBackoffDoublings; want *= 2 {
		if got := h.Delay(now); got != want {
			t.Errorf("waits for %v, want %v", got, want)
		}
		h.RecordTransfer(now)
		now = now.Add(30 * time.Second)
	}
	if got := h.Delay(now); got != Delay<<maxBackoffDoublings {
		t.Errorf("waits for %v", got)
	}
	if got := h.Delay(now.Add(BackoffReset)); got != Delay {
		t.Errorf("waits for %v after a quiet while", got)
	}
}

// recordHeartbeats notes a report of each of n workers, through the node via if one is named.
func recordHeartbeats(r *Reachability, now clock.Instant, name string, n int, via string) {
	for i := range n {
		r.RecordHeartbeat(now, ident.MachineID(fmt.Sprintf("%s-%d", name, i)), via)
	}
}
