package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/peer"
)

// TestBatchFitsValue: however many workers are partitioned from the leader, a batch
// stays below the size of a value, and what does not fit goes with the next.
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
	got, err := peer.DecompressBatch(value)
	if err != nil || len(got.Heartbeats) != len(batch.Sent) {
		t.Fatalf("%+v, want %d heartbeats, %v", got, len(batch.Sent), err)
	}
	if len(data) > valueBytes || len(batch.Sent) == 0 || len(batch.Sent)+len(batch.Remaining) != 200 {
		t.Errorf("%d bytes, %d sent, %d left", len(data), len(batch.Sent), len(batch.Remaining))
	}
	late, err := NewBatch(now.Add(time.Minute), BatchHeader{ID: "id"}, queue, MaxBatchBytes(valueBytes))
	if err != nil || len(late.Sent)+len(late.Remaining) != 0 {
		t.Error("heartbeats are sent past their deadline")
	}
}

// TestBatchesCoverTwoThousandWorkers: the heartbeats of a partitioned half of 4,000
// machines are sent in batches, each of which fits into a value, and each of them once;
// users' requests go first.
func TestBatchesCoverTwoThousandWorkers(t *testing.T) {
	const workers, valueBytes, maxBatches = 2000, 8192, 60
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
		if err != nil || len(batch.Value) > valueBytes || len(batch.Sent) == 0 || number > maxBatches {
			t.Fatalf("batch %d: %d sent in %d bytes, %v", number, len(batch.Sent), len(batch.Value), err)
		}
		if number == 1 && batch.Sent[0].Job != "wk-000002" {
			t.Error("a cancel request waits behind heartbeats")
		}
		for _, request := range batch.Sent {
			if request.Heartbeat != nil {
				sent[request.Heartbeat.Machine]++
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
