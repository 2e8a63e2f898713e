package roundlog

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/wire"
)

// goldenRecord is a record whose stored form is in testdata/golden/records.txt. The file has one
// line for each value: its name, its MessagePack in hex and its JSON.
type goldenRecord struct {
	name   string
	schema int
	limit  int // maximum bytes of a value
	values int // maximum number of values; 0: the starts are encoded as a list, as in schema 1
	record *Record
}

func goldenRecords() []goldenRecord {
	span := func(first, last ident.TaskIndex) indexset.Span { return indexset.Span{First: first, Last: last} }
	starts := wire.BoundedList[Start]{
		{Job: "wk-000001", Machine: "host-000001", Session: 2, Tasks: indexset.Set{span(0, 3), span(70_000, 70_001)}},
		{Job: "wk-000001", Machine: "host-000002", Session: 300, Tasks: indexset.Set{span(9, 9)}},
		{Job: "wk-123456789012", Machine: "host-000002", Session: 1, Tasks: indexset.Set{span(0, 0)}},
	}
	withReplacement := append(wire.BoundedList[Start](nil), starts...)
	withReplacement[1].Attempt = 70_000
	provisions := wire.BoundedList[Provision]{{Name: ProvisionName(991, 4711, 0), Offer: cloud.Offer{Type: "m4", Zone: "zone-a", Spot: true}, Count: 50},
		{Name: ProvisionName(991, 4711, 1), Offer: cloud.Offer{Type: "g8", Zone: "zone-b"}, Count: 1}}
	deprovisions := wire.BoundedList[ident.MachineID]{"host-000007", "host-000008"}
	var manyStarts wire.BoundedList[Start]
	for i := range ident.TaskIndex(60) {
		manyStarts = append(manyStarts, Start{Job: "wk-000412", Machine: ident.MachineID(fmt.Sprintf("host-%06d", i*7919%1_000_000)),
			Session: ident.Session(i%9 + 1), Tasks: indexset.Set{span(i, i)}})
	}
	return []goldenRecord{
		{"lists", 1, 0, 0, &Record{SchemaVersion: 1, RoundNo: 9, Epoch: 4, LowWatermark: 7, Starts: starts, Provisions: provisions, Deprovisions: deprovisions}},
		{"empty", 2, 8192, 4, &Record{RoundNo: 70_000, Epoch: 4, LowWatermark: 70_000}},
		{"packed", 2, 8192, 4, &Record{RoundNo: 4711, Epoch: 991, LowWatermark: 4700, Starts: starts, Provisions: provisions, Deprovisions: deprovisions}},
		{"attempts", 3, 8192, 4, &Record{RoundNo: 80_000, Epoch: 991, LowWatermark: 4700, Starts: withReplacement, Provisions: provisions}},
		{"parts", 3, 400, 4, &Record{RoundNo: 4711, Epoch: 991, LowWatermark: 4700, Starts: manyStarts, Deprovisions: deprovisions}},
	}
}

// stored returns the values of the record: the record itself, then its chunks.
func (g *goldenRecord) stored(t *testing.T, r *Record) []any {
	t.Helper()
	if g.values == 0 {
		lists := *r
		lists.SchemaVersion = g.schema
		return []any{&lists}
	}
	head, rest, err := r.Split(g.limit, g.values, kvstore.JSONSize)
	if err != nil {
		t.Fatal(err)
	}
	values := []any{head}
	for _, value := range rest {
		values = append(values, value)
	}
	return values
}

// lines returns the record's lines in the golden file, and its values.
func (g *goldenRecord) lines(t *testing.T, r *Record) (lines []string, values [][]byte) {
	t.Helper()
	for n, value := range g.stored(t, r) {
		packed, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%s.%d %s %s", g.name, n, hex.EncodeToString(packed), text))
		values = append(values, packed)
	}
	return lines, values
}

// TestGoldenRecords checks that records of every schema are encoded to the bytes in the golden file,
// decoded from them without loss, and encoded to the same bytes again.
func TestGoldenRecords(t *testing.T) {
	data, err := os.ReadFile("testdata/golden/records.txt")
	if err != nil {
		t.Fatal(err)
	}
	golden := string(data)
	for _, g := range goldenRecords() {
		lines, values := g.lines(t, g.record)
		text := strings.Join(lines, "\n") + "\n"
		want, rest, _ := cutLines(golden, len(lines))
		if golden = rest; text != want {
			t.Errorf("%s is encoded as\n%swant\n%s", g.name, text, want)
			continue
		}
		if !strings.Contains(lines[0], fmt.Sprintf(`"v":%d,`, g.schema)) {
			t.Errorf("%s: schema is not %d: %s", g.name, g.schema, lines[0])
		}
		read, err := Decode(values[0], func(n int) []byte { return values[n] })
		if err != nil {
			t.Errorf("%s: %v", g.name, err)
			continue
		}
		if diff := cmp.Diff(g.record, read, cmpopts.IgnoreFields(Record{}, "SchemaVersion"), cmp.AllowUnexported(indexset.Span{}), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: decoded record differs:\n%s", g.name, diff)
		}
		if again, _ := g.lines(t, read); strings.Join(again, "\n")+"\n" != text {
			t.Errorf("%s is encoded after decoding as\n%s\nwant\n%s", g.name, strings.Join(again, "\n"), text)
		}
	}
	if golden != "" {
		t.Errorf("golden lines that match no record:\n%s", golden)
	}
}

// cutLines splits a text after its first n lines. It reports whether the text has that many lines.
func cutLines(text string, n int) (head, rest string, ok bool) {
	end := 0
	for range n {
		i := strings.IndexByte(text[end:], '\n')
		if i < 0 {
			return text, "", false
		}
		end += i + 1
	}
	return text[:end], text[end:], true
}

// TestGoldenKeys checks that keys and provision names, which other versions of the program read,
// don't change.
func TestGoldenKeys(t *testing.T) {
	ring := NewRing(32)
	for got, want := range map[string]string{
		ring.Key(0):                       "round/0",
		ring.Key(31):                      "round/31",
		ring.Key(4711):                    "round/7",
		ChunkKey(ring.Key(4711), 1):       "part/round/7/1",
		ChunkKey(ring.Key(31), 12):        "part/round/31/12",
		ProvisionName(991, 4711, 0):       "r-991-4711-0",
		ProvisionName(1<<63, 1<<62, 1234): "r-9223372036854775808-4611686018427387904-1234",
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// TestGoldenGangBounds checks the size of the largest gang that is accepted under given limits.
func TestGoldenGangBounds(t *testing.T) {
	for _, c := range []struct {
		limits          config.State
		tasksPerMachine int
		want            int
	}{
		{config.State{MaxValueKB: 2, MaxTxnOps: 4}, 1, 126},
		{config.State{MaxValueKB: 2, MaxTxnOps: 4}, 7, 525},
		{config.State{MaxValueKB: 8, MaxTxnOps: 1}, 1, 158},
		{config.State{MaxValueKB: 8, MaxTxnOps: 16}, 2, 1920},
		{config.State{MaxValueKB: 0.5, MaxTxnOps: 64}, 1, 555},
		{config.State{MaxValueKB: 32, MaxTxnOps: 64}, 4, 1723},
	} {
		spec := jobs.Spec{Tasks: 1, Gang: true}
		for GangRecordsFit(&spec, c.tasksPerMachine, 300, c.limits) {
			spec.Tasks++
		}
		if largest := spec.Tasks - 1; largest != c.want {
			t.Errorf("%+v, %d tasks per machine: the largest gang has %d tasks, want %d", c.limits, c.tasksPerMachine, largest, c.want)
		}
	}
}
