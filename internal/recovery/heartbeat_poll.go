package recovery

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
)

// HeartbeatPoll tracks the heartbeat requests that a new leader sends to all machines. The zero value is a poll that
// has not begun.
type HeartbeatPoll struct {
	allSent    bool // every listed machine was sent a request
	lastSentAt clock.Instant
}

// responseTimeout is how long a new leader waits for the responses of polled machines after the last request. The tasks
// of a machine that did not respond count as running.
const responseTimeout = time.Second

// RecordSent records that heartbeat requests to the given number of machines are sent at now, and whether requests to
// more machines will follow.
func (p *HeartbeatPoll) RecordSent(now clock.Instant, machines int, more bool) {
	if !p.allSent || machines > 0 {
		p.lastSentAt = now
	}
	p.allSent = !more
}

// answered reports whether the polled machines have answered, once every request was sent:
//
//  1. If no polled or busy machine is silent, at least one machine must be up.
//  2. If some are silent, at least as many machines must be up, and responseTimeout must have passed.
//  3. If more machines are silent than up, this node itself may be isolated. The leader then waits as if it had not
//     polled any machine.
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
	return up >= silent && now.Sub(p.lastSentAt) >= responseTimeout
}
