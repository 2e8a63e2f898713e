package election

import (
	"time"

	"badgerbay/internal/clock"
)

// BlockReason is why a node could not take over when it last looked.
type BlockReason int

// Hindrances.
const (
	NotBlocked BlockReason = iota
	// LeaderAlive: the leader's entitlement may still run.
	LeaderAlive
	// LeaderWithoutHeartbeats: the leader writes none that count, so only its lease does.
	LeaderWithoutHeartbeats
	// OtherStandbyFirst: the leader is silent, and others are given the time to go first.
	OtherStandbyFirst
	// FailoverConflict: the leader was heard again, or another node was quicker.
	FailoverConflict
	// HeartbeatsDisabled: this node was started without heartbeats.
	HeartbeatsDisabled
	// LeaderKeysUnreadable: the keys could not be read.
	LeaderKeysUnreadable
)

// String names the hindrance for logs and operators.
func (h BlockReason) String() string {
	switch h {
	case NotBlocked:
		return ""
	case LeaderAlive:
		return "leader alive"
	case LeaderWithoutHeartbeats:
		return "leader writes no heartbeats, only its lease counts"
	case OtherStandbyFirst:
		return "leader silent, another standby goes first"
	case FailoverConflict:
		return "leader was heard again, or another standby took over"
	case HeartbeatsDisabled:
		return "heartbeats are not enabled on this node"
	case LeaderKeysUnreadable:
		return "the leader's keys can't be read"
	}
	return "unknown"
}

// updateBlockReason notes why the leader that was just read is not replaced.
func (m *Elector) updateBlockReason(now clock.Instant) {
	switch {
	case m.observedEpoch == 0:
		m.blockReason = NotBlocked
	case !m.timing.Heartbeat.enabled():
		m.blockReason = HeartbeatsDisabled
	case m.detector.heartbeatRevision == 0:
		m.blockReason = LeaderWithoutHeartbeats
	case m.detector.expired(now):
		m.blockReason = OtherStandbyFirst
	default:
		m.blockReason = LeaderAlive
	}
}

// StandbyStatus is what an operator may know of this node as a standby.
type StandbyStatus struct {
	BlockReason BlockReason
	// SilentSince is when this node first saw the leader's present heartbeat; 0 if
	// it does not watch one.
	SilentSince clock.Instant
}

// SilentFor is how long the leader has been silent at now, as far as this node knows.
func (v StandbyStatus) SilentFor(now clock.Instant) time.Duration {
	if v.SilentSince == 0 {
		return 0
	}
	return now.Sub(v.SilentSince)
}

// Standby tells how this node stands to the leader.
func (m *Elector) Standby() StandbyStatus {
	if m.role == roleLeader {
		return StandbyStatus{}
	}
	return StandbyStatus{BlockReason: m.blockReason, SilentSince: m.detector.firstSeen}
}
