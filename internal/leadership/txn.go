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
func (e AcquireLeaderKey) Txn() statestore.Txn {
	txn := withHeartbeat(leaderKeyTxn(e.PrevEpoch, e.Leader, e.LeaseID), e.Heartbeat)
	if e.ExpectedHeartbeatRevision != 0 {
		txn.Conditions = append(txn.Conditions, statestore.Condition{Key: HeartbeatKey, ModRevision: e.ExpectedHeartbeatRevision})
	}
	return txn
}

// Txn sets the leader key again, so that its stamp, the epoch, rises.
func (e RewriteLeaderKey) Txn() statestore.Txn {
	return withHeartbeat(leaderKeyTxn(e.PrevEpoch, e.Leader, e.LeaseID), e.Heartbeat)
}

// Txn sets the leader key to the name of the node that is to lead next.
func (e TransferLeadership) Txn() statestore.Txn {
	return leaderKeyTxn(e.PrevEpoch, e.Transferee, e.LeaseID)
}

// Txn writes a heartbeat, guarded by the leader key.
func (e WriteHeartbeat) Txn() statestore.Txn {
	guard := statestore.Condition{Key: LeaderKey, ModRevision: unit.Revision(e.Epoch)}
	return withHeartbeat(statestore.Txn{Conditions: []statestore.Condition{guard}}, &e.Heartbeat)
}

func leaderKeyTxn(prev unit.Epoch, holder LeaderRecord, lease unit.LeaseID) statestore.Txn {
	return statestore.Txn{
		Conditions: []statestore.Condition{{Key: LeaderKey, ModRevision: unit.Revision(prev)}},
		Operations: []statestore.Operation{{SetKey: LeaderKey, Value: holder, LeaseID: lease}},
	}
}

func withHeartbeat(t statestore.Txn, heartbeat *HeartbeatRecord) statestore.Txn {
	if heartbeat != nil {
		t.Operations = append(t.Operations, statestore.Operation{SetKey: HeartbeatKey, Value: *heartbeat})
	}
	return t
}

// DecodeHolder reads the value of Key. A key that does not exist has no holder.
func DecodeHolder(item statestore.KeyValue) (LeaderRecord, error) {
	if item.ModRevision == 0 {
		return LeaderRecord{}, nil
	}
	var h LeaderRecord
	if err := msgpack.Unmarshal(item.Value, &h); err != nil {
		return LeaderRecord{}, fmt.Errorf("leader key: %w", err)
	}
	return h, nil
}

// DecodeKeys reads the values of Key and HeartbeatKey among the items. A heartbeat
// that can't be read is taken for none: then only the lease counts.
func DecodeKeys(items []statestore.KeyValue) (LeaderKeysRead, error) {
	in := LeaderKeysRead{OK: true}
	for _, item := range items {
		switch item.Key {
		case LeaderKey:
			holder, err := DecodeHolder(item)
			if err != nil {
				return LeaderKeysRead{}, err
			}
			in.Leader, in.Epoch = holder, unit.Epoch(item.ModRevision)
		case HeartbeatKey:
			if err := msgpack.Unmarshal(item.Value, &in.Heartbeat); err != nil {
				in.Heartbeat = HeartbeatRecord{}
				continue
			}
			in.HeartbeatRevision = item.ModRevision
		}
	}
	return in, nil
}

// OutcomeOf sorts an error of a request to the state service.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, statestore.ErrLeaseNotFound):
		return OutcomeGone
	case errors.Is(err, statestore.ErrOutcomeUnknown):
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// HeartbeatOutcomeOf sorts an error of Beat's transaction. Its only guard is the leader
// key: a conflict means that it is not this leader's any more.
func HeartbeatOutcomeOf(err error) Outcome {
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) {
		return OutcomeGone
	}
	return OutcomeOf(err)
}
