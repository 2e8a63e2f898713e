package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// testTask returns the ID of the task of the test job with index i.
func testTask(i ident.TaskIndex) ident.TaskID { return ident.TaskID{Job: "wk-000001", Index: i} }

// TestHeartbeatRoundTrip checks that a heartbeat that is packed, encoded, decoded and
// unpacked equals the original. It guards against fields that are lost in the relay.
func TestHeartbeatRoundTrip(t *testing.T) {
	in := &fleet.Heartbeat{Machine: "host-1", Addr: "10.0.0.1:9", Type: "m", Zone: "a", Spot: true, Session: 2, HeartbeatSeq: 7, FencingToken: 9,
		InterruptionNoticed: true, InterruptionIn: 12 * time.Second, Tasks: []fleet.TaskStatus{
			{Task: testTask(0), Attempt: 3, State: "running"}, {Task: testTask(1), Attempt: 3, State: "running"},
			{Task: testTask(2), Attempt: 4, State: "exited", Cause: fleet.ExitStopped, CheckpointStored: true}}}
	data, err := msgpack.Marshal(Batch{ID: "x", Heartbeats: []Heartbeat{PackHeartbeat(in)}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := DecodeBatch(data)
	if err != nil || len(b.Heartbeats) != 1 || len(b.Heartbeats[0].TaskGroups) != 2 {
		t.Fatalf("%+v, %v", b, err)
	}
	out, err := b.Heartbeats[0].Unpack()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(in, out); diff != "" {
		t.Error(diff)
	}
}

// TestCommandsKeepOrder checks that relayed commands keep the order in which the leader
// issued them.
func TestCommandsKeepOrder(t *testing.T) {
	in := []fleet.Command{{Kind: fleet.CommandStop, Task: testTask(0), Attempt: 1, GracePeriod: 4 * time.Second}, {Kind: fleet.CommandStop, Task: testTask(1), Attempt: 1, GracePeriod: 4 * time.Second},
		{Kind: fleet.CommandStart, Task: testTask(0), Attempt: 2}, {Kind: fleet.CommandStart, Task: testTask(1), Attempt: 2}, {Kind: fleet.CommandForget, Task: testTask(5), Attempt: 1}}
	a := HeartbeatReply{Machine: "host-1", Code: 200, Epoch: 4, Commands: PackCommands(in)}
	if len(a.Commands) != 3 {
		t.Errorf("commands packed into %d groups, want 3", len(a.Commands))
	}
	if diff := cmp.Diff(in, a.UnpackCommands(), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}
