package node

import (
	"context"
	"errors"
	"slices"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
)

// commit applies a transaction of the leader, determines its outcome and posts that to the core. As commitAndConfirm
// requires, no other node writes the keys that the transaction changes: only the leader of this epoch does.
func (n *Node) commit(ctx context.Context, e controller.CommitTransaction) {
	revision, err := n.store.commitAndConfirm(ctx, e.Txn, confirmOptions{
		fenceKey:    election.LeaderKey,
		stillNeeded: func() bool { return n.core.leadsInTerm(e.Epoch) },
	})
	if errors.Is(err, errOutcomeAbandoned) {
		return
	}
	done := controller.TransactionCompleted{Kind: e.Kind, Epoch: e.Epoch, Outcome: election.OutcomeOf(err), Revision: revision}
	var conflict *kvstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		done.FailedConditions = conflict.FailedKeys
		if slices.Contains(conflict.FailedKeys, election.LeaderKey) {
			done.Outcome = election.OutcomeGone
		}
	case errors.Is(err, kvstore.ErrRejected):
		limits := n.storeLimits()
		done.ExceedsNextLimits = e.Txn.Exceeds(limits.MaxValueBytes(), limits.MaxTxnOps)
		n.metrics.OversizedRecords.Inc()
		key, size := e.Txn.LargestValue()
		n.log.Error("transaction rejected", "epoch", e.Epoch, "operations", len(e.Txn.Operations), "largest_key", key, "largest_bytes", size,
			"exceeds_next_limits", done.ExceedsNextLimits, "err", err)
	}
	n.core.post(ctx, done)
}
