package election

import (
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

//go:embed testdata/golden/values.json
var goldenValues []byte

// goldenValue is a value in the state service: MsgPack is its stored encoding, and JSON is the encoding whose size
// counts towards the limits of the state service.
type goldenValue struct {
	Key     string `json:"key"`
	MsgPack string `json:"msgpack"` // hex
	JSON    string `json:"json"`
}

func encodeValue(t *testing.T, key string, v any) goldenValue {
	t.Helper()
	data, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return goldenValue{Key: key, MsgPack: hex.EncodeToString(data), JSON: string(text)}
}

var (
	goldenLeader    = LeaderRecord{Node: "n1", Nonce: "0123456789abcdef"}
	goldenHeartbeat = HeartbeatRecord{Node: "n1", Nonce: "0123456789abcdef", TTLMs: 2600}
)

func encodedValues(t *testing.T) map[string]goldenValue {
	t.Helper()
	return map[string]goldenValue{
		"leader":        encodeValue(t, LeaderKey, goldenLeader),
		"leader, empty": encodeValue(t, LeaderKey, LeaderRecord{}),
		"heartbeat":     encodeValue(t, HeartbeatKey, goldenHeartbeat),
		"longest-lived": encodeValue(t, HeartbeatKey, HeartbeatRecord{Node: "n1", Nonce: "x", TTLMs: 1 << 40}),
	}
}

// TestGoldenValues checks that the values of the leader key and the heartbeat key are encoded and decoded exactly as
// recorded, because nodes of different releases read each other's keys.
func TestGoldenValues(t *testing.T) {
	var golden map[string]goldenValue
	if err := json.Unmarshal(goldenValues, &golden); err != nil {
		t.Fatal(err)
	}
	encoded := encodedValues(t)
	if diff := cmp.Diff(golden, encoded); diff != "" {
		t.Errorf("encodings differ from the golden file (-golden +encoded): %s", diff)
	}
	var decodedLeader LeaderRecord
	var decodedHeartbeat HeartbeatRecord
	for name, into := range map[string]any{"leader": &decodedLeader, "heartbeat": &decodedHeartbeat} {
		data, err := hex.DecodeString(golden[name].MsgPack)
		if err != nil {
			t.Fatal(err)
		}
		if err := msgpack.Unmarshal(data, into); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if decodedLeader != goldenLeader || decodedHeartbeat != goldenHeartbeat {
		t.Errorf("decoded %+v and %+v, want %+v and %+v", decodedLeader, decodedHeartbeat, goldenLeader, goldenHeartbeat)
	}
}
