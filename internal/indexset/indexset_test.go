package indexset

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"badgerbay/internal/ident"
)

// TestRangesAgainstSet compares Ranges with a plain set under random changes.
func TestRangesAgainstSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 40
		var r Set
		set := map[ident.TaskIndex]bool{}
		for _, step := range rapid.SliceOf(rapid.IntRange(-n, n-1)).Draw(t, "steps") {
			if step >= 0 {
				i := ident.TaskIndex(step)
				if r.Add(i) == set[i] {
					t.Fatalf("Add(%d) misjudged", i)
				}
				set[i] = true
			} else {
				i := ident.TaskIndex(-step - 1)
				if r.Remove(i) != set[i] {
					t.Fatalf("Remove(%d) misjudged", i)
				}
				delete(set, i)
			}
			if !r.Valid(n) {
				t.Fatalf("not normal: %v", r)
			}
		}
		if r.Len() != len(set) {
			t.Fatalf("Len %d, want %d", r.Len(), len(set))
		}
		for i := range ident.TaskIndex(n) {
			if r.Contains(i) != set[i] {
				t.Fatalf("Has(%d) = %v", i, r.Contains(i))
			}
		}
	})
}

func TestRangesRoundTrip(t *testing.T) {
	in := Set{{First: 0, Last: 3}, {First: 5, Last: 5}}
	data, err := msgpack.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out Set
	if err := msgpack.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(in, out, cmp.AllowUnexported(Span{})); diff != "" {
		t.Error(diff)
	}
}
