package election

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// detectionMargin is added to the TTL of the last heartbeat for the resolution of
	// timers.
	detectionMargin = 50 * time.Millisecond
	// staggerDelay is what a standby waits for each one that comes before it, and
	// maxStaggerSteps bounds for how many it waits.
	staggerDelay    = 300 * time.Millisecond
	maxStaggerSteps = 3
	// notReadyDelay is what a standby without a complete replica waits for those
	// that have one.
	notReadyDelay = 400 * time.Millisecond
)

// failureDetector is what a standby knows of the leader's heartbeats. It compares readings
// of its own steady clock only.
type failureDetector struct {
	leaderEpoch       ident.Epoch    // when the heartbeat was read
	heartbeatRevision ident.Revision // 0: none is watched
	ttl               time.Duration
	firstSeen         clock.Instant
	lastRead          clock.Instant
}

// observe takes in a read of both keys. A pause between two reads that is long enough for
// the state service to have been away begins the observation anew: a leader that could not
// write meanwhile is given the time to do so.
func (d *failureDetector) observe(now clock.Instant, in LeaderKeysRead) {
	ttl := in.Heartbeat.ttl()
	paused := now.Sub(d.lastRead) > ttl/2
	d.lastRead = now
	if !in.hasValidHeartbeat() {
		*d = failureDetector{lastRead: now}
		return
	}
	if paused || in.HeartbeatRevision != d.heartbeatRevision || in.Epoch != d.leaderEpoch {
		d.leaderEpoch, d.heartbeatRevision, d.ttl, d.firstSeen = in.Epoch, in.HeartbeatRevision, ttl, now
	}
}

// expired tells whether the leader surely may not act any more, unless it has written
// another heartbeat since. A failover is conditional on the revision of the heartbeat, so it
// fails in that case.
func (d *failureDetector) expired(now clock.Instant) bool {
	if d.heartbeatRevision == 0 {
		return false
	}
	longest := time.Duration(float64(d.ttl) * (1 + 2*maxClockDrift))
	return now.Sub(d.firstSeen) >= longest+detectionMargin
}

// hasValidHeartbeat tells whether the leader that was read writes heartbeats.
func (in *LeaderKeysRead) hasValidHeartbeat() bool {
	if !in.OK || in.Epoch == 0 || in.HeartbeatRevision == 0 {
		return false
	}
	ttl := in.Heartbeat.TTLMs
	return in.Heartbeat.Nonce == in.Leader.Nonce && ttl > 0 && ttl <= maxHeartbeatTTL.Milliseconds()
}

// SetNodes names all nodes, this one included: their order settles which standby
// goes first.
func (e *Elector) SetNodes(nodes []string) {
	e.nodes = slices.Sorted(slices.Values(nodes))
}

// failoverDelay is how long this node lets others go first once the leader has failed:
// those that come before it in the order of names after the leader's, and those
// that have a complete replica if it has none.
func (e *Elector) failoverDelay() time.Duration {
	own, leader := slices.Index(e.nodes, e.node), slices.Index(e.nodes, e.observed.Node)
	delay := time.Duration(0)
	if own >= 0 && leader >= 0 {
		before := (own - leader - 1 + len(e.nodes)) % len(e.nodes)
		delay = time.Duration(min(before, maxStaggerSteps)) * staggerDelay
	}
	if !e.replicaReady {
		delay += notReadyDelay
	}
	return delay
}

// leaderFailed tells whether the leader has written no heartbeat for so long that this node
// should take over.
func (e *Elector) leaderFailed(now clock.Instant) bool {
	return e.timing.Heartbeat.enabled() && e.observedEpoch != 0 && e.observedEpoch == e.detector.leaderEpoch &&
		e.detector.expired(now.Add(-e.failoverDelay()))
}
