package leadtransfer

import (
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// TestLeaderUnreachableByWorkersTransfersLeadership checks that a leader that most workers don't reach transfers
// leadership to a node that relays the heartbeats of some of them, but only after the delay and only if that node
// relays more workers than reach the leader directly. It guards against a leader in the smaller of two zones that kept
// its leadership for half a minute because most workers of the other zone were not even relayed.
func TestLeaderUnreachableByWorkersTransfersLeadership(t *testing.T) {
	var withoutRelay, reachability Reachability
	start := clock.Instant(time.Hour)
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(time.Second) {
		recordHeartbeats(&reachability, now, "near", 10, "")
		recordHeartbeats(&withoutRelay, now, "near", 10, "")
		if node := withoutRelay.Transferee(now, 100, Delay); node != "" {
			t.Fatalf("transfers to %q although no heartbeat was relayed", node)
		}
		recordHeartbeats(&reachability, now, "far", 16, "n2")
		if node := reachability.Transferee(now, 100, Delay); (node == "n2") != (now.Sub(start) >= Delay) {
			t.Fatalf("transferee %q after %v, want n2 exactly from the delay on", node, now.Sub(start))
		}
	}
	var fewRelayed Reachability
	for now := start; now.Sub(start) < 20*time.Second; now = now.Add(time.Second) {
		recordHeartbeats(&fewRelayed, now, "near", 10, "")
		recordHeartbeats(&fewRelayed, now, "far", 10, "n2")
		if node := fewRelayed.Transferee(now, 100, Delay); node != "" {
			t.Fatalf("transfers to %q, which relays no more workers than reach this node directly", node)
		}
	}
	now := start.Add(20 * time.Second)
	recordHeartbeats(&reachability, now, "near", 50, "")
	if reachability.Transferee(now, 100, Delay) != "" {
		t.Error("transfers although many workers reach this node directly")
	}
}

// recordHeartbeats records one heartbeat of each of n workers, relayed by the node via unless via is empty.
func recordHeartbeats(r *Reachability, now clock.Instant, name string, n int, via string) {
	for i := range n {
		r.RecordHeartbeat(now, ident.MachineID(fmt.Sprintf("%s-%d", name, i)), via)
	}
}

// TestResetDelayRestartsDelay checks that after ResetDelay the workers must be unreachable for the whole delay again
// before a transfer.
func TestResetDelayRestartsDelay(t *testing.T) {
	var reachability Reachability
	now := clock.Instant(time.Hour)
	transferee := func() string {
		recordHeartbeats(&reachability, now, "far", 20, "n2")
		return reachability.Transferee(now, 20, Delay)
	}
	if reachability.HasRelayed() {
		t.Error("HasRelayed is true before any heartbeat")
	}
	if node := transferee(); node != "" || !reachability.HasRelayed() {
		t.Errorf("transferee %q without a delay, or HasRelayed is false", node)
	}
	now = now.Add(Delay)
	reachability.ResetDelay()
	if node := transferee(); node != "" {
		t.Errorf("transfers to %q right after ResetDelay", node)
	}
	now = now.Add(Delay)
	if node := transferee(); node != "n2" {
		t.Errorf("transferee %q after the delay, want n2", node)
	}
}
