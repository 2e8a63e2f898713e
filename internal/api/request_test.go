package api

import (
	"testing"

	"badgerbay/internal/indexset"
	"badgerbay/internal/jobs"
)

// respond drives a request with scripted inputs and returns its answer.
func respond(t *testing.T, r *Request, inputs ...Input) Response {
	t.Helper()
	for i, in := range inputs {
		act := r.Step(in)
		if a, ok := act.(Response); ok {
			if i != len(inputs)-1 {
				t.Fatalf("answered %+v before input %d", a, i+1)
			}
			return a
		}
	}
	t.Fatal("no answer")
	return Response{}
}

func TestSubmitRequest(t *testing.T) {
	sub, err := DecodeSubmission(submissionBody(nil))
	if err != nil {
		t.Fatal(err)
	}
	rec := jobs.NewRecord(sub.Spec, 0)
	done := *rec
	done.Phase, done.Done = jobs.PhaseDone, indexset.Full(sub.Spec.Tasks)
	for name, c := range map[string]struct {
		inputs []Input
		code   int
		st     JobState
	}{
		"stored":                       {[]Input{Begin{}, RecordCreated{Stored}}, 201, Queued},
		"known":                        {[]Input{Begin{}, RecordCreated{AlreadyExists}, RecordLoaded{OK: true, Record: rec}}, 200, Queued},
		"known and over":               {[]Input{Begin{}, RecordCreated{AlreadyExists}, RecordLoaded{OK: true, Record: &done}}, 200, Done},
		"answer lost, stored":          {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{OK: true, Record: rec}}, 200, Queued},
		"answer lost, not stored yet":  {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{OK: true}}, 503, ""},
		"answer lost, can't read back": {[]Input{Begin{}, RecordCreated{Indeterminate}, RecordLoaded{}}, 503, ""},
		"no budget":                    {[]Input{Begin{}, RecordCreated{Rejected}}, 503, ""},
	} {
		a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), c.inputs...)
		if a.Code != c.code || a.Status.State != c.st {
			t.Errorf("%s: %d %q, want %d %q", name, a.Code, a.Status.State, c.code, c.st)
		}
		if a.Code == 503 && a.RetryAfter <= 0 {
			t.Errorf("%s: no time to come back", name)
		}
	}
}

// TestAcceptedJobIsNeverRejected: once accepted, a job is not called impossible,
// whatever the machine types look like later.
func TestAcceptedJobIsNeverRejected(t *testing.T) {
	sub, _ := DecodeSubmission(submissionBody(map[string]any{"cpus": 64.0}))
	rec := jobs.NewRecord(sub.Spec, 0)
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{OK: true, Record: rec}); a.Code != 200 {
		t.Errorf("known job answered %d", a.Code)
	}
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{OK: true}); a.Code != 422 {
		t.Errorf("impossible job answered %d", a.Code)
	}
	if a := respond(t, NewSubmitRequest(sub, testAdmissionRules(), 0), Begin{}, RecordLoaded{}); a.Code != 503 {
		t.Errorf("undecided job answered %d", a.Code)
	}
}

func TestQueryAndCancelRequests(t *testing.T) {
	active := jobs.NewRecord(jobs.Spec{Tasks: 2}, 0)
	cancelled := *active
	cancelled.Phase = jobs.PhaseCancelled
	for name, c := range map[string]struct {
		kind   RequestKind
		inputs []Input
		code   int
		st     JobState
	}{
		"leader knows":                       {QueryStatus, []Input{Begin{}, LeaderReplied{JobFound, Status{State: Running}}}, 200, Running},
		"404 only after the state was asked": {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: JobNotFound}, RecordLoaded{OK: true}}, 404, ""},
		"leader behind":                      {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: JobNotFound}, RecordLoaded{OK: true, Record: active}}, 200, Queued},
		"no leader, record":                  {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: &cancelled}}, 200, Cancelled},
		"nobody answers":                     {QueryStatus, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{}}, 503, ""},
		"leader busy":                        {Cancel, []Input{Begin{}, LeaderReplied{Outcome: LeaderBusy}}, 503, ""},
		"cancelled":                          {Cancel, []Input{Begin{}, LeaderReplied{JobFound, Status{State: Cancelled}}}, 200, Cancelled},
		"only the leader cancels":            {Cancel, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: active}}, 503, ""},
		"cancelled before":                   {Cancel, []Input{Begin{}, LeaderReplied{Outcome: NoLeader}, RecordLoaded{OK: true, Record: &cancelled}}, 200, Cancelled},
	} {
		a := respond(t, NewJobRequest(c.kind), c.inputs...)
		if a.Code != c.code || a.Status.State != c.st {
			t.Errorf("%s: %d %q, want %d %q", name, a.Code, a.Status.State, c.code, c.st)
		}
	}
}
