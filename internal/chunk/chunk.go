// Package chunk stores a text that does not fit into one value of the state
// service: its head stays with the record that it belongs to, the rest goes into
// numbered parts. Record and parts name the same sum, so that parts left from an
// earlier write are told apart and torn ones are refused.
package chunk

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of all parts.
const KeyPrefix = "part/"

// MaxChunks bounds the parts that one record may claim.
const MaxChunks = 256

// overheadBytes bounds, in JSON, what a part holds beside its piece of the text.
const overheadBytes = 64

var (
	// ErrTooLarge says that a record does not fit into the parts allowed.
	ErrTooLarge = errors.New("record is too large")
	// ErrTorn says that parts of a record are missing or don't belong together.
	ErrTorn = errors.New("record whose parts are missing or torn")
)

// Value is the value of one part.
type Value struct {
	SchemaVersion int         `msgpack:"v" json:"v"`
	Checksum      uint32      `msgpack:"s" json:"s"`
	Data          wire.Packed `msgpack:"pk" json:"pk"`
}

// Key is the key of part n of the record named owner.
func Key(owner string, n int) string { return KeyPrefix + owner + "/" + strconv.Itoa(n) }

// Checksum is what a record and its parts name.
func Checksum(text wire.Packed) uint32 { return crc32.ChecksumIEEE([]byte(text)) }

// Split cuts text into a head of at most room bytes and at most so many parts,
// whose values take at most limit bytes in JSON.
func Split(text wire.Packed, room, limit, most, schema int) (wire.Packed, []*Value, error) {
	size := limit - overheadBytes
	if room < 0 || size <= 0 {
		return "", nil, fmt.Errorf("%w: its head alone leaves no room", ErrTooLarge)
	}
	sum := Checksum(text)
	head := min(len(text), room)
	var rest []*Value
	for begin := head; begin < len(text); begin += size {
		end := min(len(text), begin+size)
		rest = append(rest, &Value{SchemaVersion: schema, Checksum: sum, Data: text[begin:end]})
	}
	if len(rest) > min(most, MaxChunks) {
		return "", nil, fmt.Errorf("%w: %d parts", ErrTooLarge, len(rest))
	}
	return text[:head], rest, nil
}

// Join puts the head and n parts together. part returns the value of part k,
// counted from 1, or nil; it may itself be nil where there are none.
func Join(head wire.Packed, n int, sum uint32, part func(k int) []byte) (wire.Packed, error) {
	if n < 0 || n > MaxChunks || n > 0 && part == nil {
		return "", fmt.Errorf("%w: %d parts", ErrTorn, n)
	}
	text := head
	for k := 1; k <= n; k++ {
		p := new(Value)
		if err := msgpack.Unmarshal(part(k), p); err != nil || p.Checksum != sum {
			return "", fmt.Errorf("%w: part %d", ErrTorn, k)
		}
		text += p.Data
	}
	if Checksum(text) != sum {
		return "", ErrTorn
	}
	return text, nil
}

// Capacity is how much text the parts of a record hold where values take limit
// bytes and n parts may be written.
func Capacity(limit, n int) int { return max(0, n) * max(0, limit-overheadBytes) }
