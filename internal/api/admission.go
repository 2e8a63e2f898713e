package api

import (
	"net/http"
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

// AdmissionRules are what a submission is checked against.
type AdmissionRules struct {
	Teams        map[ident.Team]config.Team
	Zones        []ident.Zone
	MachineTypes []*fleet.MachineType // nil: not known yet
	// StateLimits holds the limits of the state service that records keep to.
	StateLimits config.State
}

// Check returns 0 if the job can run, 422 if it never can, and 503 if that
// can't be decided yet.
func (r *AdmissionRules) Check(s *jobs.Spec) int {
	team, ok := r.Teams[s.Team]
	if !ok {
		return http.StatusUnprocessableEntity
	}
	tasks := 1
	if s.Service || s.Gang {
		tasks = s.Tasks
	}
	all := s.TaskResources().Multiply(tasks)
	if team.CPULimit > 0 && all.CPUs > team.CPULimit+1e-6 || team.GPULimit > 0 && all.GPUs > team.GPULimit+1e-6 {
		return http.StatusUnprocessableEntity
	}
	if len(r.MachineTypes) == 0 {
		return http.StatusServiceUnavailable
	}
	most := r.maxTasksPerMachine(s)
	if most == 0 || s.Gang && s.MaxTasksPerZone() < s.Tasks && !r.canSpreadAcrossZones(s) {
		return http.StatusUnprocessableEntity
	}
	if s.Gang && !roundlog.GangRecordsFit(s, most, kvstore.JSONSize(s), r.StateLimits) {
		return http.StatusUnprocessableEntity
	}
	return 0
}

// maxTasksPerMachine is how many of the tasks the largest machine holds that they may use.
func (r *AdmissionRules) maxTasksPerMachine(s *jobs.Spec) int {
	most := 0
	for _, t := range r.MachineTypes {
		if slices.ContainsFunc(t.AvailableZones(r.Zones), func(z ident.Zone) bool { return s.AllowsMachine(t.Name, z, false) }) {
			most = max(most, t.Capacity.MaxCopies(s.TaskResources()))
		}
	}
	return most
}

// canSpreadAcrossZones tells whether a gang that must be spread has more than one zone to
// run in: all its tasks run at once, so one zone is not enough.
func (r *AdmissionRules) canSpreadAcrossZones(s *jobs.Spec) bool {
	return !s.ZoneAffinity && s.Zone == "" && len(r.Zones) > 1
}
