package election

import (
	"errors"
	"fmt"

	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/kvstore"
)

// Txn sets the leader key, with the first heartbeat if there is one. If the key is
// taken from a silent leader, its heartbeat must still be the one that was seen to be
// silent.
func (e AcquireLeaderKey) Txn() kvstore.Txn {
	txn := withHeartbeat(leaderKeyTxn(e.PrevEpoch, e.Leader, e.LeaseID), e.Heartbeat)
	if e.ExpectedHeartbeatRevision != 0 {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: HeartbeatKey, ModRevision: e.ExpectedHeartbeatRevision})
	}
	return txn
}

// Txn sets the leader key again, so that its stamp, the epoch, rises.
func (e RewriteLeaderKey) Txn() kvstore.Txn {
	return withHeartbeat(leaderKeyTxn(e.PrevEpoch, e.Leader, e.LeaseID), e.Heartbeat)
}

// Txn sets the leader key to the name of the node that is to lead next.
func (e TransferLeadership) Txn() kvstore.Txn {
	return leaderKeyTxn(e.PrevEpoch, e.Transferee, e.LeaseID)
}

// Txn writes a heartbeat, guarded by the leader key.
func (e WriteHeartbeat) Txn() kvstore.Txn {
	guard := kvstore.Condition{Key: LeaderKey, ModRevision: ident.Revision(e.Epoch)}
	return withHeartbeat(kvstore.Txn{Conditions: []kvstore.Condition{guard}}, &e.Heartbeat)
}

func leaderKeyTxn(prev ident.Epoch, holder LeaderRecord, lease ident.LeaseID) kvstore.Txn {
	return kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: LeaderKey, ModRevision: ident.Revision(prev)}},
		Operations: []kvstore.Operation{{SetKey: LeaderKey, Value: holder, LeaseID: lease}},
	}
}

func withHeartbeat(t kvstore.Txn, heartbeat *HeartbeatRecord) kvstore.Txn {
	if heartbeat != nil {
		t.Operations = append(t.Operations, kvstore.Operation{SetKey: HeartbeatKey, Value: *heartbeat})
	}
	return t
}

// DecodeHolder reads the value of Key. A key that does not exist has no holder.
func DecodeHolder(item kvstore.KeyValue) (LeaderRecord, error) {
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
func DecodeKeys(items []kvstore.KeyValue) (LeaderKeysRead, error) {
	in := LeaderKeysRead{OK: true}
	for _, item := range items {
		switch item.Key {
		case LeaderKey:
			holder, err := DecodeHolder(item)
			if err != nil {
				return LeaderKeysRead{}, err
			}
			in.Leader, in.Epoch = holder, ident.Epoch(item.ModRevision)
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
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		return OutcomeGone
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// HeartbeatOutcomeOf sorts an error of Beat's transaction. Its only guard is the leader
// key: a conflict means that it is not this leader's any more.
func HeartbeatOutcomeOf(err error) Outcome {
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return OutcomeGone
	}
	return OutcomeOf(err)
}
