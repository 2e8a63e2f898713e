package fake

import (
	"fmt"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// LeaderAction is something that only an entitled leader may do.
type LeaderAction struct {
	At           clock.Instant
	Process      string // the process, where it is known
	Epoch        ident.Epoch
	Kind         LeaderActionKind
	Keys         []string // that were set with it
	RecordsRound bool     // a round was recorded with it
}

// LeaderActionKind tells acts apart.
type LeaderActionKind string

// Kinds of acts.
const (
	HeartbeatAnswered LeaderActionKind = "answered a report"
	UserAnswered      LeaderActionKind = "answered a user"
	CommandSent       LeaderActionKind = "sent a command"
	CloudCalled       LeaderActionKind = "called the cloud"
	RecordsWritten    LeaderActionKind = "wrote records"
)

// LeaderHistory records who acted as leader, and finds two that did at the same time. The
// zero value is ready for use.
type LeaderHistory struct {
	// MaxInFlight is how long what a leader sent may have been on its way.
	MaxInFlight  time.Duration
	epochStart   LeaderAction  // the first of the highest epoch
	lastActionAt clock.Instant // act of that epoch
	kindsSeen    map[LeaderActionKind]bool
	firstRounds  map[ident.Epoch]clock.Instant
}

// Record takes in an act. An error names two leaders that act at the same time: one
// acts in an earlier epoch after its successor has acted, or two act in one epoch.
func (h *LeaderHistory) Record(a LeaderAction) error {
	late := a.Epoch < h.epochStart.Epoch && a.At.Sub(h.epochStart.At) > h.MaxInFlight
	if late || a.Epoch == h.epochStart.Epoch && a.Process != h.epochStart.Process {
		return fmt.Errorf("two leaders: %q %s in epoch %d at %v, %q acted in epoch %d at %v",
			a.Process, a.Kind, a.Epoch, a.At, h.epochStart.Process, h.epochStart.Epoch, h.epochStart.At)
	}
	if a.Epoch > h.epochStart.Epoch {
		h.epochStart, h.kindsSeen = a, map[LeaderActionKind]bool{}
	}
	if a.Epoch < h.epochStart.Epoch {
		return nil
	}
	h.lastActionAt, h.kindsSeen[a.Kind] = a.At, true
	if _, known := h.firstRounds[a.Epoch]; a.RecordsRound && !known {
		if h.firstRounds == nil {
			h.firstRounds = map[ident.Epoch]clock.Instant{}
		}
		h.firstRounds[a.Epoch] = a.At
	}
	return nil
}

// Epoch is the highest in which anybody acted.
func (h *LeaderHistory) Epoch() ident.Epoch { return h.epochStart.Epoch }

// LastActionAt is when the latest leader last acted.
func (h *LeaderHistory) LastActionAt() clock.Instant { return h.lastActionAt }

// HasDone tells whether the latest leader has done all of the kinds.
func (h *LeaderHistory) HasDone(kinds ...LeaderActionKind) bool {
	for _, k := range kinds {
		if !h.kindsSeen[k] {
			return false
		}
	}
	return true
}

// FirstRoundAfter is when a round was first recorded in an epoch after one.
func (h *LeaderHistory) FirstRoundAfter(epoch ident.Epoch) (first clock.Instant, ok bool) {
	for e, at := range h.firstRounds {
		if e > epoch && (!ok || at < first) {
			first, ok = at, true
		}
	}
	return first, ok
}
