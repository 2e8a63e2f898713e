package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/mesh/meshpb"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

func (n *Node) ask(kind userapi.Kind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id, err := unit.ParseJobID(ps.ByName("id"))
		if err != nil {
			n.answer(w, "", userapi.Answer{Code: http.StatusNotFound})
			return
		}
		budget := pollBudget
		if kind == userapi.Cancel {
			budget = submitBudget
		}
		ctx, cancel := context.WithTimeout(r.Context(), budget)
		defer cancel()
		begun := n.clock.Now()
		ans := n.drive(ctx, id, userapi.NewAsk(kind))
		// A node that stood still meanwhile may hold an answer that is older
		// than what another node has said since.
		if n.clock.Now().Sub(begun) > budget {
			ans = userapi.Answer{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}
		n.answer(w, id, ans)
	}
}

// drive carries out what a request's machine asks for until it answers.
func (n *Node) drive(ctx context.Context, id unit.JobID, req *userapi.Request) userapi.Answer {
	var in userapi.Input = userapi.Begin{}
	for {
		switch act := req.Step(in).(type) {
		case userapi.Answer:
			return act
		case userapi.Create:
			in = userapi.Created{Result: n.create(ctx, id, req, act.Record)}
		case userapi.Load:
			in = n.loadJob(ctx, id)
		case userapi.AskLeader:
			in = n.askLeader(ctx, id, act.Cancel)
		}
	}
}

func (n *Node) loadJob(ctx context.Context, id unit.JobID) userapi.Loaded {
	if !n.budget.TakeRequest(n.clock.Now()) {
		return userapi.Loaded{}
	}
	item, err := n.store.Get(ctx, checkpoint.Key(id))
	if n.note(err) != nil {
		return userapi.Loaded{}
	}
	if item.ModRevision == 0 {
		return userapi.Loaded{OK: true}
	}
	rec, err := checkpoint.Decode(item.Value)
	if err != nil {
		n.log.Error("job record can't be read", "job", id, "err", err)
		return userapi.Loaded{}
	}
	return userapi.Loaded{OK: true, Record: rec}
}

// askLeader asks the core if this node leads, and the leader's node otherwise.
func (n *Node) askLeader(ctx context.Context, id unit.JobID, cancelJob bool) userapi.Told {
	v := n.view.Load()
	leader := n.leader()
	if v.epoch != 0 {
		t := n.askCore(ctx, id, cancelJob)
		if t.Outcome != userapi.NoLeader || leader == n.set.NodeName {
			return t
		}
	}
	if leader == "" || leader == n.set.NodeName {
		return userapi.Told{Outcome: userapi.NoLeader}
	}
	if n.meshWorks(leader) {
		timeout := askTimeout
		if cancelJob {
			timeout = cancelTimeout
		}
		reply, err := n.peers.Ask(ctx, leader, &meshpb.AskRequest{Job: string(id), Withdraw: cancelJob}, timeout)
		n.noteMesh(leader, err)
		if err == nil {
			return told(reply)
		}
		n.log.Debug("leader not reached", "leader", leader, "err", err)
	}
	if cancelJob {
		return n.relayCancel(ctx, id)
	}
	return userapi.Told{Outcome: userapi.NoLeader}
}

// leader is the node that leads, as far as this one knows: by the state
// service, or by the others while that does not answer.
func (n *Node) leader() string {
	if hint := n.health.hint.Load().(string); hint != "" {
		return hint
	}
	return n.view.Load().leader
}

func told(r *meshpb.AskReply) userapi.Told {
	switch r.Outcome {
	case meshpb.Outcome_OUTCOME_KNOWN:
		return userapi.Told{Outcome: userapi.Known, Status: userapi.Status{
			Standing: userapi.Standing(r.Standing), Done: int(r.Done), Running: int(r.Running)}}
	case meshpb.Outcome_OUTCOME_ABSENT:
		return userapi.Told{Outcome: userapi.Absent}
	case meshpb.Outcome_OUTCOME_BUSY:
		return userapi.Told{Outcome: userapi.Busy}
	}
	return userapi.Told{Outcome: userapi.NoLeader}
}

// askCore asks the core of this node. What it answers counts only as long as
// the node is entitled, so that is checked once more as the answer leaves.
func (n *Node) askCore(ctx context.Context, id unit.JobID, cancelJob bool) userapi.Told {
	ticket := make(chan ReplyAsk, 1)
	if !n.offer(Asked{Ticket: ticket, Job: id, Cancel: cancelJob}) {
		return userapi.Told{Outcome: userapi.Busy}
	}
	select {
	case reply := <-ticket:
		if reply.Outcome == userapi.Known && !n.clock.Now().Before(reply.Until) {
			return userapi.Told{Outcome: userapi.NoLeader}
		}
		return userapi.Told{Outcome: reply.Outcome, Status: reply.Status}
	case <-ctx.Done():
		return userapi.Told{Outcome: userapi.Busy}
	}
}
