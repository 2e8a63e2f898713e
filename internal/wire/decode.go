package wire

import (
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxListElements is the largest list length that DecodeArrayLen accepts.
	maxListElements = 1 << 17
	// maxNestingDepth is the deepest nesting that Skip accepts; it bounds the recursion of skip.
	maxNestingDepth = 16
)

// BoundedList is a list whose decoder allocates memory for each element as it is read, not for the
// length that the list's header states.
type BoundedList[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *BoundedList[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := DecodeArrayLen(d)
	if err != nil {
		return err
	}
	*l = nil
	for range n {
		var v T
		if err := d.Decode(&v); err != nil {
			return err
		}
		*l = append(*l, v)
	}
	return nil
}

// DecodeArrayLen reads a list's header and returns the length stated there. It returns 0 for null, and
// an error if the length exceeds maxListElements.
func DecodeArrayLen(d *msgpack.Decoder) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n > maxListElements {
		return 0, fmt.Errorf("list length %d exceeds the limit of %d", n, maxListElements)
	}
	return max(n, 0), nil
}

// Skip reads and discards a value. It returns an error if the value nests deeper than maxNestingDepth.
func Skip(d *msgpack.Decoder) error { return skip(d, 0) }

func skip(d *msgpack.Decoder, depth int) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	n := 0
	switch {
	case isMap(code):
		n, err = d.DecodeMapLen()
		n *= 2
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		n, err = d.DecodeArrayLen()
	default:
		return d.Skip()
	}
	if err != nil {
		return err
	}
	if depth == maxNestingDepth {
		return fmt.Errorf("nesting exceeds %d levels", maxNestingDepth)
	}
	for range max(n, 0) {
		if err := skip(d, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMap reads a map with string keys and decodes each value with the function that fields has for
// its key. Values of keys that fields lacks are skipped.
func DecodeMap(d *msgpack.Decoder, fields map[string]func(*msgpack.Decoder) error) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !isMap(code) {
		return errors.New("not a map")
	}
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		key, err := DecodeString(d)
		if err != nil {
			return err
		}
		decode := fields[key]
		if decode == nil {
			decode = Skip
		}
		if err := decode(d); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	return nil
}

// DecodeNil reports whether the next value is null, and consumes the value if it is.
func DecodeNil(d *msgpack.Decoder) (bool, error) {
	code, err := d.PeekCode()
	if err != nil || code != msgpcode.Nil {
		return false, err
	}
	return true, d.DecodeNil()
}

// DecodeString reads a string. It returns an error for a value of any other type.
func DecodeString(d *msgpack.Decoder) (string, error) {
	code, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(code) {
		return "", errors.New("not a string")
	}
	return d.DecodeString()
}

// DecodeBool reads a boolean. It returns an error for a value of any other type.
func DecodeBool(d *msgpack.Decoder) (bool, error) {
	code, err := d.PeekCode()
	if err != nil {
		return false, err
	}
	if code != msgpcode.True && code != msgpcode.False {
		return false, errors.New("not a boolean")
	}
	return d.DecodeBool()
}

// DecodeAmount reads a finite, non-negative number, encoded as a floating-point number or an integer.
func DecodeAmount(d *msgpack.Decoder) (float64, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(code) && code != msgpcode.Float && code != msgpcode.Double {
		return 0, errors.New("not a number")
	}
	v, err := d.DecodeFloat64()
	if err != nil {
		return 0, err
	}
	if !(v >= 0) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("%v is not a finite, non-negative number", v)
	}
	return v, nil
}

// DecodeCount reads a non-negative integer.
func DecodeCount(d *msgpack.Decoder) (uint64, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(code) {
		return 0, errors.New("not an integer")
	}
	if isSigned(code) {
		v, err := d.DecodeInt64()
		if err == nil && v < 0 {
			err = fmt.Errorf("%d is negative", v)
		}
		return uint64(max(v, 0)), err
	}
	return d.DecodeUint64()
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

func isInt(code byte) bool {
	switch code {
	case msgpcode.Uint8, msgpcode.Uint16, msgpcode.Uint32, msgpcode.Uint64:
		return true
	}
	return isSigned(code)
}

func isSigned(code byte) bool {
	switch code {
	case msgpcode.Int8, msgpcode.Int16, msgpcode.Int32, msgpcode.Int64:
		return true
	}
	return msgpcode.IsFixedNum(code)
}
