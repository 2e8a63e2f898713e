package leadtransfer

import (
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// TestPoorlyPlacedLeaderTransfersLeadership: a leader that nearly all workers don't
// reach, some of whose heartbeats another node relays, transfers leadership to that node;
// but not at once, and not if no node is known to be better placed. Guards against a leader
// in the smaller of two zones that held on for half a minute, because most of the others
// were not even relayed.
func TestPoorlyPlacedLeaderTransfersLeadership(t *testing.T) {
	var alone, reachability Reachability
	begun := clock.Instant(time.Hour)
	for now := begun; now.Sub(begun) < 20*time.Second; now = now.Add(time.Second) {
		recordHeartbeats(&reachability, now, "near", 10, "")
		recordHeartbeats(&alone, now, "near", 10, "")
		if node := alone.Transferee(now, 100, Delay); node != "" {
			t.Fatalf("transfers to %q, which relays nothing", node)
		}
		recordHeartbeats(&reachability, now, "far", 16, "n2")
		if node := reachability.Transferee(now, 100, Delay); (node == "n2") != (now.Sub(begun) >= Delay) {
			t.Fatalf("transfers to %q after %v", node, now.Sub(begun))
		}
	}
	var fewer Reachability
	for now := begun; now.Sub(begun) < 20*time.Second; now = now.Add(time.Second) {
		recordHeartbeats(&fewer, now, "near", 10, "")
		recordHeartbeats(&fewer, now, "far", 10, "n2")
		if node := fewer.Transferee(now, 100, Delay); node != "" {
			t.Fatalf("transfers to %q, which relays no more than come here", node)
		}
	}
	now := begun.Add(20 * time.Second)
	recordHeartbeats(&reachability, now, "near", 50, "")
	if reachability.Transferee(now, 100, Delay) != "" {
		t.Error("transfers although many workers reach it")
	}
}

// recordHeartbeats notes a heartbeat of each of n workers, relayed by the node via if one is named.
func recordHeartbeats(r *Reachability, now clock.Instant, name string, n int, via string) {
	for i := range n {
		r.RecordHeartbeat(now, ident.MachineID(fmt.Sprintf("%s-%d", name, i)), via)
	}
}

// TestDelayBeginsAnew: after a reset the workers must be unreachable for the whole delay
// again.
func TestDelayBeginsAnew(t *testing.T) {
	var reachability Reachability
	now := clock.Instant(time.Hour)
	transferee := func() string {
		recordHeartbeats(&reachability, now, "far", 20, "n2")
		return reachability.Transferee(now, 20, Delay)
	}
	if reachability.HasRelayed() {
		t.Error("relayed before any heartbeat")
	}
	if node := transferee(); node != "" || !reachability.HasRelayed() {
		t.Errorf("transfers to %q at once", node)
	}
	now = now.Add(Delay)
	reachability.ResetDelay()
	if node := transferee(); node != "" {
		t.Errorf("transfers to %q right after a reset", node)
	}
	now = now.Add(Delay)
	if node := transferee(); node != "n2" {
		t.Errorf("transfers to %q after the delay", node)
	}
}
