package leadership

import (
	"time"

	"badgerbay/internal/unit"
)

// Hindrance is why a node could not take over when it last looked.
type Hindrance int

// Hindrances.
const (
	NoHindrance Hindrance = iota
	// LeaderBeats: the leader's entitlement may still run.
	LeaderBeats
	// NoHeartbeats: the leader writes none that count, so only its lease does.
	NoHeartbeats
	// OthersFirst: the leader is silent, and others are given the time to go first.
	OthersFirst
	// TakeoverConflict: the leader was heard again, or another node was quicker.
	TakeoverConflict
	// HeartbeatsDisabled: this node was started without heartbeats.
	HeartbeatsDisabled
	// StateUnread: the keys could not be read.
	StateUnread
)

// String names the hindrance for logs and operators.
func (h Hindrance) String() string {
	switch h {
	case NoHindrance:
		return ""
	case LeaderBeats:
		return "leader alive"
	case NoHeartbeats:
		return "leader writes no heartbeats, only its lease counts"
	case OthersFirst:
		return "leader silent, another standby goes first"
	case TakeoverConflict:
		return "leader was heard again, or another standby took over"
	case HeartbeatsDisabled:
		return "heartbeats are not enabled on this node"
	case StateUnread:
		return "the leader's keys can't be read"
	}
	return "unknown"
}

// noteHindrance notes why the leader that was just read is not replaced.
func (m *Machine) noteHindrance(now unit.Instant) {
	switch {
	case m.stamp == 0:
		m.hindrance = NoHindrance
	case !m.times.Heartbeat.enabled():
		m.hindrance = HeartbeatsDisabled
	case m.silence.stamp == 0:
		m.hindrance = NoHeartbeats
	case m.silence.over(now):
		m.hindrance = OthersFirst
	default:
		m.hindrance = LeaderBeats
	}
}

// StandbyView is what an operator may know of this node as a standby.
type StandbyView struct {
	Hindrance Hindrance
	// SilentSince is when this node first saw the leader's present heartbeat; 0 if
	// it does not watch one.
	SilentSince unit.Instant
}

// SilentAt is how long the leader has been silent at now, as far as this node knows.
func (v StandbyView) SilentAt(now unit.Instant) time.Duration {
	if v.SilentSince == 0 {
		return 0
	}
	return now.Sub(v.SilentSince)
}

// Standby tells how this node stands to the leader.
func (m *Machine) Standby() StandbyView {
	if m.phase == leading {
		return StandbyView{}
	}
	return StandbyView{Hindrance: m.hindrance, SilentSince: m.silence.firstSeen}
}
