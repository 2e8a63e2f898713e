package election

import (
	"time"

	"badgerbay/internal/clock"
)

const (
	renewRetryDelay = 700 * time.Millisecond
	// leaseMargin is how long before the end of its lease a leader stops acting, to allow for timers that fire late.
	leaseMargin = 300 * time.Millisecond
	// maxClockDrift is the fraction of an interval by which two monotonic clocks may differ in measuring it.
	maxClockDrift = 0.0005
)

// leaseDeadlineFrom returns the time until which a successful grant or renewal of the lease that was requested at the
// given time entitles this node to act as leader.
func (e *Elector) leaseDeadlineFrom(sent clock.Instant) clock.Instant {
	return validUntil(sent, e.timing.LeaseTTL)
}

// validUntil returns the time until which the holder may rely on a grant with the given TTL, counted from the time at
// which the request was sent. Clock drift and leaseMargin are subtracted.
func validUntil(sent clock.Instant, ttl time.Duration) clock.Instant {
	minTTL := time.Duration(float64(ttl) * (1 - 2*maxClockDrift))
	return sent.Add(minTTL - leaseMargin)
}

func (e *Elector) renewIfDue(now clock.Instant) []Effect {
	if e.renewPending || now.Before(e.nextRenew) {
		return nil
	}
	e.renewPending = true
	return []Effect{RenewLease{LeaseID: e.leaseID}}
}

func (e *Elector) onLeaseRenewed(now clock.Instant, in LeaseRenewed) {
	if e.role != roleLeader || in.LeaseID != e.leaseID {
		return // the response belongs to an earlier term, which had a different lease
	}
	e.renewPending = false
	switch in.Outcome {
	case OutcomeOK:
		// This also holds right after the deadline: the leader key was bound to the lease throughout, so no other node
		// can have set it in the meantime.
		e.leaseDeadline = max(e.leaseDeadline, e.leaseDeadlineFrom(in.SentAt))
		e.nextRenew = in.SentAt.Add(e.timing.RenewInterval)
	case OutcomeGone:
		e.stepDown(now)
	default:
		e.nextRenew = now.Add(renewRetryDelay)
	}
}

func (e *Elector) advanceEpoch(now clock.Instant) []Effect {
	if !e.LeaseValid(now) || e.advancePending {
		return nil
	}
	e.advancePending, e.advanceSentAt = true, now
	return []Effect{RewriteLeaderKey{PrevEpoch: e.epoch, Leader: e.ownRecord, LeaseID: e.leaseID, Heartbeat: e.newHeartbeat()}}
}

func (e *Elector) onLeaderKeyRewritten(in LeaderKeyRewritten) {
	if e.role != roleLeader || in.PrevEpoch != e.epoch {
		return
	}
	switch in.Outcome {
	case OutcomeOK:
		e.advancePending, e.epoch, e.observedEpoch = false, in.Epoch, in.Epoch
		e.heartbeatDeadline = max(e.heartbeatDeadline, e.heartbeatDeadlineFrom(e.advanceSentAt))
	case OutcomeRefused:
		e.advancePending = false
	}
	// After OutcomeUnknown and OutcomeGone the caller reads the key back and passes LeaderKeyRewritten or
	// LeadershipLost; until then the leader holds back its writes.
}

func (e *Elector) onResign(now clock.Instant, in Resign) []Effect {
	if e.role != roleLeader {
		return nil
	}
	epoch := e.epoch
	e.stepDown(now)
	e.cooldownUntil = now.Add(in.Cooldown)
	e.schedulePoll(now)
	if in.Transferee == "" {
		return []Effect{RevokeLease{LeaseID: e.leaseID}}
	}
	transferee := LeaderRecord{Node: in.Transferee, Nonce: e.newNonce()}
	return []Effect{TransferLeadership{PrevEpoch: epoch, Transferee: transferee, LeaseID: e.leaseID}}
}

// stepDown returns a leader that has lost or resigned its leadership to the follower role.
func (e *Elector) stepDown(now clock.Instant) {
	if e.role != roleLeader {
		return
	}
	e.role, e.epoch, e.advancePending, e.requestPending = roleFollower, 0, false, false
	e.observed, e.observedEpoch = LeaderRecord{}, 0
	e.detector = failureDetector{}
	e.nextPoll = now
}
