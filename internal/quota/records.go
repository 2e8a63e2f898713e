package quota

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// Keys. A holder key is written by its node, and removed by a leader: its stamp is
// the holder's identity and guards its reservations. The record of a team is written
// by the leader alone.
const (
	KeyPrefix      = "quota/"
	teamPrefix     = KeyPrefix + "team/"
	holderPrefix   = KeyPrefix + "holder/"
	reservedPrefix = KeyPrefix + "reserved/"
)

// schema is the version of both records.
const schema = 1

// MostHolders bounds the holders that a team's record names.
const MostHolders = 64

// TeamKey is the key of a team's record.
func TeamKey(team unit.Team) string { return teamPrefix + url.PathEscape(string(team)) }

// HolderKey is the key by which a node is a holder.
func HolderKey(node string) string { return holderPrefix + url.PathEscape(node) }

// ReservedKey is the key of a node's reservations.
func ReservedKey(node string) string { return reservedPrefix + url.PathEscape(node) }

// ErrSchema says that a record was written by a later version.
var ErrSchema = errors.New("quota record has a later schema")

// ErrRecord says that a record can't be what any program wrote.
var ErrRecord = errors.New("impossible quota record")

// HolderID names one incarnation of a holder.
type HolderID struct {
	Node  string        `msgpack:"n" json:"n"`
	Stamp unit.Revision `msgpack:"s" json:"s"` // of its holder key
}

// Allotment is what a holder may reserve of a team's limit.
type Allotment struct {
	Holder HolderID `msgpack:"h" json:"h"`
	Units  Units    `msgpack:"u" json:"u"`
	// Promise numbers what the holder has promised: what it gives back, it has
	// given up before it says so.
	Promise uint64 `msgpack:"p" json:"p"`
}

// TeamRecord is the value of a team's key. The sum of the allotments is at most the
// limit at any time; what is left is the leader's own.
type TeamRecord struct {
	Schema     int                         `msgpack:"v" json:"v"`
	Limit      Units                       `msgpack:"l" json:"l"`
	Guarantee  Units                       `msgpack:"g" json:"g"`
	Allotments wire.BoundedList[Allotment] `msgpack:"a,omitempty" json:"a,omitempty"`
}

// Allotted is the sum of the allotments.
func (r *TeamRecord) Allotted() Units {
	var sum Units
	for _, a := range r.Allotments {
		sum = sum.Plus(a.Units)
	}
	return sum
}

// of finds the allotment of a node, whichever incarnation has it; nil: none.
func (r *TeamRecord) of(node string) *Allotment {
	for i := range r.Allotments {
		if r.Allotments[i].Holder.Node == node {
			return &r.Allotments[i]
		}
	}
	return nil
}

// without is the record without a node's allotment.
func (r *TeamRecord) without(node string) TeamRecord {
	out := *r
	out.Allotments = nil
	for _, a := range r.Allotments {
		if a.Holder.Node != node {
			out.Allotments = append(out.Allotments, a)
		}
	}
	return out
}

// clone copies the record, so that a change of the copy leaves it as it is.
func (r *TeamRecord) clone() TeamRecord {
	out := *r
	out.Allotments = append(wire.BoundedList[Allotment](nil), r.Allotments...)
	return out
}

// DecodeTeam reads a team's record and checks it.
func DecodeTeam(data []byte) (*TeamRecord, error) {
	r := new(TeamRecord)
	if err := decode(data, r, &r.Schema); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, a := range r.Allotments {
		if a.Holder.Node == "" || a.Holder.Stamp == 0 || seen[a.Holder.Node] || !a.Units.valid() {
			return nil, fmt.Errorf("%w: allotment %+v", ErrRecord, a)
		}
		seen[a.Holder.Node] = true
	}
	if len(seen) > MostHolders || !r.Limit.valid() || !r.Guarantee.valid() {
		return nil, fmt.Errorf("%w: limit %v, %d holders", ErrRecord, r.Limit, len(seen))
	}
	return r, nil
}

// Reservation is what a holder has admitted of a job: so many tasks may be under way
// at a time on units of its allotment.
type Reservation struct {
	Job   unit.JobID
	Team  unit.Team
	Tasks int
	Need  Units // of a task
}

// Reserved is the value of a node's reservations.
type Reserved struct {
	Schema int           `msgpack:"v" json:"v"`
	Holder unit.Revision `msgpack:"h" json:"h"` // stamp of its holder key
	// Units are the sums by team, for those who do not read the jobs.
	Units  map[unit.Team]Units `msgpack:"u,omitempty" json:"u,omitempty"`
	Packed wire.Packed         `msgpack:"pk,omitempty" json:"pk,omitempty"`
}

// NewReserved packs reservations.
func NewReserved(holder unit.Revision, all []Reservation) (*Reserved, error) {
	out := &Reserved{Schema: schema, Holder: holder, Units: map[unit.Team]Units{}}
	for _, r := range all {
		out.Units[r.Team] = out.Units[r.Team].Plus(r.Need.Times(r.Tasks))
	}
	if len(all) == 0 {
		return out, nil
	}
	var err error
	out.Packed, err = wire.Pack(func(e *msgpack.Encoder) error {
		if err := e.EncodeArrayLen(len(all)); err != nil {
			return err
		}
		for _, r := range all {
			if err := r.pack(e); err != nil {
				return err
			}
		}
		return nil
	})
	return out, err
}

func (r *Reservation) pack(e *msgpack.Encoder) error {
	return errors.Join(e.EncodeString(string(r.Job)), e.EncodeString(string(r.Team)),
		e.EncodeUint(uint64(r.Tasks)), e.EncodeUint(uint64(r.Need.CPU)), e.EncodeUint(uint64(r.Need.GPU)))
}

func (r *Reservation) unpack(d *msgpack.Decoder) error {
	job, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	team, err := wire.DecodeString(d)
	if err != nil {
		return err
	}
	var numbers [3]uint64
	for i := range numbers {
		if numbers[i], err = wire.DecodeCount(d); err != nil {
			return err
		}
	}
	r.Job, r.Team, r.Tasks = unit.JobID(job), unit.Team(team), int(min(numbers[0], uint64(mostUnits)))
	r.Need = Units{int64(min(numbers[1], uint64(mostUnits)+1)), int64(min(numbers[2], uint64(mostUnits)+1))}
	return nil
}

// DecodeReserved reads a node's reservations and checks them.
func DecodeReserved(data []byte) (*Reserved, []Reservation, error) {
	r := new(Reserved)
	if err := decode(data, r, &r.Schema); err != nil {
		return nil, nil, err
	}
	var all []Reservation
	if r.Packed != "" {
		err := r.Packed.Unpack(func(d *msgpack.Decoder) error {
			n, err := wire.DecodeArrayLen(d)
			for ; n > 0 && err == nil; n-- {
				var one Reservation
				if err = one.unpack(d); err == nil {
					all = append(all, one)
				}
			}
			return err
		})
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrRecord, err)
		}
	}
	return r, all, r.check(all)
}

// check compares the sums with the reservations.
func (r *Reserved) check(all []Reservation) error {
	const mostTasks = 100_000
	sums := map[unit.Team]Units{}
	for _, one := range all {
		if one.Tasks < 1 || one.Tasks > mostTasks || !one.Need.valid() || one.Job == "" {
			return fmt.Errorf("%w: reservation %+v", ErrRecord, one)
		}
		sums[one.Team] = sums[one.Team].Plus(one.Need.Times(one.Tasks))
	}
	for team, u := range r.Units {
		if sums[team] != u {
			return fmt.Errorf("%w: %s has %v, not %v", ErrRecord, team, sums[team], u)
		}
	}
	if len(sums) != len(r.Units) {
		return fmt.Errorf("%w: sums of %d teams, not %d", ErrRecord, len(r.Units), len(sums))
	}
	return nil
}

// decode reads a record and refuses one of a later schema.
func decode(data []byte, into any, version *int) error {
	if err := msgpack.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if *version > schema {
		return fmt.Errorf("%w: %d, this program knows %d", ErrSchema, *version, schema)
	}
	if *version < 1 {
		return fmt.Errorf("%w: schema %d", ErrRecord, *version)
	}
	return nil
}

// nameOf is the node or team that a key of the prefix names.
func nameOf(key, prefix string) (string, bool) {
	escaped, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return "", false
	}
	name, err := url.PathUnescape(escaped)
	return name, err == nil && name != ""
}
