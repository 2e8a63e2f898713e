package api

import (
	"net/http"
	"testing"

	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
)

// respond passes the inputs to a request and returns its response. The test fails unless
// the last input, and no earlier one, yields the response.
func respond(t *testing.T, r *Request, inputs ...Input) Response {
	t.Helper()
	for i, in := range inputs {
		if response, ok := r.Step(in).(Response); ok {
			if i != len(inputs)-1 {
				t.Fatalf("got response %+v before input %d", response, i+1)
			}
			return response
		}
	}
	t.Fatal("no response after the last input")
	return Response{}
}

// TestSubmitRequest checks the response to a submission for each outcome of creating and
// reading its record. While it is unknown whether the job was accepted, the response must
// be 503, not a rejection.
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
		"stored":                     {[]Input{Begin{}, RecordCreated{Stored}}, 201, Queued},
		"already exists":             {[]Input{Begin{}, RecordCreated{AlreadyExists}, RecordLoaded{OK: true, Record: rec}}, 200, Queued},
		"already exists and done":    {[]Input{Begin{}, RecordCreated{AlreadyExists}, RecordLoaded{OK: true, Record: &done}}, 200, Done},
		"reply lost, stored":         {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{OK: true, Record: rec}}, 200, Queued},
		"reply lost, not stored yet": {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{OK: true}}, 503, ""},
		"reply lost, read fails":     {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{}}, 503, ""},
		"write budget exhausted":     {[]Input{Begin{}, RecordCreated{Rejected}}, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), tt.inputs...)
			if got.Code != tt.code || got.Status.State != tt.state {
				t.Errorf("got %d %q, want %d %q", got.Code, got.Status.State, tt.code, tt.state)
			}
			if got.Code == http.StatusServiceUnavailable && got.RetryAfter <= 0 {
				t.Error("503 without a retry delay")
			}
		})
	}
}

// TestAcceptedJobIsNeverRejected checks that a resubmission of an accepted job succeeds
// even if no machine type fits the job any more. Without a record the submission is
// rejected with 422; if the record cannot be read, the response is 503.
func TestAcceptedJobIsNeverRejected(t *testing.T) {
	sub, err := DecodeSubmission(submissionBody(map[string]any{"cpus": 64.0}))
	if err != nil {
		t.Fatal(err)
	}
	rec := jobs.NewRecord(sub.Spec, 0)
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{OK: true, Record: rec}); a.Code != 200 {
		t.Errorf("response to an accepted job: %d, want 200", a.Code)
	}
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{OK: true}); a.Code != 422 {
		t.Errorf("response to an infeasible job: %d, want 422", a.Code)
	}
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{}); a.Code != 503 {
		t.Errorf("response if the record cannot be read: %d, want 503", a.Code)
	}
}

// TestQueryAndCancelRequests checks that the response comes from the leader if it knows
// the job, and otherwise from the job's record, and that an active job is cancelled only
// by the leader.
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
		"leader knows the job":               {QueryStatus, []Input{Begin{}, LeaderReplied{JobFound, Status{State: Running}}}, 200, Running},
		"404 only after the record was read": {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: JobNotFound}, RecordLoaded{OK: true}}, 404, ""},
		"record not known to the leader yet": {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: JobNotFound}, RecordLoaded{OK: true, Record: active}}, 200, Queued},
		"no leader, record found":            {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: &cancelled}}, 200, Cancelled},
		"no leader, read fails":              {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{}}, 503, ""},
		"leader busy":                        {Cancel, []Input{Begin{}, LeaderReplied{Outcome: LeaderBusy}}, 503, ""},
		"cancelled":                          {Cancel, []Input{Begin{}, LeaderReplied{JobFound, Status{State: Cancelled}}}, 200, Cancelled},
		"only the leader cancels":            {Cancel, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: active}}, 503, ""},
		"already cancelled, no leader":       {Cancel, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: &cancelled}}, 200, Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			got := respond(t, NewJobRequest(tt.kind), tt.inputs...)
			if got.Code != tt.code || got.Status.State != tt.state {
				t.Errorf("got %d %q, want %d %q", got.Code, got.Status.State, tt.code, tt.state)
			}
		})
	}
}
