package jobs

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"
	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of the job records.
const KeyPrefix = "job/"

// Key is the key of a job's record.
func Key(id ident.JobID) string { return KeyPrefix + string(id) }

// SchemaVersion is the newest version of Record. A reader refuses a record of a newer
// schema rather than guess what it means; see docs/operations.md.
const SchemaVersion = schemaMultiTxn

// The schemas that are written. Up to schema 1 the done set and the placements were lists,
// which are still read.
const (
	// schemaPlain has the done set and the placements packed. It is written wherever it
	// fits, since the program's version before reads it.
	schemaPlain = 2
	// schemaChunked has them compressed, and may continue in chunks.
	schemaChunked = 3
	// schemaMultiTxn has all but phase and counts in chunks, which are written in
	// transactions before that of the record.
	schemaMultiTxn = 4
)

var (
	// ErrNewerSchema means that a record was written by a newer version of the program.
	ErrNewerSchema = errors.New("record has a later schema")
	// ErrInvalidRecord means that a record holds what no version of the program writes.
	ErrInvalidRecord = errors.New("invalid job record")
)

// Phase of a job. PhaseDone and PhaseCancelled are final.
type Phase string

// Phases.
const (
	PhaseActive    Phase = "active"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// Final tells whether a job in this phase stays in it for ever.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseCancelled }

// NextAction is the next safe action for a new leader.
type NextAction string

// Actions.
const (
	ActionPlace     NextAction = "place"     // tasks are queued, none may be running
	ActionReconcile NextAction = "reconcile" // placements must be matched before placing
	ActionStop      NextAction = "halt"      // placements must be brought to an end
	ActionNone      NextAction = "none"
)

// PlacementGroup is a set of tasks that one round put on one machine.
type PlacementGroup struct {
	Machine ident.MachineID `msgpack:"m" json:"m"`
	Session ident.Session   `msgpack:"s" json:"s"`
	Attempt ident.Attempt   `msgpack:"a" json:"a"`
	Tasks   indexset.Set    `msgpack:"t" json:"t"`
}

// Record is the value of job/ID: the spec and the checkpoint.
type Record struct {
	SchemaVersion int                              `msgpack:"v" json:"v"`
	Spec          Spec                             `msgpack:"spec" json:"spec"`
	AcceptedAtMs  int64                            `msgpack:"at" json:"at"` // time of day
	Phase         Phase                            `msgpack:"ph" json:"ph"`
	Epoch         ident.Epoch                      `msgpack:"e" json:"e"` // of the leader that wrote it
	LastRound     ident.RoundNo                    `msgpack:"r" json:"r"` // the last round folded in
	Done          indexset.Set                     `msgpack:"d,omitempty" json:"-"`
	Placements    wire.BoundedList[PlacementGroup] `msgpack:"l,omitempty" json:"-"`
	Packed        wire.Packed                      `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Next          NextAction                       `msgpack:"nx" json:"nx"`
	// ChunkInfo is set in a record that is compressed and may have chunks. One
	// that Decode returns with it lacks the done set and the placements.
	ChunkInfo *ChunkInfo `msgpack:"ov,omitempty" json:"ov,omitempty"`
	// ChunkOffset is the number before that of the first chunk which DecodeWithChunks has
	// put into the record.
	ChunkOffset int `msgpack:"-" json:"-"`
}

// NewRecord is the record of a job just accepted, at a time of day in milliseconds.
func NewRecord(spec Spec, acceptedAtMs int64) *Record {
	return &Record{SchemaVersion: schemaPlain, Spec: spec, AcceptedAtMs: acceptedAtMs, Phase: PhaseActive, Next: ActionPlace}
}

// LiveTasks counts the tasks that are placed.
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

// Encode returns the record as it is stored in one value.
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

// Decode reads a record and validates it. If the result has ChunkInfo, it lacks what is in the
// chunks; see DecodeWithChunks.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if r.SchemaVersion > SchemaVersion {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrNewerSchema, r.SchemaVersion, SchemaVersion)
	}
	if (r.SchemaVersion > schemaPlain) != (r.ChunkInfo != nil) {
		return nil, fmt.Errorf("%w: schema %d does not agree with its chunks", ErrInvalidRecord, r.SchemaVersion)
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

// validate refuses sets that no version of the program writes.
func (r *Record) validate() error {
	if r.Spec.Tasks < 1 || !r.Done.Valid(r.Spec.Tasks) {
		return fmt.Errorf("%w: impossible set of done tasks", ErrInvalidRecord)
	}
	for _, group := range r.Placements {
		if !group.Tasks.Valid(r.Spec.Tasks) {
			return fmt.Errorf("%w: impossible placement", ErrInvalidRecord)
		}
	}
	return nil
}

// encodeProgress writes the done set and the placements.
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
	machine, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	session, err := wire.DecodeCount(d)
	if err != nil {
		return err
	}
	attempt, err := wire.DecodeCount(d)
	if err != nil {
		return err
	}
	g.Machine, g.Session, g.Attempt = ident.MachineID(machine), ident.Session(session), ident.Attempt(attempt)
	return g.Tasks.DecodeDelta(d)
}
