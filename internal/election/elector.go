// Package election decides which node leads. One key of the state service, bound to a lease,
// names the leader; the key's modification revision is the epoch, the fencing token of every
// write of the leader and of every command to a machine. The package owns the leader key, the
// leader's heartbeat key and the pure state machine over them; sending requests to the state
// service, and what a leader does with its epoch, are left to the callers.
package election

import (
	"math/rand/v2"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// LeaderKey is the key that names the leader.
const LeaderKey = "leader"

// LeaderRecord is the value of LeaderKey. The nonce names one attempt of one process, so
// that a restarted process can't take its predecessor's epoch for its own.
type LeaderRecord struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
}

type role int

const (
	roleFollower role = iota
	roleRequestingLease
	roleAcquiring // the leader key was written, the answer is outstanding or lost
	roleLeader
)

// Elector is the state machine of leader election on one node. It is pure: it takes inputs
// with the time at which they arrive, and returns the requests to send. It is not safe for
// concurrent use.
type Elector struct {
	node   string
	timing Timing
	rng    *rand.Rand

	role           role
	observed       LeaderRecord // as last read
	observedEpoch  ident.Epoch  // of the observed record; 0: no leader
	nextPoll       clock.Instant
	requestPending bool // a read of the keys, or a step of a campaign

	leaseID        ident.LeaseID
	ownRecord      LeaderRecord
	epoch          ident.Epoch
	leaseDeadline  clock.Instant
	renewPending   bool
	nextRenew      clock.Instant
	advancePending bool          // of the epoch
	cooldownUntil  clock.Instant // no campaign for a free key before

	// The rest is used only with heartbeats.

	nodes              []string // all of them, sorted
	detector           failureDetector
	replicaReady       bool // this node could take over without reading all records
	failingOver        bool // the pending acquisition replaces a failed leader
	acquireSentAt      clock.Instant
	advanceSentAt      clock.Instant
	heartbeatDeadline  clock.Instant
	nextHeartbeat      clock.Instant
	heartbeatsInFlight int
	blockReason        BlockReason
}

// New returns the elector of a node, a follower at first. Every process must give it a random
// source of its own.
func New(node string, timing Timing, rng *rand.Rand) *Elector {
	return &Elector{node: node, timing: timing, rng: rng}
}

// IsLeader tells whether this node holds the leader key, whether or not its lease is still
// known to be valid.
func (e *Elector) IsLeader() bool { return e.role == roleLeader }

// Epoch is the epoch under which this node leads; 0 if it does not.
func (e *Elector) Epoch() ident.Epoch { return e.epoch }

// LeaseValid tells whether this node may act as leader at now: it holds the leader key, and
// surely still does.
func (e *Elector) LeaseValid(now clock.Instant) bool {
	return e.role == roleLeader && now.Before(e.leaseValidBefore())
}

// LeaseValidUntil is until when this node may act as leader unless it renews its lease; 0 if
// it does not lead.
func (e *Elector) LeaseValidUntil() clock.Instant {
	if e.role != roleLeader {
		return 0
	}
	return e.leaseValidBefore()
}

// LastLeaseDeadline is until when this node may act, or might have acted, as leader; 0 if it
// never led.
func (e *Elector) LastLeaseDeadline() clock.Instant { return e.leaseValidBefore() }

// leaseValidBefore is when the lease ends or, with heartbeats, the last one that was stored.
func (e *Elector) leaseValidBefore() clock.Instant {
	if !e.timing.Heartbeat.enabled() {
		return e.leaseDeadline
	}
	return min(e.leaseDeadline, e.heartbeatDeadline)
}

// LeaderNode is the node that was last seen to hold the leader key; "" if there was none.
func (e *Elector) LeaderNode() string {
	if e.role == roleLeader {
		return e.node
	}
	return e.observed.Node
}

// AdvancingEpoch tells whether the epoch is being advanced. Writes of the leader wait
// meanwhile, since their condition on the epoch would fail.
func (e *Elector) AdvancingEpoch() bool { return e.advancePending }

// Step takes one input at now and returns the requests to send.
func (e *Elector) Step(now clock.Instant, in Input) []Effect {
	switch in := in.(type) {
	case Tick:
		return e.onTick(now)
	case LeaderKeysRead:
		return e.onLeaderKeysRead(now, in)
	case LeaseGranted:
		return e.onLeaseGranted(now, in)
	case LeaderKeyAcquired:
		return e.onAcquired(now, in)
	case LeaseRenewed:
		e.onLeaseRenewed(now, in)
	case LeaderKeyRewritten:
		e.onLeaderKeyRewritten(in)
	case LeadershipLost:
		e.stepDown(now)
	case AdvanceEpoch:
		return e.advanceEpoch(now)
	case Resign:
		return e.onResign(now, in)
	case HeartbeatWritten:
		e.onHeartbeatWritten(now, in)
	case ReplicaState:
		e.replicaReady = in.Ready
	}
	return nil
}

func (e *Elector) onTick(now clock.Instant) []Effect {
	if e.role == roleLeader {
		return append(e.heartbeatIfDue(now), e.renewIfDue(now)...)
	}
	if e.requestPending || now.Before(e.nextPoll) {
		return nil
	}
	e.requestPending = true
	return []Effect{ReadLeaderKeys{}}
}

const (
	pollJitterMin  = 0.7
	pollJitterSpan = 0.6
)

// schedulePoll sets the time of the next look at the leader's keys. The jitter keeps nodes
// that started together from polling together.
func (e *Elector) schedulePoll(now clock.Instant) {
	jitter := pollJitterMin + pollJitterSpan*e.rng.Float64()
	interval := e.timing.PollInterval
	if e.timing.Heartbeat.enabled() {
		interval = min(interval, e.timing.Heartbeat.PollInterval)
	}
	e.nextPoll = now.Add(time.Duration(float64(interval) * jitter))
}
