package takeover

import (
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/unit"
)

// Asking is how far a new leader is with asking all machines for their reports. The
// zero value: it has not begun.
type Asking struct {
	whole bool         // every machine of the list has been asked
	last  unit.Instant // when the last machine was asked
}

// answerWithin is how long a machine that was asked is waited for; what a machine
// holds that does not answer counts as there.
const answerWithin = time.Second

// Sent notes that so many machines are being asked now, and whether others are still
// to be asked.
func (a *Asking) Sent(now unit.Instant, machines int, more bool) {
	if !a.whole || machines > 0 {
		a.last = now
	}
	a.whole = !more
}

// answered tells whether the machines that were asked have answered. Where some do
// not, it is enough that most have and the others had the time; where most do not,
// this node may be the one that is out of reach, and they are waited for as if none
// had been asked.
func (a *Asking) answered(now unit.Instant, machines []*fleet.Machine) bool {
	if a == nil || !a.whole {
		return false
	}
	up, silent := 0, 0
	for _, m := range machines {
		switch {
		case m.Up:
			up++
		case m.Asked() || m.Busy():
			silent++
		}
	}
	if silent == 0 {
		return up > 0
	}
	return up >= silent && now.Sub(a.last) >= answerWithin
}
