package peer

import (
	"fmt"
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/wire"
)

// maxDurationMs limits the durations in a DelegationStatus to about 35 years.
const maxDurationMs = 1 << 40

// DelegationStatus is a node's reply to another node that requests a delegation grant; see
// package leasedelegation. Durations are in milliseconds.
type DelegationStatus struct {
	Epoch ident.Epoch `msgpack:"e" json:"e"`
	// TTLMs is the duration of the delegation grant, counted from the request for it; 0
	// means that no grant is given.
	TTLMs int64 `msgpack:"l" json:"l"`
	// IdleMs is the time since the replying node last renewed a worker's lease under its
	// own grant.
	IdleMs int64 `msgpack:"q" json:"q"`
	// Excluded lists the machines whose leases must not be renewed under the grant.
	Excluded      wire.BoundedList[ident.MachineID] `msgpack:"o,omitempty" json:"o,omitempty"`
	SchemaVersion schemaversion.Version             `msgpack:"f,omitempty" json:"f,omitempty"`
	// EnforcesQuotas is true if the node, as leader, enforces the team quotas that are
	// allocated to holders.
	EnforcesQuotas bool `msgpack:"k,omitempty" json:"k,omitempty"`
}

// PackDelegationStatus returns the message for a status. It adds the schema version and
// the quota enforcement that this version of the program supports.
func PackDelegationStatus(s leasedelegation.Status) *DelegationStatus {
	return &DelegationStatus{
		Epoch:          s.Epoch,
		TTLMs:          s.GrantDuration.Milliseconds(),
		IdleMs:         s.IdleFor.Milliseconds(),
		Excluded:       s.ExcludedMachines,
		SchemaVersion:  schemaversion.Latest,
		EnforcesQuotas: true,
	}
}

// Unpack returns the status in the message. Errors wrap ErrMalformed; on an error the
// caller must assume that there is no grant.
func (s *DelegationStatus) Unpack() (leasedelegation.Status, error) {
	if !validDurationMs(s.TTLMs) || !validDurationMs(s.IdleMs) {
		return leasedelegation.Status{}, fmt.Errorf("%w: delegation status has a duration out of range", ErrMalformed)
	}
	return leasedelegation.Status{
		Epoch:            s.Epoch,
		GrantDuration:    time.Duration(s.TTLMs) * time.Millisecond,
		IdleFor:          time.Duration(s.IdleMs) * time.Millisecond,
		ExcludedMachines: s.Excluded,
	}, nil
}

func validDurationMs(ms int64) bool { return ms >= 0 && ms <= maxDurationMs }

// MachineIDsFit reports whether the IDs fit into one DelegationStatus as its list of
// excluded machines. The list may take up half of the maximum message size; the rest is
// for the other fields.
func MachineIDsFit(ids []ident.MachineID) bool {
	const headerBytes = 3 // header of a MessagePack string of less than 64 KiB
	size := 0
	for _, id := range ids {
		size += len(id) + headerBytes
	}
	return size <= maxMessageBytes/2
}
