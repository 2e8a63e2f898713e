// Package clock holds the monotonic instants by which the pure parts reckon, and the clock of
// a running process. Time reaches the pure parts as an argument of every step; only the actors
// around them read a Clock.
package clock

import "time"

// Instant is a reading of this process's monotonic clock. It means nothing to
// any other process and is never stored.
type Instant time.Duration

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before tells whether t comes before u.
func (t Instant) Before(u Instant) bool { return t < u }

// Clock reads the monotonic clock and the time of day.
type Clock interface {
	// Now reads the monotonic clock.
	Now() Instant
	// Wall reads the time of day, which may jump.
	Wall() time.Time
}

// System is the Clock of a running process.
type System struct{ start time.Time }

// NewSystem returns a clock whose instants count from an hour before
// now, so that a zero Instant always lies in the past.
func NewSystem() *System { return &System{start: time.Now().Add(-time.Hour)} }

// Now implements Clock.
func (c *System) Now() Instant { return Instant(time.Since(c.start)) }

// Wall implements Clock.
func (*System) Wall() time.Time { return time.Now() }

// maxSeconds bounds what Seconds returns: some 68 years.
const maxSeconds = 1 << 31

// Seconds turns a number of seconds, as settings and messages carry them, into a duration. What
// is not above 0 counts as 0, and what is above maxSeconds as maxSeconds.
func Seconds(s float64) time.Duration {
	if !(s > 0) { // also if it is not a number
		return 0
	}
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
