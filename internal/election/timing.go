package election

import "time"

// Timing are the settings of the lease.
type Timing struct {
	LeaseTTL      time.Duration // of the lease
	RenewInterval time.Duration // between renewals
	PollInterval  time.Duration // between looks at the key by a node that does not lead
	// Heartbeat lets a standby take over before the lease ends.
	Heartbeat HeartbeatTiming
}

const (
	// minLeaseTTL is the shortest life of a lease that a state service which now
	// and then takes some hundred milliseconds lets a leader keep.
	minLeaseTTL = 2 * time.Second
	// renewalsPerTTL and polls are how often, at least, a lease is renewed and the key
	// looked at within its life.
	renewalsPerTTL = 4
	pollsPerTTL    = 12
)

// ShortenedTo shortens the times so that a successor leads about most after the last
// renewal, if that can be.
func (t Timing) ShortenedTo(most time.Duration) Timing {
	t.LeaseTTL = min(t.LeaseTTL, max(minLeaseTTL, most))
	t.RenewInterval = min(t.RenewInterval, t.LeaseTTL/renewalsPerTTL)
	t.PollInterval = min(t.PollInterval, t.LeaseTTL/pollsPerTTL)
	return t
}
