// Package election implements leader election among the nodes. One key in the state service, bound to a lease, names
// the leader. The modification revision of that key is the epoch, which is the fencing token of every write by the
// leader and of every command to a machine. The package owns the leader key, the leader's heartbeat key and the pure
// state machine over them. The callers send the requests to the state service and use the epoch.
package election

import (
	"math/rand/v2"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// LeaderKey is the key that names the leader.
const LeaderKey = "leader"

// LeaderRecord is the value of LeaderKey. The nonce identifies one acquisition attempt of one process, so that a
// restarted process can't mistake the epoch of its predecessor for its own.
type LeaderRecord struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
}

type role int

const (
	roleFollower role = iota
	roleRequestingLease
	roleAcquiring // the write of the leader key was sent; its response is pending or lost
	roleLeader
)

// Elector is the state machine of leader election on one node. It performs no I/O: each input is passed with its
// arrival time, and Step returns the requests to send. It is not safe for concurrent use.
type Elector struct {
	node   string
	timing Timing
	rng    *rand.Rand

	role           role
	observed       LeaderRecord // last value read from the leader key
	observedEpoch  ident.Epoch  // epoch of the observed record; 0: no leader
	nextPoll       clock.Instant
	requestPending bool // a read of the leader's keys or a campaign request has no response yet

	leaseID        ident.LeaseID
	ownRecord      LeaderRecord
	epoch          ident.Epoch
	leaseDeadline  clock.Instant
	renewPending   bool
	nextRenew      clock.Instant
	advancePending bool          // a request to advance the epoch has no definite outcome yet
	cooldownUntil  clock.Instant // no campaign for an absent leader key before this time

	// The fields below are used only with heartbeats enabled.

	nodes              []string // names of all nodes, sorted
	detector           failureDetector
	replicaReady       bool // this node can become leader without reading all records
	failingOver        bool // the pending acquisition replaces a failed leader
	acquireSentAt      clock.Instant
	advanceSentAt      clock.Instant
	heartbeatDeadline  clock.Instant
	nextHeartbeat      clock.Instant
	heartbeatsInFlight int
	blockReason        BlockReason
}

// New returns the elector of a node in the follower role. Each process must pass its own random source, because the
// nonces drawn from it must differ between processes.
func New(node string, timing Timing, rng *rand.Rand) *Elector {
	return &Elector{node: node, timing: timing, rng: rng}
}

// IsLeader reports whether this node is the leader as far as it knows, even if its lease may have expired.
func (e *Elector) IsLeader() bool { return e.role == roleLeader }

// Epoch returns the epoch under which this node leads, or 0 if it is not the leader.
func (e *Elector) Epoch() ident.Epoch { return e.epoch }

// LeaseValid reports whether this node may act as leader at now: it is the leader, and no other node can have replaced
// it yet.
func (e *Elector) LeaseValid(now clock.Instant) bool {
	return e.role == roleLeader && now.Before(e.leaseValidBefore())
}

// LeaseValidUntil returns the time until which this node may act as leader without another renewal, or 0 if it is not
// the leader.
func (e *Elector) LeaseValidUntil() clock.Instant {
	if e.role != roleLeader {
		return 0
	}
	return e.leaseValidBefore()
}

// LastLeaseDeadline returns the time until which this node may act, or may have acted, as leader, or 0 if it was never
// the leader.
func (e *Elector) LastLeaseDeadline() clock.Instant { return e.leaseValidBefore() }

// leaseValidBefore returns the deadline of the lease or, with heartbeats enabled, the earlier of that deadline and the
// deadline of the last stored heartbeat.
func (e *Elector) leaseValidBefore() clock.Instant {
	if !e.timing.Heartbeat.enabled() {
		return e.leaseDeadline
	}
	return min(e.leaseDeadline, e.heartbeatDeadline)
}

// LeaderNode returns the name of the last known holder of the leader key, or "" if there was none.
func (e *Elector) LeaderNode() string {
	if e.role == roleLeader {
		return e.node
	}
	return e.observed.Node
}

// AdvancingEpoch reports whether an advance of the epoch is in progress. The leader holds back its writes until the
// advance completes, since their condition on the epoch would fail.
func (e *Elector) AdvancingEpoch() bool { return e.advancePending }

// Step applies one input that arrived at now and returns the requests to send.
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

// schedulePoll sets the time of the next read of the leader's keys. The jitter keeps nodes that started at the same
// time from polling at the same time.
func (e *Elector) schedulePoll(now clock.Instant) {
	jitter := pollJitterMin + pollJitterSpan*e.rng.Float64()
	interval := e.timing.PollInterval
	if e.timing.Heartbeat.enabled() {
		interval = min(interval, e.timing.Heartbeat.PollInterval)
	}
	e.nextPoll = now.Add(time.Duration(float64(interval) * jitter))
}
