package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/quota"
)

// quotaHolderActor lets this node admit work within its allotments while it does not lead.
// It alone touches the holder.
type quotaHolderActor struct {
	n         *Node
	holder    *quota.Holder
	submitted chan quota.JobSubmitted
	published atomic.Pointer[quota.HolderStatus]
}

const (
	// quotaTickInterval is how often the actor looks whether something is due.
	quotaTickInterval = 100 * time.Millisecond
	// maxQueuedSubmissions bounds the submissions that wait for the actor. Those beyond are
	// the leader's to admit.
	maxQueuedSubmissions = 256
)

func newHolderActor(n *Node) *quotaHolderActor {
	a := &quotaHolderActor{n: n, holder: quota.NewHolder(n.settings.NodeName, n.settings.Params.StateService.Strictest().MaxValueBytes()), submitted: make(chan quota.JobSubmitted, maxQueuedSubmissions)}
	a.publish()
	return a
}

func (a *quotaHolderActor) publish() {
	status := a.holder.Status()
	a.published.Store(&status)
}

// tryEnqueue hands a job to the actor that this node has stored. The leader admits by
// itself.
func (a *quotaHolderActor) tryEnqueue(id ident.JobID, s *jobs.Spec) {
	need, err := quota.DemandOf(s)
	if a == nil || err != nil || a.n.view.Load().epoch != 0 {
		return
	}
	select {
	case a.submitted <- quota.JobSubmitted{Job: id, Team: s.Team, Tasks: s.Tasks, TaskDemand: need, Gang: s.Gang}:
	default:
	}
}

// run admits until the context ends.
func (a *quotaHolderActor) run(ctx context.Context) {
	tick := time.NewTicker(quotaTickInterval)
	defer tick.Stop()
	for {
		select {
		case in := <-a.submitted:
			a.step(ctx, in)
		case <-tick.C:
			a.step(ctx, quota.Tick{})
			a.publish()
		case <-ctx.Done():
			return
		}
	}
}

func (a *quotaHolderActor) step(ctx context.Context, in quota.HolderInput) {
	for _, e := range a.holder.Step(a.n.clock.Now(), in) {
		switch e := e.(type) {
		case quota.Register:
			a.step(ctx, a.register(ctx, e))
		case quota.StoreReservations:
			a.step(ctx, a.storeReservations(ctx, e))
		case quota.SendRequest:
			a.step(ctx, quota.ResponseReceived{Response: a.askLeader(ctx, e.Request)})
		}
	}
}

// register sets the holder key anew, under the stamp that it has.
func (a *quotaHolderActor) register(ctx context.Context, e quota.Register) quota.RegistrationDone {
	key := quota.HolderKey(e.Node)
	if !a.n.budget.TakeWrites(a.n.clock.Now(), kvstore.PurposeSubmission, 1) {
		return quota.RegistrationDone{}
	}
	item, err := a.n.store.Get(ctx, key)
	if a.n.noteStoreResult(err) != nil {
		return quota.RegistrationDone{}
	}
	stamp, err := a.n.store.Commit(ctx, e.Txn(item.ModRevision))
	if a.n.noteStoreResult(err) != nil {
		return quota.RegistrationDone{}
	}
	return quota.RegistrationDone{ModRevision: stamp}
}

// storeReservations writes the reservations, and finds out what became of it. Its guards name the
// versions it changes, so it is carried out at most once.
func (a *quotaHolderActor) storeReservations(ctx context.Context, e quota.StoreReservations) quota.StoreDone {
	if !a.n.budget.TakeWrites(a.n.clock.Now(), kvstore.PurposeSubmission, 1) {
		return quota.StoreDone{Outcome: quota.StoreFailed}
	}
	txn := e.Txn()
	for unsure := false; ; {
		stamp, err := a.n.store.Commit(ctx, txn)
		var conflict *kvstore.ConflictError
		switch {
		case a.n.noteStoreResult(err) == nil:
			return quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: stamp}
		case errors.As(err, &conflict):
			return a.resolveConflict(ctx, e, conflict, unsure)
		case errors.Is(err, kvstore.ErrOutcomeUnknown) || unsure:
			unsure = true
			if !a.n.sleep(ctx, uncertainRetryInterval) {
				return quota.StoreDone{Outcome: quota.StoreFenced}
			}
		default:
			return quota.StoreDone{Outcome: quota.StoreFailed}
		}
	}
}

// resolveConflict judges a conflict. After an unanswered try, reservations that have moved on
// were moved by that try, unless a leader has removed them with the holder key.
func (a *quotaHolderActor) resolveConflict(ctx context.Context, e quota.StoreReservations, conflict *kvstore.ConflictError, unsure bool) quota.StoreDone {
	for unsure {
		item, err := a.n.store.Get(ctx, e.Key)
		if a.n.noteStoreResult(err) == nil {
			if item.ModRevision > e.Conditions[1].ModRevision {
				return quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: item.ModRevision}
			}
			break
		}
		if !a.n.sleep(ctx, uncertainRetryInterval) {
			break
		}
	}
	return quota.StoreDone{Outcome: e.OutcomeOf(conflict)}
}

// askLeader asks the leader; nil: it did not answer.
func (a *quotaHolderActor) askLeader(ctx context.Context, ask quota.AllocationRequest) *quota.AllocationResponse {
	leader := a.n.leader()
	if a.n.view.Load().epoch != 0 {
		return a.n.queryCoreQuota(ctx, &ask)
	}
	if leader == "" || leader == a.n.settings.NodeName || !a.n.peerReachable(leader) {
		return nil
	}
	data, err := msgpack.Marshal(peer.Batch{Node: a.n.settings.NodeName, Quota: &ask})
	if err != nil {
		return nil
	}
	reply, err := a.n.peers.RelayBatch(ctx, leader, data)
	a.n.notePeerResult(leader, err)
	if err != nil {
		return nil
	}
	answers, err := peer.DecodeReply(reply)
	if err != nil {
		a.n.metrics.MalformedBatches.Inc()
		return nil
	}
	return answers.Quota
}

// quotaReplyTimeout bounds the wait for the core to answer a holder: it may have to store
// something first.
const quotaReplyTimeout = 1500 * time.Millisecond

// queryCoreQuota lets the core answer a holder; nil: it did not.
func (n *Node) queryCoreQuota(ctx context.Context, ask *quota.AllocationRequest) *quota.AllocationResponse {
	replies := newReplyChannel[quota.AllocationResponse]()
	if n.view.Load().epoch == 0 || !n.tryEnqueue(controller.QuotaRequest{Responder: replies, Request: *ask}) {
		return nil
	}
	select {
	case a := <-replies:
		return &a
	case <-time.After(quotaReplyTimeout):
	case <-ctx.Done():
	}
	return nil
}

// readQuotaRecords reads all records of quotas for the leader.
func (n *Node) readQuotaRecords(ctx context.Context, epoch ident.Epoch) {
	items, _, err := n.store.List(ctx, quota.KeyPrefix)
	if n.noteStoreResult(err) != nil {
		n.log.Debug("quotas can't be read", "err", err)
	}
	n.enqueue(ctx, controller.QuotaRecordsRead{Epoch: epoch, OK: err == nil, Items: items})
}
