package election

import "time"

// Timing are the settings of leader election.
type Timing struct {
	LeaseTTL      time.Duration
	RenewInterval time.Duration // between renewals of the lease
	PollInterval  time.Duration // between a follower's reads of the leader's keys
	// Heartbeat lets a standby take over before the lease ends.
	Heartbeat HeartbeatTiming
}

// HeartbeatTiming are the settings of heartbeats. The zero value disables them.
type HeartbeatTiming struct {
	Interval     time.Duration // between two heartbeats of a leader
	TTL          time.Duration // for which a heartbeat lets its leader act
	PollInterval time.Duration // between a follower's reads of the leader's keys
}

func (t HeartbeatTiming) enabled() bool { return t.TTL > 0 }

const (
	// minLeaseTTL is the shortest lease that a leader can keep at a state service which
	// now and then takes some hundred milliseconds.
	minLeaseTTL = 2 * time.Second
	// renewalsPerTTL and pollsPerTTL are how often, at least, a lease is renewed and the
	// leader's keys are read within its TTL.
	renewalsPerTTL = 4
	pollsPerTTL    = 12
)

// ShortenedTo shortens the times so that a successor leads about maxFailover after the last
// renewal, if that can be.
func (t Timing) ShortenedTo(maxFailover time.Duration) Timing {
	t.LeaseTTL = min(t.LeaseTTL, max(minLeaseTTL, maxFailover))
	t.RenewInterval = min(t.RenewInterval, t.LeaseTTL/renewalsPerTTL)
	t.PollInterval = min(t.PollInterval, t.LeaseTTL/pollsPerTTL)
	return t
}
