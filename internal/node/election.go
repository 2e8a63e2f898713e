package node

import (
	"context"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"badgerbay/internal/election"
)

func (n *Node) executeElection(ctx context.Context, e election.Effect) {
	switch e := e.(type) {
	case election.ReadLeaderKeys:
		n.enqueue(ctx, controller.ElectionInput{Input: n.readLeaderKeys(ctx)})
	case election.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.GrantLease(ctx, e.TTL)
		n.enqueue(ctx, controller.ElectionInput{Input: election.LeaseGranted{OK: n.noteStoreResult(err) == nil, LeaseID: tenure, SentAt: sent}})
	case election.RenewLease:
		sent := n.clock.Now()
		err := n.noteStoreResult(n.store.RenewLease(ctx, e.LeaseID))
		n.enqueue(ctx, controller.ElectionInput{Input: election.LeaseRenewed{LeaseID: e.LeaseID, Outcome: election.OutcomeOf(err), SentAt: sent}})
	case election.AcquireLeaderKey:
		v, err := n.store.Commit(ctx, e.Txn())
		n.enqueue(ctx, controller.ElectionInput{Input: election.LeaderKeyAcquired{Outcome: election.OutcomeOf(n.noteStoreResult(err)), Epoch: ident.Epoch(v)}})
	case election.RewriteLeaderKey:
		n.advanceEpoch(ctx, e)
	case election.TransferLeadership:
		_, err := n.store.Commit(ctx, e.Txn())
		if n.noteStoreResult(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.noteStoreResult(n.store.RevokeLease(ctx, e.LeaseID))
		}
	case election.WriteHeartbeat:
		sent := n.clock.Now()
		_, err := n.store.Commit(ctx, e.Txn())
		n.enqueue(ctx, controller.ElectionInput{Input: election.HeartbeatWritten{Epoch: e.Epoch, Outcome: election.HeartbeatOutcomeOf(n.noteStoreResult(err)), SentAt: sent}})
	case election.RevokeLease:
		n.noteStoreResult(n.store.RevokeLease(ctx, e.LeaseID))
	}
}

// readLeaderKeys looks at the leader key, and at the heartbeat if there is a warm
// standby; one request reads both.
func (n *Node) readLeaderKeys(ctx context.Context) election.LeaderKeysRead {
	if n.policy.Features.WarmStandby == nil {
		h, stamp, err := n.readLeaderKey(ctx)
		return election.LeaderKeysRead{OK: err == nil, Leader: h, Epoch: stamp}
	}
	items, _, err := n.store.List(ctx, election.LeaderKey)
	if n.noteStoreResult(err) != nil {
		return election.LeaderKeysRead{}
	}
	in, err := election.DecodeLeaderKeys(items)
	if err != nil {
		n.log.Error("leader's keys can't be read", "err", err)
	}
	return in
}

func (n *Node) readLeaderKey(ctx context.Context) (election.LeaderRecord, ident.Epoch, error) {
	item, err := n.store.Get(ctx, election.LeaderKey)
	if n.noteStoreResult(err) != nil {
		return election.LeaderRecord{}, 0, err
	}
	h, err := election.DecodeLeaderRecord(item)
	if err != nil {
		return election.LeaderRecord{}, 0, err
	}
	return h, ident.Epoch(item.ModRevision), nil
}

// advanceEpoch raises the token and settles the outcome by reading the key back: the
// writes of the leader wait until it is known.
func (n *Node) advanceEpoch(ctx context.Context, e election.RewriteLeaderKey) {
	v, err := n.store.Commit(ctx, e.Txn())
	out := election.OutcomeOf(n.noteStoreResult(err))
	for out != election.OutcomeOK {
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
			n.enqueue(ctx, controller.ElectionInput{Input: election.LeadershipLost{}})
			return
		case stamp > e.PrevEpoch:
			out, v = election.OutcomeOK, ident.Revision(stamp)
		default:
			n.enqueue(ctx, controller.ElectionInput{Input: election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeRefused}})
			return
		}
	}
	n.enqueue(ctx, controller.ElectionInput{Input: election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeOK, Epoch: ident.Epoch(v)}})
}
