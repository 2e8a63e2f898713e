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
		n.post(ctx, Lead{n.readLeaderKeys(ctx)})
	case leadership.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.Grant(ctx, e.Life)
		n.post(ctx, Lead{leadership.Granted{OK: n.note(err) == nil, Tenure: tenure, Sent: sent}})
	case leadership.Renew:
		sent := n.clock.Now()
		err := n.note(n.store.Extend(ctx, e.Tenure))
		n.post(ctx, Lead{leadership.Renewed{Tenure: e.Tenure, Outcome: outcomeOf(err), Sent: sent}})
	case leadership.Acquire:
		v, err := n.store.Commit(ctx, acquireTxn(e))
		n.post(ctx, Lead{leadership.Acquired{Outcome: outcomeOf(n.note(err)), Epoch: unit.Epoch(v)}})
	case leadership.SetToken:
		n.setToken(ctx, e)
	case leadership.HandOver:
		_, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
		if n.note(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.note(n.store.Revoke(ctx, e.Tenure))
		}
	case leadership.Beat:
		sent := n.clock.Now()
		_, err := n.store.Commit(ctx, heartbeatTxn(e))
		n.post(ctx, Lead{leadership.Beaten{Epoch: e.Epoch, Outcome: heartbeatOutcome(n.note(err)), Sent: sent}})
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

// acquireTxn sets the leader key, with the first heartbeat if there is one. If the
// key is taken from a silent leader, its heartbeat must still be the one that was
// seen to be silent.
func acquireTxn(e leadership.Acquire) statestore.Txn {
	txn := withHeartbeat(holderTxn(e.Prev, e.Holder, e.Tenure), e.Heartbeat)
	if e.Silent != 0 {
		txn.Guards = append(txn.Guards, statestore.Guard{Key: leadership.HeartbeatKey, Stamp: e.Silent})
	}
	return txn
}

func tokenTxn(e leadership.SetToken) statestore.Txn {
	return withHeartbeat(holderTxn(e.Prev, e.Holder, e.Tenure), e.Heartbeat)
}

func heartbeatTxn(e leadership.Beat) statestore.Txn {
	guard := statestore.Guard{Key: leadership.Key, Stamp: unit.Version(e.Epoch)}
	return withHeartbeat(statestore.Txn{Guards: []statestore.Guard{guard}}, &e.Heartbeat)
}

func withHeartbeat(t statestore.Txn, beat *leadership.Heartbeat) statestore.Txn {
	if beat != nil {
		t.Writes = append(t.Writes, statestore.Write{Set: leadership.HeartbeatKey, Value: *beat})
	}
	return t
}

// heartbeatOutcome sorts an error of a heartbeat. Its only guard is the leader key:
// a conflict means that it is not this leader's any more.
func heartbeatOutcome(err error) leadership.Outcome {
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return leadership.Gone
	}
	return outcomeOf(err)
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
	in, err := decodeLeaderKeys(items)
	if err != nil {
		n.log.Error("leader's keys can't be read", "err", err)
	}
	return in
}

// decodeLeaderKeys reads the values of the keys. A heartbeat that can't be read is
// taken for none: then only the lease counts.
func decodeLeaderKeys(items []statestore.Item) (leadership.KeyRead, error) {
	in := leadership.KeyRead{OK: true}
	for _, item := range items {
		switch item.Key {
		case leadership.Key:
			if err := msgpack.Unmarshal(item.Value, &in.Holder); err != nil {
				return leadership.KeyRead{}, fmt.Errorf("leader key: %w", err)
			}
			in.Stamp = unit.Epoch(item.Stamp)
		case leadership.HeartbeatKey:
			if err := msgpack.Unmarshal(item.Value, &in.Heartbeat); err != nil {
				in.Heartbeat = leadership.Heartbeat{}
				continue
			}
			in.HeartbeatStamp = item.Stamp
		}
	}
	return in, nil
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
	v, err := n.store.Commit(ctx, tokenTxn(e))
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
