package leadership

import (
	"slices"
	"time"

	"badgerbay/internal/unit"
)

// HeartbeatKey is the key that a leader with heartbeats writes again and again.
// It shares the prefix of Key, so that one request reads both.
const HeartbeatKey = Key + "/heartbeat"

// Heartbeat is the value of HeartbeatKey. It names the holder that writes it: a
// heartbeat counts only for the leader whose nonce it carries.
type Heartbeat struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
	// LifeMs is how long its writer is entitled after it sent the heartbeat, at
	// most. Others keep to it, whatever their own settings are.
	LifeMs int64 `msgpack:"life_ms" json:"life_ms"`
}

// HeartbeatTimes are the settings of heartbeats. The zero value: there are none.
type HeartbeatTimes struct {
	Interval time.Duration // between two heartbeats of a leader
	Life     time.Duration // of its entitlement after each
	Poll     time.Duration // between two looks of a node that does not lead
}

func (h HeartbeatTimes) enabled() bool { return h.Life > 0 }

const (
	// retryHeartbeat is the pause after a heartbeat that was not stored.
	retryHeartbeat = 200 * time.Millisecond
	// silenceMargin is added to the life of a silent leader's heartbeat for the
	// resolution of timers.
	silenceMargin = 50 * time.Millisecond
	// staggerStep is what a standby waits for each one that comes before it, and
	// mostStaggered bounds how many it waits for.
	staggerStep   = 300 * time.Millisecond
	mostStaggered = 3
	// notReadyPenalty is what a standby without a complete replica waits for those
	// that have one.
	notReadyPenalty = 400 * time.Millisecond
	// longestHeartbeatLife bounds what a record may claim.
	longestHeartbeatLife = 10 * time.Minute
)

// LeastHeartbeatLife is the shortest life of an entitlement that a leader can keep
// with heartbeats at the interval, while each may take the request's timeout.
func LeastHeartbeatLife(interval, timeout time.Duration) time.Duration {
	return interval + timeout + margin
}

// silence is what a standby knows of the leader's heartbeats. It compares readings
// of its own steady clock only.
type silence struct {
	leader    unit.Epoch // stamp of Key when the heartbeat was read
	stamp     unit.Version
	life      time.Duration
	firstSeen unit.Instant
	lastRead  unit.Instant
}

// observe takes in a look at both keys. A pause between two looks that is long
// enough for the state service to have been away begins the observation anew: a
// leader that could not write meanwhile is given the time to do so.
func (s *silence) observe(now unit.Instant, in KeyRead) {
	life := time.Duration(in.Heartbeat.LifeMs) * time.Millisecond
	paused := now.Sub(s.lastRead) > life/2
	s.lastRead = now
	if !in.beating() {
		*s = silence{lastRead: now}
		return
	}
	if paused || in.HeartbeatStamp != s.stamp || in.Stamp != s.leader {
		s.leader, s.stamp, s.life, s.firstSeen = in.Stamp, in.HeartbeatStamp, life, now
	}
}

// beating tells whether the leader that was read is one that writes heartbeats.
func (in *KeyRead) beating() bool {
	life := in.Heartbeat.LifeMs
	return in.OK && in.Stamp != 0 && in.HeartbeatStamp != 0 && in.Heartbeat.Nonce == in.Holder.Nonce &&
		life > 0 && life <= longestHeartbeatLife.Milliseconds()
}

// over tells whether the leader's entitlement has surely ended, unless it has
// written another heartbeat since. The transaction that takes over is guarded by
// the stamp of the heartbeat, so it fails in that case.
func (s *silence) over(now unit.Instant) bool {
	if s.stamp == 0 {
		return false
	}
	life := time.Duration(float64(s.life)*(1+2*drift)) + silenceMargin
	return now.Sub(s.firstSeen) >= life
}

// RankAmong names all nodes, this one included: their order settles which standby
// goes first.
func (m *Machine) RankAmong(nodes []string) {
	m.nodes = slices.Sorted(slices.Values(nodes))
}

// stagger is how long this node lets others go first once the leader is silent:
// those that come before it in the order of names after the leader's, and those
// that have a complete replica if it has none.
func (m *Machine) stagger() time.Duration {
	own, leader := slices.Index(m.nodes, m.node), slices.Index(m.nodes, m.seen.Node)
	wait := time.Duration(0)
	if own >= 0 && leader >= 0 {
		before := (own - leader - 1 + len(m.nodes)) % len(m.nodes)
		wait = time.Duration(min(before, mostStaggered)) * staggerStep
	}
	if !m.replicaReady {
		wait += notReadyPenalty
	}
	return wait
}

// leaderSilent tells whether the leader has been silent for so long that this node
// should take over.
func (m *Machine) leaderSilent(now unit.Instant) bool {
	return m.times.Heartbeat.enabled() && m.stamp != 0 && m.stamp == m.silence.leader &&
		m.silence.over(now.Add(-m.stagger()))
}

// heartbeatEntitlement is how long a heartbeat that was sent at an instant, and was
// stored, entitles its writer.
func (m *Machine) heartbeatEntitlement(sent unit.Instant) unit.Instant {
	life := time.Duration(float64(m.times.Heartbeat.Life) * (1 - 2*drift))
	return sent.Add(life - margin)
}

// heartbeat is the record that this node writes as m.mine.
func (m *Machine) heartbeat() *Heartbeat {
	if !m.times.Heartbeat.enabled() {
		return nil
	}
	return &Heartbeat{Node: m.mine.Node, Nonce: m.mine.Nonce, LifeMs: m.times.Heartbeat.Life.Milliseconds()}
}

// beatIfDue sends the next heartbeat. One that is not answered yet does not hold up
// the next: a state service that answers slowly must not end the entitlement.
func (m *Machine) beatIfDue(now unit.Instant) []Effect {
	if !m.times.Heartbeat.enabled() || now.Before(m.nextBeat) || m.beating >= mostHeartbeats {
		return nil
	}
	m.beating++
	m.nextBeat = now.Add(m.times.Heartbeat.Interval)
	return []Effect{Beat{Epoch: m.epoch, Heartbeat: *m.heartbeat()}}
}

// mostHeartbeats may be under way at a time.
const mostHeartbeats = 4

func (m *Machine) beaten(now unit.Instant, in Beaten) []Effect {
	m.beating = max(0, m.beating-1)
	if m.phase != leading || in.Epoch != m.epoch {
		return nil
	}
	switch in.Outcome {
	case OK:
		// Also after the deadline: it was stored under the stamp of Key, so nobody
		// can have taken over.
		m.beatUntil = max(m.beatUntil, m.heartbeatEntitlement(in.Sent))
	case Gone:
		if !m.raising { // else the stamp may have changed by our own hand
			m.depose(now)
		}
	default:
		m.nextBeat = min(m.nextBeat, now.Add(retryHeartbeat))
	}
	return nil
}
