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
	// storeFreshness is how recently the state service must have answered for a submission
	// to wait for it before another node is asked.
	storeFreshness = time.Second
	// hedgeDelay is how long a submission waits for the state service before
	// another node is asked to store it as well.
	hedgeDelay = 250 * time.Millisecond
	// hedgeRefusalTimeout is how long a submission that this node refuses waits for another
	// to accept it, at most: a refusal must come at once.
	hedgeRefusalTimeout = 400 * time.Millisecond
	// slowSubmissionThreshold is how long a submission may take without being logged.
	slowSubmissionThreshold = 500 * time.Millisecond
	// maxForwardTargets bounds how many other nodes are asked to store a submission.
	maxForwardTargets = 2
)

// handleSubmit answers a submission.
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
			"state_reached", u.store.answeredWithin(storeFreshness))
	}
	u.writeResponse(w, id, response)
}

// submitHere decides a submission without the help of other nodes.
func (u *userAPI) submitHere(ctx context.Context, data []byte) (ident.JobID, api.Response) {
	submission, err := u.decodeSubmission(data)
	if err != nil {
		return "", api.Response{Code: http.StatusBadRequest}
	}
	return submission.ID, u.storeSubmission(ctx, submission)
}

// submit decides a submission. One that this node can't store at once, for
// want of the state service or of its share of the writes, is forwarded to the
// others too: a job is stored only if it does not exist, so whichever node
// comes first stores it, and the rest find it there.
func (u *userAPI) submit(ctx context.Context, data []byte) (ident.JobID, api.Response) {
	submission, err := u.decodeSubmission(data)
	if err != nil {
		return "", api.Response{Code: http.StatusBadRequest}
	}
	local := make(chan api.Response, 1)
	go func() { local <- u.storeSubmission(ctx, submission) }()
	delay := hedgeDelay
	if !u.store.answeredWithin(storeFreshness) {
		delay = 0
	}
	select {
	case response := <-local:
		if response.Code != http.StatusServiceUnavailable {
			return submission.ID, response
		}
		local <- response // for hedge to count
	case <-time.After(delay):
	}
	return submission.ID, u.hedge(ctx, data, local)
}

func (u *userAPI) decodeSubmission(data []byte) (*api.Submission, error) {
	submission, err := api.DecodeSubmission(data)
	if err != nil {
		u.log.Debug("submission malformed", "err", err)
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

// hedge forwards a submission to other nodes, and answers with the first response that
// accepts it; a refusal counts only once nobody is left to ask.
func (u *userAPI) hedge(ctx context.Context, data []byte, local <-chan api.Response) api.Response {
	forwarded := make(chan api.Response, 1)
	go func() { forwarded <- u.forward(ctx, data) }()
	refusal := api.Response{Code: http.StatusServiceUnavailable, RetryAfter: minRetryAfter}
	var refusalDeadline <-chan time.Time // nil until this node has refused
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

// forward asks other nodes that are reached to store a submission.
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
		if ctx.Err() == nil { // else the user's time is over, which is not the peer's fault
			u.peers.record(name, err)
		}
		if err == nil && isSuccess(int(reply.Status)) {
			return api.Response{Code: int(reply.Status), Status: api.Status{State: api.JobState(reply.Body)}}
		}
	}
	return api.Response{Code: http.StatusServiceUnavailable}
}

// forwardTargets are the nodes that may store a submission that this one can't: the
// others, beginning with a different one each time, so that none gets them all.
// In a flood only one is asked. All users may have come to one node, and what is
// left at the others must not go to waste: some ran out of the minute for which
// they try.
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
