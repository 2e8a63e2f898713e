package peer

import (
	"fmt"
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/wire"
)

// maxDurationMs bounds the times of a delegation: some decades.
const maxDurationMs = 1 << 40

// DelegationStatus is a node's reply to another that wants a lease delegation; see
// package leasedelegation. Times are in milliseconds.
type DelegationStatus struct {
	Epoch ident.Epoch `msgpack:"e" json:"e"`
	// TTLMs is how long the grant lasts from the request for it; 0 means no grant.
	TTLMs int64 `msgpack:"l" json:"l"`
	// IdleMs is how long ago the replying node last renewed a worker's lease under a
	// delegation.
	IdleMs int64 `msgpack:"q" json:"q"`
	// Excluded are the machines whose leases must not be renewed under the grant.
	Excluded      wire.BoundedList[ident.MachineID] `msgpack:"o,omitempty" json:"o,omitempty"`
	SchemaVersion schemaversion.Version             `msgpack:"f,omitempty" json:"f,omitempty"`
	// EnforcesQuotas says that the node, as leader, keeps to the team quotas that were
	// allocated to holders.
	EnforcesQuotas bool `msgpack:"k,omitempty" json:"k,omitempty"`
}

// PackDelegationStatus returns the message that carries a status, together with what
// this program supports.
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

// Unpack returns the status that the message carries. Errors wrap ErrMalformed; the
// caller must then assume that there is no grant.
func (s *DelegationStatus) Unpack() (leasedelegation.Status, error) {
	if !validDurationMs(s.TTLMs) || !validDurationMs(s.IdleMs) {
		return leasedelegation.Status{}, fmt.Errorf("%w: delegation with a time out of range", ErrMalformed)
	}
	return leasedelegation.Status{
		Epoch:            s.Epoch,
		GrantDuration:    time.Duration(s.TTLMs) * time.Millisecond,
		IdleFor:          time.Duration(s.IdleMs) * time.Millisecond,
		ExcludedMachines: s.Excluded,
	}, nil
}

func validDurationMs(ms int64) bool { return ms >= 0 && ms <= maxDurationMs }

// MachineIDsFit reports whether a list of excluded machines fits into one message,
// beside what else that holds.
func MachineIDsFit(ids []ident.MachineID) bool {
	const headerBytes = 3 // of a MessagePack string of up to 64 KiB
	size := 0
	for _, id := range ids {
		size += len(id) + headerBytes
	}
	return size <= maxMessageBytes/2
}
