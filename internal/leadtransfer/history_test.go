package leadtransfer

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestTransfersBackOff: a node that has transferred leadership waits longer when it leads
// again soon, and forgets that after a while.
func TestTransfersBackOff(t *testing.T) {
	var history History
	now := clock.Instant(time.Hour)
	for want := Delay; want <= Delay<<maxBackoffDoublings; want *= 2 {
		if got := history.Delay(now); got != want {
			t.Errorf("waits for %v, want %v", got, want)
		}
		history.RecordTransfer(now)
		now = now.Add(30 * time.Second)
	}
	if got := history.Delay(now); got != Delay<<maxBackoffDoublings {
		t.Errorf("waits for %v", got)
	}
	if got := history.Delay(now.Add(BackoffReset)); got != Delay {
		t.Errorf("waits for %v after a quiet while", got)
	}
}
