package quota

import (
	"slices"

	"badgerbay/internal/leadership"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// HolderRecord is the value of a holder key.
type HolderRecord struct {
	Node string `msgpack:"n" json:"n"`
}

// Txn sets the holder key anew, under the stamp that it has.
func (e Register) Txn(stamp unit.Revision) statestore.Txn {
	key := HolderKey(e.Node)
	return statestore.Txn{
		Conditions: []statestore.Condition{{Key: key, ModRevision: stamp}},
		Operations: []statestore.Operation{{SetKey: key, Value: HolderRecord(e)}},
	}
}

// Txn writes the reservations. Its guards name the versions it changes, so it is
// applied at most once.
func (e StoreReservations) Txn() statestore.Txn {
	return statestore.Txn{Conditions: e.Conditions, Operations: []statestore.Operation{{SetKey: e.Key, Value: e.Record}}}
}

// OutcomeOf tells from the guards that failed what a conflict means.
func (e StoreReservations) OutcomeOf(conflict *statestore.ConflictError) StoreOutcome {
	holderKey := e.Conditions[0].Key
	switch {
	case slices.Contains(conflict.FailedKeys, holderKey):
		return StoreFenced
	case slices.Contains(conflict.FailedKeys, leadership.LeaderKey):
		return StoreLeaderChanged
	}
	return StoreFailed
}
