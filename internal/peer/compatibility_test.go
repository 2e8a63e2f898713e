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

// readProductionMessage reads a message as the production version sent it.
func readProductionMessage(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/production/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkProtoRoundTrip reads a gRPC message of the production version, and checks that it is
// written again byte by byte, without unknown fields.
func checkProtoRoundTrip[M proto.Message](t *testing.T, name string, m M) M {
	t.Helper()
	data := readProductionMessage(t, name)
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
	batch, err := DecompressBatch(readProductionMessage(t, "batch.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	if batch.Node != "n0" || batch.AckedBatchID != "k3v9-16" || batch.SchemaVersion != 0 || len(batch.Heartbeats) != 2 || len(batch.CancelRequests) != 1 || batch.CancelRequests[0].Job != "wk-000398" {
		t.Errorf("batch %+v", batch)
	}
	r, err := batch.Heartbeats[1].Unpack()
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
	checkCompressedUnchanged(t, "batch.msgpack", batch)

	reply, err := DecompressReply(readProductionMessage(t, "answers.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	commands := reply.Heartbeats[0].UnpackCommands()
	if reply.ID != batch.ID || len(reply.Heartbeats) != 2 || reply.Heartbeats[0].Code != 200 || len(commands) != 3 || commands[1].GracePeriod != 10*time.Second {
		t.Errorf("reply %+v, commands %+v", reply, commands)
	}
	checkCompressedUnchanged(t, "answers.msgpack", reply)
}

// checkCompressedUnchanged checks that a value is squeezed into the text that it was read from.
func checkCompressedUnchanged(t *testing.T, name string, v any) {
	t.Helper()
	text, err := wire.CompressMessage(v)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := msgpack.Marshal(text); err != nil || !bytes.Equal(data, readProductionMessage(t, name)) {
		t.Errorf("%s: not written as it was read: %v", name, err)
	}
}

// TestCallsFromPreviousVersion: the gRPC messages of the production version are read
// and answered, and what this version sends is the same but for the schema version,
// which that version skips.
func TestCallsFromPreviousVersion(t *testing.T) {
	req := checkProtoRoundTrip(t, "grant-request.pb", &meshpb.RelayRequest{})
	batch, err := DecodeBatch(req.Batch)
	if err != nil || !batch.WantsDelegation || batch.Node != "n1" {
		t.Errorf("batch %+v, %v", batch, err)
	}
	reply := checkProtoRoundTrip(t, "grant-reply.pb", &meshpb.RelayReply{})
	batchReply, err := DecodeReply(reply.Answers)
	if err != nil || batchReply.Delegation == nil {
		t.Fatalf("%+v, %v", batchReply, err)
	}
	status, err := batchReply.Delegation.Unpack()
	if err != nil || status.Epoch != 77 || status.GrantDuration <= 0 || batchReply.Delegation.SchemaVersion != 0 {
		t.Errorf("grant %+v of schema version %d, %v", status, batchReply.Delegation.SchemaVersion, err)
	}
	again, err := msgpack.Marshal(batchReply)
	if err != nil || !bytes.Equal(again, reply.Answers) {
		t.Errorf("the grant is not written as it was read: %v", err)
	}
	// The production version knows these fields of a grant, and skips others.
	var productionReply struct {
		Delegation struct {
			Epoch  uint64 `msgpack:"e"`
			LifeMs int64  `msgpack:"l"`
		} `msgpack:"v"`
	}
	data, err := msgpack.Marshal(BatchReply{Delegation: PackDelegationStatus(status)})
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(data, &productionReply); err != nil || productionReply.Delegation.Epoch != 77 || productionReply.Delegation.LifeMs != status.GrantDuration.Milliseconds() {
		t.Errorf("the production version reads %+v, %v", productionReply, err)
	}
	if r := checkProtoRoundTrip(t, "cancel-request.pb", &meshpb.AskRequest{}); r.Job != "wk-000001" || !r.Withdraw {
		t.Errorf("cancellation %v", r)
	}
	if r := checkProtoRoundTrip(t, "cancel-reply.pb", &meshpb.AskReply{}); r.Standing != "cancelled" || r.Outcome != meshpb.Outcome_OUTCOME_KNOWN {
		t.Errorf("its answer %v", r)
	}
	checkProtoRoundTrip(t, "health-reply.pb", &meshpb.HealthReply{})
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
