package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/api"
	"badgerbay/internal/ident"
)

const (
	// storeFreshness is how recently the state service must have answered this node for a submission to wait
	// hedgeDelay before it is forwarded to another node; otherwise it is forwarded at once.
	storeFreshness = time.Second
	// hedgeDelay is how long a submission waits for the state service before it is forwarded to another node, which
	// then tries to store it as well.
	hedgeDelay = 250 * time.Millisecond
	// hedgeRefusalTimeout bounds how long a submission that this node has refused waits for another node to accept
	// it: a refusal must reach the user promptly.
	hedgeRefusalTimeout = 400 * time.Millisecond
	// slowSubmissionThreshold is the duration above which a submission is logged.
	slowSubmissionThreshold = 500 * time.Millisecond
	// maxForwardTargets bounds the number of nodes to which a submission is forwarded.
	maxForwardTargets = 2
)

// handleSubmit handles the submission of a job.
func (u *userAPI) handleSubmit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(w, r, api.MaxBodyBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		u.writeResponse(w, "", api.Response{Code: http.StatusBadRequest})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitBudget)
	defer cancel()
	startedAt := u.clock.Now()
	id, response := u.submit(ctx, data)
	if duration := u.clock.Now().Sub(startedAt); response.Code >= http.StatusTooManyRequests || duration > slowSubmissionThreshold {
		u.log.Debug("submission delayed or refused", "job", id, "status", response.Code, "took", duration, "retry_after", response.RetryAfter,
			"state_reached", u.store.respondedWithin(storeFreshness))
	}
	u.writeResponse(w, id, response)
}

// submitLocally stores a submission, or refuses it, without forwarding it to other nodes.
func (u *userAPI) submitLocally(ctx context.Context, data []byte) (ident.JobID, api.Response) {
	submission, err := u.decodeSubmission(data)
	if err != nil {
		return "", api.Response{Code: http.StatusBadRequest}
	}
	return submission.ID, u.storeSubmission(ctx, submission)
}

// submit stores a submission or refuses it. If this node can't store it promptly, because the state service does not
// answer or the node's write budget is exhausted, other nodes are asked to store it as well. That is safe: a job is
// stored only if it does not exist, so the first node to write stores it and the others find it stored.
func (u *userAPI) submit(ctx context.Context, data []byte) (ident.JobID, api.Response) {
	submission, err := u.decodeSubmission(data)
	if err != nil {
		return "", api.Response{Code: http.StatusBadRequest}
	}
	local := make(chan api.Response, 1)
	go func() { local <- u.storeSubmission(ctx, submission) }()
	delay := hedgeDelay
	if !u.store.respondedWithin(storeFreshness) {
		delay = 0
	}
	select {
	case response := <-local:
		if response.Code != http.StatusServiceUnavailable {
			return submission.ID, response
		}
		local <- response // returned to the channel, for hedge to read again
	case <-time.After(delay):
	}
	return submission.ID, u.hedge(ctx, data, local)
}

func (u *userAPI) decodeSubmission(data []byte) (*api.Submission, error) {
	submission, err := api.DecodeSubmission(data)
	if err != nil {
		u.log.Debug("decoding submission failed", "err", err)
	}
	return submission, err
}

func (u *userAPI) storeSubmission(ctx context.Context, submission *api.Submission) api.Response {
	rules := &api.AdmissionRules{
		Teams:        u.teams,
		Zones:        u.settings.Params.Zones,
		MachineTypes: u.core.view().machineTypes,
		StateLimits:  u.storeLimits(),
	}
	return u.runRequest(ctx, submission.ID, api.NewSubmitRequest(submission, rules, u.clock.Wall().UnixMilli()))
}

// hedge forwards a submission to other nodes while this node may still be storing it. It returns the first of:
//
//  1. this node's response, if that is not status 503;
//  2. a response of another node, if that accepts the submission;
//  3. a refusal, once both this node and the others have refused, hedgeRefusalTimeout has passed since this node
//     refused, or ctx has ended.
func (u *userAPI) hedge(ctx context.Context, data []byte, local <-chan api.Response) api.Response {
	forwarded := make(chan api.Response, 1)
	go func() { forwarded <- u.forward(ctx, data) }()
	refusal := api.Response{Code: http.StatusServiceUnavailable, RetryAfter: minRetryAfter}
	var refusalDeadline <-chan time.Time // nil until this node has refused the submission
	for range 2 {
		select {
		case response := <-local:
			if response.Code != http.StatusServiceUnavailable {
				return response
			}
			refusal, refusalDeadline = response, time.After(hedgeRefusalTimeout)
		case response := <-forwarded:
			if isSuccess(response.Code) {
				return response
			}
		case <-refusalDeadline:
			return refusal
		case <-ctx.Done():
			return refusal
		}
	}
	return refusal
}

// forward asks reachable nodes, one after the other, to store a submission. It returns the first response that accepts
// it, or status 503.
func (u *userAPI) forward(ctx context.Context, data []byte) api.Response {
	attempts := 0
	for _, name := range u.forwardTargets() {
		if attempts == maxForwardTargets {
			break
		}
		if !u.peers.reachable(name) {
			continue
		}
		attempts++
		reply, err := u.peers.ForwardSubmission(ctx, name, data)
		if ctx.Err() == nil { // otherwise the user's deadline has passed, which is no failure of the peer
			u.peers.recordResult(name, err)
		}
		if err == nil && isSuccess(int(reply.Status)) {
			return api.Response{Code: int(reply.Status), Status: api.Status{State: api.JobState(reply.Body)}}
		}
	}
	return api.Response{Code: http.StatusServiceUnavailable}
}

// forwardTargets returns the other nodes, to which a submission that this node can't store may be forwarded, in the
// order in which to ask them. The order starts with a different node each time, so that no node gets all submissions.
//
// While this node is overloaded, it returns only one node. Forwarding does not stop altogether, because all users may
// be connected to this node: without forwarding, the write budgets of the other nodes went unused, and some users were
// still refused when they stopped retrying after a minute.
func (u *userAPI) forwardTargets() []string {
	names := u.peers.Names()
	if len(names) == 0 {
		return nil
	}
	first := int(u.forwardCount.Add(1)) % len(names)
	targets := slices.Concat(names[first:], names[:first])
	if u.retryPacer.Overloaded() {
		return targets[:1]
	}
	return targets
}
