package api

import (
	"errors"
	"net/http"
	"testing"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

func testAdmissionRules() *AdmissionRules {
	return &AdmissionRules{Zones: []ident.Zone{"a"}, StateLimits: config.State{MaxValueKB: 2, MaxTxnOps: 4}, Teams: map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 8}, "wide": {Name: "wide", CPULimit: 1e5}},
		MachineTypes: []*fleet.MachineType{{Name: "m", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, Zones: []ident.Zone{"a"}}}}
}

// TestAdmissionCheck checks which jobs are rejected as infeasible. It also checks that a
// submission gets a 503 with a retry delay, not a rejection, as long as the machine types
// are unknown.
func TestAdmissionCheck(t *testing.T) {
	base := jobs.Spec{Team: "red", Tasks: 100, CPUs: 2, MemoryGB: 4}
	for name, c := range map[string]struct {
		change func(*jobs.Spec)
		want   error
	}{
		"array whose total exceeds limit": {func(*jobs.Spec) {}, nil},
		"service exceeds the limit":       {func(s *jobs.Spec) { s.Service = true }, ErrInfeasible},
		"service within the limit":        {func(s *jobs.Spec) { s.Service, s.Tasks = true, 4 }, nil},
		"gang exceeds the limit":          {func(s *jobs.Spec) { s.Gang = true }, ErrInfeasible},
		"gang within the limit":           {func(s *jobs.Spec) { s.Gang, s.Tasks = true, 4 }, nil},
		"gang exceeds the record limits": {func(s *jobs.Spec) {
			s.Team, s.Gang, s.Tasks = "wide", true, 2000
		}, ErrInfeasible},
		"large gang":                         {func(s *jobs.Spec) { s.Team, s.Gang, s.Tasks = "wide", true, 100 }, nil},
		"gang of one":                        {func(s *jobs.Spec) { s.Gang, s.ZoneAffinity, s.ZoneSpread, s.Tasks = true, true, true, 1 }, nil},
		"gang with zone affinity and spread": {func(s *jobs.Spec) { s.Gang, s.ZoneAffinity, s.ZoneSpread, s.Tasks = true, true, true, 4 }, ErrInfeasible},
		"gang in an unknown zone":            {func(s *jobs.Spec) { s.Gang, s.Zone, s.Tasks = true, "z", 4 }, ErrInfeasible},
		"unknown team":                       {func(s *jobs.Spec) { s.Team = "green" }, ErrInfeasible},
		"task too large for any machine":     {func(s *jobs.Spec) { s.CPUs = 5 }, ErrInfeasible},
		"unknown machine type":               {func(s *jobs.Spec) { s.MachineTypes = []ident.MachineType{"x"} }, ErrInfeasible},
		"unknown zone":                       {func(s *jobs.Spec) { s.Zone = "z" }, ErrInfeasible},
		"GPUs that no machine type has":      {func(s *jobs.Spec) { s.GPUs = 1 }, ErrInfeasible},
	} {
		s := base
		c.change(&s)
		if got := testAdmissionRules().Check(&s); !errors.Is(got, c.want) {
			t.Errorf("%s: error %v, want %v", name, got, c.want)
		}
	}
	rulesWithoutTypes := testAdmissionRules()
	rulesWithoutTypes.MachineTypes = nil
	if got := rulesWithoutTypes.Check(&base); !errors.Is(got, ErrMachineTypesUnknown) {
		t.Errorf("unknown machine types: error %v, want %v", got, ErrMachineTypesUnknown)
	}
	if r := respond(t, NewSubmitRequest(&Submission{ID: "wk-000412", Spec: base}, rulesWithoutTypes, 0), Begin{}); r.Code != http.StatusServiceUnavailable || r.RetryAfter <= 0 {
		t.Errorf("unknown machine types: response %+v, want 503 with a retry delay", r)
	}
}
