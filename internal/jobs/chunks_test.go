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

func stored(t interface{ Fatal(...any) }, v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// large is a record of a job with n tasks under way, each group on a machine of
// its own with nothing in common with the others.
func large(n int) *Record {
	r := NewRecord(Spec{Class: "c", Team: "t", Tasks: 4 * n, CPUs: 1, Image: "i"}, 7)
	for i := range n {
		at := ident.TaskIndex(4 * i)
		r.Done.Add(at)
		r.Placements = append(r.Placements, PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000)), Session: ident.Session(i%9 + 1),
			Attempt: ident.Attempt(1000 + i*31%977), Tasks: indexset.Set{{First: at + 1, Last: at + 1}, {First: at + 3, Last: at + 3}}})
	}
	return r
}

// TestPartsHoldWhatAValueDoesNot: a record of any size within Capacity is split
// so that no value is too large, and read back whole; alone it tells what a poll
// needs.
func TestPartsHoldWhatAValueDoesNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := large(rapid.IntRange(1, 250).Draw(t, "groups"))
		limit, most := rapid.SampledFrom([]int{2048, 8192}).Draw(t, "limit"), rapid.IntRange(2, 5).Draw(t, "parts")
		main, rest, err := r.Split(limit, most, jsonLen)
		if errors.Is(err, chunk.ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		values := map[int][]byte{}
		for i, p := range rest {
			values[i+1] = stored(t, p)
			if n := jsonLen(p); n > limit {
				t.Fatalf("part of %d bytes, %d allowed", n, limit)
			}
		}
		if n := jsonLen(main); n > limit || len(rest) >= most {
			t.Fatalf("%d parts, the record takes %d of %d", len(rest), n, limit)
		}
		data := stored(t, main)
		back, err := DecodeWithChunks(data, func(n int) []byte { return values[n] })
		if err != nil {
			t.Fatal(err)
		}
		if got, want := fmt.Sprint(back.Done, back.Placements), fmt.Sprint(r.Done, r.Placements); got != want {
			t.Fatalf("read back %s, want %s", got, want)
		}
		if head, err := Decode(data); err != nil || head.ChunkInfo != nil && (head.ChunkInfo.DoneTasks != r.Done.Len() || head.ChunkInfo.LiveTasks != r.LiveTasks()) {
			t.Fatalf("alone it says %+v, %v", head.ChunkInfo, err)
		}
	})
}

// TestRoomIsKeptInParts: a job that is filled to its room stays storable.
func TestRoomIsKeptInParts(t *testing.T) {
	const limit, most = 2048, 4
	r := NewRecord(Spec{Class: "c", Team: "t", Tasks: 500, CPUs: 1, Image: "i"}, 7)
	j := NewJob("wk-000001", r, 1, 0)
	spec := jsonLen(&r.Spec)
	for i := 0; len(j.Queue) > 0; i++ {
		m := ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000))
		if j.FittingTasks(j.SpareBytes(limit, most, spec), m, 1) == 0 {
			break
		}
		j.AddPlacement(&Placement{Job: j, Task: j.Queue[0].First, Machine: m, Session: 3, Attempt: ident.Attempt(5000 + i)}, "a")
	}
	if len(j.Placements) < 120 {
		t.Errorf("only %d tasks under way", len(j.Placements))
	}
	for i := ident.TaskIndex(0); i < 500; i += 2 {
		j.CompleteTask(0, i)
	}
	if _, _, err := j.Record(9).Split(limit, most, jsonLen); err != nil {
		t.Error(err)
	}
}

// TestTornParts: parts that are missing, of another time, cut or more than a
// record may claim are refused, and nothing panics.
func TestTornParts(t *testing.T) {
	main, rest, err := large(900).Split(2048, 30, jsonLen)
	if err != nil || len(rest) < 2 {
		t.Fatalf("%d parts, %v", len(rest), err)
	}
	whole := func(n int) []byte { return stored(t, rest[n-1]) }
	for what, part := range map[string]func(int) []byte{
		"missing": func(int) []byte { return nil },
		"swapped": func(n int) []byte { return whole(len(rest) + 1 - n) },
		"cut": func(n int) []byte {
			p := *rest[n-1]
			p.Data = p.Data[:len(p.Data)/2]
			return stored(t, &p)
		},
		"older": func(n int) []byte {
			p := *rest[n-1]
			p.Checksum++
			return stored(t, &p)
		},
	} {
		if _, err := DecodeWithChunks(stored(t, main), part); !errors.Is(err, chunk.ErrTorn) {
			t.Errorf("%s: %v", what, err)
		}
	}
	odd := *main
	odd.ChunkInfo = &ChunkInfo{Chunks: 1 << 30, Checksum: main.ChunkInfo.Checksum}
	if _, err := DecodeWithChunks(stored(t, &odd), whole); !errors.Is(err, chunk.ErrTorn) {
		t.Errorf("a record that claims 2^30 parts: %v", err)
	}
	if n := len(ChunkNumbers(stored(t, &odd))); n > chunk.MaxChunks {
		t.Errorf("%d parts would be read", n)
	}
	odd.ChunkInfo = nil
	if _, err := Decode(stored(t, &odd)); err == nil {
		t.Error("a record of the later schema without parts was taken")
	}
}

// TestRecordsOfTheVersionBefore: what the production version has stored is read,
// rewritten byte by byte while that version may serve, and rewritten within the
// smaller limits once it does not.
func TestRecordsOfTheVersionBefore(t *testing.T) {
	for name, most := range map[string]int{"job-8k": 4, "job-16k": 5} {
		data, err := os.ReadFile("testdata/production/" + name + ".msgpack")
		if err != nil {
			t.Fatal(err)
		}
		r, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if r.LiveTasks() < 150 || r.Done.Len() != 20 || r.LastRound != 4500 {
			t.Errorf("%s: %d tasks under way, %d done, round %d", name, r.LiveTasks(), r.Done.Len(), r.LastRound)
		}
		plain, none, err := r.Split(16<<10, 1, jsonLen)
		if err != nil || len(none) > 0 || !bytes.Equal(stored(t, plain), data) {
			t.Errorf("%s: not written as it was read: %d parts, %v", name, len(none), err)
		}
		small, rest, err := r.Split(2048, most, jsonLen)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeWithChunks(stored(t, small), func(n int) []byte { return stored(t, rest[n-1]) })
		if err != nil || fmt.Sprint(back.Placements, back.Done) != fmt.Sprint(r.Placements, r.Done) {
			t.Errorf("%s: not the same in %d parts: %v", name, len(rest)+1, err)
		}
	}
}

// TestStagedRecord: a record of any size is stored in parts of the smaller limit,
// beside those of the record that is stored, and read back whole. Alone it tells
// what a poll needs.
func TestStagedRecord(t *testing.T) {
	for _, storedFirst := range []int{0, chunkBankSize} {
		r := large(3000)
		r.Phase = PhaseCancelled
		head, rest, err := r.SplitMultiTxn(2048, storedFirst)
		if err != nil {
			t.Fatal(err)
		}
		if jsonLen(head) > 2048 || len(rest) <= 4 || head.ChunkInfo.Offset == storedFirst {
			t.Errorf("a head of %d bytes, %d parts after number %d", jsonLen(head), len(rest), head.ChunkInfo.Offset)
		}
		values := map[int][]byte{}
		for i, p := range rest {
			if jsonLen(p) > 2048 {
				t.Errorf("part %d takes %d bytes", i, jsonLen(p))
			}
			values[head.ChunkInfo.Offset+i+1] = stored(t, p)
		}
		data := stored(t, head)
		if numbers := ChunkNumbers(data); len(numbers) != len(rest) || numbers[0] != head.ChunkInfo.Offset+1 {
			t.Errorf("parts %v", numbers)
		}
		alone, err := Decode(data)
		if err != nil || alone.Phase != PhaseCancelled || alone.ChunkInfo.DoneTasks != 3000 || alone.ChunkInfo.LiveTasks != 6000 {
			t.Errorf("alone it says %+v, %v", alone, err)
		}
		back, err := DecodeWithChunks(data, func(n int) []byte { return values[n] })
		if err != nil || fmt.Sprint(back.Spec, back.Placements, back.Done) != fmt.Sprint(r.Spec, r.Placements, r.Done) {
			t.Errorf("not read back as it was: %v", err)
		}
		if j := NewJob("wk-000001", back, 1, 0); j.StoredChunkOffset != head.ChunkInfo.Offset {
			t.Errorf("the job's parts are taken for those after number %d, not %d", j.StoredChunkOffset, head.ChunkInfo.Offset)
		}
		delete(values, head.ChunkInfo.Offset+2)
		if _, err := DecodeWithChunks(data, func(n int) []byte { return values[n] }); !errors.Is(err, chunk.ErrTorn) {
			t.Errorf("a part is missing: %v", err)
		}
	}
	if _, err := Decode(stored(t, &Record{SchemaVersion: schemaMultiTxn, ChunkInfo: &ChunkInfo{Chunks: -1}})); err == nil {
		t.Error("a staged record with impossible parts was taken")
	}
}
