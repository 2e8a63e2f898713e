package election

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// onLeaderKeysRead starts a campaign if this node may write the leader key or if the leader has failed.
func (e *Elector) onLeaderKeysRead(now clock.Instant, in LeaderKeysRead) []Effect {
	e.requestPending = false
	e.schedulePoll(now)
	if e.role == roleLeader {
		return nil
	}
	if !in.OK {
		e.blockReason = LeaderKeysUnreadable
		return nil
	}
	e.observed, e.observedEpoch = in.Leader, in.Epoch
	e.detector.observe(now, in)
	if e.role == roleAcquiring && in.Epoch != 0 && in.Leader == e.ownRecord {
		// The acquisition was executed, but its response was lost.
		e.becomeLeader(now, in.Epoch)
		return nil
	}
	free := e.leaderKeyFree(now)
	e.failingOver = !free && e.leaderFailed(now)
	if !free && !e.failingOver {
		e.updateBlockReason(now)
		return nil
	}
	e.role, e.requestPending = roleRequestingLease, true
	return []Effect{GrantLease{TTL: e.timing.LeaseTTL}}
}

// leaderKeyFree reports whether this node may write the leader key without replacing another leader: the key is absent
// or names this node. A key that names this node was written either by an earlier process of this node, which has
// certainly ended, or by a leader that transferred its leadership to this node. The condition on the epoch keeps the
// write from replacing any other record.
func (e *Elector) leaderKeyFree(now clock.Instant) bool {
	if e.observedEpoch == 0 {
		return !now.Before(e.cooldownUntil)
	}
	// The cooldown after a resignation does not apply here: otherwise a leader key that was transferred to this node
	// during the cooldown would have no active leader.
	return e.observed.Node == e.node
}

func (e *Elector) onLeaseGranted(now clock.Instant, in LeaseGranted) []Effect {
	e.requestPending = false
	if e.role != roleRequestingLease {
		return nil
	}
	if !in.OK {
		e.role = roleFollower
		return nil
	}
	e.leaseID = in.LeaseID
	e.leaseDeadline = e.leaseDeadlineFrom(in.SentAt)
	e.ownRecord = LeaderRecord{Node: e.node, Nonce: e.newNonce()}
	e.role, e.requestPending = roleAcquiring, true
	e.acquireSentAt = now
	acquire := AcquireLeaderKey{PrevEpoch: e.observedEpoch, Leader: e.ownRecord, LeaseID: e.leaseID, Heartbeat: e.newHeartbeat()}
	if e.failingOver {
		acquire.ExpectedHeartbeatRevision = e.detector.heartbeatRevision
	}
	return []Effect{acquire}
}

const (
	nonceDigits = "0123456789abcdefghijklmnopqrstuvwxyz"
	nonceLength = 16
)

func (e *Elector) newNonce() string {
	var nonce [nonceLength]byte
	for i := range nonce {
		nonce[i] = nonceDigits[e.rng.IntN(len(nonceDigits))]
	}
	return string(nonce[:])
}

func (e *Elector) onAcquired(now clock.Instant, in LeaderKeyAcquired) []Effect {
	e.requestPending = false
	if e.role != roleAcquiring {
		return nil
	}
	switch in.Outcome {
	case OutcomeOK:
		e.becomeLeader(now, in.Epoch)
	case OutcomeUnknown:
		// Read the key back immediately: its value holds the nonce of this attempt if the attempt was executed. If
		// the attempt is executed after that read, a later read finds it.
		e.nextPoll = now
	default:
		e.role = roleFollower
		if e.failingOver {
			e.blockReason = FailoverConflict
		}
		e.schedulePoll(now)
		return []Effect{RevokeLease{LeaseID: e.leaseID}}
	}
	return nil
}

func (e *Elector) becomeLeader(now clock.Instant, epoch ident.Epoch) {
	e.role, e.epoch = roleLeader, epoch
	e.observed, e.observedEpoch = e.ownRecord, epoch
	e.renewPending, e.advancePending = false, false
	e.nextRenew = now
	e.heartbeatDeadline = e.heartbeatDeadlineFrom(e.acquireSentAt)
	e.nextHeartbeat = e.acquireSentAt.Add(e.timing.Heartbeat.Interval)
	e.heartbeatsInFlight, e.blockReason = 0, NotBlocked
}
