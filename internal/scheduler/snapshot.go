package scheduler

import (
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/policy"
)

// Snapshot is the input from which a round is planned. Planning does not modify it.
type Snapshot struct {
	Now     clock.Instant
	WallMs  int64 // wall-clock time in milliseconds since 1970, as in jobs.Job.AcceptedAtMs
	RoundNo ident.RoundNo
	Epoch   ident.Epoch
	Policy  *policy.Policy

	// QueuedJobs have tasks to place and PlacedJobs have placements; the order of either is
	// irrelevant.
	QueuedJobs []*jobs.Job
	PlacedJobs []*jobs.Job
	// ReplacementAttempts holds the attempts of the gangs that wait because tasks were lost
	// before they began. The lost tasks may be replaced in that attempt.
	ReplacementAttempts map[ident.JobID]ident.Attempt

	Fleet           *fleet.Fleet
	PendingMachines []PendingMachine
	MachineTypes    []*fleet.MachineType
	Zones           []ident.Zone
	MayDrain        bool // machines may be drained in this round
	MayProvision    bool // machines may be provisioned in this round
	// OfferUnavailable reports whether the cloud currently has no machines of an offer.
	OfferUnavailable func(cloud.Offer) bool

	Teams map[ident.Team]config.Team
	// TeamActive reports whether the team has had work recently.
	TeamActive func(ident.Team) bool
	// Reserved is the part of each team's limit that is kept for reservations of other nodes,
	// in addition to the placements. ReservedTasks returns how many tasks of a job they cover;
	// it is nil if there are no reservations. See package quota.
	Reserved      map[ident.Team]jobs.Resources
	ReservedTasks func(*jobs.Job) int

	Objectives   map[ident.Class]Objectives
	SpareSpecs   []*jobs.Spec // classes that capacity is kept free for
	TypicalSpecs []*jobs.Spec // typical specs of the classes, as last observed

	ValueBytes     int                 // maximum JSON size of a value in the state service
	MaxJobValues   int                 // maximum number of values of a job's record
	MaxRoundValues int                 // maximum number of values of a round record
	SpecJSONSize   func(*jobs.Job) int // size of the job's spec, in bytes
}

// PendingMachine is a machine that has been provisioned, or is being provisioned, and is not up
// yet.
type PendingMachine struct {
	Offer cloud.Offer
}

// Objectives are the service-level objectives of a class of jobs.
type Objectives struct {
	StartWithin  time.Duration   // maximum time until the start; 0: none
	FinishWithin []time.Duration // maximum times until completion, shortest first
}

// With returns a copy of the objectives with one added. The kind is "wait" or "finished", as in
// the settings; other kinds, and times that are not positive, are ignored.
func (o Objectives) With(kind string, within time.Duration) Objectives {
	switch {
	case within <= 0:
	case kind == "wait":
		o.StartWithin = within
	case kind == "finished":
		o.FinishWithin = append(slices.Clone(o.FinishWithin), within)
		slices.Sort(o.FinishWithin)
	}
	return o
}

// IsEmpty reports whether there are no objectives.
func (o Objectives) IsEmpty() bool { return o.StartWithin == 0 && len(o.FinishWithin) == 0 }
