// Package wire provides the MessagePack, base64 and compression helpers that the encoders and decoders
// of stored records and of messages to other processes share. The MessagePack library allocates memory
// for the length that a list's header states before it reads the elements, and converts values between
// types. The decoders in this package bound the allocation and return an error for a value of another
// type. The packages that own the messages define what they mean.
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

// Packed is MessagePack data encoded as base64. It is text, because the state service does not accept
// binary data. The service measures the size of a value by its JSON encoding; numbers and lists that are
// packed take a third of the space that they take as JSON.
type Packed string

// Pack returns what f writes to the encoder, as Packed. Writing to memory does not fail, so an error
// means that f tried to encode a value that MessagePack can't represent, which is a programming error.
func Pack(f func(*msgpack.Encoder) error) (Packed, error) {
	var text strings.Builder
	encoder := base64.NewEncoder(base64.RawStdEncoding, &text)
	if err := errors.Join(f(msgpack.NewEncoder(encoder)), encoder.Close()); err != nil {
		return "", fmt.Errorf("packing: %w", err)
	}
	return Packed(text.String()), nil
}

// Unpack calls f with a decoder of the data that Pack encoded.
func (p Packed) Unpack(f func(*msgpack.Decoder) error) error {
	if err := f(msgpack.NewDecoder(p.reader())); err != nil {
		return fmt.Errorf("unpacking: %w", err)
	}
	return nil
}

func (p Packed) reader() io.Reader {
	return base64.NewDecoder(base64.RawStdEncoding, strings.NewReader(string(p)))
}

// CompressMessage encodes a value as MessagePack, compresses it at the fastest level and returns it as
// Packed. It compresses because the heartbeats of many machines with many tasks are highly repetitive.
func CompressMessage(v any) (Packed, error) {
	return compress(flate.BestSpeed, func(e *msgpack.Encoder) error { return e.Encode(v) })
}

// CompressRecord compresses what f writes to the encoder and returns it as Packed, for a stored record.
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

// DecompressMessage reads a MessagePack string that CompressMessage produced and returns the MessagePack
// data in it. It returns an error if the decompressed data is longer than limit bytes.
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
		return nil, fmt.Errorf("decompressing: data exceeds %d bytes", limit)
	}
	return data, nil
}

// DecompressRecord calls f with a decoder of the data that CompressRecord encoded. The decoder reaches
// the end of its input after limit decompressed bytes.
func (p Packed) DecompressRecord(limit int64, f func(*msgpack.Decoder) error) error {
	decompressor := flate.NewReader(p.reader())
	if err := f(msgpack.NewDecoder(io.LimitReader(decompressor, limit))); err != nil {
		return fmt.Errorf("decompressing: %w", err)
	}
	return nil
}

// PackedLen returns the length of n bytes of MessagePack data as Packed.
func PackedLen(n int) int { return base64.RawStdEncoding.EncodedLen(n) }

// UintSize returns the size in bytes of the MessagePack encoding of n.
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
