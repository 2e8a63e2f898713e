package leasedelegation

import (
	"testing"

	"badgerbay/internal/config"
)

// TestGrantEndsBeforeCancelTimeout checks that the tasks of a job that is cancelled just after a grant end within the
// cancel timeout, and that no grant is given if there is no time for it.
func TestGrantEndsBeforeCancelTimeout(t *testing.T) {
	workers := config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}
	if duration := GrantDuration(workers); duration <= 0 || duration+workers.LeaseTTL() >= workers.CancelTimeout() {
		t.Errorf("grant duration %v, want a positive one that ends with a lease before the cancel timeout", duration)
	}
	workers.CancelSeconds = 30
	if duration := GrantDuration(workers); duration != 0 {
		t.Errorf("grant duration %v, want 0: the cancel timeout leaves no time for a grant", duration)
	}
}
