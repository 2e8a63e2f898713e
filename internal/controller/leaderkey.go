package controller

import (
	"context"

	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

func (n *Node) doLead(ctx context.Context, e leadership.Effect) {
	switch e := e.(type) {
	case leadership.ReadKey:
		n.post(ctx, Lead{In: n.readLeaderKeys(ctx)})
	case leadership.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.Grant(ctx, e.Life)
		n.post(ctx, Lead{In: leadership.Granted{OK: n.note(err) == nil, Tenure: tenure, Sent: sent}})
	case leadership.Renew:
		sent := n.clock.Now()
		err := n.note(n.store.Extend(ctx, e.Tenure))
		n.post(ctx, Lead{In: leadership.Renewed{Tenure: e.Tenure, Outcome: leadership.OutcomeOf(err), Sent: sent}})
	case leadership.Acquire:
		v, err := n.store.Commit(ctx, e.Txn())
		n.post(ctx, Lead{In: leadership.Acquired{Outcome: leadership.OutcomeOf(n.note(err)), Epoch: unit.Epoch(v)}})
	case leadership.SetToken:
		n.setToken(ctx, e)
	case leadership.HandOver:
		_, err := n.store.Commit(ctx, e.Txn())
		if n.note(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.note(n.store.Revoke(ctx, e.Tenure))
		}
	case leadership.Beat:
		sent := n.clock.Now()
		_, err := n.store.Commit(ctx, e.Txn())
		n.post(ctx, Lead{In: leadership.Beaten{Epoch: e.Epoch, Outcome: leadership.HeartbeatOutcomeOf(n.note(err)), Sent: sent}})
	case leadership.Release:
		n.note(n.store.Revoke(ctx, e.Tenure))
	}
}

// readLeaderKeys looks at the leader key, and at the heartbeat if there is a warm
// standby; one request reads both.
func (n *Node) readLeaderKeys(ctx context.Context) leadership.KeyRead {
	if n.pol.Features.WarmStandby == nil {
		h, stamp, err := n.readLeader(ctx)
		return leadership.KeyRead{OK: err == nil, Holder: h, Stamp: stamp}
	}
	items, _, err := n.store.List(ctx, leadership.Key)
	if n.note(err) != nil {
		return leadership.KeyRead{}
	}
	in, err := leadership.DecodeKeys(items)
	if err != nil {
		n.log.Error("leader's keys can't be read", "err", err)
	}
	return in
}

func (n *Node) readLeader(ctx context.Context) (leadership.Holder, unit.Epoch, error) {
	item, err := n.store.Get(ctx, leadership.Key)
	if n.note(err) != nil {
		return leadership.Holder{}, 0, err
	}
	h, err := leadership.DecodeHolder(item)
	if err != nil {
		return leadership.Holder{}, 0, err
	}
	return h, unit.Epoch(item.Stamp), nil
}

// setToken raises the token and settles the outcome by reading the key back: the
// writes of the leader wait until it is known.
func (n *Node) setToken(ctx context.Context, e leadership.SetToken) {
	v, err := n.store.Commit(ctx, e.Txn())
	out := leadership.OutcomeOf(n.note(err))
	for out != leadership.OK {
		if !n.pause(ctx, retryUnsure) {
			return
		}
		h, stamp, err := n.readLeader(ctx)
		switch {
		case err != nil:
			if n.view.Load().epoch != e.Prev {
				return
			}
			continue
		case h != e.Holder:
			n.post(ctx, Lead{In: leadership.Deposed{}})
			return
		case stamp > e.Prev:
			out, v = leadership.OK, unit.Version(stamp)
		default:
			n.post(ctx, Lead{In: leadership.TokenSet{Prev: e.Prev, Outcome: leadership.Refused}})
			return
		}
	}
	n.post(ctx, Lead{In: leadership.TokenSet{Prev: e.Prev, Outcome: leadership.OK, Epoch: unit.Epoch(v)}})
}
