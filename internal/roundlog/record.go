// Package roundlog defines the records of scheduling rounds and the ring of keys that they are
// stored under. The leader stores all decisions of a round in its record before it sends any of
// their effects. The package owns the schema versions and sizes of the records, and tracks which
// decisions are still pending. Package scheduler makes the decisions; package controller stores
// and executes them.
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

// KeyPrefix is the prefix of the keys of round records.
const KeyPrefix = "round/"

// Schema versions of Record. Version 1, which stores the starts as a list, is still read.
const (
	// SchemaVersion is the newest schema version of Record.
	SchemaVersion = schemaChunked
	// SchemaPlain stores the starts packed. It is written for every record that it can
	// represent in one value, because the previous release reads it.
	SchemaPlain = 2
	// schemaChunked stores the starts compressed and with their attempts. The record may
	// continue in chunks.
	schemaChunked = 3
)

// Record is the value stored under round/SLOT: the decisions of a round, which are pending until
// they are settled elsewhere. Every round below LowWatermark has been settled.
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
	// Attempt is the attempt of the gang that waits for these tasks; 0: the attempt is the
	// number of the round.
	Attempt ident.Attempt `msgpack:"-" json:"-"`
}

// AttemptInRound returns the attempt of the tasks that the start contains, given the number of the
// round that decided the start.
func (s *Start) AttemptInRound(roundNo ident.RoundNo) ident.Attempt {
	if s.Attempt != 0 {
		return s.Attempt
	}
	return ident.Attempt(roundNo)
}

// Provision is a request for machines. The cloud identifies it by its name.
type Provision struct {
	Name  string      `msgpack:"n" json:"n"`
	Offer cloud.Offer `msgpack:"o" json:"o"`
	Count int         `msgpack:"c" json:"c"`
}

// ProvisionName returns the name of the n-th provision of a round. The name includes the epoch, so
// that it does not recur if a round number is lost with its leader and used again.
func ProvisionName(epoch ident.Epoch, roundNo ident.RoundNo, n int) string {
	return fmt.Sprintf("r-%d-%d-%d", epoch, roundNo, n)
}

// ChunkInfo describes the chunks of a record.
type ChunkInfo struct {
	Chunks   int    `msgpack:"n" json:"n"`
	Checksum uint32 `msgpack:"s" json:"s"`
}

// ErrNewerSchema is returned when a record was written by a newer version of the program.
var ErrNewerSchema = errors.New("round record has a newer schema")

// IsEmpty reports whether the record contains no decisions.
func (r *Record) IsEmpty() bool {
	return len(r.Starts) == 0 && len(r.Provisions) == 0 && len(r.Deprovisions) == 0
}

// Decode decodes a record. chunkValue returns the value of its n-th chunk, counted from 1, or nil
// if that chunk is missing; chunkValue may be nil if there are no chunks. The error wraps
// ErrNewerSchema if the record has a newer schema, and chunk.ErrTorn if its chunks are missing or
// don't belong to it.
func Decode(data []byte, chunkValue func(n int) []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding round record: %w", err)
	}
	if r.SchemaVersion > SchemaVersion {
		return nil, fmt.Errorf("%w: %d, this program supports up to %d", ErrNewerSchema, r.SchemaVersion, SchemaVersion)
	}
	if (r.SchemaVersion > SchemaPlain) != (r.ChunkInfo != nil) {
		return nil, fmt.Errorf("round record: schema %d and the presence of chunk information do not match", r.SchemaVersion)
	}
	if err := r.unpackStarts(chunkValue); err != nil {
		return nil, fmt.Errorf("decoding starts of round %d: %w", r.RoundNo, err)
	}
	r.Packed, r.ChunkInfo = "", nil
	for _, start := range r.Starts {
		if !start.Tasks.Valid(maxTasks) {
			return nil, fmt.Errorf("round %d: set of started tasks of job %s is invalid", r.RoundNo, start.Job)
		}
	}
	return r, nil
}

// Encode returns the record in the form that the previous release reads: in one value, whatever
// its size, without the attempts of the starts, so that each start takes the round number as its
// attempt.
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

// fitsPlainSchema reports whether SchemaPlain, which the previous release reads, can represent
// the starts: it can't store attempts.
func (r *Record) fitsPlainSchema() bool {
	return !slices.ContainsFunc(r.Starts, func(s Start) bool { return s.Attempt != 0 })
}

// Split returns the record in its stored form and its chunks. A value holds at most valueLimit
// bytes as measured by jsonSize, and at most maxValues values, including the record's own, may be
// written. If maxValues is 1, the record is in the form that the previous release reads. The
// error wraps chunk.ErrTooLarge if the record does not fit.
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
	out.SchemaVersion, out.Packed = schemaChunked, compressed[:1] // not empty, so that jsonSize counts the field's name
	out.ChunkInfo = &ChunkInfo{Chunks: chunk.MaxChunks, Checksum: chunk.Checksum(compressed)}
	limits := chunk.Limits{HeadBytes: valueLimit - jsonSize(&out), ValueBytes: valueLimit, Chunks: maxValues - 1}
	head, rest, err := chunk.Split(compressed, limits, schemaChunked)
	if err != nil {
		return nil, nil, fmt.Errorf("splitting the record of round %d: %w", r.RoundNo, err)
	}
	out.Packed, out.ChunkInfo.Chunks = head, len(rest)
	return &out, rest, nil
}
