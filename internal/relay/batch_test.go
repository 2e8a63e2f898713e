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

// TestBatchFitsValue checks that a batch of many heartbeats does not exceed the size of a
// value, that the requests that do not fit are left for the next batch, and that requests
// past their deadline are dropped. It guards against batches that the state service
// rejects when many workers are partitioned from the leader.
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
		t.Fatalf("decoded %+v, %v, want %d heartbeats", got, err, len(batch.Sent))
	}
	if len(data) > valueBytes || len(batch.Sent) == 0 || len(batch.Sent)+len(batch.Remaining) != 200 {
		t.Errorf("%d bytes, %d requests sent, %d remaining", len(data), len(batch.Sent), len(batch.Remaining))
	}
	late, err := NewBatch(now.Add(time.Minute), BatchHeader{ID: "id"}, queue, MaxBatchBytes(valueBytes))
	if err != nil || len(late.Sent)+len(late.Remaining) != 0 {
		t.Errorf("%d requests past their deadline were kept, error %v", len(late.Sent)+len(late.Remaining), err)
	}
}

// TestBatchesCoverTwoThousandWorkers checks that the heartbeats of 2,000 workers, half of a
// cluster of 4,000 machines that is partitioned, are each sent once, in batches that fit
// into a value, and that users' requests are sent first.
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
			t.Fatalf("batch %d: %d requests in %d bytes, error %v", number, len(batch.Sent), len(batch.Value), err)
		}
		if number == 1 && batch.Sent[0].Job != "wk-000002" {
			t.Error("cancel request was not sent before the heartbeats")
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
			t.Errorf("heartbeat of %s was sent %d times, want once", id, n)
		}
	}
	if len(sent) != workers {
		t.Errorf("heartbeats of %d workers were sent, want %d", len(sent), workers)
	}
}
