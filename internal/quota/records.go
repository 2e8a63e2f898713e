package quota

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// Keys. A holder key is written by its node, and deleted by a leader: its revision is
// the holder's identity, on which its changes are conditional. The record of a team is
// written by the leader alone.
const (
	KeyPrefix         = "quota/"
	teamPrefix        = KeyPrefix + "team/"
	holderPrefix      = KeyPrefix + "holder/"
	reservationPrefix = KeyPrefix + "reserved/"
)

// recordSchemaVersion is the schema version of both records.
const recordSchemaVersion = 1

const (
	// MaxHolders bounds the holders that a team's record names.
	MaxHolders = 64
	// maxTasksPerReservation bounds what a record may claim of a job.
	maxTasksPerReservation = 100_000
)

// TeamKey is the key of a team's record.
func TeamKey(team ident.Team) string { return teamPrefix + url.PathEscape(string(team)) }

// HolderKey is the key by which a node is a holder.
func HolderKey(node string) string { return holderPrefix + url.PathEscape(node) }

// ReservationKey is the key of a node's reservations.
func ReservationKey(node string) string { return reservationPrefix + url.PathEscape(node) }

// nameFromKey is the node or team that a key of the prefix names.
func nameFromKey(key, prefix string) (string, bool) {
	escaped, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return "", false
	}
	name, err := url.PathUnescape(escaped)
	return name, err == nil && name != ""
}

var (
	// ErrNewerSchema says that a record was written by a later version.
	ErrNewerSchema = errors.New("quota record has a later schema")
	// ErrMalformedRecord says that a record can't be what any program wrote.
	ErrMalformedRecord = errors.New("malformed quota record")
)

// HolderRecord is the value of a holder key.
type HolderRecord struct {
	Node string `msgpack:"n" json:"n"`
}

// HolderID names one incarnation of a holder.
type HolderID struct {
	Node        string         `msgpack:"n" json:"n"`
	ModRevision ident.Revision `msgpack:"s" json:"s"` // of its holder key
}

// Allocation is what a holder may reserve of a team's limit.
type Allocation struct {
	Holder   HolderID `msgpack:"h" json:"h"`
	Quantity Quantity `msgpack:"u" json:"u"`
	// ReleaseSeq numbers the holder's releases: what it releases, it has given up
	// before it says so.
	ReleaseSeq uint64 `msgpack:"p" json:"p"`
}

// TeamRecord is the value of a team's key. The sum of the allocations is at most the
// limit at any time; what is left is the leader's own.
type TeamRecord struct {
	SchemaVersion int                          `msgpack:"v" json:"v"`
	Limit         Quantity                     `msgpack:"l" json:"l"`
	Guarantee     Quantity                     `msgpack:"g" json:"g"`
	Allocations   wire.BoundedList[Allocation] `msgpack:"a,omitempty" json:"a,omitempty"`
}

// Allocated is the sum of the allocations.
func (r *TeamRecord) Allocated() Quantity {
	var sum Quantity
	for _, a := range r.Allocations {
		sum = sum.Add(a.Quantity)
	}
	return sum
}

// allocationOf finds the allocation of a node, whichever incarnation has it; nil: none.
func (r *TeamRecord) allocationOf(node string) *Allocation {
	for i := range r.Allocations {
		if r.Allocations[i].Holder.Node == node {
			return &r.Allocations[i]
		}
	}
	return nil
}

// without is the record without a node's allocation.
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

// DecodeTeamRecord reads a team's record and checks it. The error is an ErrNewerSchema
// or an ErrMalformedRecord.
func DecodeTeamRecord(data []byte) (*TeamRecord, error) {
	r := new(TeamRecord)
	if err := decodeRecord(data, r, &r.SchemaVersion); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, a := range r.Allocations {
		if a.Holder.Node == "" || a.Holder.ModRevision == 0 || seen[a.Holder.Node] || !a.Quantity.valid() {
			return nil, fmt.Errorf("%w: allocation %+v", ErrMalformedRecord, a)
		}
		seen[a.Holder.Node] = true
	}
	if len(seen) > MaxHolders || !r.Limit.valid() || !r.Guarantee.valid() {
		return nil, fmt.Errorf("%w: limit %v, %d holders", ErrMalformedRecord, r.Limit, len(seen))
	}
	return r, nil
}

// decodeRecord reads a record and refuses one of a later schema.
func decodeRecord(data []byte, target any, version *int) error {
	if err := msgpack.Unmarshal(data, target); err != nil {
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
