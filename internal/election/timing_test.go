package election

import (
	"testing"
	"time"
)

// TestTimesFollowTheWorkersLease: what the policy says is a bound.
func TestTimesFollowTheWorkersLease(t *testing.T) {
	policy := Timing{LeaseTTL: 6 * time.Second, RenewInterval: 1500 * time.Millisecond, PollInterval: 500 * time.Millisecond}
	if got := policy.ShortenedTo(15 * time.Second); got != policy {
		t.Errorf("with time enough: %v, want %v", got, policy)
	}
	for _, most := range []time.Duration{3750 * time.Millisecond, time.Second, -time.Second} {
		got := policy.ShortenedTo(most)
		if got.LeaseTTL != max(most, minLeaseTTL) {
			t.Errorf("within %v: lives for %v", most, got.LeaseTTL)
		}
		if got.RenewInterval*3 > got.LeaseTTL-leaseMargin {
			t.Errorf("within %v: two renewals may not be lost: %v", most, got)
		}
		if got.PollInterval*4 > got.LeaseTTL {
			t.Errorf("within %v: the end of the lease is seen late: %v", most, got)
		}
	}
}
