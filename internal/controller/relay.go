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
	// relayEvery is the least time between two batches through the state
	// service; relayWait bounds the wait for the answers to one, and relayGather
	// the leader's wait for the core to answer what it holds.
	relayEvery  = 500 * time.Millisecond
	relayWait   = 2 * time.Second
	relayGather = 400 * time.Millisecond
)

// relayReport brings a report to the leader: over the mesh, or, when that is
// cut, through the state service.
func (n *Node) relayReport(ctx context.Context, leader string, r *fleet.Heartbeat) HeartbeatReply {
	refused := HeartbeatReply{Code: http.StatusServiceUnavailable}
	if a, err := n.relayMesh(ctx, leader, r); err == nil {
		return fromAnswer(a)
	}
	n.router.RecordPeerFailure(r.Machine)
	item := relay.NewHeartbeatRequest(r, n.clock.Now().Add(reportBudget))
	if !n.queueRelay(item) {
		return refused
	}
	select {
	case a := <-item.HeartbeatReply:
		return fromAnswer(a)
	case <-ctx.Done():
		return refused
	}
}

// queueRelay hands an item to the actor that writes batches, unless too many wait.
func (n *Node) queueRelay(item relay.PendingRequest) bool {
	select {
	case n.relayOut <- item:
		return true
	default:
		return false
	}
}

func fromAnswer(a mesh.HeartbeatReply) HeartbeatReply {
	return HeartbeatReply{Code: a.Code, Epoch: a.Epoch, Commands: a.UnpackCommands(), Relayed: true}
}

func (n *Node) relayMesh(ctx context.Context, leader string, r *fleet.Heartbeat) (mesh.HeartbeatReply, error) {
	if !n.meshWorks(leader) {
		return mesh.HeartbeatReply{}, errors.New("the leader was not reached a moment ago")
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: n.set.NodeName, Heartbeats: []mesh.Heartbeat{mesh.PackHeartbeat(r)}})
	if err != nil {
		return mesh.HeartbeatReply{}, err
	}
	reply, err := n.peers.RelayBatch(ctx, leader, data)
	n.noteMesh(leader, err)
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
	item := relay.NewCancelRequest(id, n.clock.Now().Add(reportBudget))
	if !n.queueRelay(item) {
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
