package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/mesh"
	"badgerbay/internal/quota"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

// holderActor lets this node admit work within its allotments while it does not lead.
// It alone touches the holder.
type holderActor struct {
	n         *Node
	holder    *quota.Holder
	submitted chan quota.JobSubmitted
	published atomic.Pointer[quota.HolderStatus]
}

const (
	// holderTick is how often the actor looks whether something is due.
	holderTick = 100 * time.Millisecond
	// mostSubmitted bounds the submissions that wait for the actor. Those beyond are
	// the leader's to admit.
	mostSubmitted = 256
)

func newHolderActor(n *Node) *holderActor {
	a := &holderActor{n: n, holder: quota.NewHolder(n.set.NodeName, n.set.Params.StateService.Strictest().MaxValueBytes()), submitted: make(chan quota.JobSubmitted, mostSubmitted)}
	a.publish()
	return a
}

func (a *holderActor) publish() {
	status := a.holder.Status()
	a.published.Store(&status)
}

// offer hands a job to the actor that this node has stored. The leader admits by
// itself.
func (a *holderActor) offer(id unit.JobID, s *checkpoint.Spec) {
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
func (a *holderActor) run(ctx context.Context) {
	tick := time.NewTicker(holderTick)
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

func (a *holderActor) step(ctx context.Context, in quota.HolderInput) {
	for _, e := range a.holder.Step(a.n.clock.Now(), in) {
		switch e := e.(type) {
		case quota.Register:
			a.step(ctx, a.register(ctx, e))
		case quota.StoreReservations:
			a.step(ctx, a.store(ctx, e))
		case quota.SendRequest:
			a.step(ctx, quota.ResponseReceived{Response: a.ask(ctx, e.Request)})
		}
	}
}

// register sets the holder key anew, under the stamp that it has.
func (a *holderActor) register(ctx context.Context, e quota.Register) quota.RegistrationDone {
	key := quota.HolderKey(e.Node)
	if !a.n.budget.TakeWrites(a.n.clock.Now(), statestore.PurposeSubmission, 1) {
		return quota.RegistrationDone{}
	}
	item, err := a.n.store.Get(ctx, key)
	if a.n.note(err) != nil {
		return quota.RegistrationDone{}
	}
	stamp, err := a.n.store.Commit(ctx, e.Txn(item.ModRevision))
	if a.n.note(err) != nil {
		return quota.RegistrationDone{}
	}
	return quota.RegistrationDone{ModRevision: stamp}
}

// store writes the reservations, and finds out what became of it. Its guards name the
// versions it changes, so it is carried out at most once.
func (a *holderActor) store(ctx context.Context, e quota.StoreReservations) quota.StoreDone {
	if !a.n.budget.TakeWrites(a.n.clock.Now(), statestore.PurposeSubmission, 1) {
		return quota.StoreDone{Outcome: quota.StoreFailed}
	}
	txn := e.Txn()
	for unsure := false; ; {
		stamp, err := a.n.store.Commit(ctx, txn)
		var conflict *statestore.ConflictError
		switch {
		case a.n.note(err) == nil:
			return quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: stamp}
		case errors.As(err, &conflict):
			return a.settle(ctx, e, conflict, unsure)
		case errors.Is(err, statestore.ErrOutcomeUnknown) || unsure:
			unsure = true
			if !a.n.pause(ctx, retryUnsure) {
				return quota.StoreDone{Outcome: quota.StoreFenced}
			}
		default:
			return quota.StoreDone{Outcome: quota.StoreFailed}
		}
	}
}

// settle judges a conflict. After an unanswered try, reservations that have moved on
// were moved by that try, unless a leader has removed them with the holder key.
func (a *holderActor) settle(ctx context.Context, e quota.StoreReservations, conflict *statestore.ConflictError, unsure bool) quota.StoreDone {
	for unsure {
		item, err := a.n.store.Get(ctx, e.Key)
		if a.n.note(err) == nil {
			if item.ModRevision > e.Conditions[1].ModRevision {
				return quota.StoreDone{Outcome: quota.StoreSucceeded, ModRevision: item.ModRevision}
			}
			break
		}
		if !a.n.pause(ctx, retryUnsure) {
			break
		}
	}
	return quota.StoreDone{Outcome: e.OutcomeOf(conflict)}
}

// ask asks the leader; nil: it did not answer.
func (a *holderActor) ask(ctx context.Context, ask quota.AllocationRequest) *quota.AllocationResponse {
	leader := a.n.leader()
	if a.n.view.Load().epoch != 0 {
		return a.n.askQuota(ctx, &ask)
	}
	if leader == "" || leader == a.n.set.NodeName || !a.n.meshWorks(leader) {
		return nil
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: a.n.set.NodeName, Quota: &ask})
	if err != nil {
		return nil
	}
	reply, err := a.n.peers.RelayBatch(ctx, leader, data)
	a.n.noteMesh(leader, err)
	if err != nil {
		return nil
	}
	answers, err := mesh.DecodeReply(reply)
	if err != nil {
		a.n.met.MalformedBatches.Inc()
		return nil
	}
	return answers.Quota
}

// quotaWait bounds the wait for the core to answer a holder: it may have to store
// something first.
const quotaWait = 1500 * time.Millisecond

// askQuota lets the core answer a holder; nil: it did not.
func (n *Node) askQuota(ctx context.Context, ask *quota.AllocationRequest) *quota.AllocationResponse {
	ticket := make(chan quota.AllocationResponse, 1)
	if n.view.Load().epoch == 0 || !n.offer(QuotaRequest{Ticket: ticket, Request: *ask}) {
		return nil
	}
	select {
	case a := <-ticket:
		return &a
	case <-time.After(quotaWait):
	case <-ctx.Done():
	}
	return nil
}

// readQuota reads all records of quotas for the leader.
func (n *Node) readQuota(ctx context.Context, epoch unit.Epoch) {
	items, _, err := n.store.List(ctx, quota.KeyPrefix)
	if n.note(err) != nil {
		n.log.Debug("quotas can't be read", "err", err)
	}
	n.post(ctx, QuotaRecordsRead{Epoch: epoch, OK: err == nil, Items: items})
}
