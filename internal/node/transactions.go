package node

import (
	"context"
	"errors"

	"badgerbay/internal/controller"

	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
)

// commit applies a transaction of the leader and finds out what became of it.
// Without an answer it is sent again: its guards name the versions it changes,
// so it is applied at most once, and a conflict after an unanswered try is
// settled by reading back.
func (n *Node) commit(ctx context.Context, c controller.CommitTransaction) {
	unsure := false
	for {
		v, err := n.store.Commit(ctx, c.Txn)
		done := controller.TransactionCompleted{Kind: c.Kind, Epoch: c.Epoch, Outcome: election.OutcomeOf(n.noteStoreResult(err)), Revision: v}
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
		case errors.As(err, &conflict):
			done = n.resolveConflict(ctx, c, done, conflict, unsure)
		case errors.Is(err, kvstore.ErrOutcomeUnknown) || unsure:
			unsure = unsure || errors.Is(err, kvstore.ErrOutcomeUnknown)
			if !n.leadsInTerm(c.Epoch) || !n.sleep(ctx, uncertainRetryInterval) {
				return
			}
			continue
		case errors.Is(err, kvstore.ErrRejected):
			limits := n.settings.Params.StateService.Strictest()
			done.ExceedsNextLimits = c.Txn.Exceeds(limits.MaxValueBytes(), limits.MaxTxnOps)
			n.metrics.OversizedRecords.Inc()
			key, size := c.Txn.LargestValue()
			n.log.Error("transaction refused", "epoch", c.Epoch, "writes", len(c.Txn.Operations), "largest", key, "bytes", size, "beyond_next", done.ExceedsNextLimits, "err", err)
		}
		n.enqueue(ctx, done)
		return
	}
}

// resolveConflict judges a conflict. If the leader guard failed, this node is deposed.
// After an unanswered try, a key that has moved on was moved by that try: only
// the leader of this epoch changes these keys.
func (n *Node) resolveConflict(ctx context.Context, c controller.CommitTransaction, done controller.TransactionCompleted, conflict *kvstore.ConflictError, unsure bool) controller.TransactionCompleted {
	done.Outcome, done.FailedConditions = election.OutcomeRefused, conflict.FailedKeys
	for _, key := range conflict.FailedKeys {
		if key == election.LeaderKey {
			done.Outcome = election.OutcomeGone
			return done
		}
	}
	if !unsure {
		return done
	}
	for {
		item, err := n.store.Get(ctx, c.Txn.OutcomeKey())
		if n.noteStoreResult(err) == nil {
			if c.Txn.WasApplied(item) {
				done.Outcome, done.Revision, done.FailedConditions = election.OutcomeOK, item.ModRevision, nil
			}
			return done
		}
		if !n.leadsInTerm(c.Epoch) || !n.sleep(ctx, uncertainRetryInterval) {
			return done
		}
	}
}
