package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"badgerbay/internal/api"
	"badgerbay/internal/config"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/wire"
)

const (
	// statusBudget bounds the time until the response to a status query, and submitBudget the time until the response
	// to a submission or a cancel request.
	statusBudget = 1800 * time.Millisecond
	submitBudget = 4 * time.Second
	// minRetryAfter is the shortest delay after which a refused user is asked to retry.
	minRetryAfter = time.Second
)

// userAPI handles the requests of users: it submits, queries and cancels jobs.
type userAPI struct {
	*environment
	core        *coreActor
	store       *stateService
	peers       *peerNetwork
	reach       *reachability
	uplink      *relayUplink
	quotaHolder *quotaHolderActor // nil if team quotas are disabled
	teams       map[ident.Team]config.Team
	retryPacer  *api.RetryPacer

	forwardCount atomic.Uint32 // counts forwarded submissions, to rotate the node that is asked first
}

// handleJobRequest returns the handler for status queries or for cancel requests.
func (u *userAPI) handleJobRequest(kind api.RequestKind) httprouter.Handle {
	budget := statusBudget
	if kind == api.Cancel {
		budget = submitBudget
	}
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		id, err := ident.ParseJobID(params.ByName("id"))
		if err != nil {
			u.writeResponse(w, "", api.Response{Code: http.StatusNotFound})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), budget)
		defer cancel()
		startedAt := u.clock.Now()
		response := u.runRequest(ctx, id, api.NewJobRequest(kind))
		// If this node stalled for longer than the budget, its response may be older
		// than one that another node has sent since.
		if u.clock.Now().Sub(startedAt) > budget {
			response = api.Response{Code: http.StatusServiceUnavailable, RetryAfter: minRetryAfter}
		}
		u.writeResponse(w, id, response)
	}
}

// runRequest executes the actions that the request's state machine returns, until it returns a response.
func (u *userAPI) runRequest(ctx context.Context, id ident.JobID, req *api.Request) api.Response {
	var in api.Input = api.Begin{}
	for {
		switch action := req.Step(in).(type) {
		case api.Response:
			return action
		case api.CreateRecord:
			in = api.RecordCreated{Result: u.createJob(ctx, id, req, action.Record)}
		case api.LoadRecord:
			in = u.loadJob(ctx, id)
		case api.QueryLeader:
			in = u.queryLeader(ctx, id, action.Cancel)
		}
	}
}

// createJob stores a job if it does not exist. It records a rejection in retryPacer only if this node's write budget
// is exhausted. A refusal by the state service does not count, since another node may still store the job.
func (u *userAPI) createJob(ctx context.Context, id ident.JobID, req *api.Request, record *jobs.Record) api.CreateResult {
	if !u.store.takeWrite(kvstore.PurposeSubmission) {
		delay := u.store.budget.WriteDelay(u.clock.Now(), kvstore.PurposeSubmission)
		req.SetRetryAfter(delay + u.retryPacer.RecordRejection())
		return api.Rejected
	}
	u.retryPacer.RecordAcceptance()
	key := jobs.Key(id)
	_, err := u.store.commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, ModRevision: 0}},
		Operations: []kvstore.Operation{{SetKey: key, Value: record}},
	})
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		go u.notifyLeader(context.WithoutCancel(ctx), id)
		u.quotaHolder.tryPost(id, &record.Spec)
		return api.Stored
	case errors.As(err, &conflict):
		return api.AlreadyExists
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		return api.Indeterminate
	}
	return api.Rejected
}

// notifyLeader notifies the leader of a new job. The call to a peer has its own timeout. If the notification is lost,
// the leader's watch finds the job shortly afterwards.
func (u *userAPI) notifyLeader(ctx context.Context, id ident.JobID) {
	view := u.core.view()
	if view.leads() {
		u.core.tryPost(controller.JobChanged{Job: id})
		return
	}
	if view.leader == "" || view.leader == u.settings.NodeName {
		return
	}
	if err := u.peers.NotifyJobChanged(ctx, view.leader, string(id)); err != nil {
		u.log.Debug("notifying the leader of a job failed", "job", id, "err", err)
	}
}

// loadJob reads the record of a job. The result has no record if the job does not exist, and is not OK if the request
// budget is exhausted or the record can't be read.
func (u *userAPI) loadJob(ctx context.Context, id ident.JobID) api.RecordLoaded {
	if !u.store.takeRequest() {
		return api.RecordLoaded{}
	}
	item, err := u.store.get(ctx, jobs.Key(id))
	if err != nil {
		return api.RecordLoaded{}
	}
	if item.ModRevision == 0 {
		return api.RecordLoaded{OK: true}
	}
	record, err := jobs.Decode(item.Value)
	if err != nil {
		u.log.Error("job record unreadable", "job", id, "err", err)
		return api.RecordLoaded{}
	}
	return api.RecordLoaded{OK: true, Record: record}
}

// writeResponse writes the response to a user's request and counts it by its status code.
func (u *userAPI) writeResponse(w http.ResponseWriter, id ident.JobID, response api.Response) {
	u.metrics.UserResponses.WithLabelValues(strconv.Itoa(response.Code)).Inc()
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(api.RetryAfterSeconds(response.RetryAfter)))
	}
	if !isSuccess(response.Code) {
		w.WriteHeader(response.Code)
		return
	}
	body, err := api.EncodeStatus(id, response.Status)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(response.Code)
	w.Write(body) // an error means that the user has disconnected and needs no response
}

// isSuccess reports whether a status code means that the job was stored or found.
func isSuccess(code int) bool { return code == http.StatusOK || code == http.StatusCreated }
