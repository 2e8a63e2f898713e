package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
)

// jsonLen measures a value as the state service does: in JSON.
func jsonLen(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 1 << 20
	}
	return len(data)
}

func marshal(t interface{ Fatal(...any) }, v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// largeRecord is of a job with n groups of tasks placed, each on a machine of
// its own with nothing in common with the others.
func largeRecord(n int) *Record {
	r := NewRecord(Spec{Class: "c", Team: "t", Tasks: 4 * n, CPUs: 1, Image: "i"}, 7)
	for i := range n {
		at := ident.TaskIndex(4 * i)
		r.Done.Add(at)
		r.Placements = append(r.Placements, PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000)), Session: ident.Session(i%9 + 1),
			Attempt: ident.Attempt(1000 + i*31%977), Tasks: indexset.Set{{First: at + 1, Last: at + 1}, {First: at + 3, Last: at + 3}}})
	}
	return r
}

// TestRecordIsSplitIntoChunks: a record of any size within RecordCapacity is split
// so that no value is too large, and read back whole; without its chunks it tells what a
// status query needs.
func TestRecordIsSplitIntoChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := largeRecord(rapid.IntRange(1, 250).Draw(t, "groups"))
		limit, maxValues := rapid.SampledFrom([]int{2048, 8192}).Draw(t, "limit"), rapid.IntRange(2, 5).Draw(t, "values")
		head, chunks, err := r.Split(limit, maxValues, jsonLen)
		if errors.Is(err, chunk.ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		values := map[int][]byte{}
		for i, value := range chunks {
			values[i+1] = marshal(t, value)
			if n := jsonLen(value); n > limit {
				t.Fatalf("chunk of %d bytes, %d allowed", n, limit)
			}
		}
		if n := jsonLen(head); n > limit || len(chunks) >= maxValues {
			t.Fatalf("%d chunks, the record takes %d of %d", len(chunks), n, limit)
		}
		data := marshal(t, head)
		decoded, err := DecodeWithChunks(data, func(n int) []byte { return values[n] })
		if err != nil {
			t.Fatal(err)
		}
		if got, want := fmt.Sprint(decoded.Done, decoded.Placements), fmt.Sprint(r.Done, r.Placements); got != want {
			t.Fatalf("read back %s, want %s", got, want)
		}
		if headOnly, err := Decode(data); err != nil || headOnly.ChunkInfo != nil && (headOnly.ChunkInfo.DoneTasks != r.Done.Len() || headOnly.ChunkInfo.LiveTasks != r.LiveTasks()) {
			t.Fatalf("alone it says %+v, %v", headOnly.ChunkInfo, err)
		}
	})
}

// TestFilledRecordFitsChunks: a job that is filled up to its spare bytes stays storable.
func TestFilledRecordFitsChunks(t *testing.T) {
	const limit, maxValues = 2048, 4
	r := NewRecord(Spec{Class: "c", Team: "t", Tasks: 500, CPUs: 1, Image: "i"}, 7)
	j := NewJob("wk-000001", r, 1, 0)
	spec := jsonLen(&r.Spec)
	for i := 0; len(j.Queue) > 0; i++ {
		m := ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000))
		if j.FittingTasks(j.SpareBytes(limit, maxValues, spec), m, 1) == 0 {
			break
		}
		j.AddPlacement(&Placement{Job: j, Task: j.Queue[0].First, Machine: m, Session: 3, Attempt: ident.Attempt(5000 + i)}, "a")
	}
	if len(j.Placements) < 120 {
		t.Errorf("only %d tasks placed", len(j.Placements))
	}
	for i := ident.TaskIndex(0); i < 500; i += 2 {
		j.CompleteTask(0, i)
	}
	if _, _, err := j.Record(9).Split(limit, maxValues, jsonLen); err != nil {
		t.Error(err)
	}
}

// TestTornChunks: chunks that are missing, of another time, cut or more than a
// record may claim are refused, and nothing panics.
func TestTornChunks(t *testing.T) {
	head, chunks, err := largeRecord(900).Split(2048, 30, jsonLen)
	if err != nil || len(chunks) < 2 {
		t.Fatalf("%d chunks, %v", len(chunks), err)
	}
	whole := func(n int) []byte { return marshal(t, chunks[n-1]) }
	for name, chunkData := range map[string]func(int) []byte{
		"missing": func(int) []byte { return nil },
		"swapped": func(n int) []byte { return whole(len(chunks) + 1 - n) },
		"cut": func(n int) []byte {
			value := *chunks[n-1]
			value.Data = value.Data[:len(value.Data)/2]
			return marshal(t, &value)
		},
		"older": func(n int) []byte {
			value := *chunks[n-1]
			value.Checksum++
			return marshal(t, &value)
		},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeWithChunks(marshal(t, head), chunkData); !errors.Is(err, chunk.ErrTorn) {
				t.Error(err)
			}
		})
	}
	malformed := *head
	malformed.ChunkInfo = &ChunkInfo{Chunks: 1 << 30, Checksum: head.ChunkInfo.Checksum}
	if _, err := DecodeWithChunks(marshal(t, &malformed), whole); !errors.Is(err, chunk.ErrTorn) {
		t.Errorf("a record that claims 2^30 chunks: %v", err)
	}
	if n := len(ChunkNumbers(marshal(t, &malformed))); n > chunk.MaxChunks {
		t.Errorf("%d chunks would be read", n)
	}
	malformed.ChunkInfo = nil
	if _, err := Decode(marshal(t, &malformed)); err == nil {
		t.Error("a record of the later schema without chunks was taken")
	}
}

// TestRecordsOfPreviousVersion: what the production version has stored is read,
// rewritten byte by byte while that version may serve, and rewritten within the
// smaller limits once it does not.
func TestRecordsOfPreviousVersion(t *testing.T) {
	for name, maxValues := range map[string]int{"job-8k": 4, "job-16k": 5} {
		data, err := os.ReadFile("testdata/production/" + name + ".msgpack")
		if err != nil {
			t.Fatal(err)
		}
		r, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if r.LiveTasks() < 150 || r.Done.Len() != 20 || r.LastRound != 4500 {
			t.Errorf("%s: %d tasks placed, %d done, round %d", name, r.LiveTasks(), r.Done.Len(), r.LastRound)
		}
		plain, extraChunks, err := r.Split(16<<10, 1, jsonLen)
		if err != nil || len(extraChunks) > 0 || !bytes.Equal(marshal(t, plain), data) {
			t.Errorf("%s: not written as it was read: %d chunks, %v", name, len(extraChunks), err)
		}
		small, chunks, err := r.Split(2048, maxValues, jsonLen)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeWithChunks(marshal(t, small), func(n int) []byte { return marshal(t, chunks[n-1]) })
		if err != nil || fmt.Sprint(decoded.Placements, decoded.Done) != fmt.Sprint(r.Placements, r.Done) {
			t.Errorf("%s: not the same in %d values: %v", name, len(chunks)+1, err)
		}
	}
}

// TestRecordOverSeveralTransactions: a record of any size is stored in chunks of the smaller
// limit, beside those of the record that is stored, and read back whole. Without its chunks it
// tells what a status query needs.
func TestRecordOverSeveralTransactions(t *testing.T) {
	for _, storedOffset := range []int{0, chunkBankSize} {
		r := largeRecord(3000)
		r.Phase = PhaseCancelled
		head, chunks, err := r.SplitMultiTxn(2048, storedOffset)
		if err != nil {
			t.Fatal(err)
		}
		if jsonLen(head) > 2048 || len(chunks) <= 4 || head.ChunkInfo.Offset == storedOffset {
			t.Errorf("a head of %d bytes, %d chunks after number %d", jsonLen(head), len(chunks), head.ChunkInfo.Offset)
		}
		values := map[int][]byte{}
		for i, value := range chunks {
			if jsonLen(value) > 2048 {
				t.Errorf("chunk %d takes %d bytes", i, jsonLen(value))
			}
			values[head.ChunkInfo.Offset+i+1] = marshal(t, value)
		}
		data := marshal(t, head)
		if numbers := ChunkNumbers(data); len(numbers) != len(chunks) || numbers[0] != head.ChunkInfo.Offset+1 {
			t.Errorf("chunks %v", numbers)
		}
		headOnly, err := Decode(data)
		if err != nil || headOnly.Phase != PhaseCancelled || headOnly.ChunkInfo.DoneTasks != 3000 || headOnly.ChunkInfo.LiveTasks != 6000 {
			t.Errorf("alone it says %+v, %v", headOnly, err)
		}
		decoded, err := DecodeWithChunks(data, func(n int) []byte { return values[n] })
		if err != nil || fmt.Sprint(decoded.Spec, decoded.Placements, decoded.Done) != fmt.Sprint(r.Spec, r.Placements, r.Done) {
			t.Errorf("not read back as it was: %v", err)
		}
		if j := NewJob("wk-000001", decoded, 1, 0); j.Stored.ChunkOffset != head.ChunkInfo.Offset {
			t.Errorf("the job's chunks are taken for those after number %d, not %d", j.Stored.ChunkOffset, head.ChunkInfo.Offset)
		}
		delete(values, head.ChunkInfo.Offset+2)
		if _, err := DecodeWithChunks(data, func(n int) []byte { return values[n] }); !errors.Is(err, chunk.ErrTorn) {
			t.Errorf("a chunk is missing: %v", err)
		}
	}
	if _, err := Decode(marshal(t, &Record{SchemaVersion: schemaMultiTxn, ChunkInfo: &ChunkInfo{Chunks: -1}})); err == nil {
		t.Error("a record with impossible chunks was taken")
	}
}
