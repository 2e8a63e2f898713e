package leadership

import (
	"testing"
	"time"
)

// TestTimesFollowTheWorkersLease: what the policy says is a bound.
func TestTimesFollowTheWorkersLease(t *testing.T) {
	policy := Times{Life: 6 * time.Second, Renew: 1500 * time.Millisecond, Poll: 500 * time.Millisecond}
	if got := policy.Within(15 * time.Second); got != policy {
		t.Errorf("with time enough: %v, want %v", got, policy)
	}
	for _, most := range []time.Duration{3750 * time.Millisecond, time.Second, -time.Second} {
		got := policy.Within(most)
		if got.Life != max(most, leastLife) {
			t.Errorf("within %v: lives for %v", most, got.Life)
		}
		if got.Renew*3 > got.Life-margin {
			t.Errorf("within %v: two renewals may not be lost: %v", most, got)
		}
		if got.Poll*4 > got.Life {
			t.Errorf("within %v: the end of the lease is seen late: %v", most, got)
		}
	}
}
