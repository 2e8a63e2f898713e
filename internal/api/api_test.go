package api

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/indexset"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
)

func submissionBody(change map[string]any) []byte {
	m := map[string]any{"id": "wk-000412", "ledgerClass": "train", "desk": "red", "shape": "batch", "rank": "high",
		"entries": 16, "cpus": 2.0, "accelerators": 0.0, "memoryGb": 4.0, "bundle": "img-07", "imageGb": 6.2,
		"frames": []string{"m"}, "hall": nil, "samePlace": true, "apart": false, "loaner": true,
		"expectedS": 240.0, "folioS": 30.0, "bindS": 4.0, "dueS": 900.0}
	for k, v := range change {
		if v == "absent" {
			delete(m, k)
		} else {
			m[k] = v
		}
	}
	data, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func TestDecodeSubmission(t *testing.T) {
	for name, change := range map[string]map[string]any{
		"plain": {}, "unknown field": {"novel": []any{1, map[string]any{"a": nil}}}, "whole amounts": {"cpus": 2, "dueS": nil},
		"optional fields left out": {"frames": "absent", "hall": "absent", "dueS": "absent"}, "zero": {"folioS": 0, "bindS": 0.0},
	} {
		if _, err := DecodeSubmission(submissionBody(change)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, change := range map[string]map[string]any{
		"no id": {"id": "absent"}, "null id": {"id": nil}, "id of another form": {"id": "job-1"}, "id a number": {"id": 412},
		"no tasks": {"entries": 0}, "negative tasks": {"entries": -1}, "too many tasks": {"entries": 100_001},
		"tasks a decimal": {"entries": 2.5}, "tasks a text": {"entries": "16"}, "no cpus": {"cpus": 0.0},
		"negative memory": {"memoryGb": -1.0}, "cpus a text": {"cpus": "2"}, "unknown rank": {"rank": "urgent"},
		"rank misspelt": {"rank": "Prod"}, "unknown shape": {"shape": "array"}, "flag a number": {"samePlace": 1},
		"flag missing": {"apart": "absent"}, "null flag": {"loaner": nil}, "no types": {"frames": []string{}},
		"types a text": {"frames": "m"}, "types of numbers": {"frames": []any{1}}, "empty zone": {"hall": ""},
		"binary text": {"bundle": []byte("img")}, "nested too deep": {"novel": nestedLists(40)},
	} {
		if s, err := DecodeSubmission(submissionBody(change)); err == nil {
			t.Errorf("%s: taken as %+v", name, s)
		}
	}
	for name, data := range map[string][]byte{"empty": {}, "no map": {0x93, 1, 2, 3}, "text": []byte("hello"),
		"cut off": submissionBody(nil)[:40], "more after it": append(submissionBody(nil), 0xc0), "huge map": {0xdf, 0xff, 0xff, 0xff, 0xff},
		"huge list": {0x81, 0xa6, 'f', 'r', 'a', 'm', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff}} {
		if _, err := DecodeSubmission(data); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

func nestedLists(n int) any {
	var v any = 1
	for range n {
		v = []any{v}
	}
	return v
}

func testAdmissionRules() *AdmissionRules {
	return &AdmissionRules{Zones: []ident.Zone{"a"}, StateLimits: config.State{MaxValueKB: 2, MaxTxnOps: 4}, Teams: map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 8}, "wide": {Name: "wide", CPULimit: 1e5}},
		MachineTypes: []*fleet.MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, Zones: []ident.Zone{"a"}}}}
}

func TestAdmissionRules(t *testing.T) {
	base := jobs.Spec{Team: "red", Tasks: 100, CPUs: 2, MemoryGB: 4}
	for name, c := range map[string]struct {
		change func(*jobs.Spec)
		want   int
	}{
		"array beyond the limit as a whole": {func(*jobs.Spec) {}, 0},
		"service beyond the limit":          {func(s *jobs.Spec) { s.Service = true }, 422},
		"service within the limit":          {func(s *jobs.Spec) { s.Service, s.Tasks = true, 4 }, 0},
		"gang beyond the limit":             {func(s *jobs.Spec) { s.Gang = true }, 422},
		"gang within the limit":             {func(s *jobs.Spec) { s.Gang, s.Tasks = true, 4 }, 0},
		"gang beyond what records hold": {func(s *jobs.Spec) {
			s.Team, s.Gang, s.Tasks = "wide", true, 2000
		}, 422},
		"large gang":                  {func(s *jobs.Spec) { s.Team, s.Gang, s.Tasks = "wide", true, 100 }, 0},
		"gang of one":                 {func(s *jobs.Spec) { s.Gang, s.ZoneAffinity, s.ZoneSpread, s.Tasks = true, true, true, 1 }, 0},
		"gang in one zone and spread": {func(s *jobs.Spec) { s.Gang, s.ZoneAffinity, s.ZoneSpread, s.Tasks = true, true, true, 4 }, 422},
		"gang in a zone nobody has":   {func(s *jobs.Spec) { s.Gang, s.Zone, s.Tasks = true, "z", 4 }, 422},
		"unknown team":                {func(s *jobs.Spec) { s.Team = "green" }, 422},
		"too large for any machine":   {func(s *jobs.Spec) { s.CPUs = 5 }, 422},
		"unknown type":                {func(s *jobs.Spec) { s.MachineTypes = []ident.MachineType{"x"} }, 422},
		"unknown zone":                {func(s *jobs.Spec) { s.Zone = "z" }, 422},
		"accelerators nobody has":     {func(s *jobs.Spec) { s.GPUs = 1 }, 422},
	} {
		s := base
		c.change(&s)
		if got := testAdmissionRules().Check(&s); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
	blind := testAdmissionRules()
	blind.MachineTypes = nil
	if got := blind.Check(&base); got != http.StatusServiceUnavailable {
		t.Errorf("machine types not known: %d, want 503", got)
	}
}

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

// TestDoneOnlyAfterCheckpoint: a job whose last task has just completed is not
// called done before its checkpoint says so.
func TestDoneOnlyAfterCheckpoint(t *testing.T) {
	j := jobs.NewJob("wk-000001", jobs.NewRecord(jobs.Spec{Tasks: 1}, 0), 1, 0)
	j.CompleteTask(1, 0)
	if got := StatusOfJob(j); got.State == Done {
		t.Error("done before it is stored")
	}
	j.StoredPhase = j.Phase
	if diff := cmp.Diff(Status{State: Done, DoneTasks: 1}, StatusOfJob(j)); diff != "" {
		t.Error(diff)
	}
}

func FuzzDecodeSubmission(f *testing.F) {
	f.Add(submissionBody(nil))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa6, 'f', 'r', 'a', 'm', 'e', 's', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := DecodeSubmission(data); err == nil && (s.Spec.Tasks < 1 || s.Spec.CPUs <= 0 || s.ID == "") {
			t.Errorf("impossible submission taken: %+v", s)
		}
	})
}

// TestRetryPacerSpreadsRetries: users who are refused in a flood come back at different
// times, well within the minute for which they try; one who is refused alone
// comes back soon.
func TestRetryPacerSpreadsRetries(t *testing.T) {
	p := NewRetryPacer(rand.New(rand.NewPCG(1, 2)))
	if d := p.Rejected(); d > time.Second || p.Overloaded() {
		t.Errorf("refused alone, one is told to wait %v more", d)
	}
	early, late := 0, 0
	for range 400 {
		switch d := p.Rejected(); {
		case d > maxRetrySpread:
			t.Fatalf("told to wait %v", d)
		case d < maxRetrySpread/4:
			early++
		case d > maxRetrySpread*3/4:
			late++
		}
	}
	if early < 50 || late < 30 || !p.Overloaded() {
		t.Errorf("%d come early and %d late, of 400", early, late)
	}
	for range 100 {
		p.Accepted()
	}
	if p.Overloaded() {
		t.Error("still flooded when all are taken")
	}
}
