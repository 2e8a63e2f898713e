package recovery

import (
	"time"

	"badgerbay/internal/clock"

	"badgerbay/internal/fleet"
)

// HeartbeatPoll is how far a new leader is with asking all machines for their reports. The
// zero value: it has not begun.
type HeartbeatPoll struct {
	complete   bool          // every machine of the list has been asked
	lastSentAt clock.Instant // when the last machine was asked
}

// answerTimeout is how long a machine that was asked is waited for; what a machine
// holds that does not answer counts as there.
const answerTimeout = time.Second

// RecordSent notes that so many machines are being asked now, and whether others are still
// to be asked.
func (a *HeartbeatPoll) RecordSent(now clock.Instant, machines int, more bool) {
	if !a.complete || machines > 0 {
		a.lastSentAt = now
	}
	a.complete = !more
}

// answered tells whether the machines that were asked have answered. Where some do
// not, it is enough that most have and the others had the time; where most do not,
// this node may be the one that is out of reach, and they are waited for as if none
// had been asked.
func (a *HeartbeatPoll) answered(now clock.Instant, machines []*fleet.Machine) bool {
	if a == nil || !a.complete {
		return false
	}
	up, silent := 0, 0
	for _, m := range machines {
		switch {
		case m.Up:
			up++
		case m.HeartbeatRequested() || m.Busy():
			silent++
		}
	}
	if silent == 0 {
		return up > 0
	}
	return up >= silent && now.Sub(a.lastSentAt) >= answerTimeout
}
