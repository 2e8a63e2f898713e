package quota

import (
	"slices"

	"badgerbay/internal/ident"

	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
)

// HolderRecord is the value of a holder key.
type HolderRecord struct {
	Node string `msgpack:"n" json:"n"`
}

// Txn sets the holder key anew, under the stamp that it has.
func (e Register) Txn(stamp ident.Revision) kvstore.Txn {
	key := HolderKey(e.Node)
	return kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, ModRevision: stamp}},
		Operations: []kvstore.Operation{{SetKey: key, Value: HolderRecord(e)}},
	}
}

// Txn writes the reservations. Its guards name the versions it changes, so it is
// applied at most once.
func (e StoreReservations) Txn() kvstore.Txn {
	return kvstore.Txn{Conditions: e.Conditions, Operations: []kvstore.Operation{{SetKey: e.Key, Value: e.Record}}}
}

// OutcomeOf tells from the guards that failed what a conflict means.
func (e StoreReservations) OutcomeOf(conflict *kvstore.ConflictError) StoreOutcome {
	holderKey := e.Conditions[0].Key
	switch {
	case slices.Contains(conflict.FailedKeys, holderKey):
		return StoreFenced
	case slices.Contains(conflict.FailedKeys, election.LeaderKey):
		return StoreLeaderChanged
	}
	return StoreFailed
}
