// Package cloud implements the client of the cloud that provides the machines: it provisions and deprovisions them, and
// reads the machine list and the machine types. It owns the cloud's wire format and the state of pending requests. The
// types that hold this state do no I/O: they return the next request to send, and are given its result. The scheduler
// decides how many machines of which offer are needed, the controller limits the call rate, and the node makes the
// calls.
package cloud

import (
	"errors"

	"badgerbay/internal/ident"
)

// Errors that callers distinguish in order to decide how to proceed.
var (
	// ErrNoCapacity is returned when the cloud has no capacity for the offer.
	ErrNoCapacity = errors.New("cloud has no capacity for the offer")
	// ErrUnavailable is returned when the cloud is unavailable or throttles calls.
	ErrUnavailable = errors.New("cloud is unavailable or throttles calls")
	// ErrOutcomeUnknown is returned when the request may have been executed, or may still be executed.
	ErrOutcomeUnknown = errors.New("cloud returned no usable response")
	// ErrMalformed is returned when the request is malformed: it could not be built, or the cloud refused it.
	ErrMalformed = errors.New("cloud refused the request as malformed")
	// ErrNoMachineTypes is returned when no machine type is usable.
	ErrNoMachineTypes = errors.New("no usable machine types")
)

// Maximum number of machines that the cloud accepts in one request.
const (
	MaxProvisionCount   = 50
	MaxDeprovisionCount = 100
)

// Offer is a combination of machine type, zone, and spot or on-demand pricing that can be provisioned.
type Offer struct {
	Type ident.MachineType `msgpack:"ty" json:"ty"`
	Zone ident.Zone        `msgpack:"z" json:"z"`
	Spot bool              `msgpack:"sp,omitempty" json:"sp,omitempty"`
}

// MachineState is the state of a machine in the cloud's machine list. Its values are sent on the wire.
type MachineState string

// States of a machine.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// Machine is an entry in the cloud's machine list.
type Machine struct {
	ID         ident.MachineID   `msgpack:"id"`
	Addr       string            `msgpack:"addr"` // address of its worker; empty until the machine runs
	Type       ident.MachineType `msgpack:"frame"`
	Zone       ident.Zone        `msgpack:"hall"`
	Spot       bool              `msgpack:"loaner"`
	State      MachineState      `msgpack:"standing"`
	AgeSeconds float64           `msgpack:"ageS"` // time since it was provisioned
}
