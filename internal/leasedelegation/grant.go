package leasedelegation

import (
	"time"

	"badgerbay/internal/config"
)

const (
	// cancellationMargin is the part of the cancel timeout that a grant and the following lease leave unused. It covers
	// clock drift, heartbeats in flight, and the list of excluded machines, which is as old as the grant.
	cancellationMargin = 3 * time.Second
	// minGrantDuration and maxGrantDuration bound the duration of a grant: a shorter grant is of no use, and a longer
	// one delays the rescheduling of lost tasks.
	minGrantDuration = 5 * time.Second
	maxGrantDuration = 30 * time.Second
)

// GrantDuration returns the duration of a grant, counted from the request for it, or 0 if no grants are given. A lease
// may be renewed until the grant expires and then lasts for its TTL. The tasks of a job that is cancelled just after
// the grant may run until that lease expires, which must be within the cancel timeout.
func GrantDuration(workers config.Workers) time.Duration {
	duration := workers.CancelTimeout() - workers.LeaseTTL() - cancellationMargin
	if duration < minGrantDuration {
		return 0
	}
	return min(duration, maxGrantDuration)
}
