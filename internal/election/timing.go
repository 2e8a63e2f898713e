package election

import "time"

// Timing holds the timing settings of leader election.
type Timing struct {
	LeaseTTL      time.Duration
	RenewInterval time.Duration // interval between renewals of the lease
	PollInterval  time.Duration // interval between a follower's reads of the leader's keys
	// Heartbeat allows a standby to take over before the lease of a failed leader ends.
	Heartbeat HeartbeatTiming
}

// HeartbeatTiming holds the timing settings of heartbeats. The zero value disables heartbeats.
type HeartbeatTiming struct {
	Interval     time.Duration // interval between heartbeats of the leader
	TTL          time.Duration // time for which a heartbeat entitles the leader to act
	PollInterval time.Duration // interval between a follower's reads of the leader's keys
}

func (t HeartbeatTiming) enabled() bool { return t.TTL > 0 }

const (
	// minLeaseTTL is the shortest lease that a leader can keep renewed while requests to the state service occasionally
	// take several hundred milliseconds.
	minLeaseTTL = 2 * time.Second
	// renewalsPerTTL and pollsPerTTL are the minimum numbers of lease renewals and of reads of the leader's keys per
	// lease TTL.
	renewalsPerTTL = 4
	pollsPerTTL    = 12
)

// ShortenedTo returns the timing with its lease TTL and intervals shortened so that, if possible, a successor leads
// about maxFailover after the last renewal of the failed leader. The lease TTL is not shortened below minLeaseTTL.
func (t Timing) ShortenedTo(maxFailover time.Duration) Timing {
	t.LeaseTTL = min(t.LeaseTTL, max(minLeaseTTL, maxFailover))
	t.RenewInterval = min(t.RenewInterval, t.LeaseTTL/renewalsPerTTL)
	t.PollInterval = min(t.PollInterval, t.LeaseTTL/pollsPerTTL)
	return t
}
