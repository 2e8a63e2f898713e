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

// Errors of AdmissionRules.Check, to be compared with errors.Is.
var (
	// ErrInfeasible says that a job can never run in this cluster.
	ErrInfeasible = errors.New("job can never run")
	// ErrMachineTypesUnknown says that the cloud's machine types were not listed yet,
	// so that admission can't be decided.
	ErrMachineTypesUnknown = errors.New("machine types not listed yet")
)

// limitTolerance absorbs the rounding errors of sums of decimal amounts.
const limitTolerance = 1e-6

// AdmissionRules are what a submission is checked against.
type AdmissionRules struct {
	Teams        map[ident.Team]config.Team
	Zones        []ident.Zone
	MachineTypes []*fleet.MachineType // nil: not listed yet
	// StateLimits are the limits of the key-value store that job and round records
	// must keep to.
	StateLimits config.State
}

// Check returns nil if the job can run, an error that wraps ErrInfeasible if it never
// can, and ErrMachineTypesUnknown if that can't be decided yet.
func (r *AdmissionRules) Check(s *jobs.Spec) error {
	if err := r.checkTeamLimit(s); err != nil {
		return err
	}
	if len(r.MachineTypes) == 0 {
		return ErrMachineTypesUnknown
	}
	perMachine := r.maxTasksPerMachine(s)
	if perMachine == 0 {
		return fmt.Errorf("%w: no machine is large enough for a task", ErrInfeasible)
	}
	if s.Gang {
		return r.checkGang(s, perMachine)
	}
	return nil
}

// checkTeamLimit checks what must run at once: all tasks of a service or gang, and
// one task of an array.
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
		return fmt.Errorf("%w: beyond the limit of team %q", ErrInfeasible, s.Team)
	}
	return nil
}

// exceeds reports whether an amount is beyond a limit; a limit of 0 means none.
func exceeds(amount, limit float64) bool { return limit > 0 && amount > limit+limitTolerance }

// checkGang checks a gang of which one machine holds up to perMachine tasks.
func (r *AdmissionRules) checkGang(s *jobs.Spec, perMachine int) error {
	if s.MaxTasksPerZone() < s.Tasks && !r.canSpreadAcrossZones(s) {
		return fmt.Errorf("%w: a gang to be spread over zones has only one", ErrInfeasible)
	}
	if !roundlog.GangRecordsFit(s, perMachine, kvstore.JSONSize(s), r.StateLimits) {
		return fmt.Errorf("%w: the gang's records exceed the limits of the key-value store", ErrInfeasible)
	}
	return nil
}

// maxTasksPerMachine returns how many tasks fit on the largest machine that the job
// may use. It assumes on-demand machines, which every job may use.
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
// zone. All its tasks run at once, so one zone is not enough.
func (r *AdmissionRules) canSpreadAcrossZones(s *jobs.Spec) bool {
	return !s.ZoneAffinity && s.Zone == "" && len(r.Zones) > 1
}
