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

// readPreviousVersionMessage reads a recorded message of the previous version.
func readPreviousVersionMessage(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/production/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkProtoRoundTrip decodes a recorded gRPC message of the previous version into m and
// returns m. It checks that the message has no unknown fields, and that it is encoded again
// to the same bytes.
func checkProtoRoundTrip[M proto.Message](t *testing.T, name string, m M) M {
	t.Helper()
	data := readPreviousVersionMessage(t, name)
	if err := proto.Unmarshal(data, m); err != nil {
		t.Fatal(err)
	}
	if again, err := proto.Marshal(m); err != nil || !bytes.Equal(again, data) || len(m.ProtoReflect().GetUnknown()) > 0 {
		t.Errorf("%s: encoded to other bytes, or has unknown fields: %v", name, err)
	}
	return m
}

// TestBatchesFromPreviousVersion checks that batches and replies that the previous
// version sends through the state service are decoded, and encoded again to the same
// bytes. It guards against changes that break nodes of both versions in one cluster.
func TestBatchesFromPreviousVersion(t *testing.T) {
	batch, err := DecompressBatch(readPreviousVersionMessage(t, "batch.msgpack"))
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
		t.Errorf("exited tasks %+v", r.Tasks)
	}
	checkCompressedUnchanged(t, "batch.msgpack", batch)

	reply, err := DecompressReply(readPreviousVersionMessage(t, "answers.msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	commands := reply.Heartbeats[0].UnpackCommands()
	if reply.ID != batch.ID || len(reply.Heartbeats) != 2 || reply.Heartbeats[0].Code != 200 || len(commands) != 3 || commands[1].GracePeriod != 10*time.Second {
		t.Errorf("reply %+v, commands %+v", reply, commands)
	}
	checkCompressedUnchanged(t, "answers.msgpack", reply)
}

// checkCompressedUnchanged checks that v is compressed to the value in the file that it was
// read from.
func checkCompressedUnchanged(t *testing.T, name string, v any) {
	t.Helper()
	text, err := wire.CompressMessage(v)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := msgpack.Marshal(text); err != nil || !bytes.Equal(data, readPreviousVersionMessage(t, name)) {
		t.Errorf("%s: compressed to another value: %v", name, err)
	}
}

// TestCallsFromPreviousVersion checks that the gRPC messages of the previous version are
// decoded and encoded again to the same bytes, and that the previous version can decode
// a grant of this version, whose additional fields, such as the schema version, it skips.
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
		t.Errorf("grant encoded to other bytes: %v", err)
	}
	// The previous version knows only these fields of a grant and skips the others.
	var previousReply struct {
		Delegation struct {
			Epoch  uint64 `msgpack:"e"`
			LifeMs int64  `msgpack:"l"`
		} `msgpack:"v"`
	}
	data, err := msgpack.Marshal(BatchReply{Delegation: PackDelegationStatus(status)})
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(data, &previousReply); err != nil || previousReply.Delegation.Epoch != 77 || previousReply.Delegation.LifeMs != status.GrantDuration.Milliseconds() {
		t.Errorf("previous version decodes %+v, %v", previousReply, err)
	}
	if r := checkProtoRoundTrip(t, "cancel-request.pb", &meshpb.AskRequest{}); r.Job != "wk-000001" || !r.Withdraw {
		t.Errorf("cancel request %v", r)
	}
	if r := checkProtoRoundTrip(t, "cancel-reply.pb", &meshpb.AskReply{}); r.Standing != "cancelled" || r.Outcome != meshpb.Outcome_OUTCOME_KNOWN {
		t.Errorf("cancel reply %v", r)
	}
	checkProtoRoundTrip(t, "health-reply.pb", &meshpb.HealthReply{})
}

// TestMessagesFromLaterVersions checks that unknown fields, which a later version may add,
// are skipped, and that malformed messages fail with ErrMalformed.
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
			t.Errorf("%x decoded as a batch: error %v, want %v", bad, err, ErrMalformed)
		}
		if _, err := DecompressReply(bad); !errors.Is(err, ErrMalformed) {
			t.Errorf("%x decoded as a reply: error %v, want %v", bad, err, ErrMalformed)
		}
	}
}
