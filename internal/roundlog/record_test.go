package roundlog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/wire"
)

func sampleRecord() *Record {
	return &Record{SchemaVersion: SchemaPlain, RoundNo: 9, Epoch: 4, LowWatermark: 7, Starts: wire.BoundedList[Start]{
		{Job: "wk-000001", Machine: "host-000001", Session: 2, Tasks: indexset.Set{{First: 0, Last: 3}, {First: 70_000, Last: 70_001}}},
		{Job: "wk-000001", Machine: "host-000002", Session: 1, Tasks: indexset.Set{{First: 9, Last: 9}}},
		{Job: "wk-000002", Machine: "host-000002", Session: 1, Tasks: indexset.Set{{First: 0, Last: 0}}}},
		Deprovisions: wire.BoundedList[ident.MachineID]{"host-000007"}}
}

// TestRecordRoundTrip checks that a record is decoded without loss, from SchemaPlain and from
// schema 1, so that a new leader reads the same decisions that were stored.
func TestRecordRoundTrip(t *testing.T) {
	want := sampleRecord()
	stored, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	schema1 := *want
	schema1.SchemaVersion = 1
	for _, record := range []*Record{stored, &schema1} {
		data, err := msgpack.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data, nil)
		if err != nil {
			t.Fatal(err)
		}
		got.SchemaVersion = want.SchemaVersion
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(indexset.Span{}), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	}
}

// FuzzDecodeRecord checks that Decode does not panic on any input, and that every record that it
// accepts can be encoded.
func FuzzDecodeRecord(f *testing.F) {
	stored, err := sampleRecord().Encode()
	if err != nil {
		f.Fatal(err)
	}
	data, err := msgpack.Marshal(stored)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x82\xa1v\x02\xa2pk\xa73f////8"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := Decode(data, nil); err == nil {
			if _, err := r.Encode(); err != nil {
				t.Errorf("encoding a decoded record: %v", err)
			}
		}
	})
}

// TestRecordOfPreviousVersionIsReadAndRewritten checks that a round stored by the version in production is decoded, and
// encoded again to the same bytes.
func TestRecordOfPreviousVersionIsReadAndRewritten(t *testing.T) {
	data, err := os.ReadFile("testdata/production/round.msgpack")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Decode(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Starts) != 120 || len(r.Provisions) != 1 || len(r.Deprovisions) != 2 || r.RoundNo != 4501 || r.LowWatermark != 4490 {
		t.Errorf("%d starts, %d provisions, %d deprovisions of round %d", len(r.Starts), len(r.Provisions), len(r.Deprovisions), r.RoundNo)
	}
	again, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if out, err := msgpack.Marshal(again); err != nil || !bytes.Equal(out, data) {
		t.Errorf("encoding differs from the bytes decoded: %v", err)
	}
}

// gangRecord returns the record of a round that starts a gang of n tasks, each on a different
// machine.
func gangRecord(n int) *Record {
	r := &Record{SchemaVersion: SchemaPlain, RoundNo: 4711, Epoch: 991, LowWatermark: 4700}
	for i := range n {
		r.Starts = append(r.Starts, Start{Job: "wk-000412", Machine: ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000)),
			Session: ident.Session(i%9 + 1), Tasks: indexset.Set{{First: ident.TaskIndex(i), Last: ident.TaskIndex(i)}}})
	}
	return r
}

const (
	testValueBytes = 2048
	testMaxValues  = 4
)

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestOversizedRecordIsSplitIntoChunks checks that a record that does not fit into one value is split into chunks
// within the limit, and decoded without loss.
func TestOversizedRecordIsSplitIntoChunks(t *testing.T) {
	want := gangRecord(600)
	head, rest, err := want.Split(testValueBytes, testMaxValues, kvstore.JSONSize)
	if err != nil {
		t.Fatal(err)
	}
	if len(rest) < 2 || head.SchemaVersion != schemaChunked || kvstore.JSONSize(head) > testValueBytes {
		t.Fatalf("%d chunks, record has %d bytes and schema %d", len(rest), kvstore.JSONSize(head), head.SchemaVersion)
	}
	for _, value := range rest {
		if n := kvstore.JSONSize(value); n > testValueBytes {
			t.Errorf("chunk has %d bytes, limit is %d", n, testValueBytes)
		}
	}
	got, err := Decode(marshal(t, head), func(n int) []byte { return marshal(t, rest[n-1]) })
	if err != nil {
		t.Fatal(err)
	}
	got.SchemaVersion = want.SchemaVersion
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(indexset.Span{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

// TestTornRecordIsRejected checks that a record is rejected if its chunks are missing, belong to another record
// or are in the wrong order.
func TestTornRecordIsRejected(t *testing.T) {
	head, rest, err := gangRecord(600).Split(testValueBytes, testMaxValues, kvstore.JSONSize)
	if err != nil {
		t.Fatal(err)
	}
	if len(rest) < 2 {
		t.Fatalf("%d chunks", len(rest))
	}
	otherRecord := *rest[0]
	otherRecord.Checksum++
	for _, c := range []struct {
		name   string
		chunks func(n int) []byte
	}{
		{"missing chunks", func(int) []byte { return nil }},
		{"chunks of another record", func(int) []byte { return marshal(t, otherRecord) }},
		{"chunks in another order", func(n int) []byte { return marshal(t, rest[len(rest)-n]) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Decode(marshal(t, head), c.chunks); !errors.Is(err, chunk.ErrTorn) {
				t.Errorf("%v, want %v", err, chunk.ErrTorn)
			}
		})
	}
}

// TestRecordThatFitsOneValueHasPlainSchema checks that a record that fits into one value, or for which only one value
// may be written, has the schema that the previous release reads, and that a record that does not
// fit into the allowed number of values is rejected.
func TestRecordThatFitsOneValueHasPlainSchema(t *testing.T) {
	for _, c := range []struct {
		name          string
		starts        int
		limit, values int
	}{
		{"a small round", 3, testValueBytes, testMaxValues},
		{"one value only", 600, 8192, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			head, rest, err := gangRecord(c.starts).Split(c.limit, c.values, kvstore.JSONSize)
			if err != nil {
				t.Fatal(err)
			}
			if len(rest) > 0 || head.SchemaVersion != SchemaPlain {
				t.Errorf("%d chunks, schema %d", len(rest), head.SchemaVersion)
			}
		})
	}
	if _, _, err := gangRecord(9000).Split(testValueBytes, testMaxValues, kvstore.JSONSize); !errors.Is(err, chunk.ErrTooLarge) {
		t.Errorf("9,000 starts: %v, want %v", err, chunk.ErrTooLarge)
	}
}

// TestReplacementKeepsAttempt checks that the start of a replacement task keeps the attempt of the
// waiting gang. The record then has schemaChunked, which the previous release rejects.
func TestReplacementKeepsAttempt(t *testing.T) {
	r := gangRecord(2)
	r.Starts[1].Attempt = 4700
	head, rest, err := r.Split(2048, 4, kvstore.JSONSize)
	if err != nil || len(rest) > 0 || head.SchemaVersion != schemaChunked {
		t.Fatalf("%d chunks, schema %d, %v", len(rest), head.SchemaVersion, err)
	}
	data, err := msgpack.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := got.Starts[0].AttemptInRound(got.RoundNo), got.Starts[1].AttemptInRound(got.RoundNo); a != 4711 || b != 4700 {
		t.Errorf("attempts %d and %d, want 4711 and 4700", a, b)
	}
}
