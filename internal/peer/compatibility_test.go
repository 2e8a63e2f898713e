package peer

import (
	"bytes"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"badgerbay/internal/fleet"
	"badgerbay/internal/peer/meshpb"
	"badgerbay/internal/wire"
)

// readProduction reads a message as the production version sent it.
func readProduction(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/production/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// roundTrip reads a gRPC message of the production version, and checks that it is
// written again byte by byte, without unknown fields.
func roundTrip[M proto.Message](t *testing.T, name string, m M) M {
	t.Helper()
	data := readProduction(t, name)
	if err := proto.Unmarshal(data, m); err != nil {
		t.Fatal(err)
	}
	if again, err := proto.Marshal(m); err != nil || !bytes.Equal(again, data) || len(m.ProtoReflect().GetUnknown()) > 0 {
		t.Errorf("%s: not written as it was read: %v", name, err)
	}
	return m
}

// TestBatchesFromPreviousVersion: what the production version sends through the
// key-value store is read, and written again as it was.
func TestBatchesFromPreviousVersion(t *testing.T) {
	b, err := DecompressBatch(readProduction(t, "batch.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	if b.Node != "n0" || b.AckedBatchID != "k3v9-16" || b.SchemaVersion != 0 || len(b.Heartbeats) != 2 || len(b.CancelRequests) != 1 || b.CancelRequests[0].Job != "wk-000398" {
		t.Errorf("batch %+v", b)
	}
	r, err := b.Heartbeats[1].Unpack()
	if err != nil || r.Session != 3 || r.HeartbeatSeq != 12 || r.FencingToken != 40 || !r.Spot || r.InterruptionIn != 12500*time.Millisecond || len(r.Tasks) != 2 {
		t.Fatalf("heartbeat %+v, %v", r, err)
	}
	stored := map[fleet.ExitCause]bool{}
	for _, e := range r.Tasks {
		stored[e.Cause] = e.CheckpointStored
	}
	if !stored[fleet.ExitStopped] || stored[fleet.ExitDone] {
		t.Errorf("exits %+v", r.Tasks)
	}
	checkReencoded(t, "batch.msgpack", b)

	a, err := DecompressReply(readProduction(t, "answers.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	commands := a.Heartbeats[0].UnpackCommands()
	if a.ID != b.ID || len(a.Heartbeats) != 2 || a.Heartbeats[0].Code != 200 || len(commands) != 3 || commands[1].GracePeriod != 10*time.Second {
		t.Errorf("reply %+v, commands %+v", a, commands)
	}
	checkReencoded(t, "answers.msgpack", a)
}

// checkReencoded checks that a value is squeezed into the text that it was read from.
func checkReencoded(t *testing.T, name string, v any) {
	t.Helper()
	text, err := wire.CompressMessage(v)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := msgpack.Marshal(text); err != nil || !bytes.Equal(data, readProduction(t, name)) {
		t.Errorf("%s: not written as it was read: %v", name, err)
	}
}

// TestCallsFromPreviousVersion: the gRPC messages of the production version are read
// and answered, and what this version sends is the same but for the schema version,
// which that version skips.
func TestCallsFromPreviousVersion(t *testing.T) {
	req := roundTrip(t, "grant-request.pb", &meshpb.RelayRequest{})
	q, err := DecodeBatch(req.Batch)
	if err != nil || !q.WantsDelegation || q.Node != "n1" {
		t.Errorf("batch %+v, %v", q, err)
	}
	reply := roundTrip(t, "grant-reply.pb", &meshpb.RelayReply{})
	a, err := DecodeReply(reply.Answers)
	if err != nil || a.Delegation == nil {
		t.Fatalf("%+v, %v", a, err)
	}
	said, err := a.Delegation.Unpack()
	if err != nil || said.Epoch != 77 || said.GrantDuration <= 0 || a.Delegation.SchemaVersion != 0 {
		t.Errorf("grant %+v of schema version %d, %v", said, a.Delegation.SchemaVersion, err)
	}
	again, err := msgpack.Marshal(a)
	if err != nil || !bytes.Equal(again, reply.Answers) {
		t.Errorf("the grant is not written as it was read: %v", err)
	}
	// The production version knows these fields of a grant, and skips others.
	var old struct {
		Delegation struct {
			Epoch  uint64 `msgpack:"e"`
			LifeMs int64  `msgpack:"l"`
		} `msgpack:"v"`
	}
	data, err := msgpack.Marshal(BatchReply{Delegation: PackDelegationStatus(said)})
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(data, &old); err != nil || old.Delegation.Epoch != 77 || old.Delegation.LifeMs != said.GrantDuration.Milliseconds() {
		t.Errorf("the production version reads %+v, %v", old, err)
	}
	if r := roundTrip(t, "cancel-request.pb", &meshpb.AskRequest{}); r.Job != "wk-000001" || !r.Withdraw {
		t.Errorf("cancellation %v", r)
	}
	if r := roundTrip(t, "cancel-reply.pb", &meshpb.AskReply{}); r.Standing != "cancelled" || r.Outcome != meshpb.Outcome_OUTCOME_KNOWN {
		t.Errorf("its answer %v", r)
	}
	roundTrip(t, "health-reply.pb", &meshpb.HealthReply{})
}

// TestMessagesFromLaterVersions: what a later version adds is skipped, and what is
// malformed is refused.
func TestMessagesFromLaterVersions(t *testing.T) {
	data, err := msgpack.Marshal(map[string]any{"id": "x", "n": "n1", "f": 99, "new": []any{1, "two"}, "v": true})
	if err != nil {
		t.Fatal(err)
	}
	b, err := DecodeBatch(data)
	if err != nil || b.Node != "n1" || !b.WantsDelegation {
		t.Errorf("%+v, %v", b, err)
	}
	for _, bad := range [][]byte{nil, {0xc1}, {0x93, 1, 2}, {0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff}} {
		if _, err := DecodeBatch(bad); !errors.Is(err, ErrMalformed) {
			t.Errorf("%x as a batch: %v, want %v", bad, err, ErrMalformed)
		}
		if _, err := DecompressReply(bad); !errors.Is(err, ErrMalformed) {
			t.Errorf("%x as a reply: %v, want %v", bad, err, ErrMalformed)
		}
	}
}
