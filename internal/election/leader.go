package election

import (
	"time"

	"badgerbay/internal/clock"
)

const (
	renewRetryDelay = 700 * time.Millisecond
	// leaseMargin is how long before the end of its lease a leader stops acting, for
	// timers that fire late.
	leaseMargin = 300 * time.Millisecond
	// maxClockDrift is by which part of a time two steady clocks may differ.
	maxClockDrift = 0.0005
)

// leaseDeadlineFrom is until when a request for the lease that was sent at an instant, and
// was granted, lets this node act.
func (e *Elector) leaseDeadlineFrom(sent clock.Instant) clock.Instant {
	return validUntil(sent, e.timing.LeaseTTL)
}

// validUntil is until when its holder may rely on what it was granted for ttl, counted from
// when the request left.
func validUntil(sent clock.Instant, ttl time.Duration) clock.Instant {
	shortest := time.Duration(float64(ttl) * (1 - 2*maxClockDrift))
	return sent.Add(shortest - leaseMargin)
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
		return // of an earlier term, whose lease was another
	}
	e.renewPending = false
	switch in.Outcome {
	case OutcomeOK:
		// Also right after the deadline: the key was bound to the lease all
		// along, so nobody else can have set it in between.
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
	// OutcomeUnknown and OutcomeGone: the caller reads the key back and passes
	// LeaderKeyRewritten or LeadershipLost; until then the leader's writes wait.
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

// stepDown makes a follower of a leader that has lost the leader key or gives it up.
func (e *Elector) stepDown(now clock.Instant) {
	if e.role != roleLeader {
		return
	}
	e.role, e.epoch, e.advancePending, e.requestPending = roleFollower, 0, false, false
	e.observed, e.observedEpoch = LeaderRecord{}, 0
	e.detector = failureDetector{}
	e.nextPoll = now
}
