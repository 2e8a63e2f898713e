package recovery

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
)

// HeartbeatPoll tracks the requests for a heartbeat that a new leader sends to all
// machines. The zero value is a poll that has not begun.
type HeartbeatPoll struct {
	allSent    bool // every listed machine was sent a request
	lastSentAt clock.Instant
}

// answerTimeout is how long the answer of a polled machine is waited for; what a machine
// without an answer holds counts as running.
const answerTimeout = time.Second

// RecordSent notes that requests to so many machines leave now, and whether more machines
// are still to be sent one.
func (p *HeartbeatPoll) RecordSent(now clock.Instant, machines int, more bool) {
	if !p.allSent || machines > 0 {
		p.lastSentAt = now
	}
	p.allSent = !more
}

// answered tells whether the polled machines have answered. Where some did not, it is
// enough that most did and the others had the time; where most did not, this node may be
// the one that is cut off, and they are waited for as if there had been no poll.
func (p *HeartbeatPoll) answered(now clock.Instant, machines []*fleet.Machine) bool {
	if !p.allSent {
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
	return up >= silent && now.Sub(p.lastSentAt) >= answerTimeout
}
