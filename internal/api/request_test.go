package api

import (
	"net/http"
	"testing"

	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
)

// respond drives a request with scripted inputs and returns its response, which must
// come after the last of them.
func respond(t *testing.T, r *Request, inputs ...Input) Response {
	t.Helper()
	for i, in := range inputs {
		if response, ok := r.Step(in).(Response); ok {
			if i != len(inputs)-1 {
				t.Fatalf("response %+v before input %d", response, i+1)
			}
			return response
		}
	}
	t.Fatal("no response")
	return Response{}
}

// TestSubmitRequest: the response to a submission, by what became of its record.
func TestSubmitRequest(t *testing.T) {
	sub, err := DecodeSubmission(submissionBody(nil))
	if err != nil {
		t.Fatal(err)
	}
	rec := jobs.NewRecord(sub.Spec, 0)
	done := *rec
	done.Phase, done.Done = jobs.PhaseDone, indexset.Full(sub.Spec.Tasks)
	for name, tt := range map[string]struct {
		inputs []Input
		code   int
		state  JobState
	}{
		"stored":                         {[]Input{Begin{}, RecordCreated{Stored}}, 201, Queued},
		"exists":                         {[]Input{Begin{}, RecordCreated{AlreadyExists}, RecordLoaded{OK: true, Record: rec}}, 200, Queued},
		"exists and done":                {[]Input{Begin{}, RecordCreated{AlreadyExists}, RecordLoaded{OK: true, Record: &done}}, 200, Done},
		"reply lost, stored":             {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{OK: true, Record: rec}}, 200, Queued},
		"reply lost, not stored yet":     {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{OK: true}}, 503, ""},
		"reply lost, can't be read back": {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{}}, 503, ""},
		"no budget":                      {[]Input{Begin{}, RecordCreated{Rejected}}, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), tt.inputs...)
			if got.Code != tt.code || got.Status.State != tt.state {
				t.Errorf("%d %q, want %d %q", got.Code, got.Status.State, tt.code, tt.state)
			}
			if got.Code == http.StatusServiceUnavailable && got.RetryAfter <= 0 {
				t.Error("503 without a retry delay")
			}
		})
	}
}

// TestAcceptedJobIsNeverRejected: a job that was accepted is not rejected later,
// whatever machine types there are by then.
func TestAcceptedJobIsNeverRejected(t *testing.T) {
	sub, err := DecodeSubmission(submissionBody(map[string]any{"cpus": 64.0}))
	if err != nil {
		t.Fatal(err)
	}
	rec := jobs.NewRecord(sub.Spec, 0)
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{OK: true, Record: rec}); a.Code != 200 {
		t.Errorf("accepted job answered %d", a.Code)
	}
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{OK: true}); a.Code != 422 {
		t.Errorf("infeasible job answered %d", a.Code)
	}
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{}); a.Code != 503 {
		t.Errorf("undecided job answered %d", a.Code)
	}
}

// TestQueryAndCancelRequests: the leader answers where it can, and otherwise the record.
func TestQueryAndCancelRequests(t *testing.T) {
	active := jobs.NewRecord(jobs.Spec{Tasks: 2}, 0)
	cancelled := *active
	cancelled.Phase = jobs.PhaseCancelled
	for name, tt := range map[string]struct {
		kind   RequestKind
		inputs []Input
		code   int
		state  JobState
	}{
		"leader knows":                       {QueryStatus, []Input{Begin{}, LeaderReplied{JobFound, Status{State: Running}}}, 200, Running},
		"404 only after the record was read": {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: JobNotFound}, RecordLoaded{OK: true}}, 404, ""},
		"leader behind":                      {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: JobNotFound}, RecordLoaded{OK: true, Record: active}}, 200, Queued},
		"no leader, record":                  {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: &cancelled}}, 200, Cancelled},
		"nobody answers":                     {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{}}, 503, ""},
		"leader busy":                        {Cancel, []Input{Begin{}, LeaderReplied{Outcome: LeaderBusy}}, 503, ""},
		"cancelled":                          {Cancel, []Input{Begin{}, LeaderReplied{JobFound, Status{State: Cancelled}}}, 200, Cancelled},
		"only the leader cancels":            {Cancel, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: active}}, 503, ""},
		"cancelled before":                   {Cancel, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: &cancelled}}, 200, Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			got := respond(t, NewJobRequest(tt.kind), tt.inputs...)
			if got.Code != tt.code || got.Status.State != tt.state {
				t.Errorf("%d %q, want %d %q", got.Code, got.Status.State, tt.code, tt.state)
			}
		})
	}
}
