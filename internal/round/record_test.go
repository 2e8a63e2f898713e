package round

import (
	"bytes"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

func sample() *Record {
	return &Record{Schema: Schema, No: 9, Epoch: 4, Low: 7, Starts: wire.List[Start]{
		{Job: "wk-000001", Machine: "host-000001", Session: 2, Tasks: unit.Ranges{{First: 0, Last: 3}, {First: 70_000, Last: 70_001}}},
		{Job: "wk-000001", Machine: "host-000002", Session: 1, Tasks: unit.Ranges{{First: 9, Last: 9}}},
		{Job: "wk-000002", Machine: "host-000002", Session: 1, Tasks: unit.Ranges{{First: 0, Last: 0}}}},
		Releases: wire.List[unit.MachineID]{"host-000007"}}
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
		got, err := Decode(data)
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
		if r, err := Decode(data); err == nil {
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
	r, err := Decode(data)
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
