package leasedelegation

import (
	"testing"

	"badgerbay/internal/config"
)

// TestGrantDuration: what a cancelled job runs under a grant that was given just before is
// gone in time.
func TestGrantDuration(t *testing.T) {
	workers := config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}
	if duration := GrantDuration(workers); duration <= 0 || duration+workers.LeaseTTL() >= workers.CancelTimeout() {
		t.Errorf("a grant lasts for %v", duration)
	}
	workers.CancelSeconds = 30
	if duration := GrantDuration(workers); duration != 0 {
		t.Errorf("a grant lasts for %v although there is no time for it", duration)
	}
}
