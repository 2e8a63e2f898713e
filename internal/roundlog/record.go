// Package roundlog makes the leader's decisions in rounds. A round is planned
// from what is known, recorded whole before any of its effects is sent, and
// folded into the checkpoints of its jobs later.
package roundlog

import (
	"errors"
	"fmt"
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/cloud"
	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of the ring of round records.
const KeyPrefix = "round/"

// SchemaVersion is the version of Record. Since 2 the starts are packed; the lists of
// schema 1 are still read. schemaPlain is written wherever it serves, since the
// version before reads it; a record of schemaParts is compressed, names attempts
// and may continue in parts.
const (
	SchemaVersion = schemaChunked
	SchemaPlain   = 2
	schemaChunked = 3
)

// Start is a group of tasks of one job to be started on one machine.
type Start struct {
	Job     ident.JobID     `msgpack:"j" json:"j"`
	Machine ident.MachineID `msgpack:"m" json:"m"`
	Session ident.Session   `msgpack:"s" json:"s"`
	Tasks   indexset.Set    `msgpack:"t" json:"t"`
	// Attempt is that of a gang which waits for these tasks; 0: the number of the
	// round.
	Attempt ident.Attempt `msgpack:"-" json:"-"`
}

// AttemptInRound is the attempt of the start in round no.
func (s *Start) AttemptInRound(no ident.RoundNo) ident.Attempt {
	if s.Attempt != 0 {
		return s.Attempt
	}
	return ident.Attempt(no)
}

// Provision is a rental under a name of its own.
type Provision struct {
	Name  string      `msgpack:"n" json:"n"`
	Offer cloud.Offer `msgpack:"o" json:"o"`
	Count int         `msgpack:"c" json:"c"`
}

// Record is the value of round/SLOT: effects that are pending until folded.
// Every round below Low has been settled.
type Record struct {
	SchemaVersion int                               `msgpack:"v" json:"v"`
	RoundNo       ident.RoundNo                     `msgpack:"no" json:"no"`
	Epoch         ident.Epoch                       `msgpack:"e" json:"e"`
	LowWatermark  ident.RoundNo                     `msgpack:"lo" json:"lo"`
	Starts        wire.BoundedList[Start]           `msgpack:"st,omitempty" json:"-"`
	Packed        wire.Packed                       `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Provisions    wire.BoundedList[Provision]       `msgpack:"hi,omitempty" json:"hi,omitempty"`
	Deprovisions  wire.BoundedList[ident.MachineID] `msgpack:"re,omitempty" json:"re,omitempty"`
	ChunkInfo     *ChunkInfo                        `msgpack:"ov,omitempty" json:"ov,omitempty"`
}

// ChunkInfo is what a record says of its parts.
type ChunkInfo struct {
	Chunks   int    `msgpack:"n" json:"n"`
	Checksum uint32 `msgpack:"s" json:"s"`
}

// ErrNewerSchema says that a record was written by a later version.
var ErrNewerSchema = errors.New("round record has a later schema")

// Decode reads a record. part returns the value of its part with a number, or nil.
func Decode(data []byte, part func(n int) []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding round record: %w", err)
	}
	if r.SchemaVersion > SchemaVersion {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrNewerSchema, r.SchemaVersion, SchemaVersion)
	}
	if (r.SchemaVersion > SchemaPlain) != (r.ChunkInfo != nil) {
		return nil, errors.New("round record whose schema and parts differ")
	}
	if err := r.readStarts(part); err != nil {
		return nil, fmt.Errorf("round record: %w", err)
	}
	r.Packed, r.ChunkInfo = "", nil
	for _, s := range r.Starts {
		if !s.Tasks.Valid(1 << 31) {
			return nil, errors.New("round record holds impossible ranges")
		}
	}
	return r, nil
}

func (r *Record) readStarts(part func(n int) []byte) error {
	if o := r.ChunkInfo; o != nil {
		text, err := chunk.Join(r.Packed, o.Chunks, o.Checksum, part)
		if err != nil {
			return err
		}
		return text.DecompressRecord(maxDecompressedBytes, func(d *msgpack.Decoder) error { return r.decodeStarts(d, true) })
	}
	if r.Packed == "" {
		return nil
	}
	return r.Packed.Unpack(func(d *msgpack.Decoder) error { return r.decodeStarts(d, false) })
}

// maxDecompressedBytes bounds what a compressed record may hold.
const maxDecompressedBytes = 4 << 20

// Encode returns the record as the version before reads it: in one value,
// whatever its size, with all starts in the attempt of the round.
func (r *Record) Encode() (*Record, error) {
	out := *r
	out.SchemaVersion, out.Starts = SchemaPlain, nil
	if len(r.Starts) == 0 {
		return &out, nil
	}
	var err error
	out.Packed, err = wire.Pack(func(e *msgpack.Encoder) error { return r.encodeStarts(e, false) })
	return &out, err
}

// fitsPlainSchema tells whether the version before can read the starts.
func (r *Record) fitsPlainSchema() bool {
	return !slices.ContainsFunc(r.Starts, func(s Start) bool { return s.Attempt != 0 })
}

// Split returns the record as it is stored where a value holds limit bytes in
// JSON and at most values may be written, the record's own included. size measures
// a value. With one value only, the record is one that the version before reads.
func (r *Record) Split(limit, values int, size func(any) int) (*Record, []*chunk.Value, error) {
	plain, err := r.Encode()
	if err != nil || values <= 1 || r.fitsPlainSchema() && size(plain) <= limit {
		return plain, nil, err
	}
	text, err := wire.CompressRecord(func(e *msgpack.Encoder) error { return r.encodeStarts(e, true) })
	if err != nil {
		return nil, nil, err
	}
	out := *plain
	out.SchemaVersion, out.Packed = schemaChunked, text[:1] // for its name to be counted
	out.ChunkInfo = &ChunkInfo{Chunks: chunk.MaxChunks, Checksum: chunk.Checksum(text)}
	head, rest, err := chunk.Split(text, limit-size(&out), limit, values-1, schemaChunked)
	if err != nil {
		return nil, nil, fmt.Errorf("round record: %w", err)
	}
	out.Packed, out.ChunkInfo.Chunks = head, len(rest)
	return &out, rest, nil
}

// encodeStarts writes the starts, with their attempts if these are wanted. The name of a
// job is left empty where it is that of the start before.
func (r *Record) encodeStarts(e *msgpack.Encoder, attempts bool) error {
	if err := e.EncodeArrayLen(len(r.Starts)); err != nil {
		return err
	}
	last := ident.JobID("")
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

func (r *Record) decodeStarts(d *msgpack.Decoder, attempts bool) error {
	n, err := wire.DecodeArrayLen(d)
	last := ident.JobID("")
	for ; n > 0 && err == nil; n-- {
		var s Start
		if err = s.decode(d, last, attempts); err == nil {
			r.Starts = append(r.Starts, s)
			last = s.Job
		}
	}
	return err
}

func (s *Start) decode(d *msgpack.Decoder, last ident.JobID, attempts bool) error {
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
	s.Job, s.Machine, s.Session = ident.JobID(job), ident.MachineID(machine), ident.Session(session)
	if job == "" {
		s.Job = last
	}
	if err := s.Tasks.DecodeDelta(d); err != nil || !attempts {
		return err
	}
	attempt, err := wire.DecodeCount(d)
	s.Attempt = ident.Attempt(attempt)
	return err
}

// IsEmpty tells whether the round decides nothing.
func (r *Record) IsEmpty() bool {
	return len(r.Starts) == 0 && len(r.Provisions) == 0 && len(r.Deprovisions) == 0
}

// ProvisionName is the name of the n-th rental of a round. It holds the epoch, so
// that a round number lost with its leader can't bring a name back.
func ProvisionName(epoch ident.Epoch, no ident.RoundNo, n int) string {
	return fmt.Sprintf("r-%d-%d-%d", epoch, no, n)
}

// Sizes, in JSON, of the parts of a record with the longest numbers that occur.
const (
	maxRecordHeadJSONSize   = 160
	startHeadBytes          = 12 // bytes, packed
	attemptBytes            = 9  // likewise
	MaxProvisionJSONSize    = 120
	deprovisionJSONOverhead = 4
)

// MaxJSONSize bounds the JSON size of a start that does not follow one of its job.
func (s *Start) MaxJSONSize() int { return wire.PackedLen(len(s.Job)) + s.MaxJSONSizeSameJob() }

// MaxJSONSizeSameJob bounds the JSON size of a start that follows one of its job.
func (s *Start) MaxJSONSizeSameJob() int {
	n := startHeadBytes + len(s.Machine) + s.Tasks.DeltaSizeBound()
	if s.Attempt != 0 {
		n += attemptBytes
	}
	return wire.PackedLen(n)
}

// MaxJSONSize bounds the JSON size of the record.
func (r *Record) MaxJSONSize() int {
	n := r.MaxHeadJSONSize()
	for i := range r.Starts {
		n += r.Starts[i].MaxJSONSize()
	}
	return n
}

// MaxHeadJSONSize bounds the JSON size of the record without its starts.
func (r *Record) MaxHeadJSONSize() int {
	n := maxRecordHeadJSONSize
	for _, h := range r.Provisions {
		n += MaxProvisionJSONSize + len(h.Name) + len(h.Offer.Type) + len(h.Offer.Zone)
	}
	for _, m := range r.Deprovisions {
		n += deprovisionJSONOverhead + len(m)
	}
	return n
}
