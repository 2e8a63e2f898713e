package quota

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// AllocationRequest is what a holder tells the leader once a second, as long as it has
// or desires anything.
type AllocationRequest struct {
	Holder HolderID                      `msgpack:"h"`
	Teams  wire.BoundedList[TeamRequest] `msgpack:"t,omitempty"`
	// Jobs are some of those that it has reservations for: it asks how many of their
	// tasks may still be under way.
	Jobs wire.BoundedList[ident.JobID] `msgpack:"j,omitempty"`
}

// TeamRequest is what a holder has, and desires, of a team's limit.
type TeamRequest struct {
	Team       ident.Team `msgpack:"t"`
	ReleaseSeq uint64     `msgpack:"p"`
	// Ceiling is what the holder does not go beyond from this release on.
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

// TeamAllocation is what a holder has of a team's limit, as of a release.
type TeamAllocation struct {
	Team       ident.Team `msgpack:"t"`
	ReleaseSeq uint64     `msgpack:"p"`
	Allocated  Quantity   `msgpack:"u"`
	// Recall is what the holder should release, as far as nothing is reserved of it.
	Recall Quantity `msgpack:"r"`
}

// JobCap says how many tasks of a job a reservation may still cover.
type JobCap struct {
	Job      ident.JobID `msgpack:"j"`
	MaxTasks int         `msgpack:"n"`
}

// Responder takes the response to a holder's request.
type Responder interface {
	// Respond takes the one response.
	Respond(AllocationResponse)
}

// Bounds of messages from other nodes.
const (
	maxTeamsPerRequest = 256
	maxJobsPerRequest  = 64
)

// valid tells whether a request can be what a holder has sent.
func (r *AllocationRequest) valid() bool {
	if r.Holder.Node == "" || r.Holder.ModRevision == 0 {
		return false
	}
	if len(r.Teams) > maxTeamsPerRequest || len(r.Jobs) > maxJobsPerRequest {
		return false
	}
	for _, team := range r.Teams {
		if !team.Ceiling.valid() || !team.Desired.valid() {
			return false
		}
	}
	return true
}
