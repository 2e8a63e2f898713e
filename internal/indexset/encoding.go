package indexset

import (
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// maxSpans is the most spans that decoding accepts in one set.
	maxSpans = 1 << 16
	// maxArrayHeaderBytes is the size of the largest array header in MessagePack.
	maxArrayHeaderBytes = 5
)

var (
	errTooManySpans = errors.New("index set with too many spans")
	errOddLength    = errors.New("delta-encoded index set with an odd number of elements")
	errOutOfRange   = errors.New("index set with an index out of range")
)

// DecodeMsgpack reads a list of spans. It allocates for the spans that are present, not for the
// length that the list claims.
func (s *Set) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxSpans {
		return errTooManySpans
	}
	*s = nil
	for range max(n, 0) {
		var span Span
		if err := d.Decode(&span); err != nil {
			return err
		}
		*s = append(*s, span)
	}
	return nil
}

// EncodeDelta writes the set as one list with two numbers for each span:
//  1. the distance from the last index of the previous span, or from 0, to its first index;
//  2. the distance from its first index to its last.
//
// Most numbers take one byte.
func (s Set) EncodeDelta(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(2 * len(s)); err != nil {
		return err
	}
	prev := ident.TaskIndex(0)
	for _, span := range s {
		if err := e.EncodeUint(uint64(span.First - prev)); err != nil {
			return err
		}
		if err := e.EncodeUint(uint64(span.Last - span.First)); err != nil {
			return err
		}
		prev = span.Last
	}
	return nil
}

// DecodeDelta reads the form that EncodeDelta writes.
func (s *Set) DecodeDelta(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	switch {
	case err != nil:
		return err
	case n > 2*maxSpans:
		return errTooManySpans
	case n%2 != 0: // also true for nil, whose length is -1
		return errOddLength
	}
	*s = nil
	prev := uint64(0)
	for range n / 2 {
		gap, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		length, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		if gap > math.MaxUint32 || length > math.MaxUint32 || prev+gap+length > math.MaxUint32 {
			return errOutOfRange
		}
		*s = append(*s, Span{First: ident.TaskIndex(prev + gap), Last: ident.TaskIndex(prev + gap + length)})
		prev += gap + length
	}
	return nil
}

// DeltaSizeBound returns an upper bound on the bytes that EncodeDelta writes.
func (s Set) DeltaSizeBound() int {
	n := maxArrayHeaderBytes
	prev := ident.TaskIndex(0)
	for _, span := range s {
		n += wire.UintSize(uint64(span.First-prev)) + wire.UintSize(uint64(span.Last-span.First))
		prev = span.Last
	}
	return n
}
