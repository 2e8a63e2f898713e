package node

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/api"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

func (n *Node) handleSubmit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, api.MaxBodyBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		n.writeAnswer(w, "", api.Response{Code: http.StatusBadRequest})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitBudget)
	defer cancel()
	begun := n.clock.Now()
	id, ans := n.acceptSubmission(ctx, data, true)
	if took := n.clock.Now().Sub(begun); ans.Code >= http.StatusTooManyRequests || took > slowSubmissionThreshold {
		n.log.Debug("submission not taken soon", "job", id, "status", ans.Code, "took", took, "retry", ans.RetryAfter, "state_reached", n.stateReachable(time.Second))
	}
	n.writeAnswer(w, id, ans)
}

// hedgeDelay is how long a submission waits for the state service before
// another node is asked to store it as well.
const hedgeDelay = 250 * time.Millisecond

// hedgeRefusalDelay is how long a submission that this node refuses waits for another
// to take it, at most: a refusal must come at once.
const hedgeRefusalDelay = 400 * time.Millisecond

// acceptSubmission decides a submission. One that this node can't store at once, for
// want of the state service or of its share of the writes, is handed to the
// others too: a job is stored only if it does not exist, so whichever node
// comes first stores it, and the rest find it there.
func (n *Node) acceptSubmission(ctx context.Context, data []byte, forward bool) (ident.JobID, api.Response) {
	sub, err := api.DecodeSubmission(data)
	if err != nil {
		n.log.Debug("submission refused", "err", err)
		return "", api.Response{Code: http.StatusBadRequest}
	}
	req := api.NewSubmitRequest(sub, n.validationRules(), n.clock.Wall().UnixMilli())
	if !forward {
		return sub.ID, n.runRequest(ctx, sub.ID, req)
	}
	own := make(chan api.Response, 1)
	go func() { own <- n.runRequest(ctx, sub.ID, req) }()
	wait := hedgeDelay
	if !n.stateReachable(time.Second) {
		wait = 0
	}
	select {
	case ans := <-own:
		if ans.Code != http.StatusServiceUnavailable {
			return sub.ID, ans
		}
		own <- ans
	case <-time.After(wait):
	}
	return sub.ID, n.hedgeSubmission(ctx, data, own)
}

// hedgeSubmission hands a submission to the others and answers with what comes first
// that accepts it; a refusal counts only once nobody is left to ask.
func (n *Node) hedgeSubmission(ctx context.Context, data []byte, own <-chan api.Response) api.Response {
	others := make(chan api.Response, 1)
	go func() { others <- n.forwardSubmission(ctx, data) }()
	refusal := api.Response{Code: http.StatusServiceUnavailable, RetryAfter: time.Second}
	var last <-chan time.Time
	for range 2 {
		select {
		case ans := <-own:
			if ans.Code != http.StatusServiceUnavailable {
				return ans
			}
			refusal, last = ans, time.After(hedgeRefusalDelay)
		case ans := <-others:
			if ans.Code == http.StatusOK || ans.Code == http.StatusCreated {
				return ans
			}
		case <-last:
			return refusal
		case <-ctx.Done():
			return refusal
		}
	}
	return refusal
}

// slowSubmissionThreshold is how long a submission may take without being logged.
const slowSubmissionThreshold = 500 * time.Millisecond

// maxForwardTargets bounds how many others are asked to store a submission.
const maxForwardTargets = 2

// forwardTargets are the nodes that may store a submission that this one can't: the
// others, beginning with a different one each time, so that none gets them all.
// In a flood only one is asked. All users may have come to one node, and what is
// left at the others must not go to waste: some ran out of the minute for which
// they try.
func (n *Node) forwardTargets() []string {
	names := n.peers.Names()
	if len(names) == 0 {
		return nil
	}
	first := int(n.forwardCount.Add(1)) % len(names)
	out := append(slices.Clone(names[first:]), names[:first]...)
	if n.retryPacer.Overloaded() {
		return out[:1]
	}
	return out
}

// forwardSubmission asks others that the mesh reaches to store a submission.
func (n *Node) forwardSubmission(ctx context.Context, data []byte) api.Response {
	asked := 0
	for _, name := range n.forwardTargets() {
		if asked == maxForwardTargets || !n.peerReachable(name) {
			continue
		}
		asked++
		reply, err := n.peers.ForwardSubmission(ctx, name, data)
		if ctx.Err() == nil {
			n.notePeerResult(name, err)
		}
		if err == nil && (reply.Status == http.StatusOK || reply.Status == http.StatusCreated) {
			return api.Response{Code: int(reply.Status), Status: api.Status{State: api.JobState(reply.Body)}}
		}
	}
	return api.Response{Code: http.StatusServiceUnavailable}
}

func (n *Node) validationRules() *api.AdmissionRules {
	return &api.AdmissionRules{Teams: n.teams, Zones: n.settings.Params.Zones, MachineTypes: n.view.Load().machineTypes, StateLimits: n.settings.Params.StateService.Strictest()}
}

// createJob stores a job if it does not exist. Only refusals for want of changes
// count for the pace: others may store what the state service refuses this node.
func (n *Node) createJob(ctx context.Context, id ident.JobID, req *api.Request, rec *jobs.Record) api.CreateResult {
	if now := n.clock.Now(); !n.budget.TakeWrites(now, kvstore.PurposeSubmission, 1) {
		req.SetRetryAfter(n.budget.WriteDelay(now, kvstore.PurposeSubmission) + n.retryPacer.Rejected())
		return api.Rejected
	}
	n.retryPacer.Accepted()
	key := jobs.Key(id)
	_, err := n.store.Commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, ModRevision: 0}},
		Operations: []kvstore.Operation{{SetKey: key, Value: rec}},
	})
	var conflict *kvstore.ConflictError
	switch n.noteStoreResult(err); {
	case err == nil:
		go n.notifyLeader(id)
		n.quotaHolder.tryEnqueue(id, &rec.Spec)
		return api.Stored
	case errors.As(err, &conflict):
		return api.AlreadyExists
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		return api.Indeterminate
	}
	return api.Rejected
}

// notifyLeader tells the leader of a new job. If the notice is lost, the leader's
// watch finds the job a moment later.
func (n *Node) notifyLeader(id ident.JobID) {
	v := n.view.Load()
	if v.epoch != 0 {
		n.tryEnqueue(controller.JobChanged{Job: id})
		return
	}
	if v.leader == "" || v.leader == n.settings.NodeName {
		return
	}
	if err := n.peers.NotifyJobChanged(context.Background(), v.leader, string(id)); err != nil {
		n.log.Debug("notice lost", "job", id, "err", err)
	}
}
