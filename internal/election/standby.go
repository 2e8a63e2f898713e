package election

import (
	"time"

	"badgerbay/internal/clock"
)

// BlockReason is the reason why a node could not take over when it last read the leader's keys.
type BlockReason int

// Reasons why a failover is blocked.
const (
	NotBlocked BlockReason = iota
	// LeaderAlive means that the leader may still act.
	LeaderAlive
	// LeaderWithoutHeartbeats means that there is no valid heartbeat of the leader, so that only the end of its lease
	// allows a failover.
	LeaderWithoutHeartbeats
	// WaitingForOtherStandby means that the leader has failed and that the failover delay of this node has not passed,
	// during which standbys with precedence may take over.
	WaitingForOtherStandby
	// FailoverConflict means that the failover was rejected, usually because the leader wrote another heartbeat or
	// another node took over first.
	FailoverConflict
	// HeartbeatsDisabled means that this node was started without heartbeats.
	HeartbeatsDisabled
	// LeaderKeysUnreadable means that the leader's keys could not be read.
	LeaderKeysUnreadable
)

// String returns a description of the reason for logs and operators, or "" if failover is not blocked.
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

// updateBlockReason records why this node does not replace the leader that it just read.
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

// StandbyStatus is the state of this node as a standby, as reported to operators.
type StandbyStatus struct {
	BlockReason BlockReason
	// SilentSince is when this node first saw the leader's current heartbeat, or 0 if it tracks none.
	SilentSince clock.Instant
}

// SilentFor returns how long before now this node first saw the leader's current heartbeat, or 0 if it tracks none.
func (s StandbyStatus) SilentFor(now clock.Instant) time.Duration {
	if s.SilentSince == 0 {
		return 0
	}
	return now.Sub(s.SilentSince)
}

// Standby returns the status of this node as a standby, or the zero value if it is the leader.
func (e *Elector) Standby() StandbyStatus {
	if e.role == roleLeader {
		return StandbyStatus{}
	}
	return StandbyStatus{BlockReason: e.blockReason, SilentSince: e.detector.firstSeen}
}
