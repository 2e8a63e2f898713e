package quota

import (
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// Ask is what a holder tells the leader once a second, as long as it holds or wants
// anything.
type Ask struct {
	Holder HolderID                  `msgpack:"h"`
	Teams  wire.BoundedList[TeamAsk] `msgpack:"t,omitempty"`
	// Jobs are some of those that it has reservations for: it asks how many of
	// their tasks may still be under way.
	Jobs wire.BoundedList[unit.JobID] `msgpack:"j,omitempty"`
}

// TeamAsk is what a holder has, and wants, of a team's limit.
type TeamAsk struct {
	Team    unit.Team `msgpack:"t"`
	Promise uint64    `msgpack:"p"`
	// Ceiling is what the holder does not go beyond from now on, in the promise.
	Ceiling Units `msgpack:"c"`
	Want    Units `msgpack:"w"` // in all
}

// Answer is what the leader answers. What it says is stored.
type Answer struct {
	Holder HolderID                    `msgpack:"h"`
	Epoch  unit.Epoch                  `msgpack:"e"`
	Teams  wire.BoundedList[TeamShare] `msgpack:"t,omitempty"`
	Jobs   wire.BoundedList[JobState]  `msgpack:"j,omitempty"`
	// Revoked: the holder key is gone, and with it all that it held.
	Revoked bool `msgpack:"r,omitempty"`
}

// TeamShare is a holder's allotment, as of a promise.
type TeamShare struct {
	Team    unit.Team `msgpack:"t"`
	Promise uint64    `msgpack:"p"`
	Units   Units     `msgpack:"u"`
	// Recall is what is wanted back, as far as nothing is reserved of it.
	Recall Units `msgpack:"r"`
}

// JobState says how many tasks of a job a reservation may still cover.
type JobState struct {
	Job       unit.JobID `msgpack:"j"`
	Remaining int        `msgpack:"n"`
}

// Bounds of messages from other nodes.
const (
	mostTeams = 256
	mostJobs  = 64
)

// valid tells whether an ask can be what a holder has sent.
func (a *Ask) valid() bool {
	if a.Holder.Node == "" || a.Holder.Stamp == 0 || len(a.Teams) > mostTeams || len(a.Jobs) > mostJobs {
		return false
	}
	for _, t := range a.Teams {
		if !t.Ceiling.valid() || !t.Want.valid() {
			return false
		}
	}
	return true
}
