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

// Snapshot is what a round is planned from. Planning changes nothing in it.
type Snapshot struct {
	Now     clock.Instant
	WallMs  int64 // time of day, in milliseconds since 1970, as in jobs.Job.AcceptedAtMs
	RoundNo ident.RoundNo
	Epoch   ident.Epoch
	Policy  *policy.Policy

	// QueuedJobs have tasks to place, PlacedJobs have placements; both in any order.
	QueuedJobs []*jobs.Job
	PlacedJobs []*jobs.Job
	// ReplacementAttempts names the attempt of gangs that wait for tasks which were lost
	// before they began; these may be replaced.
	ReplacementAttempts map[ident.JobID]ident.Attempt

	Fleet           *fleet.Fleet
	PendingMachines []PendingMachine
	MachineTypes    []*fleet.MachineType
	Zones           []ident.Zone
	MayDrain        bool // machines may be drained in this round
	MayProvision    bool // machines may be provisioned in this round
	// OfferUnavailable tells whether the cloud has none of an offer for now.
	OfferUnavailable func(cloud.Offer) bool

	Teams map[ident.Team]config.Team
	// TeamActive tells whether the team has had work a moment ago.
	TeamActive func(ident.Team) bool
	// Reserved is what of a team's limit is kept for reservations of other nodes, beside
	// what is placed; ReservedTasks is how many tasks of a job they cover, or nil if there
	// are none. See package quota.
	Reserved      map[ident.Team]jobs.Resources
	ReservedTasks func(*jobs.Job) int

	Objectives   map[ident.Class]Objectives
	SpareSpecs   []*jobs.Spec // classes to keep room free for
	TypicalSpecs []*jobs.Spec // what the classes look like, as last seen

	ValueBytes     int                 // that a value of the state service holds, in JSON
	MaxJobValues   int                 // values that a job's record may take
	MaxRoundValues int                 // values that a round's record may take
	SpecJSONSize   func(*jobs.Job) int // of the job's spec, in bytes
}

// PendingMachine is a machine that has been provisioned, or is being provisioned, and is not
// up.
type PendingMachine struct {
	Offer cloud.Offer
}

// Objectives are the service-level objectives of a class of jobs.
type Objectives struct {
	StartWithin  time.Duration   // to start within; 0: none
	FinishWithin []time.Duration // to be done within, the shortest first
}

// With returns the objectives with one more, of a kind that settings know: "wait" or
// "finished". Others are left out.
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

// IsEmpty tells whether there are no objectives.
func (o Objectives) IsEmpty() bool { return o.StartWithin == 0 && len(o.FinishWithin) == 0 }
