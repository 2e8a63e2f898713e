package indexset

import (
	"bytes"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"
)

//go:embed testdata/golden/sets.json
var goldenSets []byte

// goldenSet holds both stored forms of a set, and the size bound of the delta-encoded one.
type goldenSet struct {
	List      string `json:"list"`   // hex
	Delta     string `json:"packed"` // hex
	SizeBound int    `json:"size"`   // bytes
}

// storedSets returns the sets whose stored forms are in the golden file.
func storedSets() map[string]Set {
	return map[string]Set{
		"empty":         {},
		"one":           {{First: 0, Last: 0}},
		"full 2000":     Full(2000),
		"two spans":     {{First: 0, Last: 3}, {First: 5, Last: 5}},
		"wide gaps":     {{First: 127, Last: 255}, {First: 300, Last: 70_000}, {First: 1 << 20, Last: 1<<20 + 1<<17}},
		"largest index": {{First: math.MaxUint32, Last: math.MaxUint32}},
	}
}

func encodeSet(t *testing.T, set Set) goldenSet {
	t.Helper()
	list, err := msgpack.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	var delta bytes.Buffer
	if err := set.EncodeDelta(msgpack.NewEncoder(&delta)); err != nil {
		t.Fatal(err)
	}
	return goldenSet{List: hex.EncodeToString(list), Delta: hex.EncodeToString(delta.Bytes()), SizeBound: set.DeltaSizeBound()}
}

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	data, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func checkGoldenSet(t *testing.T, set Set, want goldenSet) {
	t.Helper()
	if diff := cmp.Diff(want, encodeSet(t, set)); diff != "" {
		t.Errorf("encoded form differs from the golden file: %s", diff)
	}
	var list, delta Set
	if err := msgpack.Unmarshal(decodeHex(t, want.List), &list); err != nil {
		t.Errorf("list: %v", err)
	}
	if err := delta.DecodeDelta(msgpack.NewDecoder(bytes.NewReader(decodeHex(t, want.Delta)))); err != nil {
		t.Errorf("delta-encoded: %v", err)
	}
	for encoding, read := range map[string]Set{"list": list, "delta-encoded": delta} {
		if diff := cmp.Diff(set, read, cmp.AllowUnexported(Span{}), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s form decoded to a different set: %s", encoding, diff)
		}
	}
}

// TestGoldenSets checks both stored forms of a set against a golden file, in both directions.
// Earlier and later versions read the sets that this one stores, so a changed form would be
// unreadable to them.
func TestGoldenSets(t *testing.T) {
	var golden map[string]goldenSet
	if err := json.Unmarshal(goldenSets, &golden); err != nil {
		t.Fatal(err)
	}
	sets := storedSets()
	if len(golden) != len(sets) {
		t.Fatalf("%d golden sets, want %d", len(golden), len(sets))
	}
	for name, set := range sets {
		t.Run(name, func(t *testing.T) { checkGoldenSet(t, set, golden[name]) })
	}
}
