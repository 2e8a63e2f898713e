package checkpoint

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// PartPrefix begins the keys of the parts of job records.
const PartPrefix = "part/"

// PartKey is the key of a part of a job's record; the first is number 1.
func PartKey(id unit.JobID, n int) string { return PartPrefix + string(id) + "/" + strconv.Itoa(n) }

// Part is the value of part/ID/N: what did not fit into the record. It belongs
// to the record that names the same sum; others are left from before.
type Part struct {
	Schema int         `msgpack:"v" json:"v"`
	Sum    uint32      `msgpack:"s" json:"s"`
	Packed wire.Packed `msgpack:"pk" json:"pk"`
}

// Overflow is what a record says of its parts.
type Overflow struct {
	Parts int    `msgpack:"n" json:"n"`
	Sum   uint32 `msgpack:"s" json:"s"`
	// Done and Live count tasks, for those who read the record alone.
	Done int `msgpack:"d" json:"d"`
	Live int `msgpack:"l" json:"l"`
}

// partSize bounds, in JSON, what a part holds beside its chunk.
const partSize = 64

// ErrTooLarge says that a record does not fit into its parts either.
var ErrTooLarge = errors.New("job record is too large")

// ErrParts says that parts of a record are missing or torn.
var ErrParts = errors.New("job record whose parts are missing or torn")

// Split returns the record as it is stored where a value holds limit bytes in
// JSON and at most parts values may be written, the record's own included. size
// measures a value. With one value only, the record is plain, and may be too
// large: versions that know no parts serve.
func (r *Record) Split(limit, parts int, size func(any) int) (*Record, []*Part, error) {
	plain, err := r.Encode()
	if err != nil || parts <= 1 || size(plain) <= limit {
		return plain, nil, err
	}
	text, err := wire.SqueezeWith(r.pack)
	if err != nil {
		return nil, nil, err
	}
	out := *plain
	out.Schema, out.Packed = Schema, text[:1] // for its name to be counted
	out.Overflow = &Overflow{Sum: crc32.ChecksumIEEE([]byte(text)), Done: r.Done.Len(), Live: r.Running(), Parts: parts}
	room := limit - size(&out)
	if room < 0 {
		return nil, nil, fmt.Errorf("%w: its spec alone leaves no room", ErrTooLarge)
	}
	head := min(len(text), room)
	out.Packed, text = text[:head], text[head:]
	var rest []*Part
	for len(text) > 0 {
		n := min(len(text), limit-partSize)
		rest = append(rest, &Part{Schema: Schema, Sum: out.Overflow.Sum, Packed: text[:n]})
		text = text[n:]
	}
	if len(rest)+1 > parts {
		return nil, nil, fmt.Errorf("%w: %d parts", ErrTooLarge, len(rest)+1)
	}
	out.Overflow.Parts = len(rest)
	return &out, rest, nil
}

// Running counts the tasks under way.
func (r *Record) Running() int {
	n := 0
	for _, g := range r.Live {
		n += g.Tasks.Len()
	}
	return n
}

// Parts tells how many parts a stored record has beside itself.
func Parts(data []byte) int {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil || r.Overflow == nil {
		return 0
	}
	return min(max(0, r.Overflow.Parts), maxParts)
}

// maxParts bounds what a record may claim.
const maxParts = 64

// maxExpanded bounds what a compressed record may hold.
const maxExpanded = 4 << 20

// DecodeWhole reads a record with its parts. part returns the value of a part,
// or nil.
func DecodeWhole(data []byte, part func(n int) []byte) (*Record, error) {
	r, err := Decode(data)
	if err != nil || r.Overflow == nil {
		return r, err
	}
	o := r.Overflow
	if o.Parts < 0 || o.Parts > maxParts {
		return nil, ErrParts
	}
	text := r.Packed
	for n := 1; n <= o.Parts; n++ {
		p := new(Part)
		if err := msgpack.Unmarshal(part(n), p); err != nil || p.Sum != o.Sum {
			return nil, fmt.Errorf("%w: part %d", ErrParts, n)
		}
		text += p.Packed
	}
	if crc32.ChecksumIEEE([]byte(text)) != o.Sum {
		return nil, ErrParts
	}
	if err := text.ExpandWith(maxExpanded, r.unpack); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	r.Packed, r.Overflow = "", nil
	return r, r.check()
}

// Capacity is how much text a record may hold beside its spec where a value
// holds limit bytes and parts values may be written.
func Capacity(limit, parts, specSize int) int {
	return limit - specSize - recordSize + max(0, parts-1)*(limit-partSize)
}
