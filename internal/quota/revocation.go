package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// revokeNext takes everything from one holder that is gone or silent: in one transaction
// with its key, where there is one, so that nothing which it has not stored can follow.
func (a *Allocator) revokeNext(now clock.Instant, maxRecords int) *kvstore.Txn {
	if txn := a.replaceDamaged(maxRecords); txn != nil {
		return txn
	}
	for _, node := range a.knownNodes() {
		if txn := a.revoke(now, node, maxRecords); txn != nil {
			return txn
		}
	}
	return nil
}

// revoke takes from a node what it may not have any more; nil: there is nothing.
func (a *Allocator) revoke(now clock.Instant, node string, maxRecords int) *kvstore.Txn {
	revision := a.holderRevisions[node]
	timedOut := revision != 0 && now.Sub(a.lastRequestAt[node]) > holderTimeout
	reserved, stored := a.reservations[node]
	stale := stored && (timedOut || reserved.holderRevision != revision)

	change := newPendingChange()
	for _, team := range slices.Sorted(maps.Keys(a.teams)) {
		account := a.teams[team]
		allocation := account.record.allocationOf(node)
		if allocation != nil && (timedOut || allocation.Holder.ModRevision != revision) && len(change.records) < maxRecords {
			change.records[team] = account.record.without(node)
		}
	}
	if !timedOut && !stale && len(change.records) == 0 {
		return nil
	}
	a.changeInFlight = change
	txn := a.transaction(change)
	if timedOut {
		change.removedHolders = append(change.removedHolders, node)
		appendRemoval(txn, HolderKey(node), revision)
	}
	if stale {
		appendRemoval(txn, ReservationKey(node), reserved.revision)
	}
	return txn
}

// replaceDamaged replaces a team's record that can't be read by one without allocations,
// with the last of the transactions that delete all holder keys: whoever had an
// allocation by it can store nothing more.
func (a *Allocator) replaceDamaged(maxRecords int) *kvstore.Txn {
	for _, team := range slices.Sorted(maps.Keys(a.teams)) {
		if !a.teams[team].damaged {
			continue
		}
		holders := slices.Sorted(maps.Keys(a.holderRevisions))
		change := newPendingChange()
		if len(holders) <= maxRecords {
			change.records[team] = TeamRecord{}
		}
		change.removedHolders = holders[:min(len(holders), maxRecords)]
		a.changeInFlight = change
		txn := a.transaction(change)
		for _, node := range change.removedHolders {
			appendRemoval(txn, HolderKey(node), a.holderRevisions[node])
		}
		return txn
	}
	return nil
}

// appendRemoval adds the removal of a key to a transaction.
func appendRemoval(txn *kvstore.Txn, key string, revision ident.Revision) {
	txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, ModRevision: revision})
	txn.Operations = append(txn.Operations, kvstore.Operation{DeleteKey: key})
}

// knownNodes lists those that are holders, or have an allocation or reservations.
func (a *Allocator) knownNodes() []string {
	all := map[string]bool{}
	for node := range a.holderRevisions {
		all[node] = true
	}
	for _, account := range a.teams {
		for _, allocation := range account.record.Allocations {
			all[allocation.Holder.Node] = true
		}
	}
	for node := range a.reservations {
		all[node] = true
	}
	return slices.Sorted(maps.Keys(all))
}
