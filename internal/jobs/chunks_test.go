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

// jsonLen returns the size of a value in JSON, which is how the state service measures it.
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

// largeRecord returns the record of a job with n placement groups, which are on different machines
// and have varying sessions and attempts.
func largeRecord(n int) *Record {
	r := NewRecord(Spec{Class: "c", Team: "t", Tasks: 4 * n, CPUs: 1, Image: "i"}, 7)
	for i := range n {
		first := ident.TaskIndex(4 * i)
		r.Done.Add(first)
		r.Placements = append(r.Placements, PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000)), Session: ident.Session(i%9 + 1),
			Attempt: ident.Attempt(1000 + i*31%977), Tasks: indexset.Set{{First: first + 1, Last: first + 1}, {First: first + 3, Last: first + 3}}})
	}
	return r
}

// TestRecordIsSplitIntoChunks checks that a record of any size that fits is split so that no value
// exceeds the limit, that it is decoded without loss, and that the record without its chunks has
// the counts that a status query needs.
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
				t.Fatalf("chunk has %d bytes, limit is %d", n, limit)
			}
		}
		if n := jsonLen(head); n > limit || len(chunks) >= maxValues {
			t.Fatalf("%d chunks, want fewer than %d; record has %d bytes, limit is %d", len(chunks), maxValues, n, limit)
		}
		data := marshal(t, head)
		decoded, err := DecodeWithChunks(data, func(n int) []byte { return values[n] })
		if err != nil {
			t.Fatal(err)
		}
		if got, want := fmt.Sprint(decoded.Done, decoded.Placements), fmt.Sprint(r.Done, r.Placements); got != want {
			t.Fatalf("decoded %s, want %s", got, want)
		}
		if headOnly, err := Decode(data); err != nil || headOnly.ChunkInfo != nil && (headOnly.ChunkInfo.DoneTasks != r.Done.Len() || headOnly.ChunkInfo.LiveTasks != r.LiveTasks()) {
			t.Fatalf("record without its chunks has %+v, %v", headOnly.ChunkInfo, err)
		}
	})
}

// TestJobFilledToSpareBytesFitsChunks places as many tasks of a job as its spare bytes allow, and checks that
// the job's record still fits into the values allowed when every second task has completed.
func TestJobFilledToSpareBytesFitsChunks(t *testing.T) {
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
		t.Errorf("%d tasks placed, want at least 120", len(j.Placements))
	}
	for i := ident.TaskIndex(0); i < 500; i += 2 {
		j.CompleteTask(0, i)
	}
	if _, _, err := j.Record(9).Split(limit, maxValues, jsonLen); err != nil {
		t.Error(err)
	}
}

// TestTornChunksAreRejected checks that a record is rejected without a panic if its chunks are missing, in the
// wrong order, truncated or of another write, if it claims more chunks than are allowed, and if it
// lacks the chunk information that its schema requires.
func TestTornChunksAreRejected(t *testing.T) {
	head, chunks, err := largeRecord(900).Split(2048, 30, jsonLen)
	if err != nil || len(chunks) < 2 {
		t.Fatalf("%d chunks, %v", len(chunks), err)
	}
	intact := func(n int) []byte { return marshal(t, chunks[n-1]) }
	for name, chunkData := range map[string]func(int) []byte{
		"missing": func(int) []byte { return nil },
		"swapped": func(n int) []byte { return intact(len(chunks) + 1 - n) },
		"truncated": func(n int) []byte {
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
	if _, err := DecodeWithChunks(marshal(t, &malformed), intact); !errors.Is(err, chunk.ErrTorn) {
		t.Errorf("record that claims 2^30 chunks: %v, want %v", err, chunk.ErrTorn)
	}
	if n := len(ChunkNumbers(marshal(t, &malformed))); n > chunk.MaxChunks {
		t.Errorf("%d chunk numbers, want at most %d", n, chunk.MaxChunks)
	}
	malformed.ChunkInfo = nil
	if _, err := Decode(marshal(t, &malformed)); err == nil {
		t.Error("record of schemaChunked without chunk information was accepted")
	}
}

// TestRecordsOfPreviousVersionAreReadAndRewritten checks that records stored by the version in production are decoded,
// that they are encoded to the same bytes while that version may be in service, and that they can
// be stored within smaller limits once it is not.
func TestRecordsOfPreviousVersionAreReadAndRewritten(t *testing.T) {
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
			t.Errorf("%s: encoding differs from the bytes decoded: %d chunks, %v", name, len(extraChunks), err)
		}
		small, chunks, err := r.Split(2048, maxValues, jsonLen)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeWithChunks(marshal(t, small), func(n int) []byte { return marshal(t, chunks[n-1]) })
		if err != nil || fmt.Sprint(decoded.Placements, decoded.Done) != fmt.Sprint(r.Placements, r.Done) {
			t.Errorf("%s: decoded record differs after it was stored in %d values: %v", name, len(chunks)+1, err)
		}
	}
}

// TestMultiTxnRecordRoundTrip checks that SplitMultiTxn splits a large record into chunks that
// keep the smaller limit and don't overwrite those of the stored record, that the record is decoded
// without loss, and that without its chunks it has the counts that a status query needs.
func TestMultiTxnRecordRoundTrip(t *testing.T) {
	for _, storedOffset := range []int{0, chunkBankSize} {
		r := largeRecord(3000)
		r.Phase = PhaseCancelled
		head, chunks, err := r.SplitMultiTxn(2048, storedOffset)
		if err != nil {
			t.Fatal(err)
		}
		if jsonLen(head) > 2048 || len(chunks) <= 4 || head.ChunkInfo.Offset == storedOffset {
			t.Errorf("record has %d bytes, %d chunks, offset %d", jsonLen(head), len(chunks), head.ChunkInfo.Offset)
		}
		values := map[int][]byte{}
		for i, value := range chunks {
			if jsonLen(value) > 2048 {
				t.Errorf("chunk %d has %d bytes, want at most 2048", i, jsonLen(value))
			}
			values[head.ChunkInfo.Offset+i+1] = marshal(t, value)
		}
		data := marshal(t, head)
		if numbers := ChunkNumbers(data); len(numbers) != len(chunks) || numbers[0] != head.ChunkInfo.Offset+1 {
			t.Errorf("chunk numbers %v, want %d from %d", numbers, len(chunks), head.ChunkInfo.Offset+1)
		}
		headOnly, err := Decode(data)
		if err != nil || headOnly.Phase != PhaseCancelled || headOnly.ChunkInfo.DoneTasks != 3000 || headOnly.ChunkInfo.LiveTasks != 6000 {
			t.Errorf("record without its chunks is %+v, %v", headOnly, err)
		}
		decoded, err := DecodeWithChunks(data, func(n int) []byte { return values[n] })
		if err != nil || fmt.Sprint(decoded.Spec, decoded.Placements, decoded.Done) != fmt.Sprint(r.Spec, r.Placements, r.Done) {
			t.Errorf("decoded record differs: %v", err)
		}
		if j := NewJob("wk-000001", decoded, 1, 0); j.Stored.ChunkOffset != head.ChunkInfo.Offset {
			t.Errorf("chunk offset of the job is %d, want %d", j.Stored.ChunkOffset, head.ChunkInfo.Offset)
		}
		delete(values, head.ChunkInfo.Offset+2)
		if _, err := DecodeWithChunks(data, func(n int) []byte { return values[n] }); !errors.Is(err, chunk.ErrTorn) {
			t.Errorf("record with a missing chunk: %v, want %v", err, chunk.ErrTorn)
		}
	}
	if _, err := Decode(marshal(t, &Record{SchemaVersion: schemaMultiTxn, ChunkInfo: &ChunkInfo{Chunks: -1}})); err == nil {
		t.Error("record with a negative number of chunks was accepted")
	}
}
