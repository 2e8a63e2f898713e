package fake

import (
	"fmt"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// LeaderAction is an action that a node may perform only while it is the leader.
type LeaderAction struct {
	At           clock.Instant
	Process      string // the process that acted; empty if unknown
	Epoch        ident.Epoch
	Kind         LeaderActionKind
	Keys         []string // keys that the action set
	RecordsRound bool     // the action recorded a scheduling round
}

// LeaderActionKind is a kind of LeaderAction. Its value is the text for it in error messages.
type LeaderActionKind string

// Kinds of actions.
const (
	HeartbeatAnswered LeaderActionKind = "answered a heartbeat"
	UserAnswered      LeaderActionKind = "answered a user request"
	CommandSent       LeaderActionKind = "sent a command"
	CloudCalled       LeaderActionKind = "called the cloud"
	RecordsWritten    LeaderActionKind = "wrote records"
)

// LeaderHistory records the actions of leaders and detects two leaders that act at the same
// time. The zero value is ready for use.
type LeaderHistory struct {
	// MaxInFlight is the longest time that a message of a leader may take to arrive.
	MaxInFlight  time.Duration
	epochStart   LeaderAction                  // the first action in the highest epoch
	lastActionAt clock.Instant                 // time of the last action in that epoch
	kindsSeen    map[LeaderActionKind]bool     // kinds of the actions in that epoch
	firstRounds  map[ident.Epoch]clock.Instant // when an epoch's first round was recorded
}

// Record adds an action to the history. It returns an error that names both leaders if two act
// at the same time, that is, if
//  1. a leader acts in an earlier epoch more than MaxInFlight after its successor first acted, or
//  2. two processes act in the highest epoch so far.
func (h *LeaderHistory) Record(a LeaderAction) error {
	stale := a.Epoch < h.epochStart.Epoch && a.At.Sub(h.epochStart.At) > h.MaxInFlight
	if stale || a.Epoch == h.epochStart.Epoch && a.Process != h.epochStart.Process {
		return fmt.Errorf("two leaders at the same time: process %q %s in epoch %d at %v, process %q first acted in epoch %d at %v",
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

// Epoch returns the highest epoch in which a leader acted.
func (h *LeaderHistory) Epoch() ident.Epoch { return h.epochStart.Epoch }

// LastActionAt returns when the leader of the highest epoch last acted.
func (h *LeaderHistory) LastActionAt() clock.Instant { return h.lastActionAt }

// HasPerformed reports whether the leader of the highest epoch has performed actions of all the kinds.
func (h *LeaderHistory) HasPerformed(kinds ...LeaderActionKind) bool {
	for _, k := range kinds {
		if !h.kindsSeen[k] {
			return false
		}
	}
	return true
}

// FirstRoundAfter returns when a round was first recorded in a higher epoch than the given one.
// The result ok is false if there was none.
func (h *LeaderHistory) FirstRoundAfter(epoch ident.Epoch) (first clock.Instant, ok bool) {
	for e, at := range h.firstRounds {
		if e > epoch && (!ok || at < first) {
			first, ok = at, true
		}
	}
	return first, ok
}
