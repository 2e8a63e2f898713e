// Package api implements the logic of the users' HTTP API, which every node serves:
// submissions, status queries and cancel requests. It defines the wire format of the
// requests and responses, the admission rules, and the state machine that processes a
// request until its response. It does no I/O: package node receives the requests and
// executes the actions that the state machine returns.
package api

import (
	"errors"
	"math"
	"net/http"
	"time"

	"badgerbay/internal/jobs"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// loadPurpose is the reason for which a job's record is read. It determines the
// response if no record exists.
type loadPurpose int

const (
	// respondFromRecord: the leader was not reached or does not know the job. If no
	// record exists, the job does not exist.
	respondFromRecord loadPurpose = iota
	// verifyCreation: the record existed before this submission, or the outcome of
	// its creation is unknown.
	verifyCreation
	// confirmRejection: the job can never run under the current rules. The submission
	// is rejected unless the job was accepted earlier.
	confirmRejection
)

// Request is the state machine of one user request. It is not safe for concurrent use.
type Request struct {
	kind          RequestKind
	submission    *Submission
	admission     *AdmissionRules
	submittedAtMs int64 // Unix time in milliseconds
	retryAfter    time.Duration
	loadPurpose   loadPurpose
}

// NewSubmitRequest returns the state machine of a submission that was received at
// wallMs, a Unix time in milliseconds.
func NewSubmitRequest(sub *Submission, rules *AdmissionRules, wallMs int64) *Request {
	return &Request{kind: Submit, submission: sub, admission: rules, submittedAtMs: wallMs, retryAfter: minRetryAfter}
}

// NewJobRequest returns the state machine of a status query or a cancel request.
func NewJobRequest(kind RequestKind) *Request {
	return &Request{kind: kind, retryAfter: minRetryAfter}
}

// SetRetryAfter sets the retry delay of 503 responses, which is at least one second.
func (r *Request) SetRetryAfter(d time.Duration) { r.retryAfter = max(d, minRetryAfter) }

// Step handles an input and returns the next action.
func (r *Request) Step(in Input) Action {
	switch in := in.(type) {
	case Begin:
		return r.begin()
	case RecordCreated:
		return r.recordCreated(in)
	case RecordLoaded:
		return r.recordLoaded(in)
	case LeaderReplied:
		return r.leaderReplied(in)
	}
	return r.unavailable()
}

func (r *Request) begin() Action {
	if r.kind != Submit {
		return QueryLeader{Cancel: r.kind == Cancel}
	}
	err := r.admission.Check(&r.submission.Spec)
	switch {
	case err == nil:
		return CreateRecord{Record: jobs.NewRecord(r.submission.Spec, r.submittedAtMs)}
	case errors.Is(err, ErrInfeasible):
		// A resubmitted job that was accepted before must not be rejected, even if
		// machine types or limits have changed since.
		return r.loadRecord(confirmRejection)
	}
	return r.unavailable()
}

func (r *Request) recordCreated(in RecordCreated) Action {
	switch in.Result {
	case Stored:
		return Response{Code: http.StatusCreated, Status: Status{State: Queued}}
	case AlreadyExists, Indeterminate:
		return r.loadRecord(verifyCreation)
	}
	return r.unavailable()
}

func (r *Request) recordLoaded(in RecordLoaded) Action {
	switch {
	case !in.OK:
		return r.unavailable()
	case in.Record == nil:
		return r.recordMissing()
	case r.kind == Cancel && !in.Record.Phase.Final():
		return r.unavailable() // only the leader can cancel an active job
	}
	return Response{Code: http.StatusOK, Status: StatusOfRecord(in.Record)}
}

func (r *Request) recordMissing() Action {
	switch r.loadPurpose {
	case confirmRejection:
		return Response{Code: http.StatusUnprocessableEntity}
	case verifyCreation:
		// The transaction may still be executed and so accept the job. The user
		// must retry, because a rejection now could prove wrong later.
		return r.unavailable()
	}
	return Response{Code: http.StatusNotFound}
}

func (r *Request) leaderReplied(in LeaderReplied) Action {
	switch in.Outcome {
	case JobFound:
		return Response{Code: http.StatusOK, Status: in.Status}
	case LeaderBusy:
		return r.unavailable()
	}
	// The leader reports only stored state, so the record is never older than a
	// status that a user received before.
	return r.loadRecord(respondFromRecord)
}

func (r *Request) loadRecord(purpose loadPurpose) Action {
	r.loadPurpose = purpose
	return LoadRecord{}
}

func (r *Request) unavailable() Action {
	return Response{Code: http.StatusServiceUnavailable, RetryAfter: r.retryAfter}
}

// RetryAfterSeconds returns the value of the Retry-After header for a delay: whole
// seconds, rounded up, between 1 and 30.
func RetryAfterSeconds(d time.Duration) int {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return int(math.Ceil(d.Seconds()))
}
