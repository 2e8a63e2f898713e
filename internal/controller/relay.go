package controller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/fleet"
	"badgerbay/internal/mesh"
	"badgerbay/internal/unit"
)

const (
	// sentBack: a worker that comes back so soon after it was sent to the
	// leader could not reach it, and is relayed.
	sentBack = 20 * time.Second
	// tryLeader is how long a worker is relayed before it is sent to the
	// leader once more.
	tryLeader = 45 * time.Second
	// relayEvery is the least time between two batches through the state
	// service; relayWait bounds the wait for the answers to one.
	relayEvery  = 500 * time.Millisecond
	relayWait   = 2 * time.Second
	relayGather = 400 * time.Millisecond
	// answerMargin is left free of a value by batches and answers: one eighth at
	// most.
	answerMargin = 1024
)

// relayedWorkers remembers which workers were sent to the leader, and which of them
// are relayed because they could not reach it.
type relayedWorkers struct {
	mu      sync.Mutex
	workers map[unit.MachineID]*relayed
}

type relayed struct {
	leader string
	sent   unit.Instant // to the leader
	since  unit.Instant // relayed since; 0: not
	late   bool         // the leader could not be reached over the mesh either
}

// direct tells whether a worker should be sent to the leader rather than be
// relayed. meshWorks tells whether the leader is reached over the mesh.
func (d *relayedWorkers) direct(now unit.Instant, id unit.MachineID, leader string, meshWorks func() bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workers == nil {
		d.workers = map[unit.MachineID]*relayed{}
	}
	if len(d.workers) > 10_000 {
		clear(d.workers)
	}
	w := d.workers[id]
	switch {
	case w == nil, w.leader != leader:
		// Where the last leader was out of reach, the next may not be.
		d.workers[id] = &relayed{leader: leader, sent: now}
		return true
	case w.since != 0:
		if now.Sub(w.since) < tryLeader || w.late && !meshWorks() {
			return false
		}
	case now.Sub(w.sent) < sentBack:
		w.since = now
		return false
	}
	w.sent, w.since, w.late = now, 0, false
	return true
}

func (d *relayedWorkers) noteLate(id unit.MachineID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.workers[id]; w != nil {
		w.late = true
	}
}

// relayItem waits for the leader's answer through the state service.
type relayItem struct {
	report *fleet.Report
	ask    unit.JobID
	answer chan mesh.Answer
	state  chan mesh.AskState
	until  unit.Instant
}

// relayReport brings a report to the leader: over the mesh, or, when that is
// cut, through the state service.
func (n *Node) relayReport(ctx context.Context, leader string, r *fleet.Report) ReplyReport {
	refused := ReplyReport{Code: http.StatusServiceUnavailable}
	if a, err := n.relayMesh(ctx, leader, r); err == nil {
		return fromAnswer(a)
	}
	n.relays.noteLate(r.Machine)
	item := relayItem{report: r, answer: make(chan mesh.Answer, 1), until: n.clock.Now().Add(reportBudget)}
	select {
	case n.relayOut <- item:
	default:
		return refused
	}
	select {
	case a := <-item.answer:
		return fromAnswer(a)
	case <-ctx.Done():
		return refused
	}
}

func fromAnswer(a mesh.Answer) ReplyReport {
	return ReplyReport{Code: a.Code, Epoch: a.Epoch, Orders: a.Unpack(), Relayed: true}
}

func (n *Node) relayMesh(ctx context.Context, leader string, r *fleet.Report) (mesh.Answer, error) {
	if !n.meshWorks(leader) {
		return mesh.Answer{}, errors.New("the leader was not reached a moment ago")
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: n.set.Label, Reports: []mesh.Report{mesh.Pack(r)}})
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
