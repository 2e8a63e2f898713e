package peer

import (
	"net"
	"strings"
	"testing"
	"time"

	"badgerbay/internal/ident"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/wire"
)

func testTask(i ident.TaskIndex) ident.TaskID { return ident.TaskID{Job: "wk-000001", Index: i} }

// TestHeartbeatRoundTrip: what a worker said must reach the leader as it
// was, and the leader's orders the worker in their sequence.
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

func TestCommandsKeepOrder(t *testing.T) {
	in := []fleet.Command{{Kind: fleet.CommandStop, Task: testTask(0), Attempt: 1, GracePeriod: 4 * time.Second}, {Kind: fleet.CommandStop, Task: testTask(1), Attempt: 1, GracePeriod: 4 * time.Second},
		{Kind: fleet.CommandStart, Task: testTask(0), Attempt: 2}, {Kind: fleet.CommandStart, Task: testTask(1), Attempt: 2}, {Kind: fleet.CommandForget, Task: testTask(5), Attempt: 1}}
	a := HeartbeatReply{Machine: "host-1", Code: 200, Epoch: 4, Commands: PackCommands(in)}
	if len(a.Commands) != 3 {
		t.Errorf("%d groups, want 3", len(a.Commands))
	}
	if diff := cmp.Diff(in, a.UnpackCommands(), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

func FuzzDecodeBatch(f *testing.F) {
	data, err := msgpack.Marshal(Batch{ID: "x", Heartbeats: []Heartbeat{PackHeartbeat(&fleet.Heartbeat{Machine: "host-1", Session: 1})}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x81, 0xa1, 'r', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := DecodeBatch(data); err == nil {
			for i := range b.Heartbeats {
				if r, err := b.Heartbeats[i].Unpack(); err == nil && len(r.Tasks) > maxTasksPerHeartbeat {
					t.Errorf("%d tasks", len(r.Tasks))
				}
			}
		}
		if a, err := DecodeReply(data); err == nil {
			for i := range a.Heartbeats {
				a.Heartbeats[i].UnpackCommands()
			}
		}
	})
}

// FuzzDecompress: what stands in the keys of the relay is bounded however little
// of it there is, and never believed.
func FuzzDecompress(f *testing.F) {
	batch, err := wire.CompressMessage(Batch{ID: "x", Heartbeats: []Heartbeat{PackHeartbeat(&fleet.Heartbeat{Machine: "host-1", Session: 1})}})
	if err != nil {
		f.Fatal(err)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		f.Fatal(err)
	}
	bomb, err := wire.CompressMessage(strings.Repeat("x", 2*maxDecompressedBytes))
	if err != nil {
		f.Fatal(err)
	}
	tooMuch, err := msgpack.Marshal(bomb)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(tooMuch)
	f.Add([]byte{0xa4, '!', '!', '!', '!'})
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := DecompressBatch(data); err == nil && len(b.ID) > maxDecompressedBytes {
			t.Errorf("an id of %d bytes", len(b.ID))
		}
		if a, err := DecompressReply(data); err == nil && len(a.ID) > maxDecompressedBytes {
			t.Errorf("an id of %d bytes", len(a.ID))
		}
	})
}

// TestConnectionRefusedIsReported: a peer that refuses connections is told from one
// that a cut hides: its workers may still be reached.
func TestConnectionRefusedIsReported(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	p, err := Dial([]config.Peer{{NodeName: "n1", Addr: addr}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if p.ConnectionRefused("n1") || p.ConnectionRefused("unheard-of") {
		t.Error("refused before anything was tried")
	}
	l.Close()
	if _, err := p.Health(t.Context(), "n1"); err == nil || !p.ConnectionRefused("n1") {
		t.Errorf("%v, refused %v", err, p.ConnectionRefused("n1"))
	}
}
