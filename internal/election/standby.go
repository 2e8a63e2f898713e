package election

import (
	"time"

	"badgerbay/internal/clock"
)

// BlockReason is why a node could not take over when it last read the leader's keys.
type BlockReason int

// Reasons why a failover is blocked.
const (
	NotBlocked BlockReason = iota
	// LeaderAlive: the leader may still act.
	LeaderAlive
	// LeaderWithoutHeartbeats: the leader writes no valid ones, so only its lease counts.
	LeaderWithoutHeartbeats
	// WaitingForOtherStandby: the leader has failed, and others are given the time to go first.
	WaitingForOtherStandby
	// FailoverConflict: the leader was heard again, or another node was quicker.
	FailoverConflict
	// HeartbeatsDisabled: this node was started without heartbeats.
	HeartbeatsDisabled
	// LeaderKeysUnreadable: the keys could not be read.
	LeaderKeysUnreadable
)

// String names the reason for logs and operators; "" if failover is not blocked.
func (r BlockReason) String() string {
	switch r {
	case NotBlocked:
		return ""
	case LeaderAlive:
		return "leader alive"
	case LeaderWithoutHeartbeats:
		return "leader writes no heartbeats, only its lease counts"
	case WaitingForOtherStandby:
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
func (e *Elector) updateBlockReason(now clock.Instant) {
	switch {
	case e.observedEpoch == 0:
		e.blockReason = NotBlocked
	case !e.timing.Heartbeat.enabled():
		e.blockReason = HeartbeatsDisabled
	case e.detector.heartbeatRevision == 0:
		e.blockReason = LeaderWithoutHeartbeats
	case e.detector.expired(now):
		e.blockReason = WaitingForOtherStandby
	default:
		e.blockReason = LeaderAlive
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
func (s StandbyStatus) SilentFor(now clock.Instant) time.Duration {
	if s.SilentSince == 0 {
		return 0
	}
	return now.Sub(s.SilentSince)
}

// Standby is the status of this node as a standby; the zero value if it leads.
func (e *Elector) Standby() StandbyStatus {
	if e.role == roleLeader {
		return StandbyStatus{}
	}
	return StandbyStatus{BlockReason: e.blockReason, SilentSince: e.detector.firstSeen}
}
