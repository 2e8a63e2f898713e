package leadership

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// Txn sets the leader key, with the first heartbeat if there is one. If the key is
// taken from a silent leader, its heartbeat must still be the one that was seen to be
// silent.
func (e Acquire) Txn() statestore.Txn {
	txn := withHeartbeat(leaderKeyTxn(e.Prev, e.Holder, e.Tenure), e.Heartbeat)
	if e.Silent != 0 {
		txn.Guards = append(txn.Guards, statestore.Guard{Key: HeartbeatKey, Stamp: e.Silent})
	}
	return txn
}

// Txn sets the leader key again, so that its stamp, the epoch, rises.
func (e SetToken) Txn() statestore.Txn {
	return withHeartbeat(leaderKeyTxn(e.Prev, e.Holder, e.Tenure), e.Heartbeat)
}

// Txn sets the leader key to the name of the node that is to lead next.
func (e HandOver) Txn() statestore.Txn { return leaderKeyTxn(e.Prev, e.Holder, e.Tenure) }

// Txn writes a heartbeat, guarded by the leader key.
func (e Beat) Txn() statestore.Txn {
	guard := statestore.Guard{Key: Key, Stamp: unit.Version(e.Epoch)}
	return withHeartbeat(statestore.Txn{Guards: []statestore.Guard{guard}}, &e.Heartbeat)
}

func leaderKeyTxn(prev unit.Epoch, holder Holder, lease unit.Tenure) statestore.Txn {
	return statestore.Txn{
		Guards: []statestore.Guard{{Key: Key, Stamp: unit.Version(prev)}},
		Writes: []statestore.Write{{Set: Key, Value: holder, Tenure: lease}},
	}
}

func withHeartbeat(t statestore.Txn, heartbeat *Heartbeat) statestore.Txn {
	if heartbeat != nil {
		t.Writes = append(t.Writes, statestore.Write{Set: HeartbeatKey, Value: *heartbeat})
	}
	return t
}

// DecodeHolder reads the value of Key. A key that does not exist has no holder.
func DecodeHolder(item statestore.Item) (Holder, error) {
	if item.Stamp == 0 {
		return Holder{}, nil
	}
	var h Holder
	if err := msgpack.Unmarshal(item.Value, &h); err != nil {
		return Holder{}, fmt.Errorf("leader key: %w", err)
	}
	return h, nil
}

// DecodeKeys reads the values of Key and HeartbeatKey among the items. A heartbeat
// that can't be read is taken for none: then only the lease counts.
func DecodeKeys(items []statestore.Item) (KeyRead, error) {
	in := KeyRead{OK: true}
	for _, item := range items {
		switch item.Key {
		case Key:
			holder, err := DecodeHolder(item)
			if err != nil {
				return KeyRead{}, err
			}
			in.Holder, in.Stamp = holder, unit.Epoch(item.Stamp)
		case HeartbeatKey:
			if err := msgpack.Unmarshal(item.Value, &in.Heartbeat); err != nil {
				in.Heartbeat = Heartbeat{}
				continue
			}
			in.HeartbeatStamp = item.Stamp
		}
	}
	return in, nil
}

// OutcomeOf sorts an error of a request to the state service.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, statestore.ErrNoLease):
		return Gone
	case errors.Is(err, statestore.ErrUncertain):
		return Unknown
	}
	return Refused
}

// HeartbeatOutcomeOf sorts an error of Beat's transaction. Its only guard is the leader
// key: a conflict means that it is not this leader's any more.
func HeartbeatOutcomeOf(err error) Outcome {
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return Gone
	}
	return OutcomeOf(err)
}
