package election

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// HeartbeatKey is the key that a leader with heartbeats writes again and again.
// It shares the prefix of Key, so that one request reads both.
const HeartbeatKey = LeaderKey + "/heartbeat"

// HeartbeatRecord is the value of HeartbeatKey. It names the holder that writes it: a
// heartbeat counts only for the leader whose nonce it carries.
type HeartbeatRecord struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
	// TTLMs is how long its writer is entitled after it sent the heartbeat, at
	// most. Others keep to it, whatever their own settings are.
	TTLMs int64 `msgpack:"life_ms" json:"life_ms"`
}

// HeartbeatTiming are the settings of heartbeats. The zero value: there are none.
type HeartbeatTiming struct {
	Interval     time.Duration // between two heartbeats of a leader
	TTL          time.Duration // of its entitlement after each
	PollInterval time.Duration // between two looks of a node that does not lead
}

func (h HeartbeatTiming) enabled() bool { return h.TTL > 0 }

const (
	// heartbeatRetryDelay is the pause after a heartbeat that was not stored.
	heartbeatRetryDelay = 200 * time.Millisecond
	// detectionMargin is added to the life of a silent leader's heartbeat for the
	// resolution of timers.
	detectionMargin = 50 * time.Millisecond
	// staggerDelay is what a standby waits for each one that comes before it, and
	// mostStaggered bounds how many it waits for.
	staggerDelay    = 300 * time.Millisecond
	maxStaggerSteps = 3
	// notReadyDelay is what a standby without a complete replica waits for those
	// that have one.
	notReadyDelay = 400 * time.Millisecond
	// maxHeartbeatTTL bounds what a record may claim.
	maxHeartbeatTTL = 10 * time.Minute
)

// MinHeartbeatTTL is the shortest life of an entitlement that a leader can keep
// with heartbeats at the interval, while each may take the request's timeout.
func MinHeartbeatTTL(interval, timeout time.Duration) time.Duration {
	return interval + timeout + leaseMargin
}

// failureDetector is what a standby knows of the leader's heartbeats. It compares readings
// of its own steady clock only.
type failureDetector struct {
	leaderEpoch       ident.Epoch // stamp of Key when the heartbeat was read
	heartbeatRevision ident.Revision
	ttl               time.Duration
	firstSeen         clock.Instant
	lastRead          clock.Instant
}

// observe takes in a look at both keys. A pause between two looks that is long
// enough for the state service to have been away begins the observation anew: a
// leader that could not write meanwhile is given the time to do so.
func (s *failureDetector) observe(now clock.Instant, in LeaderKeysRead) {
	life := time.Duration(in.Heartbeat.TTLMs) * time.Millisecond
	paused := now.Sub(s.lastRead) > life/2
	s.lastRead = now
	if !in.hasValidHeartbeat() {
		*s = failureDetector{lastRead: now}
		return
	}
	if paused || in.HeartbeatRevision != s.heartbeatRevision || in.Epoch != s.leaderEpoch {
		s.leaderEpoch, s.heartbeatRevision, s.ttl, s.firstSeen = in.Epoch, in.HeartbeatRevision, life, now
	}
}

// hasValidHeartbeat tells whether the leader that was read is one that writes heartbeats.
func (in *LeaderKeysRead) hasValidHeartbeat() bool {
	life := in.Heartbeat.TTLMs
	return in.OK && in.Epoch != 0 && in.HeartbeatRevision != 0 && in.Heartbeat.Nonce == in.Leader.Nonce &&
		life > 0 && life <= maxHeartbeatTTL.Milliseconds()
}

// expired tells whether the leader's entitlement has surely ended, unless it has
// written another heartbeat since. The transaction that takes over is guarded by
// the stamp of the heartbeat, so it fails in that case.
func (s *failureDetector) expired(now clock.Instant) bool {
	if s.heartbeatRevision == 0 {
		return false
	}
	life := time.Duration(float64(s.ttl)*(1+2*maxClockDrift)) + detectionMargin
	return now.Sub(s.firstSeen) >= life
}

// SetNodes names all nodes, this one included: their order settles which standby
// goes first.
func (m *Elector) SetNodes(nodes []string) {
	m.nodes = slices.Sorted(slices.Values(nodes))
}

// failoverDelay is how long this node lets others go first once the leader is silent:
// those that come before it in the order of names after the leader's, and those
// that have a complete replica if it has none.
func (m *Elector) failoverDelay() time.Duration {
	own, leader := slices.Index(m.nodes, m.node), slices.Index(m.nodes, m.observed.Node)
	wait := time.Duration(0)
	if own >= 0 && leader >= 0 {
		before := (own - leader - 1 + len(m.nodes)) % len(m.nodes)
		wait = time.Duration(min(before, maxStaggerSteps)) * staggerDelay
	}
	if !m.replicaReady {
		wait += notReadyDelay
	}
	return wait
}

// leaderFailed tells whether the leader has been silent for so long that this node
// should take over.
func (m *Elector) leaderFailed(now clock.Instant) bool {
	return m.timing.Heartbeat.enabled() && m.observedEpoch != 0 && m.observedEpoch == m.detector.leaderEpoch &&
		m.detector.expired(now.Add(-m.failoverDelay()))
}

// heartbeatDeadlineFrom is how long a heartbeat that was sent at an instant, and was
// stored, entitles its writer.
func (m *Elector) heartbeatDeadlineFrom(sent clock.Instant) clock.Instant {
	life := time.Duration(float64(m.timing.Heartbeat.TTL) * (1 - 2*maxClockDrift))
	return sent.Add(life - leaseMargin)
}

// newHeartbeat is the record that this node writes as m.mine.
func (m *Elector) newHeartbeat() *HeartbeatRecord {
	if !m.timing.Heartbeat.enabled() {
		return nil
	}
	return &HeartbeatRecord{Node: m.ownRecord.Node, Nonce: m.ownRecord.Nonce, TTLMs: m.timing.Heartbeat.TTL.Milliseconds()}
}

// heartbeatIfDue sends the next heartbeat. One that is not answered yet does not hold up
// the next: a state service that answers slowly must not end the entitlement.
func (m *Elector) heartbeatIfDue(now clock.Instant) []Effect {
	if !m.timing.Heartbeat.enabled() || now.Before(m.nextHeartbeat) || m.heartbeatsInFlight >= maxHeartbeatsInFlight {
		return nil
	}
	m.heartbeatsInFlight++
	m.nextHeartbeat = now.Add(m.timing.Heartbeat.Interval)
	return []Effect{WriteHeartbeat{Epoch: m.epoch, Heartbeat: *m.newHeartbeat()}}
}

// maxHeartbeatsInFlight may be under way at a time.
const maxHeartbeatsInFlight = 4

func (m *Elector) onHeartbeatWritten(now clock.Instant, in HeartbeatWritten) []Effect {
	m.heartbeatsInFlight = max(0, m.heartbeatsInFlight-1)
	if m.role != roleLeader || in.Epoch != m.epoch {
		return nil
	}
	switch in.Outcome {
	case OutcomeOK:
		// Also after the deadline: it was stored under the stamp of Key, so nobody
		// can have taken over.
		m.heartbeatDeadline = max(m.heartbeatDeadline, m.heartbeatDeadlineFrom(in.SentAt))
	case OutcomeGone:
		if !m.advancePending { // else the stamp may have changed by our own hand
			m.stepDown(now)
		}
	default:
		m.nextHeartbeat = min(m.nextHeartbeat, now.Add(heartbeatRetryDelay))
	}
	return nil
}
