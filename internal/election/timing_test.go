package election

import (
	"testing"
	"time"
)

// TestTimingFollowsLeaseOfMachines: what the policy says is a bound.
func TestTimingFollowsLeaseOfMachines(t *testing.T) {
	policy := Timing{LeaseTTL: 6 * time.Second, RenewInterval: 1500 * time.Millisecond, PollInterval: 500 * time.Millisecond}
	if got := policy.ShortenedTo(15 * time.Second); got != policy {
		t.Errorf("with time enough: %v, want %v", got, policy)
	}
	for _, maxFailover := range []time.Duration{3750 * time.Millisecond, time.Second, -time.Second} {
		got := policy.ShortenedTo(maxFailover)
		if got.LeaseTTL != max(maxFailover, minLeaseTTL) {
			t.Errorf("within %v: lease of %v", maxFailover, got.LeaseTTL)
		}
		if got.RenewInterval*3 > got.LeaseTTL-leaseMargin {
			t.Errorf("within %v: two renewals may not be lost: %v", maxFailover, got)
		}
		if got.PollInterval*4 > got.LeaseTTL {
			t.Errorf("within %v: the end of the lease is seen late: %v", maxFailover, got)
		}
	}
}
