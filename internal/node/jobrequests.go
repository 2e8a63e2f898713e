package node

import (
	"context"
	"net/http"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/api"
	"badgerbay/internal/jobs"
	"badgerbay/internal/peer/meshpb"
)

func (n *Node) handleJobRequest(kind api.RequestKind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		id, err := ident.ParseJobID(ps.ByName("id"))
		if err != nil {
			n.writeAnswer(w, "", api.Response{Code: http.StatusNotFound})
			return
		}
		budget := statusBudget
		if kind == api.Cancel {
			budget = submitBudget
		}
		ctx, cancel := context.WithTimeout(r.Context(), budget)
		defer cancel()
		begun := n.clock.Now()
		ans := n.runRequest(ctx, id, api.NewJobRequest(kind))
		// A node that stood still meanwhile may hold an answer that is older
		// than what another node has said since.
		if n.clock.Now().Sub(begun) > budget {
			ans = api.Response{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
		}
		n.writeAnswer(w, id, ans)
	}
}

// runRequest carries out what a request's machine asks for until it answers.
func (n *Node) runRequest(ctx context.Context, id ident.JobID, req *api.Request) api.Response {
	var in api.Input = api.Begin{}
	for {
		switch act := req.Step(in).(type) {
		case api.Response:
			return act
		case api.CreateRecord:
			in = api.RecordCreated{Result: n.createJob(ctx, id, req, act.Record)}
		case api.LoadRecord:
			in = n.loadJob(ctx, id)
		case api.QueryLeader:
			in = n.queryLeader(ctx, id, act.Cancel)
		}
	}
}

func (n *Node) loadJob(ctx context.Context, id ident.JobID) api.RecordLoaded {
	if !n.budget.TakeRequest(n.clock.Now()) {
		return api.RecordLoaded{}
	}
	item, err := n.store.Get(ctx, jobs.Key(id))
	if n.noteStoreResult(err) != nil {
		return api.RecordLoaded{}
	}
	if item.ModRevision == 0 {
		return api.RecordLoaded{OK: true}
	}
	rec, err := jobs.Decode(item.Value)
	if err != nil {
		n.log.Error("job record can't be read", "job", id, "err", err)
		return api.RecordLoaded{}
	}
	return api.RecordLoaded{OK: true, Record: rec}
}

// queryLeader asks the core if this node leads, and the leader's node otherwise.
func (n *Node) queryLeader(ctx context.Context, id ident.JobID, cancelJob bool) api.LeaderReplied {
	v := n.view.Load()
	leader := n.leader()
	if v.epoch != 0 {
		t := n.queryCore(ctx, id, cancelJob)
		if t.Outcome != api.NoLeader || leader == n.settings.NodeName {
			return t
		}
	}
	if leader == "" || leader == n.settings.NodeName {
		return api.LeaderReplied{Outcome: api.NoLeader}
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
	return api.LeaderReplied{Outcome: api.NoLeader}
}

// leader is the node that leads, as far as this one knows: by the state
// service, or by the others while that does not answer.
func (n *Node) leader() string {
	if hint := n.health.leaderHint.Load().(string); hint != "" {
		return hint
	}
	return n.view.Load().leader
}

func replyOf(r *meshpb.AskReply) api.LeaderReplied {
	switch r.Outcome {
	case meshpb.Outcome_OUTCOME_KNOWN:
		return api.LeaderReplied{Outcome: api.JobFound, Status: api.Status{
			State: api.JobState(r.Standing), DoneTasks: int(r.Done), RunningTasks: int(r.Running)}}
	case meshpb.Outcome_OUTCOME_ABSENT:
		return api.LeaderReplied{Outcome: api.JobNotFound}
	case meshpb.Outcome_OUTCOME_BUSY:
		return api.LeaderReplied{Outcome: api.LeaderBusy}
	}
	return api.LeaderReplied{Outcome: api.NoLeader}
}

// queryCore asks the core of this node. What it answers counts only as long as
// the node is entitled, so that is checked once more as the answer leaves.
func (n *Node) queryCore(ctx context.Context, id ident.JobID, cancelJob bool) api.LeaderReplied {
	replies := newReplyChannel[controller.JobReply]()
	if !n.tryEnqueue(controller.JobRequest{Responder: replies, Job: id, Cancel: cancelJob}) {
		return api.LeaderReplied{Outcome: api.LeaderBusy}
	}
	select {
	case reply := <-replies:
		if reply.Outcome == api.JobFound && !n.clock.Now().Before(reply.ValidUntil) {
			return api.LeaderReplied{Outcome: api.NoLeader}
		}
		return api.LeaderReplied{Outcome: reply.Outcome, Status: reply.Status}
	case <-ctx.Done():
		return api.LeaderReplied{Outcome: api.LeaderBusy}
	}
}
