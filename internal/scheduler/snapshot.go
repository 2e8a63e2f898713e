package scheduler

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/roundlog"

	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/jobs"
	"badgerbay/internal/policy"
)

// PendingMachine is a machine that has been rented, or is being rented, and is not up.
type PendingMachine struct {
	Offer cloud.Offer
}

// Snapshot is what a round is planned from.
type Snapshot struct {
	Now              clock.Instant
	WallMs           int64
	RoundNo          ident.RoundNo
	Epoch            ident.Epoch
	QueuedJobs       []*jobs.Job // those with tasks to place; any order
	PlacedJobs       []*jobs.Job // those with placements
	Fleet            *fleet.Fleet
	MachineTypes     []*fleet.MachineType
	Zones            []ident.Zone
	Teams            map[ident.Team]config.Team
	Objectives       map[ident.Class]Objectives
	SpareSpecs       []*jobs.Spec // classes to keep room free for
	TypicalSpecs     []*jobs.Spec // what the classes look like
	PendingMachines  []PendingMachine
	MayDrain         bool
	TeamActive       func(ident.Team) bool // has had work a moment ago
	OfferUnavailable func(cloud.Offer) bool
	MayProvision     bool
	Policy           *policy.Policy
	ValueBytes       int
	MaxJobValues     int // values that a job's record may take
	MaxRoundValues   int // values that a round's record may take
	// ReplacementAttempts names the attempt of gangs that wait for tasks which were lost before
	// they began; these may be replaced.
	ReplacementAttempts map[ident.JobID]ident.Attempt
	SpecJSONSize        func(*jobs.Job) int
	// Reserved is what of a team's limit is kept for reservations of other nodes, beside
	// what is placed; Covers is how many tasks of a job they cover. See package quota.
	Reserved      map[ident.Team]jobs.Resources
	ReservedTasks func(*jobs.Job) int
}

// Eviction is a placement to be stopped to make room.
type Eviction struct {
	Placement *jobs.Placement
	Preemptor ident.JobID
}

// Objectives is what the objectives say of a class.
type Objectives struct {
	StartWithin  time.Duration   // to begin within; 0: nothing is said
	FinishWithin []time.Duration // to be done within, the shortest first
}

// With returns the expectations with an objective more.
func (e Objectives) With(kind string, within time.Duration) Objectives {
	switch {
	case within <= 0:
	case kind == "wait":
		e.StartWithin = within
	case kind == "finished":
		e.FinishWithin = append(slices.Clone(e.FinishWithin), within)
		slices.Sort(e.FinishWithin)
	}
	return e
}

// IsEmpty tells whether nothing is expected of the class.
func (e Objectives) IsEmpty() bool { return e.StartWithin == 0 && len(e.FinishWithin) == 0 }

// Plan is what a round decides.
type Plan struct {
	Record    roundlog.Record
	Evictions []Eviction
	// UnplacedTasks counts the tasks that found no room.
	UnplacedTasks int
	// ProvisionedFor is the job that the rental was decided for, if it was one.
	ProvisionedFor ident.JobID
	// Drain are machines to be emptied, so that they can be returned.
	Drain []ident.MachineID
	// Retain are idle machines that hold the room kept free for a class.
	Retain map[ident.MachineID]bool
	// Examined counts the machines that were looked at, for one job or another:
	// what the plan cost.
	Examined int
	// ReservationBlocked is what of a team would fit its limit, were it not held.
	ReservationBlocked map[ident.Team]jobs.Resources
}
