package quota

import (
	"maps"
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// revokeNext returns the transaction of the next revocation, or nil if none is due: one that replaces a damaged
// record, or one that revokes a holder whose key is gone or that has timed out. A holder's allocations are removed
// together with its key, if it still has one. Its writes are conditional on the key, so none can succeed afterwards.
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

// revoke returns the transaction that removes a node's allocations and reservations if its holder key is gone or has
// been written again since, or if the holder has timed out. In the last case the holder key is removed too. It returns
// nil if there is nothing to remove.
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

// replaceDamaged returns the next transaction for replacing a team's record that cannot be decoded, or nil if there
// is no such record.
//
//  1. The transactions delete all holder keys, at most maxRecords in each.
//  2. The last of them also replaces the record by one without allocations. A holder that had an allocation in the
//     damaged record has no key any more, so it can store nothing.
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

// appendRemoval adds the deletion of a key, conditional on its revision, to a transaction.
func appendRemoval(txn *kvstore.Txn, key string, revision ident.Revision) {
	txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: key, ModRevision: revision})
	txn.Operations = append(txn.Operations, kvstore.Operation{DeleteKey: key})
}

// knownNodes returns the nodes that have a holder key, an allocation or reservations.
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
