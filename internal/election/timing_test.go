package election

import (
	"testing"
	"time"
)

// TestShortenedToKeepsRetryRatios checks that the configured timing is an upper bound that is shortened to the
// permitted failover time, and that enough renewals and polls still fit into a shortened lease.
func TestShortenedToKeepsRetryRatios(t *testing.T) {
	policy := Timing{LeaseTTL: 6 * time.Second, RenewInterval: 1500 * time.Millisecond, PollInterval: 500 * time.Millisecond}
	if got := policy.ShortenedTo(15 * time.Second); got != policy {
		t.Errorf("max failover 15 s: got %v, want the unchanged %v", got, policy)
	}
	for _, maxFailover := range []time.Duration{3750 * time.Millisecond, time.Second, -time.Second} {
		got := policy.ShortenedTo(maxFailover)
		if got.LeaseTTL != max(maxFailover, minLeaseTTL) {
			t.Errorf("max failover %v: lease TTL %v", maxFailover, got.LeaseTTL)
		}
		if got.RenewInterval*3 > got.LeaseTTL-leaseMargin {
			t.Errorf("max failover %v: the lease does not last if two renewals fail: %v", maxFailover, got)
		}
		if got.PollInterval*4 > got.LeaseTTL {
			t.Errorf("max failover %v: fewer than four polls per lease TTL: %v", maxFailover, got)
		}
	}
}
