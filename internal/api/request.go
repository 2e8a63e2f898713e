// Package api serves the users: it takes submissions, answers polls and
// cancels jobs, on every node. Each request is a small state machine; the
// server carries out what it asks for.
package api

import (
	"math"
	"net/http"
	"time"

	"badgerbay/internal/jobs"
)

type requestState int

const (
	stateNew requestState = iota
	stateCreating
	stateVerifying // reading back after a create that found the job or is uncertain
	stateQueryingLeader
	stateReadingRecord
	stateRejecting // reading before a refusal, in case the job is known
)

// Request is the state machine of one request.
type Request struct {
	kind          RequestKind
	submission    *Submission
	admission     *AdmissionRules
	submittedAtMs int64 // time of day, ms
	retryAfter    time.Duration
	state         requestState
	// uncertain is set when a create may have been executed.
	uncertain     bool
	rejectionCode int
}

// NewSubmitRequest returns the machine of a submission.
func NewSubmitRequest(sub *Submission, rules *AdmissionRules, wallMs int64) *Request {
	return &Request{kind: Submit, submission: sub, admission: rules, submittedAtMs: wallMs, retryAfter: time.Second}
}

// NewJobRequest returns the machine of a poll or a cancellation.
func NewJobRequest(kind RequestKind) *Request { return &Request{kind: kind, retryAfter: time.Second} }

// SetRetryAfter sets when a user who is refused should come back.
func (r *Request) SetRetryAfter(d time.Duration) { r.retryAfter = max(d, time.Second) }

// Step takes an input and returns the next action.
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

func (r *Request) unavailable() Action {
	return Response{Code: http.StatusServiceUnavailable, RetryAfter: r.retryAfter}
}

func (r *Request) begin() Action {
	if r.kind != Submit {
		r.state = stateQueryingLeader
		return QueryLeader{Cancel: r.kind == Cancel}
	}
	switch code := r.admission.Check(&r.submission.Spec); code {
	case 0:
		r.state = stateCreating
		return CreateRecord{Record: jobs.NewRecord(r.submission.Spec, r.submittedAtMs)}
	case http.StatusUnprocessableEntity:
		// A job that is known must never be refused, whatever has changed
		// since it was accepted.
		r.state, r.rejectionCode = stateRejecting, code
		return LoadRecord{}
	default:
		return r.unavailable()
	}
}

func (r *Request) recordCreated(in RecordCreated) Action {
	switch in.Result {
	case Stored:
		return Response{Code: http.StatusCreated, Status: Status{State: Queued}}
	case AlreadyExists, Indeterminate:
		r.uncertain = in.Result == Indeterminate
		r.state = stateVerifying
		return LoadRecord{}
	}
	return r.unavailable()
}

func (r *Request) recordLoaded(in RecordLoaded) Action {
	if !in.OK {
		return r.unavailable()
	}
	if in.Record != nil {
		if r.kind == Cancel && !in.Record.Phase.Final() {
			return r.unavailable() // only the leader cancels
		}
		return Response{Code: http.StatusOK, Status: StatusOfRecord(in.Record)}
	}
	switch r.state {
	case stateRejecting:
		return Response{Code: r.rejectionCode}
	case stateVerifying:
		// Not stored so far; a late execution would accept it, so the user
		// must ask again rather than be refused.
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
	// The leader does not know the job, or none can be asked: the record
	// decides. Nothing is told before it is stored, so it is never too old.
	r.state = stateReadingRecord
	return LoadRecord{}
}

// RetryAfterSeconds is the value of Retry-After for a duration.
func RetryAfterSeconds(d time.Duration) int {
	return max(1, min(30, int(math.Ceil(d.Seconds()))))
}
