package node

import (
	"context"
	"net/http"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/peer"
	"badgerbay/internal/peer/meshpb"
)

// peerServer answers the other nodes.
type peerServer struct {
	meshpb.UnimplementedMeshServer
	n *Node
}

// Ask answers a poll or a cancellation that another node forwards.
func (s *peerServer) Ask(ctx context.Context, r *meshpb.AskRequest) (*meshpb.AskReply, error) {
	id, err := ident.ParseJobID(r.Job)
	if err != nil || s.n.view.Load().epoch == 0 {
		return &meshpb.AskReply{Outcome: meshpb.Outcome_OUTCOME_NOT_LEADER}, nil
	}
	t := s.n.queryCore(ctx, id, r.Withdraw)
	outcome := map[api.QueryOutcome]meshpb.Outcome{
		api.JobFound: meshpb.Outcome_OUTCOME_KNOWN, api.JobNotFound: meshpb.Outcome_OUTCOME_ABSENT,
		api.LeaderBusy: meshpb.Outcome_OUTCOME_BUSY, api.NoLeader: meshpb.Outcome_OUTCOME_NOT_LEADER}[t.Outcome]
	return &meshpb.AskReply{Outcome: outcome, Standing: string(t.Status.State),
		Done: uint32(t.Status.DoneTasks), Running: uint32(t.Status.RunningTasks)}, nil
}

// Relay lets the core answer the reports of workers that can't reach this node.
func (s *peerServer) Relay(ctx context.Context, r *meshpb.RelayRequest) (*meshpb.RelayReply, error) {
	b, err := peer.DecodeBatch(r.Batch)
	if err != nil {
		s.n.metrics.MalformedBatches.Inc()
		return nil, err
	}
	answers := &peer.BatchReply{ID: b.ID}
	switch {
	case b.Quota != nil:
		answers.Quota = s.n.queryCoreQuota(ctx, b.Quota)
	case b.WantsDelegation:
		answers.Delegation = s.n.answerLeaseDelegation(ctx, b.Node)
	default:
		answers = s.n.serveBatch(ctx, b)
	}
	data, err := msgpack.Marshal(answers)
	return &meshpb.RelayReply{Answers: data}, err
}

// Health tells what this node can reach.
func (s *peerServer) Health(context.Context, *meshpb.HealthRequest) (*meshpb.HealthReply, error) {
	return &meshpb.HealthReply{StateReached: s.n.stateReachable(storeSilenceThreshold), Leader: s.n.view.Load().leader}, nil
}

// Notice takes in that a job was stored.
func (s *peerServer) Notice(_ context.Context, r *meshpb.NoticeRequest) (*meshpb.NoticeReply, error) {
	id, err := ident.ParseJobID(r.Job)
	if err != nil || s.n.view.Load().epoch == 0 {
		return &meshpb.NoticeReply{}, nil
	}
	return &meshpb.NoticeReply{Taken: s.n.tryEnqueue(controller.JobChanged{Job: id})}, nil
}

// Accept stores a submission for a node that can't.
func (s *peerServer) Accept(ctx context.Context, r *meshpb.AcceptRequest) (*meshpb.AcceptReply, error) {
	if len(r.Submission) > api.MaxBodyBytes {
		return &meshpb.AcceptReply{Status: http.StatusBadRequest}, nil
	}
	_, ans := s.n.acceptSubmission(ctx, r.Submission, false)
	return &meshpb.AcceptReply{Status: uint32(ans.Code), Body: []byte(ans.Status.State)}, nil
}
