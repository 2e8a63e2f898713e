// Package cloud talks to the cloud that provides the machines: it provisions and
// deprovisions them, and reads the machine list and the machine types. It owns the cloud's
// wire format and the state of requests under way, in pure parts that are asked what to
// send next and told what came of it. How many machines of which offer are wanted is
// decided by the scheduler; the call rate is kept by the controller, sending is left to
// the node.
package cloud

import (
	"errors"

	"badgerbay/internal/ident"
)

// Errors by which callers decide how to go on.
var (
	ErrNoCapacity  = errors.New("cloud has no capacity for the offer")
	ErrUnavailable = errors.New("cloud is in trouble or throttles calls")
	// ErrOutcomeUnknown says that the request may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("cloud gave no usable answer")
	// ErrMalformed says that the cloud refused the request itself.
	ErrMalformed = errors.New("cloud refused the request as malformed")
	// ErrNoMachineTypes says that no machine type is usable.
	ErrNoMachineTypes = errors.New("no usable machine types")
)

// The cloud's limits on one request, in machines.
const (
	MaxProvisionCount   = 50
	MaxDeprovisionCount = 100
)

// Offer is a kind of machine that can be provisioned.
type Offer struct {
	Type ident.MachineType `msgpack:"ty" json:"ty"`
	Zone ident.Zone        `msgpack:"z" json:"z"`
	Spot bool              `msgpack:"sp,omitempty" json:"sp,omitempty"`
}

// MachineState is the state of a machine in the cloud's list. The values are those of the
// wire.
type MachineState string

// States of a machine.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// Machine is a machine as the cloud lists it.
type Machine struct {
	ID         ident.MachineID   `msgpack:"id"`
	Addr       string            `msgpack:"addr"` // of its worker; empty until it runs
	Type       ident.MachineType `msgpack:"frame"`
	Zone       ident.Zone        `msgpack:"hall"`
	Spot       bool              `msgpack:"loaner"`
	State      MachineState      `msgpack:"standing"`
	AgeSeconds float64           `msgpack:"ageS"` // since it was provisioned
}
