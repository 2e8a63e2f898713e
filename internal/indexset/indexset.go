// Package indexset holds sets of task indexes as sorted, disjoint spans, and both of their
// stored forms: a list of spans, and delta-encoded numbers. Decoding bounds what a set may
// claim; callers check the result with Valid.
package indexset

import (
	"errors"
	"math"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
)

// Span is the run of task indexes from First to Last, both included. It is
// encoded as a list of two numbers.
type Span struct {
	//lint:ignore U1000 the MessagePack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	First    ident.TaskIndex
	Last     ident.TaskIndex
}

// Len counts the indexes of the span.
func (s Span) Len() int { return int(s.Last-s.First) + 1 }

// Set is a set of task indexes kept as sorted, disjoint, non-adjacent
// spans. The zero value is the empty set.
type Set []Span

// EncodeDelta writes the set as one list of numbers: what lies between a span and the
// one before it, then its length less one, and so on. Most take one byte.
func (r Set) EncodeDelta(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(2 * len(r)); err != nil {
		return err
	}
	next := ident.TaskIndex(0)
	for _, s := range r {
		if err := e.EncodeUint(uint64(s.First - next)); err != nil {
			return err
		}
		if err := e.EncodeUint(uint64(s.Last - s.First)); err != nil {
			return err
		}
		next = s.Last
	}
	return nil
}

// DecodeDelta reads what Pack wrote. The caller checks it with Valid.
func (r *Set) DecodeDelta(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > 2*maxSpans || n%2 != 0 {
		return errors.New("set of too many spans, or of half a one")
	}
	*r = nil
	next := uint64(0)
	for range max(n, 0) / 2 {
		gap, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		more, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		if gap > math.MaxUint32 || more > math.MaxUint32 || next+gap+more > math.MaxUint32 {
			return errors.New("set with an index out of range")
		}
		*r = append(*r, Span{First: ident.TaskIndex(next + gap), Last: ident.TaskIndex(next + gap + more)})
		next += gap + more
	}
	return nil
}

// DeltaSizeBound is the number of bytes that Pack writes.
func (r Set) DeltaSizeBound() int {
	n := 5
	next := ident.TaskIndex(0)
	for _, s := range r {
		n += UintSize(uint64(s.First-next)) + UintSize(uint64(s.Last-s.First))
		next = s.Last
	}
	return n
}

// UintSize is the number of bytes that a number takes in MessagePack.
func UintSize(n uint64) int {
	switch {
	case n < 1<<7:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

// maxSpans bounds what is read back of a set.
const maxSpans = 1 << 16

// DecodeMsgpack reads a set, allocating no more than is there.
func (r *Set) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxSpans {
		return errors.New("set of too many spans")
	}
	*r = nil
	for range max(n, 0) {
		var s Span
		if err := d.Decode(&s); err != nil {
			return err
		}
		*r = append(*r, s)
	}
	return nil
}

// Full returns the set of the first n indexes.
func Full(n int) Set {
	if n <= 0 {
		return nil
	}
	return Set{{First: 0, Last: ident.TaskIndex(n - 1)}}
}

// Len counts the indexes in the set.
func (r Set) Len() int {
	n := 0
	for _, s := range r {
		n += s.Len()
	}
	return n
}

// Contains tells whether i is in the set.
func (r Set) Contains(i ident.TaskIndex) bool {
	k := sort.Search(len(r), func(k int) bool { return r[k].Last >= i })
	return k < len(r) && r[k].First <= i
}

// Valid tells whether the spans are sorted, disjoint, non-adjacent and below n.
func (r Set) Valid(n int) bool {
	next := 0
	for k, s := range r {
		if s.First > s.Last || int(s.Last) >= n || int(s.First) < next || (k > 0 && int(s.First) == next) {
			return false
		}
		next = int(s.Last) + 1
	}
	return true
}

// Add puts i into the set and tells whether it was new.
func (r *Set) Add(i ident.TaskIndex) bool {
	s := *r
	k := sort.Search(len(s), func(k int) bool { return s[k].Last >= i })
	if k < len(s) && s[k].First <= i {
		return false
	}
	joinsLeft := k > 0 && s[k-1].Last+1 == i
	joinsRight := k < len(s) && s[k].First == i+1
	switch {
	case joinsLeft && joinsRight:
		s[k-1].Last = s[k].Last
		s = append(s[:k], s[k+1:]...)
	case joinsLeft:
		s[k-1].Last = i
	case joinsRight:
		s[k].First = i
	default:
		s = append(s, Span{})
		copy(s[k+1:], s[k:])
		s[k] = Span{First: i, Last: i}
	}
	*r = s
	return true
}

// Remove takes i out of the set and tells whether it was there.
func (r *Set) Remove(i ident.TaskIndex) bool {
	s := *r
	k := sort.Search(len(s), func(k int) bool { return s[k].Last >= i })
	if k == len(s) || s[k].First > i {
		return false
	}
	old := s[k]
	switch {
	case old.First == i && old.Last == i:
		s = append(s[:k], s[k+1:]...)
	case old.First == i:
		s[k].First++
	case old.Last == i:
		s[k].Last--
	default:
		s = append(s, Span{})
		copy(s[k+1:], s[k:])
		s[k].Last = i - 1
		s[k+1].First = i + 1
	}
	*r = s
	return true
}

// Each calls f for every index in order until f returns false.
func (r Set) Each(f func(ident.TaskIndex) bool) {
	for _, s := range r {
		for i := s.First; ; i++ {
			if !f(i) {
				return
			}
			if i == s.Last {
				break
			}
		}
	}
}

// Clone returns a copy that shares nothing with r.
func (r Set) Clone() Set { return append(Set(nil), r...) }
