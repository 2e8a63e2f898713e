package node

import (
	"context"
	"errors"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/peer/meshpb"
)

const (
	// statusQueryTimeout bounds how long a status query waits for the leader, so that enough
	// of the two seconds that a user waits for the response remains to read the job record instead.
	statusQueryTimeout   = 500 * time.Millisecond
	cancelRequestTimeout = 2 * time.Second
)

// queryJob asks the core of this node for the status of a job, or cancels the job. A status is valid only while this
// node is entitled to answer as the leader, so its validity is checked again just before it is returned.
func (a *coreActor) queryJob(ctx context.Context, id ident.JobID, cancelJob bool) api.LeaderReplied {
	reply, err := request(ctx, a, func(to controller.Responder[controller.JobReply]) controller.Input {
		return controller.JobRequest{Responder: to, Job: id, Cancel: cancelJob}
	})
	switch {
	case err != nil:
		return api.LeaderReplied{Outcome: api.LeaderBusy}
	case reply.Outcome == api.JobFound && !a.clock.Now().Before(reply.ValidUntil):
		return api.LeaderReplied{Outcome: api.NoLeader}
	}
	return api.LeaderReplied{Outcome: reply.Outcome, Status: reply.Status}
}

// queryLeader asks the core of this node for the status of a job, or to cancel it, if this node leads. Otherwise, or
// if the core no longer leads, it asks the node that leads. A cancel request that can't be delivered to that node
// directly is relayed through the state service.
func (u *userAPI) queryLeader(ctx context.Context, id ident.JobID, cancelJob bool) api.LeaderReplied {
	if u.core.view().leads() {
		if reply := u.core.queryJob(ctx, id, cancelJob); reply.Outcome != api.NoLeader {
			return reply
		}
	}
	leader := u.reach.otherLeader()
	if leader == "" {
		return api.LeaderReplied{Outcome: api.NoLeader}
	}
	reply, err := u.queryPeer(ctx, leader, id, cancelJob)
	if err == nil {
		return reply
	}
	if !errors.Is(err, errPeerUnreachable) {
		u.log.Debug("leader not reached", "leader", leader, "err", err)
	}
	if cancelJob {
		return u.uplink.cancel(ctx, id)
	}
	return api.LeaderReplied{Outcome: api.NoLeader}
}

// queryPeer sends a status query or a cancel request to the leader's node. It returns errPeerUnreachable, without
// sending anything, if that node did not answer recently.
func (u *userAPI) queryPeer(ctx context.Context, leader string, id ident.JobID, cancelJob bool) (api.LeaderReplied, error) {
	if !u.peers.reachable(leader) {
		return api.LeaderReplied{}, errPeerUnreachable
	}
	timeout := statusQueryTimeout
	if cancelJob {
		timeout = cancelRequestTimeout
	}
	reply, err := u.peers.QueryJob(ctx, leader, &meshpb.AskRequest{Job: string(id), Withdraw: cancelJob}, timeout)
	u.peers.recordResult(leader, err)
	if err != nil {
		return api.LeaderReplied{}, err
	}
	return decodeJobReply(reply), nil
}

// decodeJobReply converts a peer's reply. An outcome that only a later version defines is treated as NoLeader.
func decodeJobReply(r *meshpb.AskReply) api.LeaderReplied {
	switch r.Outcome {
	case meshpb.Outcome_OUTCOME_KNOWN:
		return api.LeaderReplied{Outcome: api.JobFound, Status: api.Status{
			State: api.JobState(r.Standing), DoneTasks: int(r.Done), RunningTasks: int(r.Running)}}
	case meshpb.Outcome_OUTCOME_ABSENT:
		return api.LeaderReplied{Outcome: api.JobNotFound}
	case meshpb.Outcome_OUTCOME_BUSY:
		return api.LeaderReplied{Outcome: api.LeaderBusy}
	}
	return api.LeaderReplied{Outcome: api.NoLeader}
}

// encodeJobReply converts the core's reply to the message for a peer.
func encodeJobReply(r api.LeaderReplied) *meshpb.AskReply {
	reply := &meshpb.AskReply{
		Standing: string(r.Status.State),
		Done:     uint32(r.Status.DoneTasks),
		Running:  uint32(r.Status.RunningTasks),
	}
	switch r.Outcome {
	case api.JobFound:
		reply.Outcome = meshpb.Outcome_OUTCOME_KNOWN
	case api.JobNotFound:
		reply.Outcome = meshpb.Outcome_OUTCOME_ABSENT
	case api.LeaderBusy:
		reply.Outcome = meshpb.Outcome_OUTCOME_BUSY
	case api.NoLeader:
		reply.Outcome = meshpb.Outcome_OUTCOME_NOT_LEADER
	}
	return reply
}
