// Package leadership decides who leads. One key of the state service, bound
// to a lease, names the leader; the stamp of that key is the epoch, which
// fences every write of the leader and tokens every command to a worker.
package leadership

import (
	"math/rand/v2"
	"time"

	"badgerbay/internal/unit"
)

// Key is the key that names the leader.
const Key = "leader"

// Holder is the value of Key. The nonce names one attempt of one process, so
// that a restarted process can't take its predecessor's epoch for its own.
type Holder struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
}

const (
	retryRenew = 700 * time.Millisecond
	// margin is what entitlement gives up at the end of the lease for timers
	// that fire late; drift is what two steady clocks may differ by.
	margin = 300 * time.Millisecond
	drift  = 0.0005
)

type phase int

const (
	following phase = iota
	granting
	acquiring // the key was set, the answer is out or lost
	leading
)

// Machine is the state machine of leadership on one node.
type Machine struct {
	node  string
	times Times
	rng   *rand.Rand

	phase    phase
	seen     Holder // the last holder read
	stamp    unit.Epoch
	nextPoll unit.Instant
	busy     bool // a read, grant, acquire or reseal is under way

	tenure     unit.Tenure
	mine       Holder
	epoch      unit.Epoch
	leaseUntil unit.Instant // entitlement ends, by the lease
	renewing   bool
	nextTry    unit.Instant
	raising    bool
	standAfter unit.Instant // does not stand for election before

	// Only with heartbeats.
	nodes        []string     // all of them, sorted
	silence      silence      // of the leader, seen by a standby
	replicaReady bool         // this node could take over without reading all records
	takingOver   bool         // the acquisition under way replaces a silent leader
	acquireSent  unit.Instant // when the acquisition left
	raiseSent    unit.Instant // when the last raise of the token left
	beatUntil    unit.Instant // entitlement ends, by the heartbeats
	nextBeat     unit.Instant
	beating      int // heartbeats under way
	hindrance    Hindrance
}

// New returns a machine for the node. Every process must give it a random
// source of its own.
func New(node string, times Times, rng *rand.Rand) *Machine {
	return &Machine{node: node, times: times, rng: rng}
}

// Leads tells whether this node holds the key, entitled or not.
func (m *Machine) Leads() bool { return m.phase == leading }

// Epoch is the epoch of this node, if it leads.
func (m *Machine) Epoch() unit.Epoch { return m.epoch }

// Entitled tells whether this node may act as leader at now: it leads and its
// lease surely still runs.
func (m *Machine) Entitled(now unit.Instant) bool {
	return m.phase == leading && now.Before(m.until())
}

// until is when entitlement ends: with the lease, or with the last heartbeat that
// was stored.
func (m *Machine) until() unit.Instant {
	if !m.times.Heartbeat.enabled() {
		return m.leaseUntil
	}
	return min(m.leaseUntil, m.beatUntil)
}

// EntitledUntil is when entitlement ends unless it is renewed.
func (m *Machine) EntitledUntil() unit.Instant {
	if m.phase != leading {
		return 0
	}
	return m.until()
}

// LastEntitled is when the last entitlement of this node ends, or has ended; 0
// if it never had one.
func (m *Machine) LastEntitled() unit.Instant { return m.until() }

// Leader is the node that was last seen to hold the key, or "".
func (m *Machine) Leader() string {
	if m.phase == leading {
		return m.node
	}
	return m.seen.Node
}

// Raising tells whether a raise of the token is under way. Writes of the
// leader wait for it, since their guard would fail.
func (m *Machine) Raising() bool { return m.raising }

// Step takes one input at now and returns what to do.
func (m *Machine) Step(now unit.Instant, in Input) []Effect {
	switch in := in.(type) {
	case Tick:
		return m.tick(now)
	case KeyRead:
		return m.keyRead(now, in)
	case Granted:
		return m.granted(now, in)
	case Acquired:
		return m.acquired(now, in)
	case Renewed:
		return m.renewed(now, in)
	case TokenSet:
		return m.tokenSet(in)
	case Deposed:
		m.depose(now)
	case RaiseToken:
		return m.raise(now)
	case Resign:
		return m.resign(now, in)
	case Beaten:
		return m.beaten(now, in)
	case ReplicaState:
		m.replicaReady = in.Ready
	}
	return nil
}

func (m *Machine) entitlement(sent unit.Instant) unit.Instant {
	life := time.Duration(float64(m.times.Life) * (1 - 2*drift))
	return sent.Add(life - margin)
}

func (m *Machine) tick(now unit.Instant) []Effect {
	if m.phase == leading {
		return m.tickLeading(now)
	}
	if m.busy || now.Before(m.nextPoll) {
		return nil
	}
	m.busy = true
	return []Effect{ReadKey{}}
}

func (m *Machine) tickLeading(now unit.Instant) []Effect {
	effects := m.beatIfDue(now)
	if m.renewing || now.Before(m.nextTry) {
		return effects
	}
	m.renewing = true
	return append(effects, Renew{Tenure: m.tenure})
}

// pollAgain sets the time of the next look, jittered so that nodes that
// started together do not stay together.
func (m *Machine) pollAgain(now unit.Instant) {
	jitter := 0.7 + 0.6*m.rng.Float64()
	poll := m.times.Poll
	if m.times.Heartbeat.enabled() {
		poll = min(poll, m.times.Heartbeat.Poll)
	}
	m.nextPoll = now.Add(time.Duration(float64(poll) * jitter))
}

func (m *Machine) keyRead(now unit.Instant, in KeyRead) []Effect {
	m.busy = false
	m.pollAgain(now)
	if m.phase == leading {
		return nil
	}
	if !in.OK {
		m.hindrance = StateUnread
		return nil
	}
	m.seen, m.stamp = in.Holder, in.Stamp
	m.silence.observe(now, in)
	if m.phase == acquiring && in.Stamp != 0 && in.Holder == m.mine {
		// The answer to the acquisition was lost, but it was executed.
		m.lead(now, in.Stamp)
		return nil
	}
	m.takingOver = false
	if !m.mayStand(now) {
		if !m.leaderSilent(now) {
			m.noteHindrance(now)
			return nil
		}
		m.takingOver = true
	}
	m.phase, m.busy = granting, true
	return []Effect{GrantLease{Life: m.times.Life}}
}

// mayStand tells whether the key is free for this node: it is absent, or it
// names this same node. Then an earlier process of it set the key, which is
// surely dead, or a leader that handed over to it; the guard on the stamp keeps
// the change from hitting anybody else's key.
func (m *Machine) mayStand(now unit.Instant) bool {
	// A key handed over to this node is taken even while it rests from one
	// that it gave up: else it stays without a leader.
	return m.stamp == 0 && !now.Before(m.standAfter) || m.stamp != 0 && m.seen.Node == m.node
}

func (m *Machine) granted(now unit.Instant, in Granted) []Effect {
	m.busy = false
	if m.phase != granting {
		return nil
	}
	if !in.OK {
		m.phase = following
		return nil
	}
	m.tenure = in.Tenure
	m.leaseUntil = m.entitlement(in.Sent)
	m.mine = Holder{Node: m.node, Nonce: m.nonce()}
	m.phase, m.busy = acquiring, true
	m.acquireSent = now
	acquire := Acquire{Prev: m.stamp, Holder: m.mine, Tenure: m.tenure, Heartbeat: m.heartbeat()}
	if m.takingOver {
		acquire.Silent = m.silence.stamp
	}
	return []Effect{acquire}
}

func (m *Machine) nonce() string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b [16]byte
	for i := range b {
		b[i] = digits[m.rng.IntN(len(digits))]
	}
	return string(b[:])
}

func (m *Machine) acquired(now unit.Instant, in Acquired) []Effect {
	m.busy = false
	if m.phase != acquiring {
		return nil
	}
	switch in.Outcome {
	case OK:
		m.lead(now, in.Epoch)
	case Unknown:
		// Read the key back at once: its value names this attempt if it was
		// executed. Should it be executed later still, a later look finds it.
		m.nextPoll = now
	default:
		m.phase = following
		if m.takingOver {
			m.hindrance = TakeoverConflict
		}
		m.pollAgain(now)
		return []Effect{Release{Tenure: m.tenure}}
	}
	return nil
}

func (m *Machine) lead(now unit.Instant, epoch unit.Epoch) {
	m.phase, m.epoch = leading, epoch
	m.seen, m.stamp = m.mine, epoch
	m.renewing, m.raising = false, false
	m.nextTry = now
	m.beatUntil = m.heartbeatEntitlement(m.acquireSent)
	m.nextBeat = m.acquireSent.Add(m.times.Heartbeat.Interval)
	m.beating, m.hindrance = 0, NoHindrance
}

func (m *Machine) renewed(now unit.Instant, in Renewed) []Effect {
	if m.phase != leading || in.Tenure != m.tenure {
		return nil // of an earlier term, whose lease was another
	}
	m.renewing = false
	switch in.Outcome {
	case OK:
		// Also right after the deadline: the key was bound to the lease all
		// along, so nobody else can have set it in between.
		m.leaseUntil = max(m.leaseUntil, m.entitlement(in.Sent))
		m.nextTry = in.Sent.Add(m.times.Renew)
	case Gone:
		m.depose(now)
	default:
		m.nextTry = now.Add(retryRenew)
	}
	return nil
}

func (m *Machine) depose(now unit.Instant) {
	if m.phase != leading {
		return
	}
	m.phase, m.epoch, m.raising, m.busy = following, 0, false, false
	m.seen, m.stamp = Holder{}, 0
	m.silence = silence{}
	m.nextPoll = now
}

func (m *Machine) raise(now unit.Instant) []Effect {
	if !m.Entitled(now) || m.raising {
		return nil
	}
	m.raising, m.raiseSent = true, now
	return []Effect{SetToken{Prev: m.epoch, Holder: m.mine, Tenure: m.tenure, Heartbeat: m.heartbeat()}}
}

func (m *Machine) tokenSet(in TokenSet) []Effect {
	if m.phase != leading || in.Prev != m.epoch {
		return nil
	}
	switch in.Outcome {
	case OK:
		m.raising, m.epoch, m.stamp = false, in.Epoch, in.Epoch
		m.beatUntil = max(m.beatUntil, m.heartbeatEntitlement(m.raiseSent))
	case Refused:
		m.raising = false
	}
	// Unknown and Gone: the caller reads the key back and reports
	// TokenSet or Deposed; until then the writes wait.
	return nil
}

func (m *Machine) resign(now unit.Instant, in Resign) []Effect {
	if m.phase != leading {
		return nil
	}
	epoch := m.epoch
	m.depose(now)
	m.standAfter = now.Add(in.Cooldown)
	m.pollAgain(now)
	if in.Heir != "" {
		return []Effect{HandOver{Prev: epoch, Holder: Holder{Node: in.Heir, Nonce: m.nonce()}, Tenure: m.tenure}}
	}
	return []Effect{Release{Tenure: m.tenure}}
}
