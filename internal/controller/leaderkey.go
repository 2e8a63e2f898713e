package controller

import (
	"context"

	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

func (n *Node) executeElection(ctx context.Context, e leadership.Effect) {
	switch e := e.(type) {
	case leadership.ReadLeaderKeys:
		n.enqueue(ctx, ElectionInput{Input: n.readLeaderKeys(ctx)})
	case leadership.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.GrantLease(ctx, e.TTL)
		n.enqueue(ctx, ElectionInput{Input: leadership.LeaseGranted{OK: n.noteStoreResult(err) == nil, LeaseID: tenure, SentAt: sent}})
	case leadership.RenewLease:
		sent := n.clock.Now()
		err := n.noteStoreResult(n.store.RenewLease(ctx, e.LeaseID))
		n.enqueue(ctx, ElectionInput{Input: leadership.LeaseRenewed{LeaseID: e.LeaseID, Outcome: leadership.OutcomeOf(err), SentAt: sent}})
	case leadership.AcquireLeaderKey:
		v, err := n.store.Commit(ctx, e.Txn())
		n.enqueue(ctx, ElectionInput{Input: leadership.LeaderKeyAcquired{Outcome: leadership.OutcomeOf(n.noteStoreResult(err)), Epoch: unit.Epoch(v)}})
	case leadership.RewriteLeaderKey:
		n.advanceEpoch(ctx, e)
	case leadership.TransferLeadership:
		_, err := n.store.Commit(ctx, e.Txn())
		if n.noteStoreResult(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.noteStoreResult(n.store.RevokeLease(ctx, e.LeaseID))
		}
	case leadership.WriteHeartbeat:
		sent := n.clock.Now()
		_, err := n.store.Commit(ctx, e.Txn())
		n.enqueue(ctx, ElectionInput{Input: leadership.HeartbeatWritten{Epoch: e.Epoch, Outcome: leadership.HeartbeatOutcomeOf(n.noteStoreResult(err)), SentAt: sent}})
	case leadership.RevokeLease:
		n.noteStoreResult(n.store.RevokeLease(ctx, e.LeaseID))
	}
}

// readLeaderKeys looks at the leader key, and at the heartbeat if there is a warm
// standby; one request reads both.
func (n *Node) readLeaderKeys(ctx context.Context) leadership.LeaderKeysRead {
	if n.policy.Features.WarmStandby == nil {
		h, stamp, err := n.readLeaderKey(ctx)
		return leadership.LeaderKeysRead{OK: err == nil, Leader: h, Epoch: stamp}
	}
	items, _, err := n.store.List(ctx, leadership.LeaderKey)
	if n.noteStoreResult(err) != nil {
		return leadership.LeaderKeysRead{}
	}
	in, err := leadership.DecodeKeys(items)
	if err != nil {
		n.log.Error("leader's keys can't be read", "err", err)
	}
	return in
}

func (n *Node) readLeaderKey(ctx context.Context) (leadership.LeaderRecord, unit.Epoch, error) {
	item, err := n.store.Get(ctx, leadership.LeaderKey)
	if n.noteStoreResult(err) != nil {
		return leadership.LeaderRecord{}, 0, err
	}
	h, err := leadership.DecodeHolder(item)
	if err != nil {
		return leadership.LeaderRecord{}, 0, err
	}
	return h, unit.Epoch(item.ModRevision), nil
}

// advanceEpoch raises the token and settles the outcome by reading the key back: the
// writes of the leader wait until it is known.
func (n *Node) advanceEpoch(ctx context.Context, e leadership.RewriteLeaderKey) {
	v, err := n.store.Commit(ctx, e.Txn())
	out := leadership.OutcomeOf(n.noteStoreResult(err))
	for out != leadership.OutcomeOK {
		if !n.sleep(ctx, uncertainRetryInterval) {
			return
		}
		h, stamp, err := n.readLeaderKey(ctx)
		switch {
		case err != nil:
			if n.view.Load().epoch != e.PrevEpoch {
				return
			}
			continue
		case h != e.Leader:
			n.enqueue(ctx, ElectionInput{Input: leadership.LeadershipLost{}})
			return
		case stamp > e.PrevEpoch:
			out, v = leadership.OutcomeOK, unit.Revision(stamp)
		default:
			n.enqueue(ctx, ElectionInput{Input: leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeRefused}})
			return
		}
	}
	n.enqueue(ctx, ElectionInput{Input: leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeOK, Epoch: unit.Epoch(v)}})
}
