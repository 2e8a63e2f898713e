package jobs

import (
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
)

//go:embed testdata/golden/records.json
var goldenRecords []byte

// goldenRecord is a job's record in its stored form: its value and those of its chunks.
type goldenRecord struct {
	MsgPack string   `json:"msgpack"` // hex
	JSON    string   `json:"json"`    // the form in which the state service measures its size
	Chunks  []string `json:"parts,omitempty"`
	// Offset is one less than the number of the first chunk.
	Offset int `json:"first,omitempty"`
}

func (g goldenRecord) data(t *testing.T) []byte {
	t.Helper()
	return decodeHex(t, g.MsgPack)
}

func (g goldenRecord) chunkData(t *testing.T) func(int) []byte {
	return func(number int) []byte { return decodeHex(t, g.Chunks[number-g.Offset-1]) }
}

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	data, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func fullSpec() Spec {
	return Spec{Class: "mutabakat", Team: "kontrolor-03", Service: true, Gang: true, Priority: PriorityProd, Tasks: 2000, CPUs: 2, GPUs: 0.5,
		MemoryGB: 7.25, MachineTypes: []ident.MachineType{"orta", "buyuk"}, Zone: "ankara", ZoneAffinity: true, ZoneSpread: true, Spot: true,
		Image: "mutabakat-07", ImageGB: 1.5, EstimatedRunSeconds: 33.5, CheckpointIntervalSeconds: 20, CheckpointSeconds: 6, DeadlineSeconds: 95}
}

func activeRecord() *Record {
	r := NewRecord(fullSpec(), 1764642000123)
	r.Epoch, r.LastRound, r.Next = 982, 4500, ActionReconcile
	r.Done = indexset.Set{{First: 0, Last: 3}, {First: 200, Last: 299}}
	for i := range ident.TaskIndex(30) {
		r.Placements = append(r.Placements, PlacementGroup{Machine: ident.MachineID(fmt.Sprintf("host-%06d", 7919*i%1000)), Session: ident.Session(1 + i),
			Attempt: ident.Attempt(4000 + 37*i), Tasks: indexset.Set{{First: 300 + 40*i, Last: 300 + 41*i}}})
	}
	return r
}

func cancelledRecord() *Record {
	r := NewRecord(Spec{Class: "c", Team: "t", Tasks: 1, CPUs: 1, Image: "i"}, 7)
	r.Phase, r.Next = PhaseCancelled, ActionNone
	return r
}

const (
	goldenValueBytes = 560 // limit of each value of a record with chunks
	goldenMaxValues  = 4
)

func encodeRecord(t *testing.T, r *Record, chunks []*chunk.Value) goldenRecord {
	t.Helper()
	out := goldenRecord{MsgPack: hex.EncodeToString(marshal(t, r))}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	out.JSON = string(text)
	for _, value := range chunks {
		out.Chunks = append(out.Chunks, hex.EncodeToString(marshal(t, value)))
	}
	if r.ChunkInfo != nil {
		out.Offset = r.ChunkInfo.Offset
	}
	return out
}

// plainRecords returns the records whose encoding must match the golden file byte for byte.
func plainRecords(t *testing.T) map[string]goldenRecord {
	out := map[string]goldenRecord{}
	for name, r := range map[string]*Record{"accepted": NewRecord(fullSpec(), 1764642000123), "under way": activeRecord(), "cancelled": cancelledRecord()} {
		plain, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		out[name] = encodeRecord(t, plain, nil)
	}
	return out
}

// compressedRecords returns the records with compressed chunks.
func compressedRecords(t *testing.T) map[string]goldenRecord {
	chunked, chunkedValues, err := activeRecord().Split(goldenValueBytes, goldenMaxValues, jsonLen)
	if err != nil {
		t.Fatal(err)
	}
	staged, stagedValues, err := activeRecord().SplitMultiTxn(goldenValueBytes, 0)
	if err != nil {
		t.Fatal(err)
	}
	firstBank, firstBankValues, err := activeRecord().SplitMultiTxn(goldenValueBytes, chunkBankSize)
	if err != nil {
		t.Fatal(err)
	}
	return map[string]goldenRecord{"in parts": encodeRecord(t, chunked, chunkedValues), "staged": encodeRecord(t, staged, stagedValues),
		"staged in the first bank": encodeRecord(t, firstBank, firstBankValues)}
}

func checkDecodes(t *testing.T, g goldenRecord, want *Record) {
	t.Helper()
	got, err := DecodeWithChunks(g.data(t), g.chunkData(t))
	if err != nil {
		t.Error(err)
		return
	}
	ignore := cmpopts.IgnoreFields(Record{}, "SchemaVersion", "ChunkOffset")
	if diff := cmp.Diff(want, got, ignore, cmp.AllowUnexported(indexset.Span{}), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("decoded record differs: %s", diff)
	}
	if got.ChunkOffset != g.Offset {
		t.Errorf("chunk offset %d, want %d", got.ChunkOffset, g.Offset)
	}
}

// checkSchema checks the schema version, which it reads as every version of the program does.
func checkSchema(t *testing.T, g goldenRecord, want int) {
	t.Helper()
	var head struct {
		Schema int `msgpack:"v"`
	}
	if err := msgpack.Unmarshal(g.data(t), &head); err != nil || head.Schema != want {
		t.Errorf("schema %d, %v, want %d", head.Schema, err, want)
	}
}

// checkReencodes checks that the stored values are unchanged after they are decoded into the types
// of this version and encoded again.
func checkReencodes(t *testing.T, g goldenRecord) {
	t.Helper()
	var r Record
	if err := msgpack.Unmarshal(g.data(t), &r); err != nil {
		t.Fatal(err)
	}
	var chunks []*chunk.Value
	for _, text := range g.Chunks {
		value := new(chunk.Value)
		if err := msgpack.Unmarshal(decodeHex(t, text), value); err != nil {
			t.Fatal(err)
		}
		chunks = append(chunks, value)
	}
	if diff := cmp.Diff(g, encodeRecord(t, &r, chunks)); diff != "" {
		t.Errorf("encoding of the decoded values differs: %s", diff)
	}
}

// TestGoldenRecords checks that records of every schema are decoded, and that they are encoded in
// the form that other versions of the program with support for the schema can decode.
func TestGoldenRecords(t *testing.T) {
	var golden map[string]goldenRecord
	if err := json.Unmarshal(goldenRecords, &golden); err != nil {
		t.Fatal(err)
	}
	wantRecords := map[string]*Record{"accepted": NewRecord(fullSpec(), 1764642000123), "cancelled": cancelledRecord(), "under way": activeRecord(),
		"schema 1": activeRecord(), "in parts": activeRecord(), "staged": activeRecord(), "staged in the first bank": activeRecord()}
	if len(golden) != len(wantRecords) {
		t.Fatalf("%d golden records, want %d", len(golden), len(wantRecords))
	}
	schemas := map[string]int{"accepted": 2, "cancelled": 2, "under way": 2, "schema 1": 1, "in parts": 3, "staged": 4, "staged in the first bank": 4}
	for name, want := range wantRecords {
		t.Run(name, func(t *testing.T) {
			checkSchema(t, golden[name], schemas[name])
			checkDecodes(t, golden[name], want)
			checkReencodes(t, golden[name])
		})
	}
	for name, written := range plainRecords(t) {
		t.Run(name+", written", func(t *testing.T) {
			if diff := cmp.Diff(golden[name], written); diff != "" {
				t.Errorf("encoded record differs: %s", diff)
			}
		})
	}
	// The compressor's output may change with its library, so these records are decoded and
	// compared instead of compared byte for byte.
	for name, written := range compressedRecords(t) {
		t.Run(name+", written", func(t *testing.T) {
			checkSchema(t, written, schemas[name])
			checkDecodes(t, written, wantRecords[name])
			if written.Offset != golden[name].Offset {
				t.Errorf("chunk offset %d, want %d", written.Offset, golden[name].Offset)
			}
		})
	}
}

// TestGoldenKeys checks that keys don't change, because nodes of different versions have to find
// each other's records.
func TestGoldenKeys(t *testing.T) {
	got := []string{Key("wk-000412"), ChunkKey("wk-000412", 1), ChunkKey("wk-000412", 129), KeyPrefix, chunk.KeyPrefix}
	want := []string{"job/wk-000412", "part/wk-000412/1", "part/wk-000412/129", "job/", "part/"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestGoldenSpareBytes checks that the size bounds don't change, because they determine how many
// tasks may be placed and therefore which tasks are scheduled.
func TestGoldenSpareBytes(t *testing.T) {
	r := activeRecord()
	j := NewJob("wk-000412", r, 1, 0)
	for _, g := range r.Placements {
		for i := range g.Tasks.All() {
			j.AddPlacement(&Placement{Job: j, Task: i, Machine: g.Machine, Session: g.Session, Attempt: g.Attempt}, "ankara")
		}
	}
	spare := j.SpareBytes(8<<10, 1, 420)
	got := []int{int(spare), int(j.SpareBytes(2<<10, 4, 420)), j.FittingTasks(spare, "host-000007", 10_000), j.FittingSingleTasks(spare),
		int(j.GroupBytes("host-000007", 9)), RecordCapacity(8<<10, 4, 420), r.LiveTasks(), len(j.Queue), j.Queue.Len()}
	if diff := cmp.Diff([]int{2022, 1878, 332, 37, 81, 31900, 465, 31, 1431}, got); diff != "" {
		t.Error(diff)
	}
}
