package indexset

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"badgerbay/internal/ident"
)

// TestSetBehavesLikeMap checks a Set against a map of indexes after random additions and removals.
func TestSetBehavesLikeMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 40
		var set Set
		model := map[ident.TaskIndex]bool{}
		for _, step := range rapid.SliceOf(rapid.IntRange(-n, n-1)).Draw(t, "steps") {
			if step >= 0 {
				i := ident.TaskIndex(step)
				if set.Add(i) == model[i] {
					t.Fatalf("Add(%d) = %v, but the index was present: %v", i, model[i], model[i])
				}
				model[i] = true
			} else {
				i := ident.TaskIndex(-step - 1)
				if set.Remove(i) != model[i] {
					t.Fatalf("Remove(%d) = %v, but the index was present: %v", i, !model[i], model[i])
				}
				delete(model, i)
			}
			if !set.Valid(n) {
				t.Fatalf("spans not sorted, disjoint and non-adjacent: %v", set)
			}
		}
		if set.Len() != len(model) {
			t.Fatalf("Len %d, want %d", set.Len(), len(model))
		}
		if got, want := slices.Collect(set.All()), slices.Sorted(maps.Keys(model)); !slices.Equal(got, want) {
			t.Fatalf("All() = %v, want %v", got, want)
		}
		complement := set.Complement(n)
		if !complement.Valid(n) {
			t.Fatalf("spans of the complement not sorted, disjoint and non-adjacent: %v", complement)
		}
		for i := range ident.TaskIndex(n) {
			if complement.Contains(i) == model[i] {
				t.Fatalf("complement of %v contains %d: %v", set, i, complement.Contains(i))
			}
			if set.Contains(i) != model[i] {
				t.Fatalf("Contains(%d) = %v", i, set.Contains(i))
			}
		}
	})
}

// TestSetRoundTrip checks that a set decodes from MessagePack to what was encoded.
func TestSetRoundTrip(t *testing.T) {
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
