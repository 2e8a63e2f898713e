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

// Prefixes of the keys of the stored records. A node writes its holder key, and a leader deletes it. The revision of
// the holder key identifies the holder, and the holder's writes are conditional on it. Only the leader writes the
// records of teams.
const (
	KeyPrefix         = "quota/"
	teamPrefix        = KeyPrefix + "team/"
	holderPrefix      = KeyPrefix + "holder/"
	reservationPrefix = KeyPrefix + "reserved/"
)

// recordSchemaVersion is the schema version of TeamRecord and ReservationRecord.
const recordSchemaVersion = 1

const (
	// MaxHolders is the maximum number of holders in a team's record.
	MaxHolders = 64
	// maxTasksPerReservation is the maximum number of tasks that a record may contain for one job.
	maxTasksPerReservation = 100_000
)

// TeamKey returns the key of a team's record.
func TeamKey(team ident.Team) string { return teamPrefix + url.PathEscape(string(team)) }

// HolderKey returns the key that registers a node as a holder.
func HolderKey(node string) string { return holderPrefix + url.PathEscape(node) }

// ReservationKey returns the key of a node's reservation record.
func ReservationKey(node string) string { return reservationPrefix + url.PathEscape(node) }

// nameFromKey returns the node or team that a key with the prefix names, and false for any other key.
func nameFromKey(key, prefix string) (string, bool) {
	escaped, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return "", false
	}
	name, err := url.PathUnescape(escaped)
	return name, err == nil && name != ""
}

var (
	// ErrNewerSchema is returned when a record has a newer schema version than this program can read.
	ErrNewerSchema = errors.New("quota record has a newer schema version")
	// ErrMalformedRecord is returned when a record cannot be decoded or contains values that are never stored.
	ErrMalformedRecord = errors.New("malformed quota record")
)

// HolderRecord is the value of a holder key.
type HolderRecord struct {
	Node string `msgpack:"n" json:"n"`
}

// HolderID identifies one incarnation of a holder.
type HolderID struct {
	Node        string         `msgpack:"n" json:"n"`
	ModRevision ident.Revision `msgpack:"s" json:"s"` // of the holder key
}

// Allocation is the part of a team's limit that a holder may reserve.
type Allocation struct {
	Holder   HolderID `msgpack:"h" json:"h"`
	Quantity Quantity `msgpack:"u" json:"u"`
	// ReleaseSeq is the number of the holder's last release that is stored. A holder stops using a quantity before it
	// reports the release.
	ReleaseSeq uint64 `msgpack:"p" json:"p"`
}

// TeamRecord is the value of a team's key. The leader allocates no more than the limit in sum, so only a limit that
// was lowered can be exceeded. The leader itself uses the part that is not allocated.
type TeamRecord struct {
	SchemaVersion int                          `msgpack:"v" json:"v"`
	Limit         Quantity                     `msgpack:"l" json:"l"`
	Guarantee     Quantity                     `msgpack:"g" json:"g"`
	Allocations   wire.BoundedList[Allocation] `msgpack:"a,omitempty" json:"a,omitempty"`
}

// Allocated returns the sum of the allocations.
func (r *TeamRecord) Allocated() Quantity {
	var sum Quantity
	for _, a := range r.Allocations {
		sum = sum.Add(a.Quantity)
	}
	return sum
}

// allocationOf returns the allocation of a node, whichever incarnation has it, or nil if there is none.
func (r *TeamRecord) allocationOf(node string) *Allocation {
	for i := range r.Allocations {
		if r.Allocations[i].Holder.Node == node {
			return &r.Allocations[i]
		}
	}
	return nil
}

// without returns a copy of the record without a node's allocation.
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

// clone returns a copy of the record whose allocations can be changed independently.
func (r *TeamRecord) clone() TeamRecord {
	out := *r
	out.Allocations = append(wire.BoundedList[Allocation](nil), r.Allocations...)
	return out
}

// DecodeTeamRecord decodes and validates a team's record. The error wraps ErrNewerSchema or ErrMalformedRecord.
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

// decodeRecord decodes a record and rejects one with a newer schema version.
func decodeRecord(data []byte, target any, version *int) error {
	if err := msgpack.Unmarshal(data, target); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	if *version > recordSchemaVersion {
		return fmt.Errorf("%w: %d, the latest supported one is %d", ErrNewerSchema, *version, recordSchemaVersion)
	}
	if *version < 1 {
		return fmt.Errorf("%w: schema version %d", ErrMalformedRecord, *version)
	}
	return nil
}
