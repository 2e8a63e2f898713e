// Package wire holds what the encoders and decoders of stored records and outside messages share.
// The library that reads MessagePack allocates what a list claims to hold before reading it, and
// coerces types; the decoders here bound the one and refuse the other. What the messages mean is
// left to the packages that own them.
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

// Packed is MessagePack as a base64 text. The state service counts values in JSON and takes no
// binary; numbers and lists are a third as long this way.
type Packed string

// Pack encodes what f writes. Encoding into memory does not fail; a value that
// can't be encoded is a mistake in f.
func Pack(f func(*msgpack.Encoder) error) (Packed, error) {
	var text strings.Builder
	encoder := base64.NewEncoder(base64.RawStdEncoding, &text)
	if err := errors.Join(f(msgpack.NewEncoder(encoder)), encoder.Close()); err != nil {
		return "", fmt.Errorf("packing: %w", err)
	}
	return Packed(text.String()), nil
}

// Unpack lets f read what Pack wrote.
func (p Packed) Unpack(f func(*msgpack.Decoder) error) error {
	if err := f(msgpack.NewDecoder(p.reader())); err != nil {
		return fmt.Errorf("unpacking: %w", err)
	}
	return nil
}

func (p Packed) reader() io.Reader {
	return base64.NewDecoder(base64.RawStdEncoding, strings.NewReader(string(p)))
}

// CompressMessage encodes a value, compresses it quickly and packs it into a text: heartbeats
// of many machines with many tasks say much the same.
func CompressMessage(v any) (Packed, error) {
	return compress(flate.BestSpeed, func(e *msgpack.Encoder) error { return e.Encode(v) })
}

// CompressRecord compresses what f writes, for what is stored, and packs it into a text.
func CompressRecord(f func(*msgpack.Encoder) error) (Packed, error) {
	return compress(flate.DefaultCompression, f)
}

func compress(level int, f func(*msgpack.Encoder) error) (Packed, error) {
	var text strings.Builder
	encoder := base64.NewEncoder(base64.RawStdEncoding, &text)
	compressor, err := flate.NewWriter(encoder, level)
	if err != nil {
		return "", fmt.Errorf("compressing: %w", err)
	}
	if err := errors.Join(f(msgpack.NewEncoder(compressor)), compressor.Close(), encoder.Close()); err != nil {
		return "", fmt.Errorf("compressing: %w", err)
	}
	return Packed(text.String()), nil
}

// DecompressMessage undoes CompressMessage on an encoded text, up to limit bytes.
func DecompressMessage(value []byte, limit int64) ([]byte, error) {
	text, err := DecodeString(msgpack.NewDecoder(bytes.NewReader(value)))
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(Packed(text).reader()), limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("decompressing: more than %d bytes", limit)
	}
	return data, nil
}

// DecompressRecord lets f read what CompressRecord wrote, up to limit bytes.
func (p Packed) DecompressRecord(limit int64, f func(*msgpack.Decoder) error) error {
	decompressor := flate.NewReader(p.reader())
	if err := f(msgpack.NewDecoder(io.LimitReader(decompressor, limit))); err != nil {
		return fmt.Errorf("decompressing: %w", err)
	}
	return nil
}

// PackedLen is the length of n bytes once they are packed.
func PackedLen(n int) int { return base64.RawStdEncoding.EncodedLen(n) }

// UintSize is the number of bytes that a whole number takes in MessagePack.
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
