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
	// quotaTickInterval is how often the actor looks whether something is due.
	quotaTickInterval = 100 * time.Millisecond
	// maxQueuedSubmissions bounds the submissions that wait for the actor. Those beyond are
	// the leader's to admit.
	maxQueuedSubmissions = 256
	// quotaReplyTimeout bounds the wait for the core to answer a holder: it may have to
	// store something first.
	quotaReplyTimeout = 1500 * time.Millisecond
)

// quotaHolderActor lets this node admit work within its allocations while it does not
// lead. It alone touches the holder; others see the status that it publishes.
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

func (a *quotaHolderActor) publish() {
	status := a.holder.Status()
	a.published.Store(&status)
}

// tryPost hands the actor a job that this node has stored, unless too many wait: those are
// the leader's to admit. Where this node leads, or has no team quotas and so a nil actor,
// nothing is to be done.
func (a *quotaHolderActor) tryPost(id ident.JobID, spec *jobs.Spec) {
	if a == nil || a.core.view().leads() {
		return
	}
	demand, err := quota.DemandOf(spec)
	if err != nil {
		return // the leader judges it
	}
	select {
	case a.submitted <- quota.JobSubmitted{Job: id, Team: spec.Team, Tasks: spec.Tasks, TaskDemand: demand, Gang: spec.Gang}:
	default:
	}
}

// run admits until ctx ends.
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

// step hands an input to the holder, carries out what it asks for, and hands it the
// results.
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

// register sets the holder key anew, under the revision that it has.
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

// storeReservations writes the reservations, and finds out what became of it.
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

// requestFromLeader sends a request to the leader; nil: it did not answer.
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

// requestQuota lets the core answer a holder; nil: it did not.
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
