package kvstore

import (
	"errors"
	"fmt"
)

// The errors of requests to the state service; compare them with errors.Is. After
// ErrOutcomeUnknown the request may have been executed, or may still be; after any of the others
// it was not executed.
var (
	// ErrUnavailable is returned when the service reports that it is unavailable.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrThrottled is returned when the service rejects a request because of its rate limit.
	ErrThrottled = errors.New("state service throttled the request")
	// ErrOutcomeUnknown is returned when the response to a request is missing or can't be
	// interpreted.
	ErrOutcomeUnknown = errors.New("outcome of the state service request is unknown")
	// ErrLeaseNotFound is returned when the lease of a request has expired or was revoked.
	ErrLeaseNotFound = errors.New(leaseNotFoundMessage)
	// ErrRejected is returned when a request can't be encoded, or when the service rejects it as
	// malformed or because it exceeds a limit. A retry of the same request fails again.
	ErrRejected = errors.New("state service rejected the request")
	// ErrCompacted is returned when the requested changes are no longer retained. The keys must
	// be read again.
	ErrCompacted = errors.New("changes since the requested revision are no longer retained")
)

// leaseNotFoundMessage is the error text with which the service rejects a write that is bound to
// an ended lease. The status, 400, is the same as for other rejected requests.
const leaseNotFoundMessage = "no such lease"

// ConflictError is returned when a transaction was not applied because some of its conditions did
// not hold. FailedKeys are the keys of these conditions.
type ConflictError struct{ FailedKeys []string }

// Error implements the error interface.
func (e *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", e.FailedKeys) }
