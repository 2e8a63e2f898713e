package node

import (
	"context"
	"errors"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/api"
	"badgerbay/internal/fleet"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
)

const (
	// relayBatchInterval is the least time between two batches through the state
	// service; relayWait bounds the wait for the answers to one, and relayGather
	// the leader's wait for the core to answer what it holds.
	relayBatchInterval = 500 * time.Millisecond
	relayAnswerTimeout = 2 * time.Second
	relayServeTimeout  = 400 * time.Millisecond
)

// relayHeartbeat brings a report to the leader: over the mesh, or, when that is
// cut, through the state service.
func (n *Node) relayHeartbeat(ctx context.Context, leader string, r *fleet.Heartbeat) controller.HeartbeatReply {
	refused := controller.HeartbeatReply{Outcome: controller.HeartbeatUnavailable}
	if a, err := n.relayToPeer(ctx, leader, r); err == nil {
		return replyOfAnswer(a)
	}
	n.router.RecordPeerFailure(r.Machine)
	item := relay.NewHeartbeatRequest(r, n.clock.Now().Add(heartbeatBudget))
	if !n.enqueueRelay(item) {
		return refused
	}
	select {
	case a := <-item.HeartbeatReply:
		return replyOfAnswer(a)
	case <-ctx.Done():
		return refused
	}
}

// enqueueRelay hands an item to the actor that writes batches, unless too many wait.
func (n *Node) enqueueRelay(item relay.PendingRequest) bool {
	select {
	case n.relayQueue <- item:
		return true
	default:
		return false
	}
}

func replyOfAnswer(a peer.HeartbeatReply) controller.HeartbeatReply {
	return controller.HeartbeatReply{Outcome: outcomeOfStatus(a.Code), Epoch: a.Epoch, Commands: a.UnpackCommands(), Relayed: true}
}

func (n *Node) relayToPeer(ctx context.Context, leader string, r *fleet.Heartbeat) (peer.HeartbeatReply, error) {
	if !n.peerReachable(leader) {
		return peer.HeartbeatReply{}, errors.New("the leader was not reached a moment ago")
	}
	data, err := msgpack.Marshal(peer.Batch{Node: n.settings.NodeName, Heartbeats: []peer.Heartbeat{peer.PackHeartbeat(r)}})
	if err != nil {
		return peer.HeartbeatReply{}, err
	}
	reply, err := n.peers.RelayBatch(ctx, leader, data)
	n.notePeerResult(leader, err)
	if err != nil {
		return peer.HeartbeatReply{}, err
	}
	answers, err := peer.DecodeReply(reply)
	if err != nil || len(answers.Heartbeats) != 1 {
		return peer.HeartbeatReply{}, errors.New("no answer")
	}
	return answers.Heartbeats[0], nil
}

// relayCancel cancels a job through the state service.
func (n *Node) relayCancel(ctx context.Context, id ident.JobID) api.LeaderReplied {
	unknown := api.LeaderReplied{Outcome: api.NoLeader}
	item := relay.NewCancelRequest(id, n.clock.Now().Add(heartbeatBudget))
	if !n.enqueueRelay(item) {
		return unknown
	}
	select {
	case s := <-item.CancelReply:
		if s.State == "" {
			return unknown
		}
		return api.LeaderReplied{Outcome: api.JobFound, Status: api.Status{State: api.JobState(s.State), DoneTasks: s.DoneTasks}}
	case <-ctx.Done():
		return unknown
	}
}
