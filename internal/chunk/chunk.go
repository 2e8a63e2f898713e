// Package chunk stores a text that does not fit into one value of the state service: its head
// stays with the record that it belongs to, the rest goes into numbered chunks. Record and
// chunks carry the same checksum, so that chunks left from an earlier write are told apart and
// torn ones are refused. Reading and writing the keys is left to the callers.
package chunk

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of all chunks.
const KeyPrefix = "part/"

const (
	// MaxChunks bounds the chunks that one record may claim.
	MaxChunks = 256
	// overheadBytes bounds, in JSON, what a chunk holds beside its piece of the text.
	overheadBytes = 64
)

var (
	// ErrTooLarge means that a record does not fit into the chunks allowed.
	ErrTooLarge = errors.New("record is too large")
	// ErrTorn means that chunks of a record are missing or belong to another write of it.
	ErrTorn = errors.New("record whose chunks are missing or torn")
)

// Value is the value of one chunk.
type Value struct {
	SchemaVersion int         `msgpack:"v" json:"v"` // of the record
	Checksum      uint32      `msgpack:"s" json:"s"` // of the whole text
	Data          wire.Packed `msgpack:"pk" json:"pk"`
}

// Key is the key of the chunk with a number of the record named owner.
func Key(owner string, number int) string { return KeyPrefix + owner + "/" + strconv.Itoa(number) }

// Checksum is what a record and its chunks carry of their text.
func Checksum(text wire.Packed) uint32 { return crc32.ChecksumIEEE([]byte(text)) }

// Limits bound what Split makes of a text.
type Limits struct {
	HeadBytes  int // of the head
	ValueBytes int // of each chunk's value, in JSON
	Chunks     int // beside the head; MaxChunks at most
}

// Split cuts text into a head and chunks within the limits. The error wraps ErrTooLarge if it
// does not fit.
func Split(text wire.Packed, limits Limits, schemaVersion int) (wire.Packed, []*Value, error) {
	chunkBytes := limits.ValueBytes - overheadBytes
	if limits.HeadBytes < 0 || chunkBytes <= 0 {
		return "", nil, fmt.Errorf("%w: its head alone exceeds the limit", ErrTooLarge)
	}
	checksum := Checksum(text)
	headBytes := min(len(text), limits.HeadBytes)
	var chunks []*Value
	for begin := headBytes; begin < len(text); begin += chunkBytes {
		end := min(len(text), begin+chunkBytes)
		chunks = append(chunks, &Value{SchemaVersion: schemaVersion, Checksum: checksum, Data: text[begin:end]})
	}
	if len(chunks) > min(limits.Chunks, MaxChunks) {
		return "", nil, fmt.Errorf("%w: %d chunks", ErrTooLarge, len(chunks))
	}
	return text[:headBytes], chunks, nil
}

// Join puts the head and n chunks together. chunkData returns the value of a chunk, counted
// from 1, or nil; it may itself be nil where there are none. The error wraps ErrTorn if the text
// does not have the checksum.
func Join(head wire.Packed, n int, checksum uint32, chunkData func(number int) []byte) (wire.Packed, error) {
	if n < 0 || n > MaxChunks || n > 0 && chunkData == nil {
		return "", fmt.Errorf("%w: %d chunks", ErrTorn, n)
	}
	text := head
	for number := 1; number <= n; number++ {
		value := new(Value)
		if err := msgpack.Unmarshal(chunkData(number), value); err != nil {
			return "", fmt.Errorf("%w: chunk %d: %w", ErrTorn, number, err)
		}
		if value.Checksum != checksum {
			return "", fmt.Errorf("%w: chunk %d is of another write", ErrTorn, number)
		}
		text += value.Data
	}
	if Checksum(text) != checksum {
		return "", ErrTorn
	}
	return text, nil
}

// Capacity is how many bytes of text n chunks hold whose values take at most limit bytes.
func Capacity(limit, n int) int { return max(0, n) * max(0, limit-overheadBytes) }
