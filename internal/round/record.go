// Package round makes the leader's decisions in rounds. A round is planned
// from what is known, recorded whole before any of its effects is sent, and
// folded into the checkpoints of its jobs later.
package round

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/parts"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of the ring of round records.
const KeyPrefix = "round/"

// Schema is the version of Record. Since 2 the starts are packed; the lists of
// schema 1 are still read. schemaPlain is written wherever it serves, since the
// version before reads it; a record of schemaParts is compressed, names attempts
// and may continue in parts.
const (
	Schema      = schemaParts
	schemaPlain = 2
	schemaParts = 3
)

// Start is a group of tasks of one job to be started on one machine.
type Start struct {
	Job     unit.JobID     `msgpack:"j" json:"j"`
	Machine unit.MachineID `msgpack:"m" json:"m"`
	Session unit.Session   `msgpack:"s" json:"s"`
	Tasks   unit.Set       `msgpack:"t" json:"t"`
	// Attempt is that of a gang which waits for these tasks; 0: the number of the
	// round.
	Attempt unit.Attempt `msgpack:"-" json:"-"`
}

// AttemptIn is the attempt of the start in round no.
func (s *Start) AttemptIn(no unit.RoundNo) unit.Attempt {
	if s.Attempt != 0 {
		return s.Attempt
	}
	return unit.Attempt(no)
}

// Hire is a rental under a name of its own.
type Hire struct {
	Name  string       `msgpack:"n" json:"n"`
	Offer rental.Offer `msgpack:"o" json:"o"`
	Count int          `msgpack:"c" json:"c"`
}

// Record is the value of round/SLOT: effects that are pending until folded.
// Every round below Low has been settled.
type Record struct {
	Schema   int                              `msgpack:"v" json:"v"`
	No       unit.RoundNo                     `msgpack:"no" json:"no"`
	Epoch    unit.Epoch                       `msgpack:"e" json:"e"`
	Low      unit.RoundNo                     `msgpack:"lo" json:"lo"`
	Starts   wire.BoundedList[Start]          `msgpack:"st,omitempty" json:"-"`
	Packed   wire.Packed                      `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Hires    wire.BoundedList[Hire]           `msgpack:"hi,omitempty" json:"hi,omitempty"`
	Releases wire.BoundedList[unit.MachineID] `msgpack:"re,omitempty" json:"re,omitempty"`
	Overflow *Overflow                        `msgpack:"ov,omitempty" json:"ov,omitempty"`
}

// Overflow is what a record says of its parts.
type Overflow struct {
	Parts int    `msgpack:"n" json:"n"`
	Sum   uint32 `msgpack:"s" json:"s"`
}

// ErrSchema says that a record was written by a later version.
var ErrSchema = errors.New("round record has a later schema")

// Decode reads a record. part returns the value of its part with a number, or nil.
func Decode(data []byte, part func(n int) []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding round record: %w", err)
	}
	if r.Schema > Schema {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrSchema, r.Schema, Schema)
	}
	if (r.Schema > schemaPlain) != (r.Overflow != nil) {
		return nil, errors.New("round record whose schema and parts differ")
	}
	if err := r.decodeStarts(part); err != nil {
		return nil, fmt.Errorf("round record: %w", err)
	}
	r.Packed, r.Overflow = "", nil
	for _, s := range r.Starts {
		if !s.Tasks.Valid(1 << 31) {
			return nil, errors.New("round record holds impossible ranges")
		}
	}
	return r, nil
}

func (r *Record) decodeStarts(part func(n int) []byte) error {
	if o := r.Overflow; o != nil {
		text, err := parts.Join(r.Packed, o.Parts, o.Sum, part)
		if err != nil {
			return err
		}
		return text.DecompressRecord(maxExpanded, func(d *msgpack.Decoder) error { return r.unpack(d, true) })
	}
	if r.Packed == "" {
		return nil
	}
	return r.Packed.Unpack(func(d *msgpack.Decoder) error { return r.unpack(d, false) })
}

// maxExpanded bounds what a compressed record may hold.
const maxExpanded = 4 << 20

// Encode returns the record as the version before reads it: in one value,
// whatever its size, with all starts in the attempt of the round.
func (r *Record) Encode() (*Record, error) {
	out := *r
	out.Schema, out.Starts = schemaPlain, nil
	if len(r.Starts) == 0 {
		return &out, nil
	}
	var err error
	out.Packed, err = wire.Pack(func(e *msgpack.Encoder) error { return r.pack(e, false) })
	return &out, err
}

// plain tells whether the version before can read the starts.
func (r *Record) plain() bool {
	return !slices.ContainsFunc(r.Starts, func(s Start) bool { return s.Attempt != 0 })
}

// Split returns the record as it is stored where a value holds limit bytes in
// JSON and at most values may be written, the record's own included. size measures
// a value. With one value only, the record is one that the version before reads.
func (r *Record) Split(limit, values int, size func(any) int) (*Record, []*parts.Value, error) {
	plain, err := r.Encode()
	if err != nil || values <= 1 || r.plain() && size(plain) <= limit {
		return plain, nil, err
	}
	text, err := wire.CompressRecord(func(e *msgpack.Encoder) error { return r.pack(e, true) })
	if err != nil {
		return nil, nil, err
	}
	out := *plain
	out.Schema, out.Packed = schemaParts, text[:1] // for its name to be counted
	out.Overflow = &Overflow{Parts: parts.MaxChunks, Sum: parts.Checksum(text)}
	head, rest, err := parts.Split(text, limit-size(&out), limit, values-1, schemaParts)
	if err != nil {
		return nil, nil, fmt.Errorf("round record: %w", err)
	}
	out.Packed, out.Overflow.Parts = head, len(rest)
	return &out, rest, nil
}

// pack writes the starts, with their attempts if these are wanted. The name of a
// job is left empty where it is that of the start before.
func (r *Record) pack(e *msgpack.Encoder, attempts bool) error {
	if err := e.EncodeArrayLen(len(r.Starts)); err != nil {
		return err
	}
	last := unit.JobID("")
	for _, s := range r.Starts {
		job := s.Job
		if job == last {
			job = ""
		}
		last = s.Job
		err := errors.Join(e.EncodeString(string(job)), e.EncodeString(string(s.Machine)),
			e.EncodeUint(uint64(s.Session)), s.Tasks.EncodeDelta(e))
		if attempts {
			err = errors.Join(err, e.EncodeUint(uint64(s.Attempt)))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Record) unpack(d *msgpack.Decoder, attempts bool) error {
	n, err := wire.DecodeArrayLen(d)
	last := unit.JobID("")
	for ; n > 0 && err == nil; n-- {
		var s Start
		if err = s.unpack(d, last, attempts); err == nil {
			r.Starts = append(r.Starts, s)
			last = s.Job
		}
	}
	return err
}

func (s *Start) unpack(d *msgpack.Decoder, last unit.JobID, attempts bool) error {
	job, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	machine, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	session, err := wire.DecodeCount(d)
	if err != nil {
		return err
	}
	s.Job, s.Machine, s.Session = unit.JobID(job), unit.MachineID(machine), unit.Session(session)
	if job == "" {
		s.Job = last
	}
	if err := s.Tasks.DecodeDelta(d); err != nil || !attempts {
		return err
	}
	attempt, err := wire.DecodeCount(d)
	s.Attempt = unit.Attempt(attempt)
	return err
}

// Empty tells whether the round decides nothing.
func (r *Record) Empty() bool {
	return len(r.Starts) == 0 && len(r.Hires) == 0 && len(r.Releases) == 0
}

// HireName is the name of the n-th rental of a round. It holds the epoch, so
// that a round number lost with its leader can't bring a name back.
func HireName(epoch unit.Epoch, no unit.RoundNo, n int) string {
	return fmt.Sprintf("r-%d-%d-%d", epoch, no, n)
}

// Sizes, in JSON, of the parts of a record with the longest numbers that occur.
const (
	recordSize  = 160
	startHead   = 12 // bytes, packed
	attemptSize = 9  // likewise
	hireSize    = 120
	releaseSize = 4
)

// SizeOf bounds the JSON size of a start that does not follow one of its job.
func (s *Start) SizeOf() int { return wire.PackedLen(len(s.Job)) + s.nextSize() }

// nextSize bounds the JSON size of a start that follows one of its job.
func (s *Start) nextSize() int {
	n := startHead + len(s.Machine) + s.Tasks.DeltaSizeBound()
	if s.Attempt != 0 {
		n += attemptSize
	}
	return wire.PackedLen(n)
}

// SizeOf bounds the JSON size of the record.
func (r *Record) SizeOf() int {
	n := r.headSize()
	for i := range r.Starts {
		n += r.Starts[i].SizeOf()
	}
	return n
}

// headSize bounds the JSON size of the record without its starts.
func (r *Record) headSize() int {
	n := recordSize
	for _, h := range r.Hires {
		n += hireSize + len(h.Name) + len(h.Offer.Type) + len(h.Offer.Zone)
	}
	for _, m := range r.Releases {
		n += releaseSize + len(m)
	}
	return n
}
