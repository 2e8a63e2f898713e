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
func (e Register) Txn(stamp unit.Version) statestore.Txn {
	key := HolderKey(e.Node)
	return statestore.Txn{
		Guards: []statestore.Guard{{Key: key, Stamp: stamp}},
		Writes: []statestore.Write{{Set: key, Value: HolderRecord(e)}},
	}
}

// Txn writes the reservations. Its guards name the versions it changes, so it is
// applied at most once.
func (e Store) Txn() statestore.Txn {
	return statestore.Txn{Guards: e.Guards, Writes: []statestore.Write{{Set: e.Key, Value: e.Reserved}}}
}

// OutcomeOf tells from the guards that failed what a conflict means.
func (e Store) OutcomeOf(conflict *statestore.ConflictError) StoreOutcome {
	holderKey := e.Guards[0].Key
	switch {
	case slices.Contains(conflict.Failed, holderKey):
		return StoreFenced
	case slices.Contains(conflict.Failed, leadership.Key):
		return StoreOtherLeader
	}
	return StoreRefused
}
