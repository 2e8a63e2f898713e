package controller

import (
	"context"

	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

func (n *Node) doLead(ctx context.Context, e leadership.Effect) {
	switch e := e.(type) {
	case leadership.ReadLeaderKeys:
		n.post(ctx, ElectionInput{Input: n.readLeaderKeys(ctx)})
	case leadership.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.GrantLease(ctx, e.TTL)
		n.post(ctx, ElectionInput{Input: leadership.LeaseGranted{OK: n.note(err) == nil, LeaseID: tenure, SentAt: sent}})
	case leadership.RenewLease:
		sent := n.clock.Now()
		err := n.note(n.store.RenewLease(ctx, e.LeaseID))
		n.post(ctx, ElectionInput{Input: leadership.LeaseRenewed{LeaseID: e.LeaseID, Outcome: leadership.OutcomeOf(err), SentAt: sent}})
	case leadership.AcquireLeaderKey:
		v, err := n.store.Commit(ctx, e.Txn())
		n.post(ctx, ElectionInput{Input: leadership.LeaderKeyAcquired{Outcome: leadership.OutcomeOf(n.note(err)), Epoch: unit.Epoch(v)}})
	case leadership.RewriteLeaderKey:
		n.setToken(ctx, e)
	case leadership.TransferLeadership:
		_, err := n.store.Commit(ctx, e.Txn())
		if n.note(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.note(n.store.RevokeLease(ctx, e.LeaseID))
		}
	case leadership.WriteHeartbeat:
		sent := n.clock.Now()
		_, err := n.store.Commit(ctx, e.Txn())
		n.post(ctx, ElectionInput{Input: leadership.HeartbeatWritten{Epoch: e.Epoch, Outcome: leadership.HeartbeatOutcomeOf(n.note(err)), SentAt: sent}})
	case leadership.RevokeLease:
		n.note(n.store.RevokeLease(ctx, e.LeaseID))
	}
}

// readLeaderKeys looks at the leader key, and at the heartbeat if there is a warm
// standby; one request reads both.
func (n *Node) readLeaderKeys(ctx context.Context) leadership.LeaderKeysRead {
	if n.pol.Features.WarmStandby == nil {
		h, stamp, err := n.readLeader(ctx)
		return leadership.LeaderKeysRead{OK: err == nil, Leader: h, Epoch: stamp}
	}
	items, _, err := n.store.List(ctx, leadership.LeaderKey)
	if n.note(err) != nil {
		return leadership.LeaderKeysRead{}
	}
	in, err := leadership.DecodeKeys(items)
	if err != nil {
		n.log.Error("leader's keys can't be read", "err", err)
	}
	return in
}

func (n *Node) readLeader(ctx context.Context) (leadership.LeaderRecord, unit.Epoch, error) {
	item, err := n.store.Get(ctx, leadership.LeaderKey)
	if n.note(err) != nil {
		return leadership.LeaderRecord{}, 0, err
	}
	h, err := leadership.DecodeHolder(item)
	if err != nil {
		return leadership.LeaderRecord{}, 0, err
	}
	return h, unit.Epoch(item.ModRevision), nil
}

// setToken raises the token and settles the outcome by reading the key back: the
// writes of the leader wait until it is known.
func (n *Node) setToken(ctx context.Context, e leadership.RewriteLeaderKey) {
	v, err := n.store.Commit(ctx, e.Txn())
	out := leadership.OutcomeOf(n.note(err))
	for out != leadership.OutcomeOK {
		if !n.pause(ctx, retryUnsure) {
			return
		}
		h, stamp, err := n.readLeader(ctx)
		switch {
		case err != nil:
			if n.view.Load().epoch != e.PrevEpoch {
				return
			}
			continue
		case h != e.Leader:
			n.post(ctx, ElectionInput{Input: leadership.LeadershipLost{}})
			return
		case stamp > e.PrevEpoch:
			out, v = leadership.OutcomeOK, unit.Revision(stamp)
		default:
			n.post(ctx, ElectionInput{Input: leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeRefused}})
			return
		}
	}
	n.post(ctx, ElectionInput{Input: leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeOK, Epoch: unit.Epoch(v)}})
}
