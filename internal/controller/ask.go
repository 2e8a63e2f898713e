package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/intake"
	"badgerbay/internal/mesh/meshpb"
	"badgerbay/internal/unit"
)

func (n *Node) ask(kind intake.Kind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id, err := unit.ParseJobID(ps.ByName("id"))
		if err != nil {
			n.answer(w, "", intake.Answer{Code: http.StatusNotFound})
			return
		}
		budget := pollBudget
		if kind == intake.Withdraw {
			budget = submitBudget
		}
		ctx, cancel := context.WithTimeout(r.Context(), budget)
		defer cancel()
		begun := n.clock.Now()
		ans := n.drive(ctx, id, intake.NewAsk(kind))
		// A node that stood still meanwhile may hold an answer that is older
		// than what another node has said since.
		if n.clock.Now().Sub(begun) > budget {
			ans = intake.Answer{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}
		n.answer(w, id, ans)
	}
}

// drive carries out what a request's machine asks for until it answers.
func (n *Node) drive(ctx context.Context, id unit.JobID, req *intake.Request) intake.Answer {
	var in intake.Input = intake.Begin{}
	for {
		switch act := req.Step(in).(type) {
		case intake.Answer:
			return act
		case intake.Create:
			in = intake.Created{Result: n.create(ctx, id, req, act.Record)}
		case intake.Load:
			in = n.loadJob(ctx, id)
		case intake.AskLeader:
			in = n.askLeader(ctx, id, act.Withdraw)
		}
	}
}

func (n *Node) loadJob(ctx context.Context, id unit.JobID) intake.Loaded {
	if !n.budget.TakeRequest(n.clock.Now()) {
		return intake.Loaded{}
	}
	item, err := n.store.Get(ctx, checkpoint.Key(id))
	if n.note(err) != nil {
		return intake.Loaded{}
	}
	if item.Stamp == 0 {
		return intake.Loaded{OK: true}
	}
	rec, err := checkpoint.Decode(item.Value)
	if err != nil {
		n.log.Error("job record can't be read", "job", id, "err", err)
		return intake.Loaded{}
	}
	return intake.Loaded{OK: true, Record: rec}
}

// askLeader asks the core if this node leads, and the leader's node otherwise.
func (n *Node) askLeader(ctx context.Context, id unit.JobID, withdraw bool) intake.Told {
	v := n.view.Load()
	leader := n.leader()
	if v.epoch != 0 {
		t := n.askCore(ctx, id, withdraw)
		if t.Outcome != intake.NoLeader || leader == n.set.Label {
			return t
		}
	}
	if leader == "" || leader == n.set.Label {
		return intake.Told{Outcome: intake.NoLeader}
	}
	if n.meshWorks(leader) {
		timeout := askTimeout
		if withdraw {
			timeout = withdrawTimeout
		}
		reply, err := n.peers.Ask(ctx, leader, &meshpb.AskRequest{Job: string(id), Withdraw: withdraw}, timeout)
		n.noteMesh(leader, err)
		if err == nil {
			return told(reply)
		}
		n.log.Debug("leader not reached", "leader", leader, "err", err)
	}
	if withdraw {
		return n.relayAsk(ctx, id)
	}
	return intake.Told{Outcome: intake.NoLeader}
}

// leader is the node that leads, as far as this one knows: by the state
// service, or by the others while that does not answer.
func (n *Node) leader() string {
	if hint := n.health.hint.Load().(string); hint != "" {
		return hint
	}
	return n.view.Load().leader
}

func told(r *meshpb.AskReply) intake.Told {
	switch r.Outcome {
	case meshpb.Outcome_OUTCOME_KNOWN:
		return intake.Told{Outcome: intake.Known, Status: intake.Status{
			Standing: intake.Standing(r.Standing), Done: int(r.Done), Running: int(r.Running)}}
	case meshpb.Outcome_OUTCOME_ABSENT:
		return intake.Told{Outcome: intake.Absent}
	case meshpb.Outcome_OUTCOME_BUSY:
		return intake.Told{Outcome: intake.Busy}
	}
	return intake.Told{Outcome: intake.NoLeader}
}

// askCore asks the core of this node. What it answers counts only as long as
// the node is entitled, so that is checked once more as the answer leaves.
func (n *Node) askCore(ctx context.Context, id unit.JobID, withdraw bool) intake.Told {
	ticket := make(chan ReplyAsk, 1)
	if !n.offer(Asked{Ticket: ticket, Job: id, Withdraw: withdraw}) {
		return intake.Told{Outcome: intake.Busy}
	}
	select {
	case reply := <-ticket:
		if reply.Outcome == intake.Known && !n.clock.Now().Before(reply.Until) {
			return intake.Told{Outcome: intake.NoLeader}
		}
		return intake.Told{Outcome: reply.Outcome, Status: reply.Status}
	case <-ctx.Done():
		return intake.Told{Outcome: intake.Busy}
	}
}
