// Package indexset implements sets of task indexes as sorted, disjoint spans, and both of their
// stored forms: a list of spans, and delta-encoded numbers. Decoding limits the number of spans
// but does not check their order; callers check the result with Valid.
package indexset

import (
	"iter"
	"slices"
	"sort"

	"badgerbay/internal/ident"
)

// Span is the range of task indexes from First to Last, inclusive. It is
// encoded as a list of two numbers.
type Span struct {
	//lint:ignore U1000 the MessagePack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	First    ident.TaskIndex
	Last     ident.TaskIndex
}

// Len returns the number of indexes in the span.
func (s Span) Len() int { return int(s.Last-s.First) + 1 }

// Set is a set of task indexes kept as sorted, disjoint, non-adjacent
// spans. The zero value is the empty set.
type Set []Span

// Full returns the set of the first n indexes.
func Full(n int) Set {
	if n <= 0 {
		return nil
	}
	return Set{{First: 0, Last: ident.TaskIndex(n - 1)}}
}

// Len returns the number of indexes in the set.
func (s Set) Len() int {
	n := 0
	for _, span := range s {
		n += span.Len()
	}
	return n
}

// Contains reports whether i is in the set.
func (s Set) Contains(i ident.TaskIndex) bool {
	k := s.search(i)
	return k < len(s) && s[k].First <= i
}

// search returns the position of the first span that ends at i or later.
func (s Set) search(i ident.TaskIndex) int {
	return sort.Search(len(s), func(k int) bool { return s[k].Last >= i })
}

// Valid reports whether the spans are sorted, disjoint, non-adjacent and below n.
func (s Set) Valid(n int) bool {
	next := 0
	for k, span := range s {
		if span.First > span.Last || int(span.Last) >= n || int(span.First) < next || (k > 0 && int(span.First) == next) {
			return false
		}
		next = int(span.Last) + 1
	}
	return true
}

// Add adds i to the set and reports whether it was absent before.
func (s *Set) Add(i ident.TaskIndex) bool {
	spans := *s
	k := spans.search(i)
	if k < len(spans) && spans[k].First <= i {
		return false
	}
	joinsLeft := k > 0 && spans[k-1].Last+1 == i
	joinsRight := k < len(spans) && spans[k].First == i+1
	switch {
	case joinsLeft && joinsRight:
		spans[k-1].Last = spans[k].Last
		spans = deleteSpan(spans, k)
	case joinsLeft:
		spans[k-1].Last = i
	case joinsRight:
		spans[k].First = i
	default:
		spans = slices.Insert(spans, k, Span{First: i, Last: i})
	}
	*s = spans
	return true
}

// Remove removes i from the set and reports whether it was present before.
func (s *Set) Remove(i ident.TaskIndex) bool {
	spans := *s
	k := spans.search(i)
	if k == len(spans) || spans[k].First > i {
		return false
	}
	old := spans[k]
	switch {
	case old.First == i && old.Last == i:
		spans = deleteSpan(spans, k)
	case old.First == i:
		spans[k].First++
	case old.Last == i:
		spans[k].Last--
	default:
		spans = slices.Insert(spans, k+1, Span{First: i + 1, Last: old.Last})
		spans[k].Last = i - 1
	}
	*s = spans
	return true
}

// deleteSpan removes span k. Unlike slices.Delete it does not clear the element that is left over
// at the end: an iteration in progress over the same array would read the zero span as index 0.
func deleteSpan(spans Set, k int) Set { return append(spans[:k], spans[k+1:]...) }

// Complement returns the set of the indexes below n that are not in s.
func (s Set) Complement(n int) Set {
	var missing Set
	next := ident.TaskIndex(0)
	for _, span := range s {
		if span.First > next {
			missing = append(missing, Span{First: next, Last: span.First - 1})
		}
		next = span.Last + 1
	}
	if int(next) < n {
		missing = append(missing, Span{First: next, Last: ident.TaskIndex(n - 1)})
	}
	return missing
}

// All returns an iterator over the indexes in ascending order.
func (s Set) All() iter.Seq[ident.TaskIndex] {
	return func(yield func(ident.TaskIndex) bool) {
		for _, span := range s {
			for i := span.First; ; i++ {
				if !yield(i) {
					return
				}
				if i == span.Last { // checked before i++, which overflows at the largest index
					break
				}
			}
		}
	}
}

// Clone returns a copy that shares nothing with s.
func (s Set) Clone() Set { return append(Set(nil), s...) }
