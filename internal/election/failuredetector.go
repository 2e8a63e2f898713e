package election

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

const (
	// detectionMargin is added to the TTL of the last heartbeat to allow for the resolution of timers.
	detectionMargin = 50 * time.Millisecond
	// staggerDelay is the delay that a standby adds for each node that precedes it in the failover order.
	// maxStaggerSteps limits the number of nodes that are counted.
	staggerDelay    = 300 * time.Millisecond
	maxStaggerSteps = 3
	// notReadyDelay is the additional delay of a standby without a complete replica, so that standbys with one take
	// over first.
	notReadyDelay = 400 * time.Millisecond
)

// failureDetector tracks the leader's heartbeats on a standby. It compares only readings of this node's own monotonic
// clock.
type failureDetector struct {
	leaderEpoch       ident.Epoch    // epoch of the leader key in the read that began the observation
	heartbeatRevision ident.Revision // 0: no heartbeat is tracked
	ttl               time.Duration
	firstSeen         clock.Instant // when the observation of the tracked heartbeat began
	lastRead          clock.Instant
}

// observe records a read of both keys. It restarts the observation if the interval since the previous read is long
// enough for an outage of the state service: the leader could not write a heartbeat during the outage either, so it
// gets a full TTL to write one.
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

// expired reports whether the tracked heartbeat no longer entitles the leader to act. The leader may have written
// another heartbeat since the last read; a failover is conditional on the revision of the tracked heartbeat, so it
// fails in that case.
func (d *failureDetector) expired(now clock.Instant) bool {
	if d.heartbeatRevision == 0 {
		return false
	}
	maxTTL := time.Duration(float64(d.ttl) * (1 + 2*maxClockDrift))
	return now.Sub(d.firstSeen) >= maxTTL+detectionMargin
}

// hasValidHeartbeat reports whether the read returned a leader and a valid heartbeat of that leader.
func (in *LeaderKeysRead) hasValidHeartbeat() bool {
	if !in.OK || in.Epoch == 0 || in.HeartbeatRevision == 0 {
		return false
	}
	ttl := in.Heartbeat.TTLMs
	return in.Heartbeat.Nonce == in.Leader.Nonce && ttl > 0 && ttl <= maxHeartbeatTTL.Milliseconds()
}

// SetNodes sets the names of all nodes, including this one. Their sorted order determines the failover order of the
// standbys.
func (e *Elector) SetNodes(nodes []string) {
	e.nodes = slices.Sorted(slices.Values(nodes))
}

// failoverDelay returns how long this node waits after the leader has failed before it campaigns. It waits for the
// nodes that follow the leader and precede this node in the cyclic order of names and, if this node has no complete
// replica, for the nodes that have one.
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

// leaderFailed reports whether the leader's heartbeat has been expired for at least the failover delay of this node, so
// that this node should take over.
func (e *Elector) leaderFailed(now clock.Instant) bool {
	return e.timing.Heartbeat.enabled() && e.observedEpoch != 0 && e.observedEpoch == e.detector.leaderEpoch &&
		e.detector.expired(now.Add(-e.failoverDelay()))
}
