package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/quota"
)

const (
	// quotaTickInterval is the time between two Tick inputs to the holder.
	quotaTickInterval = 100 * time.Millisecond
	// maxQueuedSubmissions bounds the submissions that wait for the actor. Submissions beyond it are left to the leader
	// to admit.
	maxQueuedSubmissions = 256
	// quotaReplyTimeout bounds the wait for the core's reply to a holder: the core may have to write to the state
	// service first.
	quotaReplyTimeout = 1500 * time.Millisecond
)

// quotaHolderActor runs the quota holder, which admits jobs within this node's quota allocations while the node does
// not lead. Only the actor's goroutine accesses the holder; other goroutines read the status that it publishes.
type quotaHolderActor struct {
	*environment
	core      *coreActor
	store     *stateService
	peers     *peerNetwork
	reach     *reachability
	holder    *quota.Holder
	submitted chan quota.JobSubmitted
	published atomic.Pointer[quota.HolderStatus]
}

func newQuotaHolderActor(env *environment, core *coreActor, store *stateService, peers *peerNetwork, reach *reachability) *quotaHolderActor {
	a := &quotaHolderActor{
		environment: env,
		core:        core,
		store:       store,
		peers:       peers,
		reach:       reach,
		holder:      quota.NewHolder(env.settings.NodeName, env.storeLimits().MaxValueBytes()),
		submitted:   make(chan quota.JobSubmitted, maxQueuedSubmissions),
	}
	a.publish()
	return a
}

// publish updates the status of the holder that other goroutines read.
func (a *quotaHolderActor) publish() {
	status := a.holder.Status()
	a.published.Store(&status)
}

// tryPost queues a job that this node has stored for the actor. If the queue is full, the job is left to the leader to
// admit. If this node leads, or team quotas are disabled and the actor is nil, tryPost does nothing.
func (a *quotaHolderActor) tryPost(id ident.JobID, spec *jobs.Spec) {
	if a == nil || a.core.view().leads() {
		return
	}
	demand, err := quota.DemandOf(spec)
	if err != nil {
		return // the leader decides about the job
	}
	select {
	case a.submitted <- quota.JobSubmitted{Job: id, Team: spec.Team, Tasks: spec.Tasks, TaskDemand: demand, Gang: spec.Gang}:
	default:
	}
}

// run passes submissions and ticks to the holder until ctx ends.
func (a *quotaHolderActor) run(ctx context.Context) {
	ticker := time.NewTicker(quotaTickInterval)
	defer ticker.Stop()
	for {
		select {
		case in := <-a.submitted:
			a.step(ctx, in)
		case <-ticker.C:
			a.step(ctx, quota.Tick{})
			a.publish()
		case <-ctx.Done():
			return
		}
	}
}

// step applies an input to the holder, carries out the resulting effects, and applies their results as inputs in turn.
func (a *quotaHolderActor) step(ctx context.Context, in quota.HolderInput) {
	for _, e := range a.holder.Step(a.clock.Now(), in) {
		switch e := e.(type) {
		case quota.Register:
			a.step(ctx, a.register(ctx, e))
		case quota.StoreReservations:
			a.step(ctx, a.storeReservations(ctx, e))
		case quota.SendRequest:
			a.step(ctx, quota.ResponseReceived{Response: a.requestFromLeader(ctx, &e.Request)})
		}
	}
}

// register writes the holder key, on condition that its revision is still the one that was read.
func (a *quotaHolderActor) register(ctx context.Context, e quota.Register) quota.RegistrationDone {
	if !a.store.takeWrite(kvstore.PurposeSubmission) {
		return quota.RegistrationDone{}
	}
	item, err := a.store.get(ctx, quota.HolderKey(e.Node))
	if err != nil {
		return quota.RegistrationDone{}
	}
	revision, err := a.store.commit(ctx, e.Txn(item.ModRevision))
	if err != nil {
		return quota.RegistrationDone{}
	}
	return quota.RegistrationDone{ModRevision: revision}
}

// storeReservations writes the reservations and determines the outcome of that write.
func (a *quotaHolderActor) storeReservations(ctx context.Context, e quota.StoreReservations) quota.StoreDone {
	if !a.store.takeWrite(kvstore.PurposeSubmission) {
		return quota.StoreDone{Outcome: quota.StoreFailed}
	}
	revision, err := a.store.commitAndConfirm(ctx, e.Txn(), confirmOptions{})
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: revision}
	case errors.As(err, &conflict):
		return quota.StoreDone{Outcome: e.OutcomeOf(conflict)}
	case errors.Is(err, errOutcomeAbandoned):
		return quota.StoreDone{Outcome: quota.StoreFenced}
	}
	return quota.StoreDone{Outcome: quota.StoreFailed}
}

// requestFromLeader sends a request to the leader and returns its response, or nil if no leader answered.
func (a *quotaHolderActor) requestFromLeader(ctx context.Context, req *quota.AllocationRequest) *quota.AllocationResponse {
	if a.core.view().leads() {
		return a.core.requestQuota(ctx, req)
	}
	leader := a.reach.otherLeader()
	if leader == "" {
		return nil
	}
	reply, err := a.peers.exchange(ctx, leader, &peer.Batch{Node: a.settings.NodeName, Quota: req})
	switch {
	case errors.Is(err, errMalformedReply):
		a.metrics.MalformedBatches.Inc()
		return nil
	case err != nil:
		a.log.Debug("quota request failed", "leader", leader, "err", err)
		return nil
	}
	return reply.Quota
}

// requestQuota returns the core's response to a holder's request, or nil if this node does not lead or the core did not
// respond in time.
func (a *coreActor) requestQuota(ctx context.Context, req *quota.AllocationRequest) *quota.AllocationResponse {
	if !a.view().leads() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, quotaReplyTimeout)
	defer cancel()
	response, err := request(ctx, a, func(to controller.Responder[quota.AllocationResponse]) controller.Input {
		return controller.QuotaRequest{Responder: to, Request: *req}
	})
	if err != nil {
		return nil
	}
	return &response
}
