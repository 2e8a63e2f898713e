package election

import (
	"time"

	"badgerbay/internal/clock"
)

// HeartbeatKey is the key that a leader with heartbeats writes again and again.
// It shares the prefix of LeaderKey, so that one request reads both.
const HeartbeatKey = LeaderKey + "/heartbeat"

// HeartbeatRecord is the value of HeartbeatKey. It counts only for the leader whose nonce it
// carries.
type HeartbeatRecord struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
	// TTLMs is how many milliseconds its writer may act as leader after it sent the
	// heartbeat, at most. Others keep to it, whatever their own settings are.
	TTLMs int64 `msgpack:"life_ms" json:"life_ms"`
}

func (r *HeartbeatRecord) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

const (
	// heartbeatRetryDelay is the pause after a heartbeat that was not stored.
	heartbeatRetryDelay = 200 * time.Millisecond
	// maxHeartbeatTTL bounds what a record may claim.
	maxHeartbeatTTL       = 10 * time.Minute
	maxHeartbeatsInFlight = 4
)

// MinHeartbeatTTL is the shortest time for which a heartbeat may let its leader act, if the
// leader is to keep leading with heartbeats at the interval, each of which may take the
// request's timeout.
func MinHeartbeatTTL(interval, timeout time.Duration) time.Duration {
	return interval + timeout + leaseMargin
}

// heartbeatDeadlineFrom is until when a heartbeat that was sent at an instant, and was stored,
// lets its writer act.
func (e *Elector) heartbeatDeadlineFrom(sent clock.Instant) clock.Instant {
	return validUntil(sent, e.timing.Heartbeat.TTL)
}

// newHeartbeat is the heartbeat of this node as leader; nil if heartbeats are disabled.
func (e *Elector) newHeartbeat() *HeartbeatRecord {
	if !e.timing.Heartbeat.enabled() {
		return nil
	}
	return &HeartbeatRecord{Node: e.ownRecord.Node, Nonce: e.ownRecord.Nonce, TTLMs: e.timing.Heartbeat.TTL.Milliseconds()}
}

// heartbeatIfDue sends the next heartbeat. One that is not answered yet does not hold up
// the next: a state service that answers slowly must not end the leader's lease.
func (e *Elector) heartbeatIfDue(now clock.Instant) []Effect {
	if !e.timing.Heartbeat.enabled() || now.Before(e.nextHeartbeat) || e.heartbeatsInFlight >= maxHeartbeatsInFlight {
		return nil
	}
	e.heartbeatsInFlight++
	e.nextHeartbeat = now.Add(e.timing.Heartbeat.Interval)
	return []Effect{WriteHeartbeat{Epoch: e.epoch, Heartbeat: *e.newHeartbeat()}}
}

func (e *Elector) onHeartbeatWritten(now clock.Instant, in HeartbeatWritten) {
	e.heartbeatsInFlight = max(0, e.heartbeatsInFlight-1)
	if e.role != roleLeader || in.Epoch != e.epoch {
		return
	}
	switch in.Outcome {
	case OutcomeOK:
		// Also after the deadline: it was stored on condition of the epoch, so
		// nobody can have taken over.
		e.heartbeatDeadline = max(e.heartbeatDeadline, e.heartbeatDeadlineFrom(in.SentAt))
	case OutcomeGone:
		if !e.advancePending { // else this node itself may have advanced the epoch
			e.stepDown(now)
		}
	default:
		e.nextHeartbeat = min(e.nextHeartbeat, now.Add(heartbeatRetryDelay))
	}
}
