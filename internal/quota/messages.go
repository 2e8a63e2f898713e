package quota

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// AllocationRequest is what a holder tells the leader once a second, as long as it holds or wants
// anything.
type AllocationRequest struct {
	Holder HolderID                      `msgpack:"h"`
	Teams  wire.BoundedList[TeamRequest] `msgpack:"t,omitempty"`
	// Jobs are some of those that it has reservations for: it asks how many of
	// their tasks may still be under way.
	Jobs wire.BoundedList[ident.JobID] `msgpack:"j,omitempty"`
}

// TeamRequest is what a holder has, and wants, of a team's limit.
type TeamRequest struct {
	Team       ident.Team `msgpack:"t"`
	ReleaseSeq uint64     `msgpack:"p"`
	// Ceiling is what the holder does not go beyond from now on, in the promise.
	Ceiling Quantity `msgpack:"c"`
	Desired Quantity `msgpack:"w"` // in all
}

// AllocationResponse is what the leader answers. What it says is stored.
type AllocationResponse struct {
	Holder  HolderID                         `msgpack:"h"`
	Epoch   ident.Epoch                      `msgpack:"e"`
	Teams   wire.BoundedList[TeamAllocation] `msgpack:"t,omitempty"`
	JobCaps wire.BoundedList[JobCap]         `msgpack:"j,omitempty"`
	// Revoked: the holder key is gone, and with it all that it held.
	Revoked bool `msgpack:"r,omitempty"`
}

// TeamAllocation is a holder's allotment, as of a promise.
type TeamAllocation struct {
	Team       ident.Team `msgpack:"t"`
	ReleaseSeq uint64     `msgpack:"p"`
	Allocated  Quantity   `msgpack:"u"`
	// Recall is what is wanted back, as far as nothing is reserved of it.
	Recall Quantity `msgpack:"r"`
}

// JobCap says how many tasks of a job a reservation may still cover.
type JobCap struct {
	Job      ident.JobID `msgpack:"j"`
	MaxTasks int         `msgpack:"n"`
}

// Bounds of messages from other nodes.
const (
	maxTeamsPerRequest = 256
	maxJobsPerRequest  = 64
)

// valid tells whether an ask can be what a holder has sent.
func (a *AllocationRequest) valid() bool {
	if a.Holder.Node == "" || a.Holder.ModRevision == 0 || len(a.Teams) > maxTeamsPerRequest || len(a.Jobs) > maxJobsPerRequest {
		return false
	}
	for _, t := range a.Teams {
		if !t.Ceiling.valid() || !t.Desired.valid() {
			return false
		}
	}
	return true
}
