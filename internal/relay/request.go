package relay

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/peer"
)

// PendingRequest is a request that waits for the leader's reply through the state
// service. It is a worker's heartbeat or, if Heartbeat is nil, the cancel request for Job.
type PendingRequest struct {
	Heartbeat *fleet.Heartbeat
	Job       ident.JobID
	Deadline  clock.Instant // the time after which no caller waits for the reply
	// HeartbeatReply receives the reply to a heartbeat, CancelReply the reply to a
	// cancel request. Each channel has a buffer for one reply, so that delivery does
	// not block.
	HeartbeatReply chan peer.HeartbeatReply
	CancelReply    chan peer.CancelReply
}

// NewHeartbeatRequest returns the request that relays a heartbeat.
func NewHeartbeatRequest(hb *fleet.Heartbeat, deadline clock.Instant) PendingRequest {
	return PendingRequest{Heartbeat: hb, Deadline: deadline, HeartbeatReply: make(chan peer.HeartbeatReply, 1)}
}

// NewCancelRequest returns the request that relays the cancel request for a job.
func NewCancelRequest(id ident.JobID, deadline clock.Instant) PendingRequest {
	return PendingRequest{Job: id, Deadline: deadline, CancelReply: make(chan peer.CancelReply, 1)}
}

// sendOrder returns the sort key that orders users' requests before heartbeats.
func (r *PendingRequest) sendOrder() int {
	if r.Heartbeat == nil {
		return 0
	}
	return 1
}

// DeliverReplies delivers the replies to a batch to the requests that were sent in it.
// Requests that the leader did not reply to receive nothing.
func DeliverReplies(reply *peer.BatchReply, sent []PendingRequest) {
	heartbeats := make(map[ident.MachineID]peer.HeartbeatReply, len(reply.Heartbeats))
	for _, r := range reply.Heartbeats {
		heartbeats[r.Machine] = r
	}
	cancellations := make(map[ident.JobID]peer.CancelReply, len(reply.Cancellations))
	for _, r := range reply.Cancellations {
		cancellations[r.Job] = r
	}
	for _, request := range sent {
		if request.Heartbeat == nil {
			if r, ok := cancellations[request.Job]; ok {
				request.CancelReply <- r
			}
		} else if r, ok := heartbeats[request.Heartbeat.Machine]; ok {
			request.HeartbeatReply <- r
		}
	}
}
