package quota_test

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/quota"
)

// goldenCase is a stored record or a message between nodes.
type goldenCase struct {
	value  any
	decode func([]byte) (any, error)
	// stored marks a record. The limits of the state service apply to its JSON form, so that is compared too.
	stored bool
	// unordered marks a value that contains a map with several keys. Their order in MessagePack is random, so only
	// the length of the encoding and the decoded value are compared.
	unordered bool
}

var (
	goldenHolder = quota.HolderID{Node: "node-1", ModRevision: 70_000}

	goldenReservations = []quota.Reservation{
		{Job: "wk-000412", Team: "red", Tasks: 3, TaskDemand: quota.Quantity{MilliCPU: 500, MilliGPU: 1000}},
		{Job: "wk-000413", Team: "red", Tasks: 40_000, TaskDemand: quota.Quantity{MilliCPU: 250}},
	}
	goldenTwoTeams = append(goldenReservations[:1:1],
		quota.Reservation{Job: "wk-999999999999", Team: "blue", Tasks: 1, TaskDemand: quota.Quantity{MilliCPU: 1}})
)

func goldenCases(t *testing.T) map[string]goldenCase {
	t.Helper()
	return map[string]goldenCase{
		"team record": {value: &quota.TeamRecord{
			SchemaVersion: 1, Limit: quota.Quantity{MilliCPU: 64_000, MilliGPU: quota.Unlimited}, Guarantee: quota.Quantity{MilliCPU: 8_000},
			Allocations: []quota.Allocation{
				{Holder: quota.HolderID{Node: "node-0", ModRevision: 7}, Quantity: quota.Quantity{MilliCPU: 1500, MilliGPU: 250}, ReleaseSeq: 3},
				{Holder: goldenHolder, Quantity: quota.Quantity{MilliCPU: 40_000}, ReleaseSeq: 1 << 40},
			},
		}, decode: decodeTeamRecord, stored: true},
		"team record without allotments": {value: &quota.TeamRecord{SchemaVersion: 1, Limit: quota.Quantity{MilliCPU: 1, MilliGPU: 1}}, decode: decodeTeamRecord, stored: true},
		"reservations":                   {value: newReservationRecord(t, goldenReservations), decode: decodeReservationRecord(goldenReservations), stored: true},
		"reservations of two teams":      {value: newReservationRecord(t, goldenTwoTeams), decode: decodeReservationRecord(goldenTwoTeams), stored: true, unordered: true},
		"no reservations":                {value: newReservationRecord(t, nil), decode: decodeReservationRecord(nil), stored: true},
		"ask": {value: &quota.AllocationRequest{
			Holder: goldenHolder,
			Teams: []quota.TeamRequest{
				{Team: "red", ReleaseSeq: 9, Retained: quota.Quantity{MilliCPU: 2000, MilliGPU: 1}, Desired: quota.Quantity{MilliCPU: 3000, MilliGPU: 2}},
				{Team: "blue"},
			},
			Jobs: []ident.JobID{"wk-000412", "wk-000413"},
		}, decode: decodeAs[quota.AllocationRequest]},
		"ask for nothing": {value: &quota.AllocationRequest{Holder: goldenHolder}, decode: decodeAs[quota.AllocationRequest]},
		"answer": {value: &quota.AllocationResponse{
			Holder: goldenHolder, Epoch: 123_456,
			Teams:   []quota.TeamAllocation{{Team: "red", ReleaseSeq: 9, Allocated: quota.Quantity{MilliCPU: 2000, MilliGPU: 1}, Recall: quota.Quantity{MilliCPU: 500}}},
			JobCaps: []quota.JobCap{{Job: "wk-000412", MaxTasks: 2}, {Job: "wk-000413"}},
		}, decode: decodeAs[quota.AllocationResponse]},
		"answer that revokes": {value: &quota.AllocationResponse{Holder: goldenHolder, Epoch: 5, Revoked: true}, decode: decodeAs[quota.AllocationResponse]},
	}
}

func newReservationRecord(t *testing.T, reservations []quota.Reservation) *quota.ReservationRecord {
	t.Helper()
	r, err := quota.NewReservationRecord(goldenHolder.ModRevision, reservations)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func decodeTeamRecord(data []byte) (any, error) { return quota.DecodeTeamRecord(data) }

// decodeReservationRecord returns a decoder that also compares the unpacked reservations with want. If they differ, it
// returns the difference instead of the record.
func decodeReservationRecord(want []quota.Reservation) func([]byte) (any, error) {
	return func(data []byte) (any, error) {
		r, reservations, err := quota.DecodeReservationRecord(data)
		if diff := cmp.Diff(want, reservations); err == nil && diff != "" {
			return diff, nil
		}
		if err == nil && r.TeamTotals == nil {
			r.TeamTotals = map[ident.Team]quota.Quantity{} // the encoding omits an empty map
		}
		return r, err
	}
}

func decodeAs[T any](data []byte) (any, error) {
	v := new(T)
	return v, msgpack.Unmarshal(data, v)
}

// readGolden reads the expected encodings of each case: MessagePack in hexadecimal and JSON, where "-" means none.
func readGolden(t *testing.T) map[string][2]string {
	t.Helper()
	data, err := os.ReadFile("testdata/golden/encoded.txt")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][2]string{}
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(fields) != 3 {
			t.Fatalf("%q has %d fields, want 3", line, len(fields))
		}
		out[fields[0]] = [2]string{fields[1], fields[2]}
	}
	return out
}

// TestGoldenEncodings checks that records and messages keep the encodings of earlier versions. It guards against a
// change of a tag, of the order of fields or of the packed form.
func TestGoldenEncodings(t *testing.T) {
	golden, cases := readGolden(t), goldenCases(t)
	if len(golden) != len(cases) {
		t.Errorf("%d golden encodings, want %d", len(golden), len(cases))
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			wantHex, wantJSON := golden[name][0], golden[name][1]
			data, err := hex.DecodeString(wantHex)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := c.decode(data)
			if err != nil {
				t.Fatalf("decoding: %v", err)
			}
			if diff := cmp.Diff(c.value, decoded); diff != "" {
				t.Errorf("decoded value differs (-want +got):\n%s", diff)
			}
			for what, value := range map[string]any{"built": c.value, "decoded": decoded} {
				encoded, err := msgpack.Marshal(value)
				if got := hex.EncodeToString(encoded); err != nil || got != wantHex && !c.unordered {
					t.Errorf("%s value encodes to %s, %v, want %s", what, got, err, wantHex)
				}
				if c.unordered && len(encoded) != len(data) {
					t.Errorf("%s value encodes to %d bytes, want %d", what, len(encoded), len(data))
				}
				if !c.stored {
					continue
				}
				text, err := json.Marshal(value)
				if err != nil || string(text) != wantJSON {
					t.Errorf("%s value in JSON is %s, %v, want %s", what, text, err, wantJSON)
				}
			}
		})
	}
}

// TestGoldenKeys checks that records keep the keys under which earlier versions read them.
func TestGoldenKeys(t *testing.T) {
	for got, want := range map[string]string{
		quota.KeyPrefix:                  "quota/",
		quota.TeamKey("red/blue %"):      "quota/team/red%2Fblue%20%25",
		quota.HolderKey("node-1"):        "quota/holder/node-1",
		quota.ReservationKey("node/1 ü"): "quota/reserved/node%2F1%20%C3%BC",
	} {
		if got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
}
