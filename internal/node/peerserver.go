package node

import (
	"context"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/metrics"
	"badgerbay/internal/peer"
	"badgerbay/internal/peer/meshpb"
)

// peerServer serves the gRPC calls of other nodes.
type peerServer struct {
	meshpb.UnimplementedMeshServer
	metrics *metrics.Metrics
	core    *coreActor
	store   *stateService
	batches *batchServer
	users   *userAPI
}

// Ask answers a status query or a cancel request that another node forwards.
func (s *peerServer) Ask(ctx context.Context, r *meshpb.AskRequest) (*meshpb.AskReply, error) {
	id, err := ident.ParseJobID(r.Job)
	if err != nil || !s.core.view().leads() {
		return &meshpb.AskReply{Outcome: meshpb.Outcome_OUTCOME_NOT_LEADER}, nil
	}
	return encodeJobReply(s.core.queryJob(ctx, id, r.Withdraw)), nil
}

// Relay returns the core's reply to a batch, which carries a quota holder's request, a request for a delegation grant,
// or heartbeats of workers that cannot reach this node.
func (s *peerServer) Relay(ctx context.Context, r *meshpb.RelayRequest) (*meshpb.RelayReply, error) {
	batch, err := peer.DecodeBatch(r.Batch)
	if err != nil {
		s.metrics.MalformedBatches.Inc()
		return nil, err
	}
	reply := &peer.BatchReply{ID: batch.ID}
	switch {
	case batch.Quota != nil:
		reply.Quota = s.core.requestQuota(ctx, batch.Quota)
	case batch.WantsDelegation:
		reply.Delegation = s.core.delegationStatus(ctx, batch.Node)
	default:
		reply = s.batches.serve(ctx, batch)
	}
	data, err := msgpack.Marshal(reply)
	return &meshpb.RelayReply{Answers: data}, err
}

// Health reports whether the state service answers this node, and which node leads in this node's view.
func (s *peerServer) Health(context.Context, *meshpb.HealthRequest) (*meshpb.HealthReply, error) {
	return &meshpb.HealthReply{StateReached: s.store.respondedWithin(storeSilenceThreshold), Leader: s.core.view().leader}, nil
}

// Notice informs the core that another node has stored a job. Taken is set only if this node leads and its core has
// room for the input.
func (s *peerServer) Notice(_ context.Context, r *meshpb.NoticeRequest) (*meshpb.NoticeReply, error) {
	id, err := ident.ParseJobID(r.Job)
	if err != nil || !s.core.view().leads() {
		return &meshpb.NoticeReply{}, nil
	}
	return &meshpb.NoticeReply{Taken: s.core.tryPost(controller.JobChanged{Job: id})}, nil
}

// Accept stores a submission for a node that cannot store it itself.
func (s *peerServer) Accept(ctx context.Context, r *meshpb.AcceptRequest) (*meshpb.AcceptReply, error) {
	if len(r.Submission) > api.MaxBodyBytes {
		return &meshpb.AcceptReply{Status: http.StatusBadRequest}, nil
	}
	_, response := s.users.submitLocally(ctx, r.Submission)
	return &meshpb.AcceptReply{Status: uint32(response.Code), Body: []byte(response.Status.State)}, nil
}

// delegationStatus returns the core's reply to a peer that requests a lease delegation, or nil if the core is
// overloaded or ctx has ended.
func (a *coreActor) delegationStatus(ctx context.Context, node string) *peer.DelegationStatus {
	reply, err := request(ctx, a, func(to controller.Responder[controller.DelegationReply]) controller.Input {
		return controller.DelegationRequest{Responder: to, Node: node}
	})
	if err != nil {
		return nil
	}
	return peer.PackDelegationStatus(reply.Status)
}
