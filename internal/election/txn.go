package election

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// EpochCondition returns the condition that the leader key still has the given epoch. It fences every write of a
// leader.
func EpochCondition(epoch ident.Epoch) kvstore.Condition {
	return kvstore.Condition{Key: LeaderKey, ModRevision: ident.Revision(epoch)}
}

// Txn returns the transaction that sets the leader key and, unless Heartbeat is nil, the first heartbeat. If it
// replaces a failed leader, the transaction is conditional on the last heartbeat read from that leader.
func (e AcquireLeaderKey) Txn() kvstore.Txn {
	txn := withHeartbeat(leaderKeyTxn(e.PrevEpoch, e.Leader, e.LeaseID), e.Heartbeat)
	if e.ExpectedHeartbeatRevision != 0 {
		txn.Conditions = append(txn.Conditions, kvstore.Condition{Key: HeartbeatKey, ModRevision: e.ExpectedHeartbeatRevision})
	}
	return txn
}

// Txn returns the transaction that sets the leader key again.
func (e RewriteLeaderKey) Txn() kvstore.Txn {
	return withHeartbeat(leaderKeyTxn(e.PrevEpoch, e.Leader, e.LeaseID), e.Heartbeat)
}

// Txn returns the transaction that sets the leader key to the name of the next leader.
func (e TransferLeadership) Txn() kvstore.Txn {
	return leaderKeyTxn(e.PrevEpoch, e.Transferee, e.LeaseID)
}

// Txn returns the transaction that writes the heartbeat.
func (e WriteHeartbeat) Txn() kvstore.Txn {
	return withHeartbeat(kvstore.Txn{Conditions: []kvstore.Condition{EpochCondition(e.Epoch)}}, &e.Heartbeat)
}

func leaderKeyTxn(prev ident.Epoch, leader LeaderRecord, lease ident.LeaseID) kvstore.Txn {
	return kvstore.Txn{
		Conditions: []kvstore.Condition{EpochCondition(prev)},
		Operations: []kvstore.Operation{{SetKey: LeaderKey, Value: leader, LeaseID: lease}},
	}
}

func withHeartbeat(txn kvstore.Txn, heartbeat *HeartbeatRecord) kvstore.Txn {
	if heartbeat != nil {
		txn.Operations = append(txn.Operations, kvstore.Operation{SetKey: HeartbeatKey, Value: *heartbeat})
	}
	return txn
}

// DecodeLeaderRecord decodes the value of LeaderKey. It returns an empty record if the key does not exist.
func DecodeLeaderRecord(item kvstore.KeyValue) (LeaderRecord, error) {
	if item.ModRevision == 0 {
		return LeaderRecord{}, nil
	}
	var leader LeaderRecord
	if err := msgpack.Unmarshal(item.Value, &leader); err != nil {
		return LeaderRecord{}, fmt.Errorf("decoding leader key: %w", err)
	}
	return leader, nil
}

// DecodeLeaderKeys decodes the values of LeaderKey and HeartbeatKey, if present, and ignores other keys. A heartbeat
// that can't be decoded is treated as absent, so that only the lease limits the leadership.
func DecodeLeaderKeys(items []kvstore.KeyValue) (LeaderKeysRead, error) {
	in := LeaderKeysRead{OK: true}
	for _, item := range items {
		switch item.Key {
		case LeaderKey:
			leader, err := DecodeLeaderRecord(item)
			if err != nil {
				return LeaderKeysRead{}, err
			}
			in.Leader, in.Epoch = leader, ident.Epoch(item.ModRevision)
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

// OutcomeOf returns the outcome of a request to the state service that returned err.
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

// HeartbeatOutcomeOf returns the outcome of a WriteHeartbeat transaction that returned err. Its only condition is on
// the epoch, so a conflict means that the leader key has a different epoch.
func HeartbeatOutcomeOf(err error) Outcome {
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		return OutcomeGone
	}
	return OutcomeOf(err)
}
