package kvstore

import (
	"errors"
	"fmt"
)

// Errors of requests to the state service, to be compared with errors.Is. Only
// ErrOutcomeUnknown leaves open whether the request was, or will be, executed; the others mean
// that it was not.
var (
	ErrUnavailable    = errors.New("state service unavailable")
	ErrThrottled      = errors.New("state service throttled us")
	ErrOutcomeUnknown = errors.New("state service did not answer")
	ErrLeaseNotFound  = errors.New(leaseNotFoundMessage)
	// ErrRejected means that the service does not accept the request as it is: malformed,
	// or beyond a limit. Sending it again is of no use.
	ErrRejected = errors.New("state service refused the request")
	// ErrCompacted means that changes are no longer kept: the keys must be read again.
	ErrCompacted = errors.New("changes since that revision are no longer kept")
)

// leaseNotFoundMessage is the service's own text for a write that is bound to a lease which
// has ended; such a write has no status of its own.
const leaseNotFoundMessage = "no such lease"

// ConflictError means that a transaction was not applied since conditions of it did not hold.
type ConflictError struct{ FailedKeys []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.FailedKeys) }
