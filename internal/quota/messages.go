package quota

import (
	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// AllocationRequest is the message that a holder sends to the leader once a second, as long as it has or desires any
// quota.
type AllocationRequest struct {
	Holder HolderID                      `msgpack:"h"`
	Teams  wire.BoundedList[TeamRequest] `msgpack:"t,omitempty"`
	// Jobs are some of the jobs that the holder has reservations for. It asks how many of their tasks may still be in
	// progress.
	Jobs wire.BoundedList[ident.JobID] `msgpack:"j,omitempty"`
}

// TeamRequest is what a holder has and desires of a team's limit.
type TeamRequest struct {
	Team       ident.Team `msgpack:"t"`
	ReleaseSeq uint64     `msgpack:"p"` // number of the holder's last release
	// Retained is the most that the holder uses after that release. If the release is not stored yet, the leader lowers
	// the holder's allocation to it.
	Retained Quantity `msgpack:"c"`
	Desired  Quantity `msgpack:"w"` // in total
}

// AllocationResponse is the leader's response. The allocations that it reports are stored.
type AllocationResponse struct {
	Holder  HolderID                         `msgpack:"h"`
	Epoch   ident.Epoch                      `msgpack:"e"`
	Teams   wire.BoundedList[TeamAllocation] `msgpack:"t,omitempty"`
	JobCaps wire.BoundedList[JobCap]         `msgpack:"j,omitempty"`
	// Revoked means that the holder key is gone or has changed. The holder's allocations and reservations are void.
	Revoked bool `msgpack:"r,omitempty"`
}

// TeamAllocation is a holder's allocation from a team's limit, after the holder's release ReleaseSeq.
type TeamAllocation struct {
	Team       ident.Team `msgpack:"t"`
	ReleaseSeq uint64     `msgpack:"p"`
	Allocated  Quantity   `msgpack:"u"`
	// Recall is the quantity that the holder should release, as far as it is not reserved.
	Recall Quantity `msgpack:"r"`
}

// JobCap is the maximum number of tasks of a job that a reservation may still cover.
type JobCap struct {
	Job      ident.JobID `msgpack:"j"`
	MaxTasks int         `msgpack:"n"`
}

// Responder delivers the response to a holder's request.
type Responder interface {
	// Respond delivers the only response to the request.
	Respond(AllocationResponse)
}

// Bounds of messages from other nodes.
const (
	maxTeamsPerRequest = 256
	maxJobsPerRequest  = 64
)

// valid reports whether the request names its holder, is within the bounds, and contains only valid quantities.
func (r *AllocationRequest) valid() bool {
	if r.Holder.Node == "" || r.Holder.ModRevision == 0 {
		return false
	}
	if len(r.Teams) > maxTeamsPerRequest || len(r.Jobs) > maxJobsPerRequest {
		return false
	}
	for _, team := range r.Teams {
		if !team.Retained.valid() || !team.Desired.valid() {
			return false
		}
	}
	return true
}
