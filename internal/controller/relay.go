package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/mesh"
	"badgerbay/internal/relay"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
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
func (n *Node) relayHeartbeat(ctx context.Context, leader string, r *fleet.Heartbeat) HeartbeatReply {
	refused := HeartbeatReply{Code: http.StatusServiceUnavailable}
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

func replyOfAnswer(a mesh.HeartbeatReply) HeartbeatReply {
	return HeartbeatReply{Code: a.Code, Epoch: a.Epoch, Commands: a.UnpackCommands(), Relayed: true}
}

func (n *Node) relayToPeer(ctx context.Context, leader string, r *fleet.Heartbeat) (mesh.HeartbeatReply, error) {
	if !n.peerReachable(leader) {
		return mesh.HeartbeatReply{}, errors.New("the leader was not reached a moment ago")
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: n.settings.NodeName, Heartbeats: []mesh.Heartbeat{mesh.PackHeartbeat(r)}})
	if err != nil {
		return mesh.HeartbeatReply{}, err
	}
	reply, err := n.peers.RelayBatch(ctx, leader, data)
	n.notePeerResult(leader, err)
	if err != nil {
		return mesh.HeartbeatReply{}, err
	}
	answers, err := mesh.DecodeReply(reply)
	if err != nil || len(answers.Heartbeats) != 1 {
		return mesh.HeartbeatReply{}, errors.New("no answer")
	}
	return answers.Heartbeats[0], nil
}

// relayCancel cancels a job through the state service.
func (n *Node) relayCancel(ctx context.Context, id unit.JobID) userapi.LeaderReplied {
	unknown := userapi.LeaderReplied{Outcome: userapi.NoLeader}
	item := relay.NewCancelRequest(id, n.clock.Now().Add(heartbeatBudget))
	if !n.enqueueRelay(item) {
		return unknown
	}
	select {
	case s := <-item.CancelReply:
		if s.State == "" {
			return unknown
		}
		return userapi.LeaderReplied{Outcome: userapi.JobFound, Status: userapi.Status{State: userapi.JobState(s.State), DoneTasks: s.DoneTasks}}
	case <-ctx.Done():
		return unknown
	}
}
