package jobs

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/wire"
)

// KeyPrefix is the prefix of the keys of job records.
const KeyPrefix = "job/"

// Key returns the key of a job's record.
func Key(id ident.JobID) string { return KeyPrefix + string(id) }

// SchemaVersion is the newest schema version of Record. Decode rejects a record of a newer schema
// because its meaning is unknown; see docs/operations.md.
const SchemaVersion = schemaMultiTxn

// The schemas that are written. Schemas up to 1, which store the done set and the placements as
// lists, are still read.
const (
	// schemaPlain stores the done set and the placements packed. It is written for every
	// record that fits into one value, because the previous release reads it.
	schemaPlain = 2
	// schemaChunked stores them compressed. The record may continue in chunks.
	schemaChunked = 3
	// schemaMultiTxn stores the spec, the done set and the placements in chunks, which are
	// written in transactions before the one that writes the record. The record itself keeps
	// the phase and the counts of tasks.
	schemaMultiTxn = 4
)

var (
	// ErrNewerSchema is returned when a record was written by a newer version of the program.
	ErrNewerSchema = errors.New("job record has a newer schema")
	// ErrInvalidRecord is returned when a record has contents that no version of the program
	// writes.
	ErrInvalidRecord = errors.New("invalid job record")
)

// Phase is the phase of a job. PhaseDone and PhaseCancelled are final.
type Phase string

// Phases of a job.
const (
	PhaseActive    Phase = "active"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// Final reports whether a job never leaves this phase.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseCancelled }

// NextAction is the next safe action of a new leader on a job.
type NextAction string

// Actions of a new leader.
const (
	ActionPlace     NextAction = "place"     // tasks are queued, and none can be running
	ActionReconcile NextAction = "reconcile" // placements must be reconciled before tasks are placed
	ActionStop      NextAction = "halt"      // placements must be ended
	ActionNone      NextAction = "none"
)

// PlacementGroup is a set of tasks that one round placed on one machine.
type PlacementGroup struct {
	Machine ident.MachineID `msgpack:"m" json:"m"`
	Session ident.Session   `msgpack:"s" json:"s"`
	Attempt ident.Attempt   `msgpack:"a" json:"a"`
	Tasks   indexset.Set    `msgpack:"t" json:"t"`
}

// Record is the value stored under job/ID: the job's spec and checkpoint.
type Record struct {
	SchemaVersion int                              `msgpack:"v" json:"v"`
	Spec          Spec                             `msgpack:"spec" json:"spec"`
	AcceptedAtMs  int64                            `msgpack:"at" json:"at"` // time of day
	Phase         Phase                            `msgpack:"ph" json:"ph"`
	Epoch         ident.Epoch                      `msgpack:"e" json:"e"` // of the leader that wrote the record
	LastRound     ident.RoundNo                    `msgpack:"r" json:"r"` // the last round that the checkpoint includes
	Done          indexset.Set                     `msgpack:"d,omitempty" json:"-"`
	Placements    wire.BoundedList[PlacementGroup] `msgpack:"l,omitempty" json:"-"`
	Packed        wire.Packed                      `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Next          NextAction                       `msgpack:"nx" json:"nx"`
	// ChunkInfo is set in a record that is compressed and may have chunks. If Decode returns a
	// record with ChunkInfo, the record lacks the done set and the placements, and in
	// schemaMultiTxn also the spec.
	ChunkInfo *ChunkInfo `msgpack:"ov,omitempty" json:"ov,omitempty"`
	// ChunkOffset is one less than the number of the first chunk that DecodeWithChunks has
	// read into the record.
	ChunkOffset int `msgpack:"-" json:"-"`
}

// NewRecord returns the record of a newly accepted job. acceptedAtMs is a time of day.
func NewRecord(spec Spec, acceptedAtMs int64) *Record {
	return &Record{SchemaVersion: schemaPlain, Spec: spec, AcceptedAtMs: acceptedAtMs, Phase: PhaseActive, Next: ActionPlace}
}

// LiveTasks returns the number of tasks that are placed.
func (r *Record) LiveTasks() int {
	n := 0
	for _, group := range r.Placements {
		n += group.Tasks.Len()
	}
	return n
}

func (r *Record) nextAction() NextAction {
	placed := len(r.Placements) > 0
	switch {
	case r.Phase.Final() && placed:
		return ActionStop
	case r.Phase.Final():
		return ActionNone
	case placed:
		return ActionReconcile
	}
	return ActionPlace
}

// Encode returns the record in the form that is stored in one value.
func (r *Record) Encode() (*Record, error) {
	out := *r
	out.Done, out.Placements = nil, nil
	if len(r.Done)+len(r.Placements) == 0 {
		return &out, nil
	}
	var err error
	out.Packed, err = wire.Pack(r.encodeProgress)
	return &out, err
}

// Decode decodes and validates a record. If the result has ChunkInfo, it lacks the data that is
// stored in chunks; DecodeWithChunks reads a record with that data.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if r.SchemaVersion > SchemaVersion {
		return nil, fmt.Errorf("%w: %d, this program supports up to %d", ErrNewerSchema, r.SchemaVersion, SchemaVersion)
	}
	if (r.SchemaVersion > schemaPlain) != (r.ChunkInfo != nil) {
		return nil, fmt.Errorf("%w: schema %d and the presence of chunk information do not match", ErrInvalidRecord, r.SchemaVersion)
	}
	if r.SchemaVersion == schemaMultiTxn {
		return r, r.ChunkInfo.validate()
	}
	if r.ChunkInfo == nil && r.Packed != "" {
		if err := r.Packed.Unpack(r.decodeProgress); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
		r.Packed = ""
	}
	return r, r.validate()
}

// validate returns ErrInvalidRecord for sets of tasks that no version of the program writes.
func (r *Record) validate() error {
	if r.Spec.Tasks < 1 || !r.Done.Valid(r.Spec.Tasks) {
		return fmt.Errorf("%w: number of tasks or set of done tasks is invalid", ErrInvalidRecord)
	}
	for _, group := range r.Placements {
		if !group.Tasks.Valid(r.Spec.Tasks) {
			return fmt.Errorf("%w: set of placed tasks is invalid", ErrInvalidRecord)
		}
	}
	return nil
}

// encodeProgress encodes the done set and the placements.
func (r *Record) encodeProgress(e *msgpack.Encoder) error {
	if err := r.Done.EncodeDelta(e); err != nil {
		return err
	}
	if err := e.EncodeArrayLen(len(r.Placements)); err != nil {
		return err
	}
	for _, group := range r.Placements {
		if err := group.encode(e); err != nil {
			return err
		}
	}
	return nil
}

// decodeProgress decodes what encodeProgress wrote.
func (r *Record) decodeProgress(d *msgpack.Decoder) error {
	if err := r.Done.DecodeDelta(d); err != nil {
		return err
	}
	n, err := wire.DecodeArrayLen(d)
	if err != nil {
		return err
	}
	for range n {
		var group PlacementGroup
		if err := group.decode(d); err != nil {
			return err
		}
		r.Placements = append(r.Placements, group)
	}
	return nil
}

func (g *PlacementGroup) encode(e *msgpack.Encoder) error {
	return errors.Join(
		e.EncodeString(string(g.Machine)),
		e.EncodeUint(uint64(g.Session)),
		e.EncodeUint(uint64(g.Attempt)),
		g.Tasks.EncodeDelta(e),
	)
}

func (g *PlacementGroup) decode(d *msgpack.Decoder) error {
	fields := wire.NewSequence(d)
	g.Machine = ident.MachineID(fields.Text())
	g.Session = ident.Session(fields.Count())
	g.Attempt = ident.Attempt(fields.Count())
	if err := fields.Err(); err != nil {
		return err
	}
	return g.Tasks.DecodeDelta(d)
}
