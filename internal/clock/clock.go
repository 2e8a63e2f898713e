// Package clock defines instants of the monotonic clock and the clock of a running process. The
// deterministic parts of the program receive the time as an argument of every step; only the
// code that drives them reads a Clock.
package clock

import "time"

// Instant is a reading of this process's monotonic clock. It has no meaning in
// another process and is never stored.
type Instant time.Duration

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is before u.
func (t Instant) Before(u Instant) bool { return t < u }

// Clock reads the monotonic clock and the time of day.
type Clock interface {
	// Now returns the reading of the monotonic clock.
	Now() Instant
	// Wall returns the time of day, which may jump when the system clock is set.
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

// maxSeconds is the longest duration that Seconds returns, about 68 years.
const maxSeconds = 1 << 31

// Seconds converts a number of seconds, as in settings and messages, to a duration. A number that
// is not positive, NaN included, becomes 0, and one above maxSeconds becomes maxSeconds.
func Seconds(s float64) time.Duration {
	if !(s > 0) { // true for NaN too
		return 0
	}
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
