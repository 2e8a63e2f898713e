package fake

import (
	"fmt"
	"time"

	"badgerbay/internal/unit"
)

// Act is something that only an entitled leader may do.
type Act struct {
	At    unit.Instant
	By    string // the process, where it is known
	Epoch unit.Epoch
	What  ActKind
	Keys  []string // that were set with it
	Round bool     // a round was recorded with it
}

// ActKind tells acts apart.
type ActKind string

// Kinds of acts.
const (
	AnsweredReport ActKind = "answered a report"
	AnsweredUser   ActKind = "answered a user"
	SentCommand    ActKind = "sent a command"
	CalledCloud    ActKind = "called the cloud"
	WroteRecords   ActKind = "wrote records"
)

// History records who acted as leader, and finds two that did at the same time. The
// zero value is ready for use.
type History struct {
	// InFlight is how long what a leader sent may have been on its way.
	InFlight time.Duration
	last     Act          // the first of the highest epoch
	latest   unit.Instant // act of that epoch
	done     map[ActKind]bool
	rounds   map[unit.Epoch]unit.Instant
}

// Note takes in an act. An error names two leaders that act at the same time: one
// acts in an earlier epoch after its successor has acted, or two act in one epoch.
func (h *History) Note(a Act) error {
	late := a.Epoch < h.last.Epoch && a.At.Sub(h.last.At) > h.InFlight
	if late || a.Epoch == h.last.Epoch && a.By != h.last.By {
		return fmt.Errorf("two leaders: %q %s in epoch %d at %v, %q acted in epoch %d at %v",
			a.By, a.What, a.Epoch, a.At, h.last.By, h.last.Epoch, h.last.At)
	}
	if a.Epoch > h.last.Epoch {
		h.last, h.done = a, map[ActKind]bool{}
	}
	if a.Epoch < h.last.Epoch {
		return nil
	}
	h.latest, h.done[a.What] = a.At, true
	if _, known := h.rounds[a.Epoch]; a.Round && !known {
		if h.rounds == nil {
			h.rounds = map[unit.Epoch]unit.Instant{}
		}
		h.rounds[a.Epoch] = a.At
	}
	return nil
}

// Epoch is the highest in which anybody acted.
func (h *History) Epoch() unit.Epoch { return h.last.Epoch }

// Latest is when the latest leader last acted.
func (h *History) Latest() unit.Instant { return h.latest }

// Done tells whether the latest leader has done all of the kinds.
func (h *History) Done(kinds ...ActKind) bool {
	for _, k := range kinds {
		if !h.done[k] {
			return false
		}
	}
	return true
}

// RoundAfter is when a round was first recorded in an epoch after one.
func (h *History) RoundAfter(epoch unit.Epoch) (first unit.Instant, ok bool) {
	for e, at := range h.rounds {
		if e > epoch && (!ok || at < first) {
			first, ok = at, true
		}
	}
	return first, ok
}
