// Package wire holds what the decoders of outside messages share. The library
// that reads MessagePack allocates what a list claims to hold before reading
// it, and coerces types; these types bound the one and refuse the other.
package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// NewRequest makes a request whose body, if any, is MessagePack.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var rd io.Reader
	if body != nil {
		data, err := msgpack.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encoding: %w", err)
		}
		rd = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", ContentType)
	return req, nil
}

// ErrResponseTooLarge says that an answer is larger than what is read of one.
var ErrResponseTooLarge = errors.New("answer too large")

// Do sends a request and reads the whole answer, up to limit bytes.
func Do(c *http.Client, req *http.Request, limit int64) (int, []byte, error) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(data)) > limit {
		return 0, nil, ErrResponseTooLarge
	}
	return resp.StatusCode, data, nil
}

// ContentType is the media type of every body.
const ContentType = "application/msgpack"

// maxListElements bounds a list whatever it claims.
const maxListElements = 1 << 17

// maxNestingDepth bounds how deep a value that is skipped may nest.
const maxNestingDepth = 16

// BoundedList is a list whose memory grows with what is read, not with what the
// message claims.
type BoundedList[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *BoundedList[T]) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxListElements {
		return fmt.Errorf("list of %d elements", n)
	}
	*l = nil
	for range max(n, 0) {
		var v T
		if err := d.Decode(&v); err != nil {
			return err
		}
		*l = append(*l, v)
	}
	return nil
}

// Skip passes over a value that nests no deeper than allowed.
func Skip(d *msgpack.Decoder) error { return skip(d, 0) }

func skip(d *msgpack.Decoder, depth int) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	n := 0
	switch {
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
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
		return fmt.Errorf("nested deeper than %d", maxNestingDepth)
	}
	for range max(n, 0) {
		if err := skip(d, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMap reads a map with text keys, handing each value to the reader of its key;
// what has no reader is skipped.
func DecodeMap(d *msgpack.Decoder, fields map[string]func(*msgpack.Decoder) error) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedMap(code) && code != msgpcode.Map16 && code != msgpcode.Map32 {
		return fmt.Errorf("not a map")
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
		read := fields[key]
		if read == nil {
			read = Skip
		}
		if err := read(d); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	return nil
}

// DecodeNil tells whether the next value is null, and passes over it if so.
func DecodeNil(d *msgpack.Decoder) (bool, error) {
	code, err := d.PeekCode()
	if err != nil || code != msgpcode.Nil {
		return false, err
	}
	return true, d.DecodeNil()
}

// DecodeString reads a text.
func DecodeString(d *msgpack.Decoder) (string, error) {
	code, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(code) {
		return "", fmt.Errorf("not a text")
	}
	return d.DecodeString()
}

// DecodeBool reads a truth value.
func DecodeBool(d *msgpack.Decoder) (bool, error) {
	code, err := d.PeekCode()
	if err != nil {
		return false, err
	}
	if code != msgpcode.True && code != msgpcode.False {
		return false, fmt.Errorf("not a truth value")
	}
	return d.DecodeBool()
}

// DecodeAmount reads a decimal number that is not negative. Whole numbers are
// decimal numbers too.
func DecodeAmount(d *msgpack.Decoder) (float64, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(code) && code != msgpcode.Float && code != msgpcode.Double {
		return 0, fmt.Errorf("not a number")
	}
	v, err := d.DecodeFloat64()
	if err != nil {
		return 0, err
	}
	if !(v >= 0) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("%v is not an amount", v)
	}
	return v, nil
}

// DecodeCount reads a whole number that is not negative.
func DecodeCount(d *msgpack.Decoder) (uint64, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(code) {
		return 0, fmt.Errorf("not a whole number")
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
