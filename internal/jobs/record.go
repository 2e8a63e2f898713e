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

// SchemaVersion is the version of Record. A reader refuses a record of a later
// schema rather than guess what it means; see docs/operations.md. Up to
// schema 1 the done ranges and the placements were lists; since 2 they are
// packed, and lists are still read. schemaPlain is written wherever it fits: the
// version before reads it. A record of schemaParts is compressed and may continue
// in parts; one of schemaStaged has all but its phase and counts in parts.
const (
	SchemaVersion  = schemaMultiTxn
	schemaPlain    = 2
	schemaChunked  = 3
	schemaMultiTxn = 4
)

// Phase of a job. Done and Cancelled are final.
type Phase string

// Phases.
const (
	PhaseActive    Phase = "active"
	PhaseDone      Phase = "done"
	PhaseCancelled Phase = "cancelled"
)

// Final tells whether a job in this phase stays in it for ever.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseCancelled }

// NextAction is the next safe action for whoever takes a job over.
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
	AcceptedAtMs  int64                            `msgpack:"at" json:"at"` // time of day, ms
	Phase         Phase                            `msgpack:"ph" json:"ph"`
	Epoch         ident.Epoch                      `msgpack:"e" json:"e"`
	LastRound     ident.RoundNo                    `msgpack:"r" json:"r"` // the last round folded in
	Done          indexset.Set                     `msgpack:"d,omitempty" json:"-"`
	Placements    wire.BoundedList[PlacementGroup] `msgpack:"l,omitempty" json:"-"`
	Packed        wire.Packed                      `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Next          NextAction                       `msgpack:"nx" json:"nx"`
	// ChunkInfo is set in a record that is compressed and may have parts. One
	// that Decode returns with it lacks the done ranges and the placements.
	ChunkInfo *ChunkInfo `msgpack:"ov,omitempty" json:"ov,omitempty"`
	// ChunkOffset is the number before that of the first part which DecodeWhole has
	// put into the record.
	ChunkOffset int `msgpack:"-" json:"-"`
}

// Encode returns the record as it is stored.
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

func (r *Record) encodeProgress(e *msgpack.Encoder) error {
	if err := r.Done.EncodeDelta(e); err != nil {
		return err
	}
	if err := e.EncodeArrayLen(len(r.Placements)); err != nil {
		return err
	}
	for _, g := range r.Placements {
		err := errors.Join(e.EncodeString(string(g.Machine)), e.EncodeUint(uint64(g.Session)),
			e.EncodeUint(uint64(g.Attempt)), g.Tasks.EncodeDelta(e))
		if err != nil {
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
	for ; n > 0 && err == nil; n-- {
		var g PlacementGroup
		if err = g.decode(d); err == nil {
			r.Placements = append(r.Placements, g)
		}
	}
	return err
}

func (g *PlacementGroup) decode(d *msgpack.Decoder) error {
	name, err := wire.DecodeString(d)
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
	g.Machine, g.Session, g.Attempt = ident.MachineID(name), ident.Session(session), ident.Attempt(attempt)
	return g.Tasks.DecodeDelta(d)
}

// ErrNewerSchema says that a record was written by a later version.
var ErrNewerSchema = errors.New("record has a later schema")

// Key is the key of a job's record.
func Key(id ident.JobID) string { return KeyPrefix + string(id) }

// Decode reads a record and checks it.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if r.SchemaVersion > SchemaVersion {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrNewerSchema, r.SchemaVersion, SchemaVersion)
	}
	if (r.SchemaVersion > schemaPlain) != (r.ChunkInfo != nil) {
		return nil, errors.New("job record whose schema and parts differ")
	}
	if r.SchemaVersion == schemaMultiTxn {
		return r, r.validateMultiTxn()
	}
	if r.ChunkInfo != nil {
		return r, r.validate()
	}
	if r.Packed != "" {
		if err := r.Packed.Unpack(r.decodeProgress); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
		r.Packed = ""
	}
	return r, r.validate()
}

// validate refuses what no program writes.
func (r *Record) validate() error {
	if r.Spec.Tasks < 1 || !r.Done.Valid(r.Spec.Tasks) {
		return errors.New("job record holds impossible ranges")
	}
	for _, g := range r.Placements {
		if !g.Tasks.Valid(r.Spec.Tasks) {
			return errors.New("job record holds an impossible placement")
		}
	}
	return nil
}

// validateMultiTxn refuses a staged record that no program writes. Its spec is in the
// parts.
func (r *Record) validateMultiTxn() error {
	if !r.ChunkInfo.valid() {
		return errors.New("job record that claims impossible parts")
	}
	return nil
}

// NewRecord is the record of a job just accepted.
func NewRecord(spec Spec, acceptedMs int64) *Record {
	return &Record{SchemaVersion: schemaPlain, Spec: spec, AcceptedAtMs: acceptedMs, Phase: PhaseActive, Next: ActionPlace}
}
