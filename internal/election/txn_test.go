package election

import (
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/kvstore"
)

//go:embed testdata/golden/transactions.json
var goldenTransactions []byte

// TestGoldenTransactions: what a node writes about leadership, and on which conditions, is
// the same byte by byte in every version.
func TestGoldenTransactions(t *testing.T) {
	var golden map[string]string // hex
	if err := json.Unmarshal(goldenTransactions, &golden); err != nil {
		t.Fatal(err)
	}
	written := map[string]string{}
	for name, txn := range map[string]kvstore.Txn{
		"acquire": AcquireLeaderKey{Leader: goldenLeader, LeaseID: 17}.Txn(),
		"failover": AcquireLeaderKey{PrevEpoch: 982, Leader: goldenLeader, LeaseID: 17, Heartbeat: &goldenHeartbeat,
			ExpectedHeartbeatRevision: 990}.Txn(),
		"advance epoch": RewriteLeaderKey{PrevEpoch: 982, Leader: goldenLeader, LeaseID: 17, Heartbeat: &goldenHeartbeat}.Txn(),
		"transfer":      TransferLeadership{PrevEpoch: 982, Transferee: goldenLeader, LeaseID: 17}.Txn(),
		"heartbeat":     WriteHeartbeat{Epoch: 982, Heartbeat: goldenHeartbeat}.Txn(),
	} {
		data, err := msgpack.Marshal(txn)
		if err != nil {
			t.Fatal(err)
		}
		written[name] = hex.EncodeToString(data)
	}
	if diff := cmp.Diff(golden, written); diff != "" {
		t.Errorf("written otherwise: %s", diff)
	}
}

func TestDecodeLeaderKeys(t *testing.T) {
	encode := func(v any) []byte {
		data, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	leaderKey := kvstore.KeyValue{Key: LeaderKey, Value: encode(goldenLeader), ModRevision: 982}
	heartbeatKey := kvstore.KeyValue{Key: HeartbeatKey, Value: encode(goldenHeartbeat), ModRevision: 990}
	broken := encode("not a record")
	for name, test := range map[string]struct {
		items []kvstore.KeyValue
		want  LeaderKeysRead
	}{
		"none": {nil, LeaderKeysRead{OK: true}},
		"both": {[]kvstore.KeyValue{leaderKey, heartbeatKey},
			LeaderKeysRead{OK: true, Leader: goldenLeader, Epoch: 982, Heartbeat: goldenHeartbeat, HeartbeatRevision: 990}},
		"broken heartbeat": {[]kvstore.KeyValue{leaderKey, {Key: HeartbeatKey, Value: broken, ModRevision: 990}},
			LeaderKeysRead{OK: true, Leader: goldenLeader, Epoch: 982}},
		"another key": {[]kvstore.KeyValue{leaderKey, {Key: LeaderKey + "ship", Value: broken, ModRevision: 991}},
			LeaderKeysRead{OK: true, Leader: goldenLeader, Epoch: 982}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := DecodeLeaderKeys(test.items)
			if err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got, err := DecodeLeaderKeys([]kvstore.KeyValue{{Key: LeaderKey, Value: broken, ModRevision: 982}}); err == nil || got.OK {
		t.Errorf("a broken leader key was read as %+v", got)
	}
}

func TestOutcomes(t *testing.T) {
	conflict := fmt.Errorf("commit: %w", &kvstore.ConflictError{FailedKeys: []string{LeaderKey}})
	for _, test := range []struct {
		err             error
		want, heartbeat Outcome
	}{
		{nil, OutcomeOK, OutcomeOK},
		{conflict, OutcomeRefused, OutcomeGone},
		{fmt.Errorf("renew: %w", kvstore.ErrLeaseNotFound), OutcomeGone, OutcomeGone},
		{fmt.Errorf("commit: %w", kvstore.ErrOutcomeUnknown), OutcomeUnknown, OutcomeUnknown},
		{kvstore.ErrThrottled, OutcomeRefused, OutcomeRefused},
		{kvstore.ErrUnavailable, OutcomeRefused, OutcomeRefused},
		{errors.New("another"), OutcomeRefused, OutcomeRefused},
	} {
		if got, heartbeat := OutcomeOf(test.err), HeartbeatOutcomeOf(test.err); got != test.want || heartbeat != test.heartbeat {
			t.Errorf("%v: outcomes %d and %d, want %d and %d", test.err, got, heartbeat, test.want, test.heartbeat)
		}
	}
}
