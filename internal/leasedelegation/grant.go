package leasedelegation

import (
	"time"

	"badgerbay/internal/config"
)

const (
	// cancellationMargin is what is left of the time in which a cancelled job's tasks must
	// be gone: for clock drift, for heartbeats that are under way, and for the list of the
	// excluded machines, which is as old as the grant.
	cancellationMargin = 3 * time.Second
	// minGrantDuration and maxGrantDuration bound a grant: a shorter one is of no use, and
	// a longer one keeps lost work from being placed anew.
	minGrantDuration = 5 * time.Second
	maxGrantDuration = 30 * time.Second
)

// GrantDuration is how long a grant lasts from the request for it, or 0 if none is given.
// A lease may be renewed until the grant expires and lasts for its TTL from then; the tasks
// of a job that is cancelled just after the grant must be gone by then.
func GrantDuration(workers config.Workers) time.Duration {
	duration := workers.CancelTimeout() - workers.LeaseTTL() - cancellationMargin
	if duration < minGrantDuration {
		return 0
	}
	return min(duration, maxGrantDuration)
}
