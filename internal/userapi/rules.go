package userapi

import (
	"net/http"
	"slices"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// Rules are what a submission is checked against.
type Rules struct {
	Teams map[unit.Team]config.Team
	Zones []unit.Zone
	Types []*fleet.MachineType // nil: not known yet
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
	all := s.TaskResources().Multiply(tasks)
	if team.CPULimit > 0 && all.CPUs > team.CPULimit+1e-6 || team.GPULimit > 0 && all.GPUs > team.GPULimit+1e-6 {
		return http.StatusUnprocessableEntity
	}
	if len(r.Types) == 0 {
		return http.StatusServiceUnavailable
	}
	most := r.mostOnOne(s)
	if most == 0 || s.Gang && s.MaxTasksPerZone() < s.Tasks && !r.mayBeApart(s) {
		return http.StatusUnprocessableEntity
	}
	if s.Gang && !round.GangRecordsFit(s, most, statestore.JSONSize(s), r.State) {
		return http.StatusUnprocessableEntity
	}
	return 0
}

// mostOnOne is how many of the tasks the largest machine holds that they may use.
func (r *Rules) mostOnOne(s *checkpoint.Spec) int {
	most := 0
	for _, t := range r.Types {
		if slices.ContainsFunc(t.AvailableZones(r.Zones), func(z unit.Zone) bool { return s.AllowsMachine(t.Name, z, false) }) {
			most = max(most, t.Capacity.MaxCopies(s.TaskResources()))
		}
	}
	return most
}

// mayBeApart tells whether a gang that must be spread has more than one zone to
// run in: all its tasks run at once, so one zone is not enough.
func (r *Rules) mayBeApart(s *checkpoint.Spec) bool {
	return !s.ZoneAffinity && s.Zone == "" && len(r.Zones) > 1
}
