// Package roundlog holds the records of rounds, in which the leader's decisions are stored
// whole before any of their effects is sent, and the ring of keys that they are stored under.
// It owns their schema versions, their sizes and what of them is still pending. What a round
// decides is left to package scheduler; storing and carrying it out is left to the core.
package roundlog

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/cloud"
	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of the ring of round records.
const KeyPrefix = "round/"

// SchemaVersion is the newest version of Record. Since 2 the starts are packed; the lists of
// version 1 are still read. SchemaPlain is written wherever it serves, since the program
// before reads it; a record of schemaChunked is compressed, names attempts and may continue
// in chunks.
const (
	SchemaVersion = schemaChunked
	SchemaPlain   = 2
	schemaChunked = 3
)

// Record is the value of round/SLOT: decisions that are pending until they are settled
// elsewhere. Every round below LowWatermark has been settled.
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

// Start is a group of tasks of one job to be started on one machine.
type Start struct {
	Job     ident.JobID     `msgpack:"j" json:"j"`
	Machine ident.MachineID `msgpack:"m" json:"m"`
	Session ident.Session   `msgpack:"s" json:"s"`
	Tasks   indexset.Set    `msgpack:"t" json:"t"`
	// Attempt is that of a gang which waits for these tasks; 0: the number of the round.
	Attempt ident.Attempt `msgpack:"-" json:"-"`
}

// AttemptInRound is the attempt of the start in a round.
func (s *Start) AttemptInRound(roundNo ident.RoundNo) ident.Attempt {
	if s.Attempt != 0 {
		return s.Attempt
	}
	return ident.Attempt(roundNo)
}

// Provision is a request for machines, which the cloud knows by its name.
type Provision struct {
	Name  string      `msgpack:"n" json:"n"`
	Offer cloud.Offer `msgpack:"o" json:"o"`
	Count int         `msgpack:"c" json:"c"`
}

// ProvisionName is the name of the n-th provision of a round. It holds the epoch, so that a
// round number lost with its leader can't bring a name back.
func ProvisionName(epoch ident.Epoch, roundNo ident.RoundNo, n int) string {
	return fmt.Sprintf("r-%d-%d-%d", epoch, roundNo, n)
}

// ChunkInfo is what a record says of its chunks.
type ChunkInfo struct {
	Chunks   int    `msgpack:"n" json:"n"`
	Checksum uint32 `msgpack:"s" json:"s"`
}

// ErrNewerSchema says that a record was written by a newer version of the program.
var ErrNewerSchema = errors.New("round record has a later schema")

// IsEmpty tells whether the round decides nothing.
func (r *Record) IsEmpty() bool {
	return len(r.Starts) == 0 && len(r.Provisions) == 0 && len(r.Deprovisions) == 0
}

// Decode reads a record. chunkValue returns the value of its n-th chunk, counted from 1, or
// nil; it may itself be nil where there are none. The error is ErrNewerSchema for a record of
// a newer version, and chunk.ErrTorn for one whose chunks are missing or don't belong to it.
func Decode(data []byte, chunkValue func(n int) []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding round record: %w", err)
	}
	if r.SchemaVersion > SchemaVersion {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrNewerSchema, r.SchemaVersion, SchemaVersion)
	}
	if (r.SchemaVersion > SchemaPlain) != (r.ChunkInfo != nil) {
		return nil, fmt.Errorf("round record of schema %d does not match its chunks", r.SchemaVersion)
	}
	if err := r.unpackStarts(chunkValue); err != nil {
		return nil, fmt.Errorf("decoding starts of round %d: %w", r.RoundNo, err)
	}
	r.Packed, r.ChunkInfo = "", nil
	for _, start := range r.Starts {
		if !start.Tasks.Valid(maxTasks) {
			return nil, fmt.Errorf("round %d starts impossible tasks of job %s", r.RoundNo, start.Job)
		}
	}
	return r, nil
}

// Encode returns the record as the program before reads it: in one value, whatever its size,
// with all starts in the attempt of the round.
func (r *Record) Encode() (*Record, error) {
	out := *r
	out.SchemaVersion, out.Starts = SchemaPlain, nil
	if len(r.Starts) == 0 {
		return &out, nil
	}
	packed, err := wire.Pack(func(e *msgpack.Encoder) error { return r.encodeStarts(e, false) })
	if err != nil {
		return nil, fmt.Errorf("encoding starts of round %d: %w", r.RoundNo, err)
	}
	out.Packed = packed
	return &out, nil
}

// fitsPlainSchema tells whether the program before can read the starts.
func (r *Record) fitsPlainSchema() bool {
	return !slices.ContainsFunc(r.Starts, func(s Start) bool { return s.Attempt != 0 })
}

// Split returns the record as it is stored, with its chunks, where a value holds limit bytes
// in JSON and at most so many values may be written, the record's own included. size measures
// a value in JSON. With one value only, the record is one that the program before reads. The
// error is chunk.ErrTooLarge for a record that does not fit.
func (r *Record) Split(valueLimit, maxValues int, jsonSize func(any) int) (*Record, []*chunk.Value, error) {
	plain, err := r.Encode()
	if err != nil || maxValues <= 1 || r.fitsPlainSchema() && jsonSize(plain) <= valueLimit {
		return plain, nil, err
	}
	compressed, err := wire.CompressRecord(func(e *msgpack.Encoder) error { return r.encodeStarts(e, true) })
	if err != nil {
		return nil, nil, fmt.Errorf("encoding starts of round %d: %w", r.RoundNo, err)
	}
	out := *plain
	out.SchemaVersion, out.Packed = schemaChunked, compressed[:1] // for its field to be counted
	out.ChunkInfo = &ChunkInfo{Chunks: chunk.MaxChunks, Checksum: chunk.Checksum(compressed)}
	limits := chunk.Limits{HeadBytes: valueLimit - jsonSize(&out), ValueBytes: valueLimit, Chunks: maxValues - 1}
	head, rest, err := chunk.Split(compressed, limits, schemaChunked)
	if err != nil {
		return nil, nil, fmt.Errorf("splitting the record of round %d: %w", r.RoundNo, err)
	}
	out.Packed, out.ChunkInfo.Chunks = head, len(rest)
	return &out, rest, nil
}
