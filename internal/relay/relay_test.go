package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/peer"
)

// TestRouterRelaysReturningWorkers: a worker is sent to the leader first; one
// that comes back soon could not reach it, and is relayed for a while.
func TestRouterRelaysReturningWorkers(t *testing.T) {
	d := &Router{}
	now := clock.Instant(time.Hour)
	works := func() bool { return true }
	if !d.ShouldRedirect(now, "host-1", "n1", works) {
		t.Fatal("relayed at first sight")
	}
	if d.ShouldRedirect(now.Add(5*time.Second), "host-1", "n1", works) {
		t.Error("sent to a leader that it could not reach")
	}
	if d.ShouldRedirect(now.Add(30*time.Second), "host-1", "n1", works) {
		t.Error("not relayed for long enough")
	}
	if !d.ShouldRedirect(now.Add(60*time.Second), "host-1", "n1", works) {
		t.Error("never sent to the leader again")
	}
	if d.ShouldRedirect(now.Add(62*time.Second), "host-1", "n1", works) {
		t.Error("sent there twice in a row")
	}
	if !d.ShouldRedirect(now.Add(63*time.Second), "host-1", "n2", works) {
		t.Error("relayed to a new leader that may be in reach")
	}
}

// TestBatchFitsValue: however many workers are cut off, a batch stays below
// the size of a value, and who does not fit goes with the next.
func TestBatchFitsValue(t *testing.T) {
	const valueBytes = 8192
	now := clock.Instant(time.Hour)
	var queue []PendingRequest
	for i := range 200 {
		r := &fleet.Heartbeat{Machine: ident.MachineID(fmt.Sprintf("host-%06d", i)), Addr: "10.1.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 1}
		for k := range ident.TaskIndex(8) {
			r.Tasks = append(r.Tasks, fleet.TaskStatus{Task: ident.TaskID{Job: "wk-000001", Index: 2 * k}, Attempt: ident.Attempt(100 + k), State: "running"})
		}
		queue = append(queue, NewHeartbeatRequest(r, now.Add(time.Second)))
	}
	batch, err := NewBatch(now, BatchHeader{ID: "id"}, queue, MaxBatchBytes(valueBytes))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(batch.Value)
	if err != nil {
		t.Fatal(err)
	}
	value, err := msgpack.Marshal(batch.Value)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := peer.DecompressBatch(value); err != nil || len(got.Heartbeats) != len(batch.Sent) {
		t.Errorf("%d reports come through, %v", len(got.Heartbeats), err)
	}
	if len(data) > valueBytes || len(batch.Sent) == 0 || len(batch.Sent)+len(batch.Remaining) != 200 {
		t.Errorf("%d bytes, %d sent, %d left", len(data), len(batch.Sent), len(batch.Remaining))
	}
	late, err := NewBatch(now.Add(time.Minute), BatchHeader{ID: "id"}, queue, MaxBatchBytes(valueBytes))
	if err != nil || len(late.Sent)+len(late.Remaining) != 0 {
		t.Error("reports that nobody waits for any more are sent")
	}
}

// TestBatchesCoverTwoThousandWorkers: the workers of a cut-off half of 4,000 machines go up
// in batches, each of which fits into a value, and each of them once; users' requests
// go first. What is left when nobody waits any more is dropped: such workers are kept
// by the node's grant, or try another node.
func TestBatchesCoverTwoThousandWorkers(t *testing.T) {
	const workers, valueBytes, mostBatches = 2000, 8192, 60
	now := clock.Instant(time.Hour)
	var queue []PendingRequest
	for i := range workers {
		r := &fleet.Heartbeat{Machine: ident.MachineID(fmt.Sprintf("host-%06d", i)), Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			Type: "m", Zone: "a", Session: 1, HeartbeatSeq: ident.HeartbeatSeq(i)}
		r.Tasks = []fleet.TaskStatus{{Task: ident.TaskID{Job: "wk-000001", Index: ident.TaskIndex(i)}, Attempt: ident.Attempt(i), State: "running"}}
		queue = append(queue, NewHeartbeatRequest(r, now.Add(time.Hour)))
	}
	queue = append(queue, NewCancelRequest("wk-000002", now.Add(time.Hour)))
	sent := map[ident.MachineID]int{}
	for number := 1; len(queue) > 0; number++ {
		batch, err := NewBatch(now, BatchHeader{ID: fmt.Sprint(number), Node: "n1"}, queue, MaxBatchBytes(valueBytes))
		if err != nil || len(batch.Value) > valueBytes || len(batch.Sent) == 0 || number > mostBatches {
			t.Fatalf("batch %d: %d sent in %d bytes, %v", number, len(batch.Sent), len(batch.Value), err)
		}
		if number == 1 && batch.Sent[0].Job != "wk-000002" {
			t.Error("a cancellation waits behind reports")
		}
		for _, item := range batch.Sent {
			if item.Heartbeat != nil {
				sent[item.Heartbeat.Machine]++
			}
		}
		queue = batch.Remaining
	}
	for id, n := range sent {
		if n != 1 {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
	if len(sent) != workers {
		t.Errorf("%d of %d workers were relayed", len(sent), workers)
	}
}

// TestDeliverReplies hands each answer to who waits for it, and nothing to the others.
func TestDeliverReplies(t *testing.T) {
	now := clock.Instant(time.Hour)
	answered := NewHeartbeatRequest(&fleet.Heartbeat{Machine: "m1"}, now)
	left := NewHeartbeatRequest(&fleet.Heartbeat{Machine: "m2"}, now)
	cancelled := NewCancelRequest("wk-000001", now)
	DeliverReplies(&peer.BatchReply{Heartbeats: []peer.HeartbeatReply{{Machine: "m1", Code: 200, Epoch: 7}}, Cancellations: []peer.CancelReply{{Job: "wk-000001", State: "cancelled"}}},
		[]PendingRequest{answered, left, cancelled})
	if a := <-answered.HeartbeatReply; a.Epoch != 7 {
		t.Errorf("answered %+v", a)
	}
	if s := <-cancelled.CancelReply; s.State != "cancelled" {
		t.Errorf("cancelled %+v", s)
	}
	if len(left.HeartbeatReply) != 0 {
		t.Error("a report was answered that the leader left out")
	}
}
