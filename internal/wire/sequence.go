package wire

import "github.com/vmihailenco/msgpack/v5"

// Sequence decodes values that follow one another. After the first error, which Err returns, the
// decoder is not read any further, and every value is zero.
type Sequence struct {
	decoder *msgpack.Decoder
	err     error
}

// NewSequence returns a sequence that reads from d.
func NewSequence(d *msgpack.Decoder) *Sequence { return &Sequence{decoder: d} }

// Text decodes a text.
func (s *Sequence) Text() string { return next(s, DecodeString) }

// Count decodes an integer that is not negative.
func (s *Sequence) Count() uint64 { return next(s, DecodeCount) }

// Err returns the first error, or nil if there was none.
func (s *Sequence) Err() error { return s.err }

func next[T any](s *Sequence, decode func(*msgpack.Decoder) (T, error)) T {
	var zero T
	if s.err != nil {
		return zero
	}
	value, err := decode(s.decoder)
	if err != nil {
		s.err = err
		return zero
	}
	return value
}
