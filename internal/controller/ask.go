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

func (n *Node) handleJobRequest(kind userapi.RequestKind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id, err := unit.ParseJobID(ps.ByName("id"))
		if err != nil {
			n.writeAnswer(w, "", userapi.Response{Code: http.StatusNotFound})
			return
		}
		budget := statusBudget
		if kind == userapi.Cancel {
			budget = submitBudget
		}
		ctx, cancel := context.WithTimeout(r.Context(), budget)
		defer cancel()
		begun := n.clock.Now()
		ans := n.runRequest(ctx, id, userapi.NewJobRequest(kind))
		// A node that stood still meanwhile may hold an answer that is older
		// than what another node has said since.
		if n.clock.Now().Sub(begun) > budget {
			ans = userapi.Response{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}
		n.writeAnswer(w, id, ans)
	}
}

// runRequest carries out what a request's machine asks for until it answers.
func (n *Node) runRequest(ctx context.Context, id unit.JobID, req *userapi.Request) userapi.Response {
	var in userapi.Input = userapi.Begin{}
	for {
		switch act := req.Step(in).(type) {
		case userapi.Response:
			return act
		case userapi.CreateRecord:
			in = userapi.RecordCreated{Result: n.createJob(ctx, id, req, act.Record)}
		case userapi.LoadRecord:
			in = n.loadJob(ctx, id)
		case userapi.QueryLeader:
			in = n.queryLeader(ctx, id, act.Cancel)
		}
	}
}

func (n *Node) loadJob(ctx context.Context, id unit.JobID) userapi.RecordLoaded {
	if !n.budget.TakeRequest(n.clock.Now()) {
		return userapi.RecordLoaded{}
	}
	item, err := n.store.Get(ctx, checkpoint.Key(id))
	if n.noteStoreResult(err) != nil {
		return userapi.RecordLoaded{}
	}
	if item.ModRevision == 0 {
		return userapi.RecordLoaded{OK: true}
	}
	rec, err := checkpoint.Decode(item.Value)
	if err != nil {
		n.log.Error("job record can't be read", "job", id, "err", err)
		return userapi.RecordLoaded{}
	}
	return userapi.RecordLoaded{OK: true, Record: rec}
}

// queryLeader asks the core if this node leads, and the leader's node otherwise.
func (n *Node) queryLeader(ctx context.Context, id unit.JobID, cancelJob bool) userapi.LeaderReplied {
	v := n.view.Load()
	leader := n.leader()
	if v.epoch != 0 {
		t := n.queryCore(ctx, id, cancelJob)
		if t.Outcome != userapi.NoLeader || leader == n.settings.NodeName {
			return t
		}
	}
	if leader == "" || leader == n.settings.NodeName {
		return userapi.LeaderReplied{Outcome: userapi.NoLeader}
	}
	if n.peerReachable(leader) {
		timeout := statusQueryTimeout
		if cancelJob {
			timeout = cancelRequestTimeout
		}
		reply, err := n.peers.QueryJob(ctx, leader, &meshpb.AskRequest{Job: string(id), Withdraw: cancelJob}, timeout)
		n.notePeerResult(leader, err)
		if err == nil {
			return replyOf(reply)
		}
		n.log.Debug("leader not reached", "leader", leader, "err", err)
	}
	if cancelJob {
		return n.relayCancel(ctx, id)
	}
	return userapi.LeaderReplied{Outcome: userapi.NoLeader}
}

// leader is the node that leads, as far as this one knows: by the state
// service, or by the others while that does not answer.
func (n *Node) leader() string {
	if hint := n.health.leaderHint.Load().(string); hint != "" {
		return hint
	}
	return n.view.Load().leader
}

func replyOf(r *meshpb.AskReply) userapi.LeaderReplied {
	switch r.Outcome {
	case meshpb.Outcome_OUTCOME_KNOWN:
		return userapi.LeaderReplied{Outcome: userapi.JobFound, Status: userapi.Status{
			State: userapi.JobState(r.Standing), DoneTasks: int(r.Done), RunningTasks: int(r.Running)}}
	case meshpb.Outcome_OUTCOME_ABSENT:
		return userapi.LeaderReplied{Outcome: userapi.JobNotFound}
	case meshpb.Outcome_OUTCOME_BUSY:
		return userapi.LeaderReplied{Outcome: userapi.LeaderBusy}
	}
	return userapi.LeaderReplied{Outcome: userapi.NoLeader}
}

// queryCore asks the core of this node. What it answers counts only as long as
// the node is entitled, so that is checked once more as the answer leaves.
func (n *Node) queryCore(ctx context.Context, id unit.JobID, cancelJob bool) userapi.LeaderReplied {
	ticket := make(chan JobReply, 1)
	if !n.tryEnqueue(JobRequest{Ticket: ticket, Job: id, Cancel: cancelJob}) {
		return userapi.LeaderReplied{Outcome: userapi.LeaderBusy}
	}
	select {
	case reply := <-ticket:
		if reply.Outcome == userapi.JobFound && !n.clock.Now().Before(reply.ValidUntil) {
			return userapi.LeaderReplied{Outcome: userapi.NoLeader}
		}
		return userapi.LeaderReplied{Outcome: reply.Outcome, Status: reply.Status}
	case <-ctx.Done():
		return userapi.LeaderReplied{Outcome: userapi.LeaderBusy}
	}
}
