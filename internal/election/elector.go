// Package election decides who leads. One key of the state service, bound
// to a lease, names the leader; the stamp of that key is the epoch, which
// fences every write of the leader and tokens every command to a worker.
package election

import (
	"math/rand/v2"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// LeaderKey is the key that names the leader.
const LeaderKey = "leader"

// LeaderRecord is the value of Key. The nonce names one attempt of one process, so
// that a restarted process can't take its predecessor's epoch for its own.
type LeaderRecord struct {
	Node  string `msgpack:"node" json:"node"`
	Nonce string `msgpack:"nonce" json:"nonce"`
}

const (
	renewRetryDelay = 700 * time.Millisecond
	// leaseMargin is what entitlement gives up at the end of the lease for timers
	// that fire late; drift is what two steady clocks may differ by.
	leaseMargin   = 300 * time.Millisecond
	maxClockDrift = 0.0005
)

type role int

const (
	roleFollower role = iota
	roleRequestingLease
	roleAcquiring // the key was set, the answer is out or lost
	roleLeader
)

// Elector is the state machine of leadership on one node.
type Elector struct {
	node   string
	timing Timing
	rng    *rand.Rand

	role           role
	observed       LeaderRecord // the last holder read
	observedEpoch  ident.Epoch
	nextPoll       clock.Instant
	requestPending bool // a read, grant, acquire or reseal is under way

	leaseID        ident.LeaseID
	ownRecord      LeaderRecord
	epoch          ident.Epoch
	leaseDeadline  clock.Instant // entitlement ends, by the lease
	renewPending   bool
	nextRenew      clock.Instant
	advancePending bool
	cooldownUntil  clock.Instant // does not stand for election before

	// Only with heartbeats.
	nodes              []string        // all of them, sorted
	detector           failureDetector // of the leader, seen by a standby
	replicaReady       bool            // this node could take over without reading all records
	failingOver        bool            // the acquisition under way replaces a silent leader
	acquireSentAt      clock.Instant   // when the acquisition left
	advanceSentAt      clock.Instant   // when the last raise of the token left
	heartbeatDeadline  clock.Instant   // entitlement ends, by the heartbeats
	nextHeartbeat      clock.Instant
	heartbeatsInFlight int // heartbeats under way
	blockReason        BlockReason
}

// New returns a machine for the node. Every process must give it a random
// source of its own.
func New(node string, times Timing, rng *rand.Rand) *Elector {
	return &Elector{node: node, timing: times, rng: rng}
}

// IsLeader tells whether this node holds the key, entitled or not.
func (m *Elector) IsLeader() bool { return m.role == roleLeader }

// Epoch is the epoch of this node, if it leads.
func (m *Elector) Epoch() ident.Epoch { return m.epoch }

// LeaseValid tells whether this node may act as leader at now: it leads and its
// lease surely still runs.
func (m *Elector) LeaseValid(now clock.Instant) bool {
	return m.role == roleLeader && now.Before(m.leaseValidBefore())
}

// leaseValidBefore is when entitlement ends: with the lease, or with the last heartbeat that
// was stored.
func (m *Elector) leaseValidBefore() clock.Instant {
	if !m.timing.Heartbeat.enabled() {
		return m.leaseDeadline
	}
	return min(m.leaseDeadline, m.heartbeatDeadline)
}

// LeaseValidUntil is when entitlement ends unless it is renewed.
func (m *Elector) LeaseValidUntil() clock.Instant {
	if m.role != roleLeader {
		return 0
	}
	return m.leaseValidBefore()
}

// LastLeaseDeadline is when the last entitlement of this node ends, or has ended; 0
// if it never had one.
func (m *Elector) LastLeaseDeadline() clock.Instant { return m.leaseValidBefore() }

// LeaderNode is the node that was last seen to hold the key, or "".
func (m *Elector) LeaderNode() string {
	if m.role == roleLeader {
		return m.node
	}
	return m.observed.Node
}

// AdvancingEpoch tells whether a raise of the token is under way. Writes of the
// leader wait for it, since their guard would fail.
func (m *Elector) AdvancingEpoch() bool { return m.advancePending }

// Step takes one input at now and returns what to do.
func (m *Elector) Step(now clock.Instant, in Input) []Effect {
	switch in := in.(type) {
	case Tick:
		return m.onTick(now)
	case LeaderKeysRead:
		return m.onLeaderKeysRead(now, in)
	case LeaseGranted:
		return m.onLeaseGranted(now, in)
	case LeaderKeyAcquired:
		return m.onAcquired(now, in)
	case LeaseRenewed:
		return m.onLeaseRenewed(now, in)
	case LeaderKeyRewritten:
		return m.onLeaderKeyRewritten(in)
	case LeadershipLost:
		m.stepDown(now)
	case AdvanceEpoch:
		return m.advanceEpoch(now)
	case Resign:
		return m.onResign(now, in)
	case HeartbeatWritten:
		return m.onHeartbeatWritten(now, in)
	case ReplicaState:
		m.replicaReady = in.Ready
	}
	return nil
}

func (m *Elector) leaseDeadlineFrom(sent clock.Instant) clock.Instant {
	life := time.Duration(float64(m.timing.LeaseTTL) * (1 - 2*maxClockDrift))
	return sent.Add(life - leaseMargin)
}

func (m *Elector) onTick(now clock.Instant) []Effect {
	if m.role == roleLeader {
		return m.onLeaderTick(now)
	}
	if m.requestPending || now.Before(m.nextPoll) {
		return nil
	}
	m.requestPending = true
	return []Effect{ReadLeaderKeys{}}
}

func (m *Elector) onLeaderTick(now clock.Instant) []Effect {
	effects := m.heartbeatIfDue(now)
	if m.renewPending || now.Before(m.nextRenew) {
		return effects
	}
	m.renewPending = true
	return append(effects, RenewLease{LeaseID: m.leaseID})
}

// schedulePoll sets the time of the next look, jittered so that nodes that
// started together do not stay together.
func (m *Elector) schedulePoll(now clock.Instant) {
	jitter := 0.7 + 0.6*m.rng.Float64()
	poll := m.timing.PollInterval
	if m.timing.Heartbeat.enabled() {
		poll = min(poll, m.timing.Heartbeat.PollInterval)
	}
	m.nextPoll = now.Add(time.Duration(float64(poll) * jitter))
}

func (m *Elector) onLeaderKeysRead(now clock.Instant, in LeaderKeysRead) []Effect {
	m.requestPending = false
	m.schedulePoll(now)
	if m.role == roleLeader {
		return nil
	}
	if !in.OK {
		m.blockReason = LeaderKeysUnreadable
		return nil
	}
	m.observed, m.observedEpoch = in.Leader, in.Epoch
	m.detector.observe(now, in)
	if m.role == roleAcquiring && in.Epoch != 0 && in.Leader == m.ownRecord {
		// The answer to the acquisition was lost, but it was executed.
		m.becomeLeader(now, in.Epoch)
		return nil
	}
	m.failingOver = false
	if !m.canCampaign(now) {
		if !m.leaderFailed(now) {
			m.updateBlockReason(now)
			return nil
		}
		m.failingOver = true
	}
	m.role, m.requestPending = roleRequestingLease, true
	return []Effect{GrantLease{TTL: m.timing.LeaseTTL}}
}

// canCampaign tells whether the key is free for this node: it is absent, or it
// names this same node. Then an earlier process of it set the key, which is
// surely dead, or a leader that handed over to it; the guard on the stamp keeps
// the change from hitting anybody else's key.
func (m *Elector) canCampaign(now clock.Instant) bool {
	// A key handed over to this node is taken even while it rests from one
	// that it gave up: else it stays without a leader.
	return m.observedEpoch == 0 && !now.Before(m.cooldownUntil) || m.observedEpoch != 0 && m.observed.Node == m.node
}

func (m *Elector) onLeaseGranted(now clock.Instant, in LeaseGranted) []Effect {
	m.requestPending = false
	if m.role != roleRequestingLease {
		return nil
	}
	if !in.OK {
		m.role = roleFollower
		return nil
	}
	m.leaseID = in.LeaseID
	m.leaseDeadline = m.leaseDeadlineFrom(in.SentAt)
	m.ownRecord = LeaderRecord{Node: m.node, Nonce: m.newNonce()}
	m.role, m.requestPending = roleAcquiring, true
	m.acquireSentAt = now
	acquire := AcquireLeaderKey{PrevEpoch: m.observedEpoch, Leader: m.ownRecord, LeaseID: m.leaseID, Heartbeat: m.newHeartbeat()}
	if m.failingOver {
		acquire.ExpectedHeartbeatRevision = m.detector.heartbeatRevision
	}
	return []Effect{acquire}
}

func (m *Elector) newNonce() string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b [16]byte
	for i := range b {
		b[i] = digits[m.rng.IntN(len(digits))]
	}
	return string(b[:])
}

func (m *Elector) onAcquired(now clock.Instant, in LeaderKeyAcquired) []Effect {
	m.requestPending = false
	if m.role != roleAcquiring {
		return nil
	}
	switch in.Outcome {
	case OutcomeOK:
		m.becomeLeader(now, in.Epoch)
	case OutcomeUnknown:
		// Read the key back at once: its value names this attempt if it was
		// executed. Should it be executed later still, a later look finds it.
		m.nextPoll = now
	default:
		m.role = roleFollower
		if m.failingOver {
			m.blockReason = FailoverConflict
		}
		m.schedulePoll(now)
		return []Effect{RevokeLease{LeaseID: m.leaseID}}
	}
	return nil
}

func (m *Elector) becomeLeader(now clock.Instant, epoch ident.Epoch) {
	m.role, m.epoch = roleLeader, epoch
	m.observed, m.observedEpoch = m.ownRecord, epoch
	m.renewPending, m.advancePending = false, false
	m.nextRenew = now
	m.heartbeatDeadline = m.heartbeatDeadlineFrom(m.acquireSentAt)
	m.nextHeartbeat = m.acquireSentAt.Add(m.timing.Heartbeat.Interval)
	m.heartbeatsInFlight, m.blockReason = 0, NotBlocked
}

func (m *Elector) onLeaseRenewed(now clock.Instant, in LeaseRenewed) []Effect {
	if m.role != roleLeader || in.LeaseID != m.leaseID {
		return nil // of an earlier term, whose lease was another
	}
	m.renewPending = false
	switch in.Outcome {
	case OutcomeOK:
		// Also right after the deadline: the key was bound to the lease all
		// along, so nobody else can have set it in between.
		m.leaseDeadline = max(m.leaseDeadline, m.leaseDeadlineFrom(in.SentAt))
		m.nextRenew = in.SentAt.Add(m.timing.RenewInterval)
	case OutcomeGone:
		m.stepDown(now)
	default:
		m.nextRenew = now.Add(renewRetryDelay)
	}
	return nil
}

func (m *Elector) stepDown(now clock.Instant) {
	if m.role != roleLeader {
		return
	}
	m.role, m.epoch, m.advancePending, m.requestPending = roleFollower, 0, false, false
	m.observed, m.observedEpoch = LeaderRecord{}, 0
	m.detector = failureDetector{}
	m.nextPoll = now
}

func (m *Elector) advanceEpoch(now clock.Instant) []Effect {
	if !m.LeaseValid(now) || m.advancePending {
		return nil
	}
	m.advancePending, m.advanceSentAt = true, now
	return []Effect{RewriteLeaderKey{PrevEpoch: m.epoch, Leader: m.ownRecord, LeaseID: m.leaseID, Heartbeat: m.newHeartbeat()}}
}

func (m *Elector) onLeaderKeyRewritten(in LeaderKeyRewritten) []Effect {
	if m.role != roleLeader || in.PrevEpoch != m.epoch {
		return nil
	}
	switch in.Outcome {
	case OutcomeOK:
		m.advancePending, m.epoch, m.observedEpoch = false, in.Epoch, in.Epoch
		m.heartbeatDeadline = max(m.heartbeatDeadline, m.heartbeatDeadlineFrom(m.advanceSentAt))
	case OutcomeRefused:
		m.advancePending = false
	}
	// Unknown and Gone: the caller reads the key back and reports
	// TokenSet or Deposed; until then the writes wait.
	return nil
}

func (m *Elector) onResign(now clock.Instant, in Resign) []Effect {
	if m.role != roleLeader {
		return nil
	}
	epoch := m.epoch
	m.stepDown(now)
	m.cooldownUntil = now.Add(in.Cooldown)
	m.schedulePoll(now)
	if in.Transferee != "" {
		return []Effect{TransferLeadership{PrevEpoch: epoch, Transferee: LeaderRecord{Node: in.Transferee, Nonce: m.newNonce()}, LeaseID: m.leaseID}}
	}
	return []Effect{RevokeLease{LeaseID: m.leaseID}}
}
