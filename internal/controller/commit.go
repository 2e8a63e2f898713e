package controller

import (
	"context"
	"errors"

	"badgerbay/internal/config"
	"badgerbay/internal/leadership"
	"badgerbay/internal/statestore"
)

// commit applies a transaction of the leader and finds out what became of it.
// Without an answer it is sent again: its guards name the versions it changes,
// so it is applied at most once, and a conflict after an unanswered try is
// settled by reading back.
func (n *Node) commit(ctx context.Context, c Commit) {
	unsure := false
	for {
		v, err := n.store.Commit(ctx, c.Txn)
		done := Committed{Kind: c.Kind, Epoch: c.Epoch, Outcome: outcomeOf(n.note(err)), Version: v}
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
		case errors.As(err, &conflict):
			done = n.settle(ctx, c, done, conflict, unsure)
		case errors.Is(err, statestore.ErrUncertain) || unsure:
			unsure = unsure || errors.Is(err, statestore.ErrUncertain)
			if !n.leadsSince(c.Epoch) || !n.pause(ctx, retryUnsure) {
				return
			}
			continue
		case errors.Is(err, statestore.ErrMalformed):
			done.TooLarge = beyond(c.Txn, n.set.Params.State.Tight())
			n.met.TooLarge.Inc()
			key, size := largest(c.Txn)
			n.log.Error("transaction refused", "epoch", c.Epoch, "writes", len(c.Txn.Writes), "largest", key, "bytes", size, "beyond_next", done.TooLarge, "err", err)
		}
		n.post(ctx, done)
		return
	}
}

// largest returns the key of the largest value of a transaction, and its size.
func largest(t statestore.Txn) (string, int) {
	key, size := "", 0
	for _, w := range t.Writes {
		if n := statestore.JSONSize(w.Value); n > size {
			key, size = w.Set, n
		}
	}
	return key, size
}

// beyond tells whether a transaction is larger than the limits allow.
func beyond(t statestore.Txn, limits config.State) bool {
	_, size := largest(t)
	return size > limits.ValueBytes() || len(t.Writes) > limits.TxnOps
}

// settledBy is the key by which it is found out whether a transaction was carried out:
// that of its first change, which its second guard names.
func settledBy(t statestore.Txn) string { return t.Writes[0].Set + t.Writes[0].Remove }

// carriedOut tells by that key whether a transaction of the leader was carried out:
// nobody else changes it, so what has changed was changed by it.
func carriedOut(t statestore.Txn, item statestore.Item) bool {
	if t.Writes[0].Remove != "" {
		return item.Stamp != t.Guards[1].Stamp
	}
	return item.Stamp > t.Guards[1].Stamp
}

// settle judges a conflict. If the leader guard failed, this node is deposed.
// After an unanswered try, a key that has moved on was moved by that try: only
// the leader of this epoch changes these keys.
func (n *Node) settle(ctx context.Context, c Commit, done Committed, conflict *statestore.ConflictError, unsure bool) Committed {
	done.Outcome, done.Failed = leadership.Refused, conflict.Failed
	for _, key := range conflict.Failed {
		if key == leadership.Key {
			done.Outcome = leadership.Gone
			return done
		}
	}
	if !unsure {
		return done
	}
	for {
		item, err := n.store.Get(ctx, settledBy(c.Txn))
		if n.note(err) == nil {
			if carriedOut(c.Txn, item) {
				done.Outcome, done.Version, done.Failed = leadership.OK, item.Stamp, nil
			}
			return done
		}
		if !n.leadsSince(c.Epoch) || !n.pause(ctx, retryUnsure) {
			return done
		}
	}
}
