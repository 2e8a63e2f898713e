package indexset

import (
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

const (
	// maxSpans bounds what is read back of a set.
	maxSpans = 1 << 16
	// maxArrayHeaderBytes is the most that the head of a list takes in MessagePack.
	maxArrayHeaderBytes = 5
)

var (
	errTooManySpans = errors.New("set of too many spans")
	errOddLength    = errors.New("set that ends with half a span")
	errOutOfRange   = errors.New("set with an index out of range")
)

// DecodeMsgpack reads a list of spans, allocating no more than is there.
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

// EncodeDelta writes the set as one list of numbers: what lies between a span and the
// one before it, then its length less one, and so on. Most take one byte.
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

// DecodeDelta reads what EncodeDelta wrote.
func (s *Set) DecodeDelta(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	switch {
	case err != nil:
		return err
	case n > 2*maxSpans:
		return errTooManySpans
	case n%2 != 0: // also nil, of length -1
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

// DeltaSizeBound bounds the bytes that EncodeDelta writes.
func (s Set) DeltaSizeBound() int {
	n := maxArrayHeaderBytes
	prev := ident.TaskIndex(0)
	for _, span := range s {
		n += wire.UintSize(uint64(span.First-prev)) + wire.UintSize(uint64(span.Last-span.First))
		prev = span.Last
	}
	return n
}
