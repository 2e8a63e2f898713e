package leadtransfer

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
)

// TestTransferBackoff checks that the delay doubles with each recent transfer up to its maximum, and returns to the
// initial delay after BackoffReset.
func TestTransferBackoff(t *testing.T) {
	var history History
	now := clock.Instant(time.Hour)
	for want := Delay; want <= Delay<<maxBackoffDoublings; want *= 2 {
		if got := history.Delay(now); got != want {
			t.Errorf("delay %v, want %v", got, want)
		}
		history.RecordTransfer(now)
		now = now.Add(30 * time.Second)
	}
	if got := history.Delay(now); got != Delay<<maxBackoffDoublings {
		t.Errorf("delay %v, want the maximum", got)
	}
	if got := history.Delay(now.Add(BackoffReset)); got != Delay {
		t.Errorf("delay %v after BackoffReset without a transfer, want the initial delay", got)
	}
}
