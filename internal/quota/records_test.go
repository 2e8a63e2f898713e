package quota

import (
	"errors"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// TestMalformedRecordsAreRejected checks that a malformed record is rejected as a whole. If it counted as empty, quota
// that is in use would be allocated again.
func TestMalformedRecordsAreRejected(t *testing.T) {
	good := Allocation{Holder: HolderID{"n0", 3}, Quantity: Quantity{MilliCPU: 1000}}
	for name, record := range map[string]TeamRecord{
		"a holder without a name": {SchemaVersion: 1, Allocations: []Allocation{{Holder: HolderID{"", 3}}}},
		"a holder without a key":  {SchemaVersion: 1, Allocations: []Allocation{{Holder: HolderID{"n0", 0}}}},
		"negative quantity":       {SchemaVersion: 1, Allocations: []Allocation{{Holder: good.Holder, Quantity: Quantity{MilliCPU: -1}}}},
		"quantity out of range":   {SchemaVersion: 1, Allocations: []Allocation{{Holder: good.Holder, Quantity: Quantity{MilliCPU: math.MaxInt64}}}},
		"a holder named twice":    {SchemaVersion: 1, Allocations: []Allocation{good, good}},
		"no schema":               {Allocations: []Allocation{good}},
		"a later schema":          {SchemaVersion: 2, Allocations: []Allocation{good}},
	} {
		t.Run(name, func(t *testing.T) {
			want := ErrMalformedRecord
			if record.SchemaVersion > recordSchemaVersion {
				want = ErrNewerSchema
			}
			if _, err := DecodeTeamRecord(encode(t, record)); !errors.Is(err, want) {
				t.Errorf("error %v, want %v", err, want)
			}
		})
	}
	for name, reservations := range map[string][]Reservation{
		"no tasks":        {{Job: "wk-000001", Team: "red", Tasks: 0, TaskDemand: Quantity{MilliCPU: 1}}},
		"negative demand": {{Job: "wk-000001", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: -1}}},
		"no job":          {{Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1}}},
		"too many tasks":  {{Job: "wk-000001", Team: "red", Tasks: 1 << 20, TaskDemand: Quantity{MilliCPU: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			record, err := NewReservationRecord(3, reservations)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := DecodeReservationRecord(encode(t, record)); !errors.Is(err, ErrMalformedRecord) {
				t.Errorf("error %v, want %v", err, ErrMalformedRecord)
			}
		})
	}
	record, err := NewReservationRecord(3, []Reservation{{Job: "wk-000001", Team: "red", Tasks: 2, TaskDemand: Quantity{MilliCPU: 500}}})
	if err != nil {
		t.Fatal(err)
	}
	record.TeamTotals["red"] = Quantity{MilliCPU: 10}
	data := encode(t, record)
	if _, _, err := DecodeReservationRecord(data); !errors.Is(err, ErrMalformedRecord) {
		t.Errorf("record whose totals differ from its reservations: %v, want %v", err, ErrMalformedRecord)
	}
	for _, junk := range [][]byte{nil, {0xc1}, []byte("\x81\xa1v\xa1x"), data[:len(data)/2]} {
		if _, err := DecodeTeamRecord(junk); !errors.Is(err, ErrMalformedRecord) {
			t.Errorf("%q as a team's record: %v, want %v", junk, err, ErrMalformedRecord)
		}
	}
}

func encode(t *testing.T, record any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
