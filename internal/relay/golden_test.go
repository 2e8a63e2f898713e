package relay

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/peer"
)

// TestGoldenBatch checks that a batch is compressed to the recorded value, and that this
// value is decoded to the same requests. It guards against changes that nodes of other
// versions, which exchange these values through the state service, cannot decode.
func TestGoldenBatch(t *testing.T) {
	now := clock.Instant(time.Hour)
	heartbeats := []*fleet.Heartbeat{
		{Machine: "host-000001", Addr: "10.1.0.2:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 88, FencingToken: 41, Tasks: []fleet.TaskStatus{
			{Task: ident.TaskID{Job: "wk-000412", Index: 0}, Attempt: 7, State: "running"},
			{Task: ident.TaskID{Job: "wk-000412", Index: 1}, Attempt: 7, State: "running"},
			{Task: ident.TaskID{Job: "wk-000412", Index: 4}, Attempt: 7, State: "fetching"}}},
		{Machine: "host-000002", Addr: "10.1.0.3:9000", Type: "m", Zone: "a", Spot: true, Session: 3, HeartbeatSeq: 12, FencingToken: 40,
			InterruptionNoticed: true, InterruptionIn: 12500 * time.Millisecond, Tasks: []fleet.TaskStatus{
				{Task: ident.TaskID{Job: "wk-000412", Index: 2}, Attempt: 6, State: "exited", Cause: fleet.ExitStopped, CheckpointStored: true}}},
	}
	queue := []PendingRequest{NewHeartbeatRequest(heartbeats[0], now.Add(time.Second)), NewHeartbeatRequest(heartbeats[1], now.Add(time.Second)), NewCancelRequest("wk-000398", now.Add(time.Second))}
	header := BatchHeader{ID: "k3v9-17", Node: "n0", AckedBatchID: "k3v9-16", IdleFor: 2500 * time.Millisecond}
	batch, err := NewBatch(now, header, queue, MaxBatchBytes(8192))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenValue(t, "batch.txt"); string(batch.Value) != want {
		t.Errorf("batch compressed to %s, want %s", batch.Value, want)
	}
	got, err := peer.DecompressBatch(encodeValue(t, goldenValue(t, "batch.txt")))
	if err != nil || got.ID != header.ID || got.Node != header.Node || got.AckedBatchID != header.AckedBatchID || got.IdleMs != 2500 || got.SchemaVersion != 3 {
		t.Fatalf("batch decoded as %+v, %v", got, err)
	}
	if diff := cmp.Diff([]peer.CancelRequest{{Job: "wk-000398"}}, []peer.CancelRequest(got.CancelRequests)); diff != "" {
		t.Error(diff)
	}
	for i, r := range heartbeats {
		heartbeat, err := got.Heartbeats[i].Unpack()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(r, heartbeat); diff != "" {
			t.Error(diff)
		}
	}
}

// TestGoldenReply checks that a reply is compressed to the recorded value, and that this
// value is decoded to the same reply, for the same reason as TestGoldenBatch.
func TestGoldenReply(t *testing.T) {
	newReply := func() *peer.BatchReply {
		return &peer.BatchReply{ID: "k3v9-17",
			Heartbeats: []peer.HeartbeatReply{
				{Machine: "host-000001", Code: 200, Epoch: 77, Commands: []peer.CommandGroup{
					{Kind: fleet.CommandStop, Job: "wk-000412", Attempt: 7, GracePeriodSeconds: 10.5, Indexes: indexset.Set{{First: 0, Last: 1}}},
					{Kind: fleet.CommandStart, Job: "wk-000500", Attempt: 9, Indexes: indexset.Set{{First: 3, Last: 3}}},
					{Kind: fleet.CommandForget, Job: "wk-000412", Attempt: 6, Indexes: indexset.Set{{First: 2, Last: 2}}}}},
				{Machine: "host-000002", Code: 503, Epoch: 77}},
			Cancellations: []peer.CancelReply{{Job: "wk-000398", State: "cancelled", DoneTasks: 3}},
		}
	}
	value, err := CompressReply(newReply(), MaxBatchBytes(8192))
	if err != nil {
		t.Fatal(err)
	}
	want := goldenValue(t, "answers.txt")
	if string(value) != want {
		t.Errorf("reply compressed to %s, want %s", value, want)
	}
	got, err := peer.DecompressReply(encodeValue(t, want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(newReply(), got, cmpopts.EquateComparable(indexset.Span{})); diff != "" {
		t.Error(diff)
	}
}

// goldenValue reads a recorded value of the state service.
func goldenValue(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile("testdata/golden/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(string(data), "\n")
}

// encodeValue returns a value in the encoding in which the state service returns it.
func encodeValue(t *testing.T, value string) []byte {
	t.Helper()
	data, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
