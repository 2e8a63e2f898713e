package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
)

// TestRecordRoundTrip checks that a record is decoded without loss, also from the lists of schema 1,
// and that a job restored from it queues all tasks that are not done.
func TestRecordRoundTrip(t *testing.T) {
	j := NewJob("wk-000001", NewRecord(Spec{Team: "red", Tasks: 10, CPUs: 1.5, Image: "i", MachineTypes: []ident.MachineType{"m"}}, 99), 3, 0)
	j.CompleteTask(1, 4)
	for i := range ident.TaskIndex(3) {
		j.AddPlacement(&Placement{Job: j, Task: i, Machine: "host-1", Session: 2, Attempt: 7}, "a")
	}
	want := j.Record(12)
	stored, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := msgpack.Marshal(stored)
	if err != nil {
		t.Fatal(err)
	}
	schema1 := *want
	schema1.SchemaVersion = 1
	listForm, err := msgpack.Marshal(&schema1)
	if err != nil {
		t.Fatal(err)
	}
	decodedList, err := Decode(listForm)
	if err != nil || len(decodedList.Placements) != 1 || !decodedList.Done.Contains(4) {
		t.Errorf("record of schema 1 decoded as %+v, %v", decodedList, err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(indexset.Span{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	if len(got.Placements) != 1 || got.Placements[0].Tasks.Len() != 3 || got.Next != ActionReconcile {
		t.Errorf("%+v", got)
	}
	reloaded := NewJob("wk-000001", got, 4, 0)
	if reloaded.Queue.Len() != 9 || reloaded.Queue.Contains(4) {
		t.Errorf("queue %v, want all tasks but task 4, which is done", reloaded.Queue)
	}
}

// TestNewerSchemaIsRejected checks that Decode does not interpret a record of a newer schema, whose
// meaning is unknown.
func TestNewerSchemaIsRejected(t *testing.T) {
	r := NewRecord(Spec{Tasks: 1}, 0)
	r.SchemaVersion = SchemaVersion + 1
	data, err := msgpack.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); !errors.Is(err, ErrNewerSchema) {
		t.Errorf("%v, want ErrNewerSchema", err)
	}
}

// TestFinalPhaseDoesNotChange checks that a cancelled job does not become done, nor a done job cancelled.
func TestFinalPhaseDoesNotChange(t *testing.T) {
	cancelled := NewJob("wk-000001", NewRecord(Spec{Tasks: 1}, 0), 1, 0)
	cancelled.Cancel(1)
	cancelled.CompleteTask(2, 0)
	if cancelled.Phase != PhaseCancelled {
		t.Errorf("phase of a cancelled job is %s", cancelled.Phase)
	}
	done := NewJob("wk-000002", NewRecord(Spec{Tasks: 1}, 0), 1, 0)
	done.CompleteTask(1, 0)
	done.Cancel(2)
	if done.Phase != PhaseDone {
		t.Errorf("phase of a done job is %s", done.Phase)
	}
}

// TestRecordFitsOneValue starts and ends random tasks of a large job, within the bound of
// SpareBytes, and checks that the job's record never exceeds the size of one value.
func TestRecordFitsOneValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8 << 10
		j := NewJob("wk-999999", NewRecord(Spec{Team: "a-team-name", Tasks: 100_000, CPUs: 1.25, Image: "image"}, 1<<41), 1, 0)
		spec, err := json.Marshal(j.Spec)
		if err != nil {
			t.Fatal(err)
		}
		machines := rapid.IntRange(1, 200).Draw(t, "machines")
		seed := rapid.Uint64().Draw(t, "seed")
		randomIntn := func(n int) int {
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % n
		}
		live := map[ident.TaskIndex]*Placement{}
		for round := range 60 {
			for spare := j.SpareBytes(limit, 1, len(spec)); len(j.Queue) > 0; {
				machine := ident.MachineID(fmt.Sprintf("host-%06d", randomIntn(machines)))
				n := j.FittingTasks(spare, machine, min(1+randomIntn(9), j.Queue.Len()))
				if n == 0 {
					break
				}
				spare -= j.GroupBytes(machine, n)
				for range n {
					i := j.Queue[0].First
					p := &Placement{Job: j, Task: i, Machine: machine, Session: 12, Attempt: ident.Attempt(123456 + round)}
					j.AddPlacement(p, "a")
					live[i] = p
				}
			}
			for i := range ident.TaskIndex(100_000) {
				p := live[i]
				if p == nil {
					if int(i) > 60*200 {
						break
					}
					continue
				}
				switch randomIntn(4) {
				case 0:
					j.CompleteTask(1, i)
					j.EndPlacement(1, p, "a", true)
					delete(live, i)
				case 1:
					j.EndPlacement(1, p, "a", true)
					delete(live, i)
				}
			}
			rec, err := j.Record(1 << 40).Encode()
			if err != nil {
				t.Fatal(err)
			}
			data, err := json.Marshal(rec)
			if err != nil {
				t.Fatal(err)
			}
			if len(data) > limit {
				t.Fatalf("record has %d bytes after round %d: %d placements, %d spans of done tasks", len(data), round, len(j.Placements), len(j.Done))
			}
		}
		if len(j.Done) == 0 {
			t.Fatal("no task was completed")
		}
	})
}

// FuzzDecode checks that Decode and the use of its result don't panic on any input.
func FuzzDecode(f *testing.F) {
	data, err := msgpack.Marshal(NewRecord(Spec{Tasks: 3, CPUs: 1}, 5))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	j := NewJob("wk-000001", NewRecord(Spec{Tasks: 30, CPUs: 1}, 5), 1, 0)
	j.CompleteTask(1, 4)
	j.AddPlacement(&Placement{Job: j, Task: 9, Machine: "host-1", Session: 2, Attempt: 7}, "a")
	stored, err := j.Record(3).Encode()
	if err != nil {
		f.Fatal(err)
	}
	if data, err = msgpack.Marshal(stored); err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x81, 0xa1, 'l', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'd', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := Decode(data); err == nil {
			NewJob("wk-000001", r, 1, 0).Record(1)
		}
	})
}

// TestCheckpointTimeIsExcludedFromRunTime checks that the time of the checkpoint after a stop request is
// excluded from the run time: a task that is requested to stop before MinCountedRunTime does not
// count as started, however long its checkpoint takes.
func TestCheckpointTimeIsExcludedFromRunTime(t *testing.T) {
	now := clock.Instant(time.Hour)
	j := NewJob("wk-000001", NewRecord(Spec{Tasks: 2, CheckpointIntervalSeconds: 20, CheckpointSeconds: 6}, 0), 1, now)
	for i, runTime := range []time.Duration{MinCountedRunTime - time.Second, MinCountedRunTime + time.Second} {
		p := &Placement{Job: j, Task: ident.TaskIndex(i), State: PlacementRunning, RunningSince: now, Stopping: true, StopRequestedAt: now.Add(runTime)}
		j.AddPlacement(p, "a")
		j.EndPlacement(now.Add(runTime+6*time.Second), p, "a", true)
	}
	if unstarted := j.UnstartedTasks(2); len(unstarted) != 1 || unstarted[0] != 0 {
		t.Errorf("unstarted tasks %v, want task 0", unstarted)
	}
}
