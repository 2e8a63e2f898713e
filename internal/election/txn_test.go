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

// TestGoldenTransactions checks that the election transactions, including their conditions, are encoded byte for byte
// as recorded, because they must be the same in every release.
func TestGoldenTransactions(t *testing.T) {
	var golden map[string]string // hex
	if err := json.Unmarshal(goldenTransactions, &golden); err != nil {
		t.Fatal(err)
	}
	encoded := map[string]string{}
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
		encoded[name] = hex.EncodeToString(data)
	}
	if diff := cmp.Diff(golden, encoded); diff != "" {
		t.Errorf("transactions differ from the golden file (-golden +encoded): %s", diff)
	}
}

// TestDecodeLeaderKeys checks that both keys are decoded, that a heartbeat that can't be decoded is treated as absent,
// that other keys are ignored, and that a leader key that can't be decoded is an error.
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
	undecodable := encode("not a record")
	for name, test := range map[string]struct {
		items []kvstore.KeyValue
		want  LeaderKeysRead
	}{
		"none": {nil, LeaderKeysRead{OK: true}},
		"both": {[]kvstore.KeyValue{leaderKey, heartbeatKey},
			LeaderKeysRead{OK: true, Leader: goldenLeader, Epoch: 982, Heartbeat: goldenHeartbeat, HeartbeatRevision: 990}},
		"undecodable heartbeat": {[]kvstore.KeyValue{leaderKey, {Key: HeartbeatKey, Value: undecodable, ModRevision: 990}},
			LeaderKeysRead{OK: true, Leader: goldenLeader, Epoch: 982}},
		"unrelated key": {[]kvstore.KeyValue{leaderKey, {Key: LeaderKey + "ship", Value: undecodable, ModRevision: 991}},
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
	if got, err := DecodeLeaderKeys([]kvstore.KeyValue{{Key: LeaderKey, Value: undecodable, ModRevision: 982}}); err == nil || got.OK {
		t.Errorf("decoded an invalid leader key as %+v, want an error", got)
	}
}

// TestOutcomeOfError checks the mapping from errors of the state service to outcomes, for heartbeats and for other
// requests.
func TestOutcomeOfError(t *testing.T) {
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
