package jobs

import (
	"cmp"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// PlacementState is how far a placement is known to have come.
type PlacementState int

// States of a placement. Each but PlacementEnded means that the task may be on the
// machine, or may yet come to be.
const (
	PlacementPending PlacementState = iota // recorded; not seen on the machine
	PlacementFetching
	PlacementRunning
	PlacementCheckpointing
	PlacementEnded
)

// Placement is one attempt to run a task on one machine. It is over only when
// it surely can't run any more; until then it counts for limits and capacity.
type Placement struct {
	Job     *Job
	Task    ident.TaskIndex
	Machine ident.MachineID
	Session ident.Session
	Attempt ident.Attempt
	RoundNo ident.RoundNo // that placed it; 0: an earlier leader did
	State   PlacementState
	// FencingToken is the highest token under which a start may have been sent. A heartbeat
	// with a higher one that lacks the task proves that it never will start.
	FencingToken ident.Epoch
	// StartAllowed tells that the start command may be sent, or sent again.
	StartAllowed bool
	// Stopping is set once the task has been told to stop, with GracePeriod.
	Stopping        bool
	GracePeriod     time.Duration
	StopRequestedAt clock.Instant // the first time
	PlacedAt        clock.Instant
	RunningSince    clock.Instant // when it was first seen running; 0: it was not
	// EndSeq is the job's ChangeSeq at which the end was taken in; the
	// agent may forget the exit once that much is stored.
	EndSeq uint64
}

// ID is the identifier of the placement's task.
func (p *Placement) ID() ident.TaskID { return ident.TaskID{Job: p.Job.ID, Index: p.Task} }

// runTime is how long the task has run, up to when it was told to stop. The time
// that it took to checkpoint after that is not counted: tasks stopped a little too early
// passed for started, and then waited behind all others for their next start.
func (p *Placement) runTime(now clock.Instant) time.Duration {
	if p.RunningSince == 0 {
		return 0
	}
	if p.Stopping {
		now = min(now, p.StopRequestedAt)
	}
	return now.Sub(p.RunningSince)
}

// groupKey is what the placements of one group have in common.
type groupKey struct {
	machine ident.MachineID
	session ident.Session
	attempt ident.Attempt
}

func (p *Placement) groupKey() groupKey { return groupKey{p.Machine, p.Session, p.Attempt} }

// placementGroups are the job's placements as its record holds them, in an order of their own.
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
