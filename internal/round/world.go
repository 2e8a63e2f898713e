package round

import (
	"slices"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/policy"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
)

// Coming is a machine that has been rented, or is being rented, and is not up.
type Coming struct {
	Offer rental.Offer
}

// World is what a round is planned from.
type World struct {
	Now        unit.Instant
	WallMs     int64
	No         unit.RoundNo
	Epoch      unit.Epoch
	Jobs       []*checkpoint.Job // those with tasks to place; any order
	All        []*checkpoint.Job // those with placements
	Fleet      *fleet.Fleet
	Types      []*fleet.MachineType
	Zones      []unit.Zone
	Teams      map[unit.Team]config.Team
	Expect     map[unit.Class]Expect
	Spares     []*checkpoint.Spec // classes to keep room free for
	Typical    []*checkpoint.Spec // what the classes look like
	Coming     []Coming
	MayVacate  bool
	Active     func(unit.Team) bool // has had work a moment ago
	Blocked    func(rental.Offer) bool
	MayHire    bool
	Policy     *policy.Policy
	ValueBytes int
	Parts      int // values that a job's record may take
	RoundParts int // values that a round's record may take
	// Replace names the attempt of gangs that wait for tasks which were lost before
	// they began; these may be replaced.
	Replace  map[unit.JobID]unit.Attempt
	SpecSize func(*checkpoint.Job) int
	// Held is what of a team's limit is kept for reservations of other nodes, beside
	// what is placed; Covers is how many tasks of a job they cover. See package quota.
	Held   map[unit.Team]checkpoint.Resources
	Covers func(*checkpoint.Job) int
}

// Stop is a placement to be stopped to make room.
type Stop struct {
	Placement *checkpoint.Placement
	For       unit.JobID
}

// Expect is what the objectives say of a class.
type Expect struct {
	Start  time.Duration   // to begin within; 0: nothing is said
	Finish []time.Duration // to be done within, the shortest first
}

// Add returns the expectations with an objective more.
func (e Expect) Add(kind string, within time.Duration) Expect {
	switch {
	case within <= 0:
	case kind == "wait":
		e.Start = within
	case kind == "finished":
		e.Finish = append(slices.Clone(e.Finish), within)
		slices.Sort(e.Finish)
	}
	return e
}

// None tells whether nothing is expected of the class.
func (e Expect) None() bool { return e.Start == 0 && len(e.Finish) == 0 }

// Plan is what a round decides.
type Plan struct {
	Record Record
	Stops  []Stop
	// Short counts the tasks that found no room.
	Short int
	// HireFor is the job that the rental was decided for, if it was one.
	HireFor unit.JobID
	// Vacate are machines to be emptied, so that they can be returned.
	Vacate []unit.MachineID
	// Keep are idle machines that hold the room kept free for a class.
	Keep map[unit.MachineID]bool
	// Work counts the machines that were looked at, for one job or another:
	// what the plan cost.
	Work int
	// Blocked is what of a team would fit its limit, were it not held.
	Blocked map[unit.Team]checkpoint.Resources
}
