package quota

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/wire"
)

// Keys. A holder key is written by its node, and removed by a leader: its stamp is
// the holder's identity and guards its reservations. The record of a team is written
// by the leader alone.
const (
	KeyPrefix         = "quota/"
	teamPrefix        = KeyPrefix + "team/"
	holderPrefix      = KeyPrefix + "holder/"
	reservationPrefix = KeyPrefix + "reserved/"
)

// recordSchemaVersion is the version of both records.
const recordSchemaVersion = 1

// MaxHolders bounds the holders that a team's record names.
const MaxHolders = 64

// TeamKey is the key of a team's record.
func TeamKey(team ident.Team) string { return teamPrefix + url.PathEscape(string(team)) }

// HolderKey is the key by which a node is a holder.
func HolderKey(node string) string { return holderPrefix + url.PathEscape(node) }

// ReservationKey is the key of a node's reservations.
func ReservationKey(node string) string { return reservationPrefix + url.PathEscape(node) }

// ErrNewerSchema says that a record was written by a later version.
var ErrNewerSchema = errors.New("quota record has a later schema")

// ErrMalformedRecord says that a record can't be what any program wrote.
var ErrMalformedRecord = errors.New("impossible quota record")

// HolderID names one incarnation of a holder.
type HolderID struct {
	Node        string         `msgpack:"n" json:"n"`
	ModRevision ident.Revision `msgpack:"s" json:"s"` // of its holder key
}

// Allocation is what a holder may reserve of a team's limit.
type Allocation struct {
	Holder   HolderID `msgpack:"h" json:"h"`
	Quantity Quantity `msgpack:"u" json:"u"`
	// ReleaseSeq numbers what the holder has promised: what it gives back, it has
	// given up before it says so.
	ReleaseSeq uint64 `msgpack:"p" json:"p"`
}

// TeamRecord is the value of a team's key. The sum of the allotments is at most the
// limit at any time; what is left is the leader's own.
type TeamRecord struct {
	SchemaVersion int                          `msgpack:"v" json:"v"`
	Limit         Quantity                     `msgpack:"l" json:"l"`
	Guarantee     Quantity                     `msgpack:"g" json:"g"`
	Allocations   wire.BoundedList[Allocation] `msgpack:"a,omitempty" json:"a,omitempty"`
}

// Allocated is the sum of the allotments.
func (r *TeamRecord) Allocated() Quantity {
	var sum Quantity
	for _, a := range r.Allocations {
		sum = sum.Add(a.Quantity)
	}
	return sum
}

// allocationOf finds the allotment of a node, whichever incarnation has it; nil: none.
func (r *TeamRecord) allocationOf(node string) *Allocation {
	for i := range r.Allocations {
		if r.Allocations[i].Holder.Node == node {
			return &r.Allocations[i]
		}
	}
	return nil
}

// without is the record without a node's allotment.
func (r *TeamRecord) without(node string) TeamRecord {
	out := *r
	out.Allocations = nil
	for _, a := range r.Allocations {
		if a.Holder.Node != node {
			out.Allocations = append(out.Allocations, a)
		}
	}
	return out
}

// clone copies the record, so that a change of the copy leaves it as it is.
func (r *TeamRecord) clone() TeamRecord {
	out := *r
	out.Allocations = append(wire.BoundedList[Allocation](nil), r.Allocations...)
	return out
}

// DecodeTeamRecord reads a team's record and checks it.
func DecodeTeamRecord(data []byte) (*TeamRecord, error) {
	r := new(TeamRecord)
	if err := decodeRecord(data, r, &r.SchemaVersion); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, a := range r.Allocations {
		if a.Holder.Node == "" || a.Holder.ModRevision == 0 || seen[a.Holder.Node] || !a.Quantity.valid() {
			return nil, fmt.Errorf("%w: allotment %+v", ErrMalformedRecord, a)
		}
		seen[a.Holder.Node] = true
	}
	if len(seen) > MaxHolders || !r.Limit.valid() || !r.Guarantee.valid() {
		return nil, fmt.Errorf("%w: limit %v, %d holders", ErrMalformedRecord, r.Limit, len(seen))
	}
	return r, nil
}

// Reservation is what a holder has admitted of a job: so many tasks may be under way
// at a time on units of its allotment.
type Reservation struct {
	Job        ident.JobID
	Team       ident.Team
	Tasks      int
	TaskDemand Quantity // of a task
}

// ReservationRecord is the value of a node's reservations.
type ReservationRecord struct {
	SchemaVersion  int            `msgpack:"v" json:"v"`
	HolderRevision ident.Revision `msgpack:"h" json:"h"` // stamp of its holder key
	// TeamTotals are the sums by team, for those who do not read the jobs.
	TeamTotals map[ident.Team]Quantity `msgpack:"u,omitempty" json:"u,omitempty"`
	Packed     wire.Packed             `msgpack:"pk,omitempty" json:"pk,omitempty"`
}

// NewReservationRecord packs reservations.
func NewReservationRecord(holder ident.Revision, all []Reservation) (*ReservationRecord, error) {
	out := &ReservationRecord{SchemaVersion: recordSchemaVersion, HolderRevision: holder, TeamTotals: map[ident.Team]Quantity{}}
	for _, r := range all {
		out.TeamTotals[r.Team] = out.TeamTotals[r.Team].Add(r.TaskDemand.Mul(r.Tasks))
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
		e.EncodeUint(uint64(r.Tasks)), e.EncodeUint(uint64(r.TaskDemand.MilliCPU)), e.EncodeUint(uint64(r.TaskDemand.MilliGPU)))
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
	r.Job, r.Team, r.Tasks = ident.JobID(job), ident.Team(team), int(min(numbers[0], uint64(maxMillis)))
	r.TaskDemand = Quantity{int64(min(numbers[1], uint64(maxMillis)+1)), int64(min(numbers[2], uint64(maxMillis)+1))}
	return nil
}

// DecodeReservationRecord reads a node's reservations and checks them.
func DecodeReservationRecord(data []byte) (*ReservationRecord, []Reservation, error) {
	r := new(ReservationRecord)
	if err := decodeRecord(data, r, &r.SchemaVersion); err != nil {
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
			return nil, nil, fmt.Errorf("%w: %w", ErrMalformedRecord, err)
		}
	}
	return r, all, r.check(all)
}

// check compares the sums with the reservations.
func (r *ReservationRecord) check(all []Reservation) error {
	const mostTasks = 100_000
	sums := map[ident.Team]Quantity{}
	for _, one := range all {
		if one.Tasks < 1 || one.Tasks > mostTasks || !one.TaskDemand.valid() || one.Job == "" {
			return fmt.Errorf("%w: reservation %+v", ErrMalformedRecord, one)
		}
		sums[one.Team] = sums[one.Team].Add(one.TaskDemand.Mul(one.Tasks))
	}
	for team, u := range r.TeamTotals {
		if sums[team] != u {
			return fmt.Errorf("%w: %s has %v, not %v", ErrMalformedRecord, team, sums[team], u)
		}
	}
	if len(sums) != len(r.TeamTotals) {
		return fmt.Errorf("%w: sums of %d teams, not %d", ErrMalformedRecord, len(r.TeamTotals), len(sums))
	}
	return nil
}

// decodeRecord reads a record and refuses one of a later schema.
func decodeRecord(data []byte, into any, version *int) error {
	if err := msgpack.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	if *version > recordSchemaVersion {
		return fmt.Errorf("%w: %d, this program knows %d", ErrNewerSchema, *version, recordSchemaVersion)
	}
	if *version < 1 {
		return fmt.Errorf("%w: schema %d", ErrMalformedRecord, *version)
	}
	return nil
}

// nameFromKey is the node or team that a key of the prefix names.
func nameFromKey(key, prefix string) (string, bool) {
	escaped, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return "", false
	}
	name, err := url.PathUnescape(escaped)
	return name, err == nil && name != ""
}
