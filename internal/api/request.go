// Package api holds the logic of the users' HTTP API, which every node serves:
// submissions, status queries and cancel requests. It owns the wire format of the
// requests and responses, the admission rules, and the state machine that takes one
// request to its response. It does no I/O: package node receives the requests and
// carries out what the state machine asks for.
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

// loadPurpose tells why the job's record is read, and so what it means if there
// is none.
type loadPurpose int

const (
	// answerFromRecord: the leader did not answer. Without a record there is no job.
	answerFromRecord loadPurpose = iota
	// verifyCreation: the record existed before, or may have been created.
	verifyCreation
	// confirmRejection: the submission can never run, unless it was accepted earlier.
	confirmRejection
)

// Request is the state machine of one request. It is not safe for concurrent use.
type Request struct {
	kind          RequestKind
	submission    *Submission
	admission     *AdmissionRules
	submittedAtMs int64 // Unix time in milliseconds
	retryAfter    time.Duration
	loadPurpose   loadPurpose
}

// NewSubmitRequest returns the state machine of a submission that was received at
// the Unix time wallMs, in milliseconds.
func NewSubmitRequest(sub *Submission, rules *AdmissionRules, wallMs int64) *Request {
	return &Request{kind: Submit, submission: sub, admission: rules, submittedAtMs: wallMs, retryAfter: minRetryAfter}
}

// NewJobRequest returns the state machine of a status query or a cancel request.
func NewJobRequest(kind RequestKind) *Request {
	return &Request{kind: kind, retryAfter: minRetryAfter}
}

// SetRetryAfter sets the delay that a 503 asks the user for, at least a second.
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
		// A job that was accepted is never rejected later, even if machine types
		// or limits have changed since.
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
		return r.unavailable() // only the leader cancels
	}
	return Response{Code: http.StatusOK, Status: StatusOfRecord(in.Record)}
}

func (r *Request) recordMissing() Action {
	switch r.loadPurpose {
	case confirmRejection:
		return Response{Code: http.StatusUnprocessableEntity}
	case verifyCreation:
		// The transaction may still be executed and accept the job, so the user
		// must retry: a rejection could turn out to be wrong.
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
	// The leader reports only what is stored, so the record is never older than
	// anything that a user was told before.
	return r.loadRecord(answerFromRecord)
}

func (r *Request) loadRecord(purpose loadPurpose) Action {
	r.loadPurpose = purpose
	return LoadRecord{}
}

func (r *Request) unavailable() Action {
	return Response{Code: http.StatusServiceUnavailable, RetryAfter: r.retryAfter}
}

// RetryAfterSeconds converts a delay to the value of the Retry-After header: whole
// seconds, rounded up, between 1 and 30.
func RetryAfterSeconds(d time.Duration) int {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return int(math.Ceil(d.Seconds()))
}
