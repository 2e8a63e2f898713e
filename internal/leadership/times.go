package leadership

import "time"

// Times are the settings of the lease.
type Times struct {
	Life  time.Duration // of the lease
	Renew time.Duration // between renewals
	Poll  time.Duration // between looks at the key by a node that does not lead
	// Heartbeat lets a standby take over before the lease ends.
	Heartbeat HeartbeatTimes
}

const (
	// leastLife is the shortest life of a lease that a state service which now
	// and then takes some hundred milliseconds lets a leader keep.
	leastLife = 2 * time.Second
	// renewals and polls are how often, at least, a lease is renewed and the key
	// looked at within its life.
	renewals = 4
	polls    = 12
)

// Within shortens the times so that a successor leads about most after the last
// renewal, if that can be.
func (t Times) Within(most time.Duration) Times {
	t.Life = min(t.Life, max(leastLife, most))
	t.Renew = min(t.Renew, t.Life/renewals)
	t.Poll = min(t.Poll, t.Life/polls)
	return t
}
