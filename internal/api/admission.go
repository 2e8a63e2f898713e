package api

import (
	"errors"
	"fmt"
	"slices"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
)

// Errors that AdmissionRules.Check returns; compare them with errors.Is.
var (
	// ErrInfeasible is returned when a job can never run in this cluster.
	ErrInfeasible = errors.New("job can never run")
	// ErrMachineTypesUnknown is returned when the cloud's machine types have not been
	// listed yet, so that admission cannot be decided.
	ErrMachineTypesUnknown = errors.New("machine types have not been listed yet")
)

// limitTolerance absorbs the rounding errors of sums of decimal amounts.
const limitTolerance = 1e-6

// AdmissionRules holds the configuration and the machine types that submissions are
// checked against.
type AdmissionRules struct {
	Teams        map[ident.Team]config.Team
	Zones        []ident.Zone
	MachineTypes []*fleet.MachineType // nil if not listed yet
	// StateLimits are the limits of the state service that job records and round
	// records must not exceed.
	StateLimits config.State
}

// Check returns nil if the job can run, an error that wraps ErrInfeasible if it can
// never run, and ErrMachineTypesUnknown if this cannot be decided yet.
func (r *AdmissionRules) Check(s *jobs.Spec) error {
	if err := r.checkTeamLimit(s); err != nil {
		return err
	}
	if len(r.MachineTypes) == 0 {
		return ErrMachineTypesUnknown
	}
	perMachine := r.maxTasksPerMachine(s)
	if perMachine == 0 {
		return fmt.Errorf("%w: no machine type that the job allows is large enough for a task", ErrInfeasible)
	}
	if s.Gang {
		return r.checkGang(s, perMachine)
	}
	return nil
}

// checkTeamLimit checks the resources of the tasks that must run concurrently against
// the team's limits: all tasks of a service or gang, and one task of an array.
func (r *AdmissionRules) checkTeamLimit(s *jobs.Spec) error {
	team, ok := r.Teams[s.Team]
	if !ok {
		return fmt.Errorf("%w: unknown team %q", ErrInfeasible, s.Team)
	}
	concurrentTasks := 1
	if s.Service || s.Gang {
		concurrentTasks = s.Tasks
	}
	need := s.TaskResources().Multiply(concurrentTasks)
	if exceeds(need.CPUs, team.CPULimit) || exceeds(need.GPUs, team.GPULimit) {
		return fmt.Errorf("%w: required resources exceed the limit of team %q", ErrInfeasible, s.Team)
	}
	return nil
}

// exceeds reports whether an amount exceeds a limit; a limit of 0 means unlimited.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+limitTolerance }

// checkGang checks a gang's zone constraints and the size of its records, given that
// one machine holds up to perMachine of its tasks.
func (r *AdmissionRules) checkGang(s *jobs.Spec, perMachine int) error {
	if s.MaxTasksPerZone() < s.Tasks && !r.canSpreadAcrossZones(s) {
		return fmt.Errorf("%w: the gang requires zone spread but is limited to one zone", ErrInfeasible)
	}
	if !roundlog.GangRecordsFit(s, perMachine, kvstore.JSONSize(s), r.StateLimits) {
		return fmt.Errorf("%w: the gang's records exceed the limits of the key-value store", ErrInfeasible)
	}
	return nil
}

// maxTasksPerMachine returns the largest number of tasks that fit on one machine of
// any type that the job may use. It assumes on-demand machines, which every job may use.
func (r *AdmissionRules) maxTasksPerMachine(s *jobs.Spec) int {
	most := 0
	for _, t := range r.MachineTypes {
		allowedIn := func(z ident.Zone) bool { return s.AllowsMachine(t.Name, z, false) }
		if slices.ContainsFunc(t.AvailableZones(r.Zones), allowedIn) {
			most = max(most, t.Capacity.MaxCopies(s.TaskResources()))
		}
	}
	return most
}

// canSpreadAcrossZones reports whether a gang with zone spread may use more than one
// zone. It needs more than one because all its tasks run concurrently.
func (r *AdmissionRules) canSpreadAcrossZones(s *jobs.Spec) bool {
	return !s.ZoneAffinity && s.Zone == "" && len(r.Zones) > 1
}
