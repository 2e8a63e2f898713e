package round

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/parts"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

func sample() *Record {
	return &Record{Schema: schemaPlain, No: 9, Epoch: 4, Low: 7, Starts: wire.BoundedList[Start]{
		{Job: "wk-000001", Machine: "host-000001", Session: 2, Tasks: unit.Set{{First: 0, Last: 3}, {First: 70_000, Last: 70_001}}},
		{Job: "wk-000001", Machine: "host-000002", Session: 1, Tasks: unit.Set{{First: 9, Last: 9}}},
		{Job: "wk-000002", Machine: "host-000002", Session: 1, Tasks: unit.Set{{First: 0, Last: 0}}}},
		Releases: wire.BoundedList[unit.MachineID]{"host-000007"}}
}

// TestRecordSurvivesTheStore: what a successor reads is what was decided, from
// records of this schema and of the one before.
func TestRecordSurvivesTheStore(t *testing.T) {
	want := sample()
	stored, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	old := *want
	old.Schema = 1
	for _, form := range []*Record{stored, &old} {
		data, err := msgpack.Marshal(form)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data, nil)
		if err != nil {
			t.Fatal(err)
		}
		got.Schema = want.Schema
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(unit.Span{}), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	}
}

func FuzzDecodeRecord(f *testing.F) {
	stored, err := sample().Encode()
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
				t.Errorf("read and can't be written: %v", err)
			}
		}
	})
}

// TestRecordOfTheVersionBefore: a round that the production version has stored
// is read, and written again byte by byte.
func TestRecordOfTheVersionBefore(t *testing.T) {
	data, err := os.ReadFile("testdata/production/round.msgpack")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Decode(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Starts) != 120 || len(r.Hires) != 1 || len(r.Releases) != 2 || r.No != 4501 || r.Low != 4490 {
		t.Errorf("%d starts, %d rentals, %d releases of round %d", len(r.Starts), len(r.Hires), len(r.Releases), r.No)
	}
	again, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if out, err := msgpack.Marshal(again); err != nil || !bytes.Equal(out, data) {
		t.Errorf("not written as it was read: %v", err)
	}
}

// wide is a round that starts a gang of n tasks on as many machines.
func wide(n int) *Record {
	r := &Record{Schema: schemaPlain, No: 4711, Epoch: 991, Low: 4700}
	for i := range n {
		r.Starts = append(r.Starts, Start{Job: "wk-000412", Machine: unit.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000)),
			Session: unit.Session(i%9 + 1), Tasks: unit.Set{{First: unit.TaskIndex(i), Last: unit.TaskIndex(i)}}})
	}
	return r
}

// TestRoundInParts: a round that does not fit into one value is split into parts
// of the smaller limit, and read back whole or not at all. One that fits is what
// the version before reads.
func TestRoundInParts(t *testing.T) {
	const limit, values = 2048, 4
	want := wide(600)
	head, rest, err := want.Split(limit, values, statestore.JSONSize)
	if err != nil {
		t.Fatal(err)
	}
	if len(rest) == 0 || head.Schema != schemaParts || statestore.JSONSize(head) > limit {
		t.Fatalf("%d parts, a head of %d bytes in schema %d", len(rest), statestore.JSONSize(head), head.Schema)
	}
	stored := func(v any) []byte {
		data, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, p := range rest {
		if n := statestore.JSONSize(p); n > limit {
			t.Errorf("a part of %d bytes", n)
		}
	}
	got, err := Decode(stored(head), func(n int) []byte { return stored(rest[n-1]) })
	if err != nil {
		t.Fatal(err)
	}
	got.Schema = want.Schema
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(unit.Span{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	torn := *rest[0]
	torn.Checksum++
	for what, part := range map[string]func(int) []byte{
		"missing":         func(int) []byte { return nil },
		"of another time": func(int) []byte { return stored(torn) },
		"surplus":         func(n int) []byte { return stored(rest[len(rest)-n]) },
	} {
		if _, err := Decode(stored(head), part); what != "surplus" && !errors.Is(err, parts.ErrTorn) || what == "surplus" && len(rest) > 1 && err == nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	if small, none, err := wide(3).Split(limit, values, statestore.JSONSize); err != nil || len(none) > 0 || small.Schema != schemaPlain {
		t.Errorf("a small round: %d parts, schema %d, %v", len(none), small.Schema, err)
	}
	if plain, none, err := want.Split(8192, 1, statestore.JSONSize); err != nil || len(none) > 0 || plain.Schema != schemaPlain {
		t.Errorf("where the version before may serve: %d parts, schema %d, %v", len(none), plain.Schema, err)
	}
	if _, _, err := wide(9000).Split(limit, values, statestore.JSONSize); !errors.Is(err, parts.ErrTooLarge) {
		t.Errorf("9,000 starts: %v", err)
	}
}

// TestStartsNameTheirAttempt: a replacement in a gang that waits keeps the gang's
// attempt, in a record that the version before refuses to read.
func TestStartsNameTheirAttempt(t *testing.T) {
	r := wide(2)
	r.Starts[1].Attempt = 4700
	head, rest, err := r.Split(2048, 4, statestore.JSONSize)
	if err != nil || len(rest) > 0 || head.Schema != schemaParts {
		t.Fatalf("%d parts, schema %d, %v", len(rest), head.Schema, err)
	}
	data, err := msgpack.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := got.Starts[0].AttemptIn(got.No), got.Starts[1].AttemptIn(got.No); a != 4711 || b != 4700 {
		t.Errorf("attempts %d and %d", a, b)
	}
}
