package checkpoint

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// KeyPrefix begins the keys of the job records.
const KeyPrefix = "job/"

// Schema is the version of Record. A reader refuses a record of a later
// schema rather than guess what it means; see docs/operations.md. Up to
// schema 1 the done ranges and the placements were lists; since 2 they are
// packed, and lists are still read. schemaPlain is written wherever it fits: the
// version before reads it. A record of schemaParts is compressed and may continue
// in parts; one of schemaStaged has all but its phase and counts in parts.
const (
	Schema       = schemaStaged
	schemaPlain  = 2
	schemaParts  = 3
	schemaStaged = 4
)

// Phase of a job. Done and Cancelled are final.
type Phase string

// Phases.
const (
	Active    Phase = "active"
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
)

// Final tells whether a job in this phase stays in it for ever.
func (p Phase) Final() bool { return p == Done || p == Cancelled }

// Action is the next safe action for whoever takes a job over.
type Action string

// Actions.
const (
	Place     Action = "place"     // tasks are queued, none may be running
	Reconcile Action = "reconcile" // placements must be matched before placing
	Halt      Action = "halt"      // placements must be brought to an end
	None      Action = "none"
)

// Group is a set of tasks that one round put on one machine.
type Group struct {
	Machine unit.MachineID `msgpack:"m" json:"m"`
	Session unit.Session   `msgpack:"s" json:"s"`
	Attempt unit.Attempt   `msgpack:"a" json:"a"`
	Tasks   unit.Ranges    `msgpack:"t" json:"t"`
}

// Record is the value of job/ID: the spec and the checkpoint.
type Record struct {
	Schema   int              `msgpack:"v" json:"v"`
	Spec     Spec             `msgpack:"spec" json:"spec"`
	Accepted int64            `msgpack:"at" json:"at"` // time of day, ms
	Phase    Phase            `msgpack:"ph" json:"ph"`
	Epoch    unit.Epoch       `msgpack:"e" json:"e"`
	Round    unit.RoundNo     `msgpack:"r" json:"r"` // the last round folded in
	Done     unit.Ranges      `msgpack:"d,omitempty" json:"-"`
	Live     wire.List[Group] `msgpack:"l,omitempty" json:"-"`
	Packed   wire.Packed      `msgpack:"pk,omitempty" json:"pk,omitempty"`
	Next     Action           `msgpack:"nx" json:"nx"`
	// Overflow is set in a record that is compressed and may have parts. One
	// that Decode returns with it lacks the done ranges and the placements.
	Overflow *Overflow `msgpack:"ov,omitempty" json:"ov,omitempty"`
	// FirstPart is the number before that of the first part which DecodeWhole has
	// put into the record.
	FirstPart int `msgpack:"-" json:"-"`
}

// Encode returns the record as it is stored.
func (r *Record) Encode() (*Record, error) {
	out := *r
	out.Done, out.Live = nil, nil
	if len(r.Done)+len(r.Live) == 0 {
		return &out, nil
	}
	var err error
	out.Packed, err = wire.Pack(r.pack)
	return &out, err
}

func (r *Record) pack(e *msgpack.Encoder) error {
	if err := r.Done.Pack(e); err != nil {
		return err
	}
	if err := e.EncodeArrayLen(len(r.Live)); err != nil {
		return err
	}
	for _, g := range r.Live {
		err := errors.Join(e.EncodeString(string(g.Machine)), e.EncodeUint(uint64(g.Session)),
			e.EncodeUint(uint64(g.Attempt)), g.Tasks.Pack(e))
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Record) unpack(d *msgpack.Decoder) error {
	if err := r.Done.Unpack(d); err != nil {
		return err
	}
	n, err := wire.ArrayLen(d)
	for ; n > 0 && err == nil; n-- {
		var g Group
		if err = g.unpack(d); err == nil {
			r.Live = append(r.Live, g)
		}
	}
	return err
}

func (g *Group) unpack(d *msgpack.Decoder) error {
	name, err := wire.Text(d)
	if err != nil {
		return err
	}
	session, err := wire.Count(d)
	if err != nil {
		return err
	}
	attempt, err := wire.Count(d)
	if err != nil {
		return err
	}
	g.Machine, g.Session, g.Attempt = unit.MachineID(name), unit.Session(session), unit.Attempt(attempt)
	return g.Tasks.Unpack(d)
}

// ErrSchema says that a record was written by a later version.
var ErrSchema = errors.New("record has a later schema")

// Key is the key of a job's record.
func Key(id unit.JobID) string { return KeyPrefix + string(id) }

// Decode reads a record and checks it.
func Decode(data []byte) (*Record, error) {
	r := new(Record)
	if err := msgpack.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding job record: %w", err)
	}
	if r.Schema > Schema {
		return nil, fmt.Errorf("%w: %d, this program knows %d", ErrSchema, r.Schema, Schema)
	}
	if (r.Schema > schemaPlain) != (r.Overflow != nil) {
		return nil, errors.New("job record whose schema and parts differ")
	}
	if r.Schema == schemaStaged {
		return r, r.checkStaged()
	}
	if r.Overflow != nil {
		return r, r.check()
	}
	if r.Packed != "" {
		if err := r.Packed.Unpack(r.unpack); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
		r.Packed = ""
	}
	return r, r.check()
}

// check refuses what no program writes.
func (r *Record) check() error {
	if r.Spec.Tasks < 1 || !r.Done.Valid(r.Spec.Tasks) {
		return errors.New("job record holds impossible ranges")
	}
	for _, g := range r.Live {
		if !g.Tasks.Valid(r.Spec.Tasks) {
			return errors.New("job record holds an impossible placement")
		}
	}
	return nil
}

// checkStaged refuses a staged record that no program writes. Its spec is in the
// parts.
func (r *Record) checkStaged() error {
	if !r.Overflow.valid() {
		return errors.New("job record that claims impossible parts")
	}
	return nil
}

// NewRecord is the record of a job just accepted.
func NewRecord(spec Spec, acceptedMs int64) *Record {
	return &Record{Schema: schemaPlain, Spec: spec, Accepted: acceptedMs, Phase: Active, Next: Place}
}
