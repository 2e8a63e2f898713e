package controller

import (
	"context"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/leadership"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

func (n *Node) doLead(ctx context.Context, e leadership.Effect) {
	switch e := e.(type) {
	case leadership.ReadKey:
		h, stamp, err := n.readLeader(ctx)
		n.post(ctx, Lead{leadership.KeyRead{OK: err == nil, Holder: h, Stamp: stamp}})
	case leadership.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.Grant(ctx, e.Life)
		n.post(ctx, Lead{leadership.Granted{OK: n.note(err) == nil, Tenure: tenure, Sent: sent}})
	case leadership.Renew:
		sent := n.clock.Now()
		err := n.note(n.store.Extend(ctx, e.Tenure))
		n.post(ctx, Lead{leadership.Renewed{Tenure: e.Tenure, Outcome: outcomeOf(err), Sent: sent}})
	case leadership.Acquire:
		v, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
		n.post(ctx, Lead{leadership.Acquired{Outcome: outcomeOf(n.note(err)), Epoch: unit.Epoch(v)}})
	case leadership.SetToken:
		n.setToken(ctx, e)
	case leadership.HandOver:
		_, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
		if n.note(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.note(n.store.Revoke(ctx, e.Tenure))
		}
	case leadership.Release:
		n.note(n.store.Revoke(ctx, e.Tenure))
	}
}

func holderTxn(prev unit.Epoch, h leadership.Holder, t unit.Tenure) statestore.Txn {
	return statestore.Txn{
		Guards: []statestore.Guard{{Key: leadership.Key, Stamp: unit.Version(prev)}},
		Writes: []statestore.Write{{Set: leadership.Key, Value: h, Tenure: t}},
	}
}

func (n *Node) readLeader(ctx context.Context) (leadership.Holder, unit.Epoch, error) {
	item, err := n.store.Get(ctx, leadership.Key)
	if n.note(err) != nil || item.Stamp == 0 {
		return leadership.Holder{}, 0, err
	}
	var h leadership.Holder
	if err := msgpack.Unmarshal(item.Value, &h); err != nil {
		return h, 0, fmt.Errorf("leader key: %w", err)
	}
	return h, unit.Epoch(item.Stamp), nil
}

// setToken raises the token and settles the outcome by reading the key back: the
// writes of the leader wait until it is known.
func (n *Node) setToken(ctx context.Context, e leadership.SetToken) {
	v, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
	out := outcomeOf(n.note(err))
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
			n.post(ctx, Lead{leadership.Deposed{}})
			return
		case stamp > e.Prev:
			out, v = leadership.OK, unit.Version(stamp)
		default:
			n.post(ctx, Lead{leadership.TokenSet{Prev: e.Prev, Outcome: leadership.Refused}})
			return
		}
	}
	n.post(ctx, Lead{leadership.TokenSet{Prev: e.Prev, Outcome: leadership.OK, Epoch: unit.Epoch(v)}})
}

// outcomeOf sorts an error of the state service for the leadership machine.
func outcomeOf(err error) leadership.Outcome {
	switch {
	case err == nil:
		return leadership.OK
	case errors.Is(err, statestore.ErrNoLease):
		return leadership.Gone
	case errors.Is(err, statestore.ErrUncertain):
		return leadership.Unknown
	}
	return leadership.Refused
}
