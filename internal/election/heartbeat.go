package election

import (
	"time"

	"badgerbay/internal/clock"
)

// HeartbeatKey is the key that a leader writes periodically if heartbeats are enabled. It shares the prefix of
// LeaderKey, so that one request reads both.
const HeartbeatKey = LeaderKey + "/heartbeat"

// HeartbeatRecord is the value of HeartbeatKey. It is valid only for the leader whose nonce it carries.
type HeartbeatRecord struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
	// TTLMs is the maximum time in milliseconds for which its writer may act as leader after it sent the heartbeat.
	// Other nodes use this value rather than their own settings.
	TTLMs int64 `msgpack:"life_ms" json:"life_ms"`
}

func (r *HeartbeatRecord) ttl() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

const (
	// heartbeatRetryDelay is the delay before the next heartbeat after one that is not known to be stored.
	heartbeatRetryDelay = 200 * time.Millisecond
	// maxHeartbeatTTL is the maximum TTL of a valid heartbeat record.
	maxHeartbeatTTL       = 10 * time.Minute
	maxHeartbeatsInFlight = 4
)

// MinHeartbeatTTL returns the minimum TTL with which a leader keeps its leadership if it sends heartbeats at the given
// interval and each write may take up to the timeout.
func MinHeartbeatTTL(interval, timeout time.Duration) time.Duration {
	return interval + timeout + leaseMargin
}

// heartbeatDeadlineFrom returns the time until which a stored heartbeat that was sent at the given time entitles its
// writer to act as leader.
func (e *Elector) heartbeatDeadlineFrom(sent clock.Instant) clock.Instant {
	return validUntil(sent, e.timing.Heartbeat.TTL)
}

// newHeartbeat returns the heartbeat of this node as leader, or nil if heartbeats are disabled.
func (e *Elector) newHeartbeat() *HeartbeatRecord {
	if !e.timing.Heartbeat.enabled() {
		return nil
	}
	return &HeartbeatRecord{Node: e.ownRecord.Node, Nonce: e.ownRecord.Nonce, TTLMs: e.timing.Heartbeat.TTL.Milliseconds()}
}

// heartbeatIfDue returns the write of the next heartbeat if it is due. A pending heartbeat does not delay the next one:
// slow responses of the state service must not let the leader's entitlement expire.
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
		// This also holds after the deadline: the write was conditional on the epoch, so no other node had taken over
		// when it was stored.
		e.heartbeatDeadline = max(e.heartbeatDeadline, e.heartbeatDeadlineFrom(in.SentAt))
	case OutcomeGone:
		if !e.advancePending { // a pending advance by this node may itself have changed the epoch
			e.stepDown(now)
		}
	default:
		e.nextHeartbeat = min(e.nextHeartbeat, now.Add(heartbeatRetryDelay))
	}
}
