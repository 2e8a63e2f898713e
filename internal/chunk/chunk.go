// Package chunk splits a text that does not fit into one value of the state service. The head
// of the text stays in the record that it belongs to, the rest goes into numbered chunks under
// keys of their own. The record and its chunks carry the checksum of the whole text, so that
// Join detects missing chunks and chunks of an earlier write and returns ErrTorn. The callers
// read and write the keys.
package chunk

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

// KeyPrefix is the prefix of the keys of all chunks.
const KeyPrefix = "part/"

const (
	// MaxChunks is the maximum number of chunks of one record.
	MaxChunks = 256
	// overheadBytes is an upper bound on the size in JSON of a chunk's value without its part
	// of the text.
	overheadBytes = 64
)

var (
	// ErrTooLarge is returned when a text does not fit into the head and the allowed chunks.
	ErrTooLarge = errors.New("record is too large")
	// ErrTorn is returned when chunks of a record are missing or belong to another write of it.
	ErrTorn = errors.New("chunks of the record are missing or belong to another write")
)

// Value is the value of one chunk.
type Value struct {
	SchemaVersion int         `msgpack:"v" json:"v"` // schema version of the record
	Checksum      uint32      `msgpack:"s" json:"s"` // checksum of the whole text
	Data          wire.Packed `msgpack:"pk" json:"pk"`
}

// Key returns the key of a chunk, by the name of the owning record and the chunk's number, which
// starts at 1.
func Key(owner string, number int) string { return KeyPrefix + owner + "/" + strconv.Itoa(number) }

// Checksum returns the checksum of a text, which its record and every chunk of it carry.
func Checksum(text wire.Packed) uint32 { return crc32.ChecksumIEEE([]byte(text)) }

// Limits are the size limits that Split observes.
type Limits struct {
	HeadBytes  int // of the text's head
	ValueBytes int // of each chunk's value in JSON
	Chunks     int // number of chunks in addition to the head; values above MaxChunks count as MaxChunks
}

// Split divides text into a head and chunks within the limits. The error wraps ErrTooLarge if
// the text does not fit.
func Split(text wire.Packed, limits Limits, schemaVersion int) (wire.Packed, []*Value, error) {
	chunkBytes := limits.ValueBytes - overheadBytes
	if limits.HeadBytes < 0 || chunkBytes <= 0 {
		return "", nil, fmt.Errorf("%w: the limits leave no room for its head or for a chunk", ErrTooLarge)
	}
	checksum := Checksum(text)
	headBytes := min(len(text), limits.HeadBytes)
	var chunks []*Value
	for begin := headBytes; begin < len(text); begin += chunkBytes {
		end := min(len(text), begin+chunkBytes)
		chunks = append(chunks, &Value{SchemaVersion: schemaVersion, Checksum: checksum, Data: text[begin:end]})
	}
	if len(chunks) > min(limits.Chunks, MaxChunks) {
		return "", nil, fmt.Errorf("%w: it needs %d chunks", ErrTooLarge, len(chunks))
	}
	return text[:headBytes], chunks, nil
}

// Join returns the text that consists of the head and n chunks. chunkData returns the encoded
// value of a chunk, by its number from 1 to n, or nil if the chunk is missing; chunkData itself
// may be nil if no chunks are available. The error wraps ErrTorn if a chunk is missing or can't be
// decoded, or if a chunk or the text does not match the checksum.
func Join(head wire.Packed, n int, checksum uint32, chunkData func(number int) []byte) (wire.Packed, error) {
	if n < 0 || n > MaxChunks || n > 0 && chunkData == nil {
		return "", fmt.Errorf("%w: can't read %d chunks", ErrTorn, n)
	}
	text := head
	for number := 1; number <= n; number++ {
		value := new(Value)
		if err := msgpack.Unmarshal(chunkData(number), value); err != nil {
			return "", fmt.Errorf("%w: chunk %d: %w", ErrTorn, number, err)
		}
		if value.Checksum != checksum {
			return "", fmt.Errorf("%w: chunk %d has the checksum of another write", ErrTorn, number)
		}
		text += value.Data
	}
	if Checksum(text) != checksum {
		return "", ErrTorn
	}
	return text, nil
}

// Capacity returns how many bytes of text fit into n chunks whose values take at most limit
// bytes each in JSON.
func Capacity(limit, n int) int { return max(0, n) * max(0, limit-overheadBytes) }
