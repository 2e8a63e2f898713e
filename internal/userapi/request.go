// Package userapi serves the users: it takes submissions, answers polls and
// cancels jobs, on every node. Each request is a small state machine; the
// server carries out what it asks for.
package userapi

import (
	"math"
	"net/http"
	"time"

	"badgerbay/internal/checkpoint"
)

type stage int

const (
	fresh stage = iota
	creating
	checking // reading back after a create that found the job or is uncertain
	asking
	reading
	refusing // reading before a refusal, in case the job is known
)

// Request is the state machine of one request.
type Request struct {
	kind  Kind
	sub   *Submission
	rules *Rules
	now   int64 // time of day, ms
	retry time.Duration
	stage stage
	// uncertain is set when a create may have been executed.
	uncertain bool
	refusal   int
}

// NewSubmit returns the machine of a submission.
func NewSubmit(sub *Submission, rules *Rules, wallMs int64) *Request {
	return &Request{kind: Submit, sub: sub, rules: rules, now: wallMs, retry: time.Second}
}

// NewAsk returns the machine of a poll or a cancellation.
func NewAsk(kind Kind) *Request { return &Request{kind: kind, retry: time.Second} }

// SetRetry sets when a user who is refused should come back.
func (r *Request) SetRetry(d time.Duration) { r.retry = max(d, time.Second) }

// Step takes an input and returns the next action.
func (r *Request) Step(in Input) Action {
	switch in := in.(type) {
	case Begin:
		return r.begin()
	case Created:
		return r.created(in)
	case Loaded:
		return r.loaded(in)
	case Told:
		return r.told(in)
	}
	return r.unavailable()
}

func (r *Request) unavailable() Action {
	return Answer{Code: http.StatusServiceUnavailable, RetryAfter: r.retry}
}

func (r *Request) begin() Action {
	if r.kind != Submit {
		r.stage = asking
		return AskLeader{Cancel: r.kind == Cancel}
	}
	switch code := r.rules.Check(&r.sub.Spec); code {
	case 0:
		r.stage = creating
		return Create{Record: checkpoint.NewRecord(r.sub.Spec, r.now)}
	case http.StatusUnprocessableEntity:
		// A job that is known must never be refused, whatever has changed
		// since it was accepted.
		r.stage, r.refusal = refusing, code
		return Load{}
	default:
		return r.unavailable()
	}
}

func (r *Request) created(in Created) Action {
	switch in.Result {
	case Stored:
		return Answer{Code: http.StatusCreated, Status: Status{Standing: Queued}}
	case Exists, Uncertain:
		r.uncertain = in.Result == Uncertain
		r.stage = checking
		return Load{}
	}
	return r.unavailable()
}

func (r *Request) loaded(in Loaded) Action {
	if !in.OK {
		return r.unavailable()
	}
	if in.Record != nil {
		if r.kind == Cancel && !in.Record.Phase.Final() {
			return r.unavailable() // only the leader cancels
		}
		return Answer{Code: http.StatusOK, Status: StatusOfRecord(in.Record)}
	}
	switch r.stage {
	case refusing:
		return Answer{Code: r.refusal}
	case checking:
		// Not stored so far; a late execution would accept it, so the user
		// must ask again rather than be refused.
		return r.unavailable()
	}
	return Answer{Code: http.StatusNotFound}
}

func (r *Request) told(in Told) Action {
	switch in.Outcome {
	case Known:
		return Answer{Code: http.StatusOK, Status: in.Status}
	case Busy:
		return r.unavailable()
	}
	// The leader does not know the job, or none can be asked: the record
	// decides. Nothing is told before it is stored, so it is never too old.
	r.stage = reading
	return Load{}
}

// RetrySeconds is the value of Retry-After for a duration.
func RetrySeconds(d time.Duration) int {
	return max(1, min(30, int(math.Ceil(d.Seconds()))))
}
