package quota

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// Reservation is the part of a job that a holder has admitted: up to Tasks of the job's tasks may be in progress at a
// time within the holder's allocation.
type Reservation struct {
	Job        ident.JobID
	Team       ident.Team
	Tasks      int
	TaskDemand Quantity // of one task
}

// ReservationRecord is the value of a node's reservation key.
type ReservationRecord struct {
	SchemaVersion  int            `msgpack:"v" json:"v"`
	HolderRevision ident.Revision `msgpack:"h" json:"h"` // of the holder key
	// TeamTotals are the sums by team, for readers that do not unpack the reservations.
	TeamTotals map[ident.Team]Quantity `msgpack:"u,omitempty" json:"u,omitempty"`
	Packed     wire.Packed             `msgpack:"pk,omitempty" json:"pk,omitempty"`
}

// NewReservationRecord returns the record with the reservations of the holder whose key has the given revision.
func NewReservationRecord(holderRevision ident.Revision, reservations []Reservation) (*ReservationRecord, error) {
	out := &ReservationRecord{SchemaVersion: recordSchemaVersion, HolderRevision: holderRevision, TeamTotals: teamTotals(reservations)}
	if len(reservations) == 0 {
		return out, nil
	}
	packed, err := wire.Pack(func(e *msgpack.Encoder) error { return packReservations(e, reservations) })
	if err != nil {
		return nil, fmt.Errorf("packing reservations: %w", err)
	}
	out.Packed = packed
	return out, nil
}

// DecodeReservationRecord decodes and validates a node's reservations. The error wraps ErrNewerSchema or
// ErrMalformedRecord.
func DecodeReservationRecord(data []byte) (*ReservationRecord, []Reservation, error) {
	r := new(ReservationRecord)
	if err := decodeRecord(data, r, &r.SchemaVersion); err != nil {
		return nil, nil, err
	}
	var reservations []Reservation
	if r.Packed != "" {
		err := r.Packed.Unpack(func(d *msgpack.Decoder) (err error) {
			reservations, err = unpackReservations(d)
			return err
		})
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrMalformedRecord, err)
		}
	}
	return r, reservations, r.check(reservations)
}

// check validates the reservations and compares their sums with the stored totals.
func (r *ReservationRecord) check(reservations []Reservation) error {
	for _, reservation := range reservations {
		if reservation.Tasks < 1 || reservation.Tasks > maxTasksPerReservation || !reservation.TaskDemand.valid() || reservation.Job == "" {
			return fmt.Errorf("%w: reservation %+v", ErrMalformedRecord, reservation)
		}
	}
	totals := teamTotals(reservations)
	for team, stored := range r.TeamTotals {
		if totals[team] != stored {
			return fmt.Errorf("%w: reservations of team %s sum to %v, the stored total is %v", ErrMalformedRecord, team, totals[team], stored)
		}
	}
	if len(totals) != len(r.TeamTotals) {
		return fmt.Errorf("%w: stored totals of %d teams, reservations of %d", ErrMalformedRecord, len(r.TeamTotals), len(totals))
	}
	return nil
}

// teamTotals returns the sums of the reservations by team.
func teamTotals(reservations []Reservation) map[ident.Team]Quantity {
	totals := map[ident.Team]Quantity{}
	for _, r := range reservations {
		totals[r.Team] = totals[r.Team].Add(r.TaskDemand.Mul(r.Tasks))
	}
	return totals
}

func packReservations(e *msgpack.Encoder, reservations []Reservation) error {
	if err := e.EncodeArrayLen(len(reservations)); err != nil {
		return err
	}
	for _, r := range reservations {
		if err := r.pack(e); err != nil {
			return err
		}
	}
	return nil
}

func unpackReservations(d *msgpack.Decoder) ([]Reservation, error) {
	n, err := wire.DecodeArrayLen(d)
	if err != nil {
		return nil, err
	}
	var reservations []Reservation
	for range n {
		var r Reservation
		if err := r.unpack(d); err != nil {
			return nil, err
		}
		reservations = append(reservations, r)
	}
	return reservations, nil
}

func (r *Reservation) pack(e *msgpack.Encoder) error {
	return errors.Join(
		e.EncodeString(string(r.Job)),
		e.EncodeString(string(r.Team)),
		e.EncodeUint(uint64(r.Tasks)),
		e.EncodeUint(uint64(r.TaskDemand.MilliCPU)),
		e.EncodeUint(uint64(r.TaskDemand.MilliGPU)))
}

// unpack decodes what pack encoded. It clamps numbers above the maximum amount to the maximum plus one, so that they
// do not overflow before check rejects them.
func (r *Reservation) unpack(d *msgpack.Decoder) error {
	const beyondMax = uint64(maxMillis) + 1
	fields := wire.NewSequence(d)
	*r = Reservation{
		Job:   ident.JobID(fields.Text()),
		Team:  ident.Team(fields.Text()),
		Tasks: int(min(fields.Count(), beyondMax)),
		TaskDemand: Quantity{
			MilliCPU: int64(min(fields.Count(), beyondMax)),
			MilliGPU: int64(min(fields.Count(), beyondMax)),
		},
	}
	return fields.Err()
}
