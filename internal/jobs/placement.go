package jobs

import (
	"cmp"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// PlacementState is the last known state of a placement.
type PlacementState int

// States of a placement. In each of them but PlacementEnded, the task may be on the machine or
// may still be started there.
const (
	PlacementPending PlacementState = iota // recorded, but not reported by the machine yet
	PlacementFetching
	PlacementRunning
	PlacementCheckpointing
	PlacementEnded
)

// Placement is one attempt to run a task on one machine. It ends only when the task certainly
// cannot run any more; until then it counts against limits and capacity.
type Placement struct {
	Job     *Job
	Task    ident.TaskIndex
	Machine ident.MachineID
	Session ident.Session
	Attempt ident.Attempt
	RoundNo ident.RoundNo // the round that placed it; 0: an earlier leader placed it
	State   PlacementState
	// FencingToken is the highest token under which a start command may have been sent. A
	// heartbeat that carries a higher token and does not list the task proves that the task
	// will never start.
	FencingToken ident.Epoch
	// StartAllowed is set when the start command may be sent, or sent again.
	StartAllowed bool
	// Stopping is set once the task has been requested to stop, with GracePeriod.
	Stopping        bool
	GracePeriod     time.Duration
	StopRequestedAt clock.Instant // the first request
	PlacedAt        clock.Instant
	RunningSince    clock.Instant // when it was first observed running; 0: never
	// EndSeq is the job's ChangeSeq right after the placement ended. The worker must keep the
	// exit until the stored record reflects that change.
	EndSeq uint64
}

// ID returns the identifier of the placement's task.
func (p *Placement) ID() ident.TaskID { return ident.TaskID{Job: p.Job.ID, Index: p.Task} }

// runTime returns how long the task has run, up to the first request to stop it. The time of the
// checkpoint after that request is excluded: with it, tasks that were stopped slightly too early
// counted as started, and then waited behind all others for their next start.
func (p *Placement) runTime(now clock.Instant) time.Duration {
	if p.RunningSince == 0 {
		return 0
	}
	if p.Stopping {
		now = min(now, p.StopRequestedAt)
	}
	return now.Sub(p.RunningSince)
}

// StableRunTime is how long a replica must have run for its service to count as one that runs.
// Nothing else shows that: replicas don't complete.
const StableRunTime = 2 * time.Minute

// RanStably reports whether the placement is that of a replica that has run for StableRunTime. It
// is false for tasks of arrays: a mistaken one may fail at the end of any run time.
func (p *Placement) RanStably(now clock.Instant) bool {
	return p.Job.Spec.Service && p.runTime(now) >= StableRunTime
}

// groupKey holds the values that all placements of a PlacementGroup share.
type groupKey struct {
	machine ident.MachineID
	session ident.Session
	attempt ident.Attempt
}

func (p *Placement) groupKey() groupKey { return groupKey{p.Machine, p.Session, p.Attempt} }

// placementGroups returns the job's placements in the groups that its record stores, sorted by
// machine, attempt and session.
func (j *Job) placementGroups() []PlacementGroup {
	groupIndex := map[groupKey]int{}
	var groups []PlacementGroup
	for _, p := range j.Placements {
		key := p.groupKey()
		n, ok := groupIndex[key]
		if !ok {
			n = len(groups)
			groupIndex[key] = n
			groups = append(groups, PlacementGroup{Machine: p.Machine, Session: p.Session, Attempt: p.Attempt})
		}
		groups[n].Tasks.Add(p.Task)
	}
	slices.SortFunc(groups, func(a, b PlacementGroup) int {
		return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Session, b.Session))
	})
	return groups
}
