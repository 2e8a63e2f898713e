package wire

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Packed is what Pack makes: MessagePack in a text. The state service counts
// values in JSON and takes no binary; numbers and lists are a third as long
// this way.
type Packed string

// Pack encodes what f writes. Encoding into memory does not fail; a value that
// can't be encoded is a mistake in f.
func Pack(f func(*msgpack.Encoder) error) (Packed, error) {
	var b strings.Builder
	w := base64.NewEncoder(base64.RawStdEncoding, &b)
	enc := msgpack.NewEncoder(w)
	if err := f(enc); err != nil {
		return "", fmt.Errorf("packing: %w", err)
	}
	if err := w.Close(); err != nil {
		return "", fmt.Errorf("packing: %w", err)
	}
	return Packed(b.String()), nil
}

// Unpack lets f read what Pack wrote.
func (p Packed) Unpack(f func(*msgpack.Decoder) error) error {
	dec := msgpack.NewDecoder(base64.NewDecoder(base64.RawStdEncoding, strings.NewReader(string(p))))
	if err := f(dec); err != nil {
		return fmt.Errorf("unpacking: %w", err)
	}
	return nil
}

// CompressMessage encodes a value, compresses it and packs it into a text: reports of
// many machines with many tasks say much the same.
func CompressMessage(v any) (Packed, error) {
	return compress(flate.BestSpeed, func(e *msgpack.Encoder) error { return e.Encode(v) })
}

// CompressRecord compresses what f writes, for what is kept, and packs it into a
// text.
func CompressRecord(f func(*msgpack.Encoder) error) (Packed, error) {
	return compress(flate.DefaultCompression, f)
}

func compress(level int, f func(*msgpack.Encoder) error) (Packed, error) {
	var b strings.Builder
	w := base64.NewEncoder(base64.RawStdEncoding, &b)
	z, err := flate.NewWriter(w, level)
	if err != nil {
		return "", fmt.Errorf("squeezing: %w", err)
	}
	if err := errors.Join(f(msgpack.NewEncoder(z)), z.Close(), w.Close()); err != nil {
		return "", fmt.Errorf("squeezing: %w", err)
	}
	return Packed(b.String()), nil
}

// DecompressMessage undoes Squeeze on an encoded text, up to limit bytes.
func DecompressMessage(value []byte, limit int64) ([]byte, error) {
	text, err := DecodeString(msgpack.NewDecoder(bytes.NewReader(value)))
	if err != nil {
		return nil, fmt.Errorf("expanding: %w", err)
	}
	z := flate.NewReader(base64.NewDecoder(base64.RawStdEncoding, strings.NewReader(text)))
	data, err := io.ReadAll(io.LimitReader(z, limit+1))
	if err != nil {
		return nil, fmt.Errorf("expanding: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("expanding: more than %d bytes", limit)
	}
	return data, nil
}

// DecompressRecord lets f read what SqueezeWith wrote, up to limit bytes.
func (p Packed) DecompressRecord(limit int64, f func(*msgpack.Decoder) error) error {
	z := flate.NewReader(base64.NewDecoder(base64.RawStdEncoding, strings.NewReader(string(p))))
	if err := f(msgpack.NewDecoder(io.LimitReader(z, limit))); err != nil {
		return fmt.Errorf("expanding: %w", err)
	}
	return nil
}

// PackedLen is the length of n bytes once they are packed.
func PackedLen(n int) int { return base64.RawStdEncoding.EncodedLen(n) }

// DecodeArrayLen reads the head of a list and bounds what it claims.
func DecodeArrayLen(d *msgpack.Decoder) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n > maxListElements {
		return 0, fmt.Errorf("list of %d elements", n)
	}
	return max(n, 0), nil
}
