// Package intake serves the users: it takes submissions, answers polls and
// withdraws jobs, on every node. Each request is a small state machine; the
// server carries out what it asks for.
package intake

import (
	"math"
	"net/http"
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// Kind of a request.
type Kind int

// Kinds.
const (
	Submit Kind = iota
	Poll
	Withdraw
)

// Input is what a request takes: one of the types below.
type Input interface{ input() }

// Inputs.
type (
	// Begin starts the request.
	Begin struct{}
	// Created answers Create.
	Created struct{ Result CreateResult }
	// Loaded answers Load. Record is nil if the job was never accepted.
	Loaded struct {
		OK     bool
		Record *checkpoint.Record
	}
	// Told answers AskLeader.
	Told struct {
		Outcome Outcome
		Status  Status
	}
)

func (Begin) input()   {}
func (Created) input() {}
func (Loaded) input()  {}
func (Told) input()    {}

// CreateResult is what became of the attempt to store a job.
type CreateResult int

// Results. Uncertain: it may have been stored, or may be later. Refused: it
// was not, for want of budget or of the state service.
const (
	Stored CreateResult = iota
	Exists
	Refused
	Uncertain
)

// Outcome of asking the leader.
type Outcome int

// Outcomes. Nothing was done in the last two.
const (
	Known Outcome = iota
	Absent
	NoLeader
	Busy
)

// Action is what a request asks its server to do next.
type Action interface{ action() }

// Actions.
type (
	// Create stores the job if it does not exist.
	Create struct{ Record *checkpoint.Record }
	// Load reads the job's record.
	Load struct{}
	// AskLeader polls or withdraws the job at the leader.
	AskLeader struct{ Withdraw bool }
	// Answer ends the request.
	Answer struct {
		Code       int
		Status     Status
		RetryAfter time.Duration
	}
)

func (Create) action()    {}
func (Load) action()      {}
func (AskLeader) action() {}
func (Answer) action()    {}

// Rules are what a submission is checked against.
type Rules struct {
	Teams map[unit.Team]config.Team
	Zones []unit.Zone
	Types []*fleet.Type // nil: not known yet
	// State holds the limits of the state service that records keep to.
	State config.State
}

// Check returns 0 if the job can run, 422 if it never can, and 503 if that
// can't be decided yet.
func (r *Rules) Check(s *checkpoint.Spec) int {
	team, ok := r.Teams[s.Team]
	if !ok {
		return http.StatusUnprocessableEntity
	}
	tasks := 1
	if s.Service || s.Gang {
		tasks = s.Tasks
	}
	all := s.Need().Times(tasks)
	if team.CPUsMax > 0 && all.CPUs > team.CPUsMax+1e-6 || team.GPUsMax > 0 && all.GPUs > team.GPUsMax+1e-6 {
		return http.StatusUnprocessableEntity
	}
	if len(r.Types) == 0 {
		return http.StatusServiceUnavailable
	}
	if !r.fitsSomewhere(s) || s.Gang && s.ZoneCap() < s.Tasks && !r.mayBeApart(s) {
		return http.StatusUnprocessableEntity
	}
	if s.Gang && !round.GangFits(s, r.mostOnOne(s), statestore.JSONSize(s), r.State) {
		return http.StatusUnprocessableEntity
	}
	return 0
}

// mostOnOne is how many of the tasks the largest machine holds that they may use.
func (r *Rules) mostOnOne(s *checkpoint.Spec) int {
	most := 0
	for _, t := range r.Types {
		zones := t.Zones
		if len(zones) == 0 {
			zones = r.Zones
		}
		if slices.ContainsFunc(zones, func(z unit.Zone) bool { return s.Allows(t.Name, z, false) || s.Allows(t.Name, z, true) }) {
			most = max(most, t.Capacity.Holds(s.Need()))
		}
	}
	return most
}

// mayBeApart tells whether a gang that must be spread has more than one zone to
// run in: all its tasks run at once, so one zone is not enough.
func (r *Rules) mayBeApart(s *checkpoint.Spec) bool {
	return !s.OneZone && s.Zone == "" && len(r.Zones) > 1
}

func (r *Rules) fitsSomewhere(s *checkpoint.Spec) bool {
	for _, t := range r.Types {
		if !t.Capacity.Fits(s.Need()) {
			continue
		}
		zones := t.Zones
		if len(zones) == 0 {
			zones = r.Zones
		}
		for _, z := range zones {
			if s.Allows(t.Name, z, false) {
				return true
			}
		}
	}
	return false
}

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

// NewAsk returns the machine of a poll or a withdrawal.
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
		return AskLeader{Withdraw: r.kind == Withdraw}
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
		if r.kind == Withdraw && !in.Record.Phase.Final() {
			return r.unavailable() // only the leader withdraws
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
