package checkpoint

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/parts"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// PartKey is the key of a part of a job's record; the first is number 1.
func PartKey(id unit.JobID, n int) string { return parts.Key(string(id), n) }

// bankSize is how many parts one write of a record may have. A staged record
// uses one of two banks of part numbers, the one that the stored record does not.
const bankSize = parts.Most / 2

// Overflow is what a record says of its parts.
type Overflow struct {
	Parts int    `msgpack:"n" json:"n"`
	Sum   uint32 `msgpack:"s" json:"s"`
	// Done and Live count tasks, for those who read the record alone.
	Done int `msgpack:"d" json:"d"`
	Live int `msgpack:"l" json:"l"`
	// First is the number before that of the first part; see Stage.
	First int `msgpack:"f,omitempty" json:"f,omitempty"`
}

func (r *Record) overflow(text wire.Packed) *Overflow {
	return &Overflow{Sum: parts.Sum(text), Done: r.Done.Len(), Live: r.Running(), Parts: parts.Most}
}

// Split returns the record as it is stored where a value holds limit bytes in
// JSON and at most values may be written, the record's own included. size
// measures a value. With one value only, the record is plain, and may be too
// large: versions that know no parts serve.
func (r *Record) Split(limit, values int, size func(any) int) (*Record, []*parts.Part, error) {
	plain, err := r.Encode()
	if err != nil || values <= 1 || size(plain) <= limit {
		return plain, nil, err
	}
	text, err := wire.SqueezeWith(r.pack)
	if err != nil {
		return nil, nil, err
	}
	out := *plain
	out.Schema, out.Packed = schemaParts, text[:1] // for its name to be counted
	out.Overflow = r.overflow(text)
	head, rest, err := parts.Split(text, limit-size(&out), limit, values-1, schemaParts)
	if err != nil {
		return nil, nil, fmt.Errorf("job record: %w", err)
	}
	out.Packed, out.Overflow.Parts = head, len(rest)
	return &out, rest, nil
}

// Stage returns the record as it is stored in several transactions, whatever its
// size: the parts first, in the bank that the stored record does not use, then
// the record itself, which holds neither spec nor placements. Until that is
// written the stored one stays whole.
func (r *Record) Stage(limit, storedFirst int) (*Record, []*parts.Part, error) {
	text, err := wire.SqueezeWith(r.packWhole)
	if err != nil {
		return nil, nil, err
	}
	_, rest, err := parts.Split(text, 0, limit, bankSize, schemaStaged)
	if err != nil {
		return nil, nil, fmt.Errorf("job record: %w", err)
	}
	out := *r
	out.Schema, out.Spec, out.Done, out.Live, out.Packed = schemaStaged, Spec{}, nil, nil, ""
	out.Overflow = r.overflow(text)
	out.Overflow.Parts = len(rest)
	if storedFirst == 0 {
		out.Overflow.First = bankSize
	}
	return &out, rest, nil
}

// packWhole writes the spec before what pack writes.
func (r *Record) packWhole(e *msgpack.Encoder) error {
	if err := e.Encode(&r.Spec); err != nil {
		return err
	}
	return r.pack(e)
}

func (r *Record) unpackWhole(d *msgpack.Decoder) error {
	if err := d.Decode(&r.Spec); err != nil {
		return err
	}
	return r.unpack(d)
}

// Running counts the tasks under way.
func (r *Record) Running() int {
	n := 0
	for _, g := range r.Live {
		n += g.Tasks.Len()
	}
	return n
}

// PartNumbers lists the numbers of the parts that a stored record has.
func PartNumbers(data []byte) []int {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil || r.Overflow == nil || !r.Overflow.valid() {
		return nil
	}
	out := make([]int, r.Overflow.Parts)
	for i := range out {
		out[i] = r.Overflow.First + i + 1
	}
	return out
}

// valid refuses what no program writes.
func (o *Overflow) valid() bool {
	return o.Parts >= 0 && o.Parts <= parts.Most && o.First >= 0 && o.First <= parts.Most
}

// maxExpanded bounds what a compressed record may hold.
const maxExpanded = 4 << 20

// DecodeWhole reads a record with its parts. part returns the value of the part
// with a number, or nil.
func DecodeWhole(data []byte, part func(n int) []byte) (*Record, error) {
	r, err := Decode(data)
	if err != nil || r.Overflow == nil {
		return r, err
	}
	o := r.Overflow
	text, err := parts.Join(r.Packed, o.Parts, o.Sum, func(k int) []byte { return part(o.First + k) })
	if err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	unpack := r.unpack
	if r.Schema == schemaStaged {
		unpack = r.unpackWhole
	}
	if err := text.ExpandWith(maxExpanded, unpack); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	r.Packed, r.Overflow, r.FirstPart = "", nil, o.First
	return r, r.check()
}

// Capacity is how much text a record may hold beside its spec where a value
// holds limit bytes and so many values may be written.
func Capacity(limit, values, specSize int) int {
	return limit - specSize - recordSize + parts.Capacity(limit, values-1)
}
