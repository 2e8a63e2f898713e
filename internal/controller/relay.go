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
func (n *Node) relayReport(ctx context.Context, leader string, r *fleet.Heartbeat) ReplyReport {
	refused := ReplyReport{Code: http.StatusServiceUnavailable}
	if a, err := n.relayMesh(ctx, leader, r); err == nil {
		return fromAnswer(a)
	}
	n.router.MeshFailed(r.Machine)
	item := relay.NewReport(r, n.clock.Now().Add(reportBudget))
	if !n.queueRelay(item) {
		return refused
	}
	select {
	case a := <-item.Answer:
		return fromAnswer(a)
	case <-ctx.Done():
		return refused
	}
}

// queueRelay hands an item to the actor that writes batches, unless too many wait.
func (n *Node) queueRelay(item relay.Item) bool {
	select {
	case n.relayOut <- item:
		return true
	default:
		return false
	}
}

func fromAnswer(a mesh.Answer) ReplyReport {
	return ReplyReport{Code: a.Code, Epoch: a.Epoch, Orders: a.Unpack(), Relayed: true}
}

func (n *Node) relayMesh(ctx context.Context, leader string, r *fleet.Heartbeat) (mesh.Answer, error) {
	if !n.meshWorks(leader) {
		return mesh.Answer{}, errors.New("the leader was not reached a moment ago")
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: n.set.NodeName, Reports: []mesh.Report{mesh.Pack(r)}})
	if err != nil {
		return mesh.Answer{}, err
	}
	reply, err := n.peers.Relay(ctx, leader, data)
	n.noteMesh(leader, err)
	if err != nil {
		return mesh.Answer{}, err
	}
	answers, err := mesh.DecodeAnswers(reply)
	if err != nil || len(answers.Reports) != 1 {
		return mesh.Answer{}, errors.New("no answer")
	}
	return answers.Reports[0], nil
}

// relayCancel cancels a job through the state service.
func (n *Node) relayCancel(ctx context.Context, id unit.JobID) userapi.Told {
	unknown := userapi.Told{Outcome: userapi.NoLeader}
	item := relay.NewCancellation(id, n.clock.Now().Add(reportBudget))
	if !n.queueRelay(item) {
		return unknown
	}
	select {
	case s := <-item.State:
		if s.Standing == "" {
			return unknown
		}
		return userapi.Told{Outcome: userapi.Known, Status: userapi.Status{Standing: userapi.Standing(s.Standing), Done: s.Done}}
	case <-ctx.Done():
		return unknown
	}
}
