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
	submitted chan quota.Submitted
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
	a := &holderActor{n: n, holder: quota.NewHolder(n.set.Label, n.set.Params.State.Tight().ValueBytes()), submitted: make(chan quota.Submitted, mostSubmitted)}
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
	need, err := quota.NeedOf(s)
	if a == nil || err != nil || a.n.view.Load().epoch != 0 {
		return
	}
	select {
	case a.submitted <- quota.Submitted{Job: id, Team: s.Team, Tasks: s.Tasks, Need: need, Gang: s.Gang}:
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
		case quota.Store:
			a.step(ctx, a.store(ctx, e))
		case quota.SendAsk:
			a.step(ctx, quota.Answered{Answer: a.ask(ctx, e.Ask)})
		}
	}
}

// register sets the holder key anew, under the stamp that it has.
func (a *holderActor) register(ctx context.Context, e quota.Register) quota.Registered {
	key := quota.HolderKey(e.Node)
	if !a.n.budget.TakeWrites(a.n.clock.Now(), statestore.PurposeSubmission, 1) {
		return quota.Registered{}
	}
	item, err := a.n.store.Get(ctx, key)
	if a.n.note(err) != nil {
		return quota.Registered{}
	}
	stamp, err := a.n.store.Commit(ctx, e.Txn(item.ModRevision))
	if a.n.note(err) != nil {
		return quota.Registered{}
	}
	return quota.Registered{Stamp: stamp}
}

// store writes the reservations, and finds out what became of it. Its guards name the
// versions it changes, so it is carried out at most once.
func (a *holderActor) store(ctx context.Context, e quota.Store) quota.Stored {
	if !a.n.budget.TakeWrites(a.n.clock.Now(), statestore.PurposeSubmission, 1) {
		return quota.Stored{Outcome: quota.StoreRefused}
	}
	txn := e.Txn()
	for unsure := false; ; {
		stamp, err := a.n.store.Commit(ctx, txn)
		var conflict *statestore.ConflictError
		switch {
		case a.n.note(err) == nil:
			return quota.Stored{Outcome: quota.StoreOK, Stamp: stamp}
		case errors.As(err, &conflict):
			return a.settle(ctx, e, conflict, unsure)
		case errors.Is(err, statestore.ErrOutcomeUnknown) || unsure:
			unsure = true
			if !a.n.pause(ctx, retryUnsure) {
				return quota.Stored{Outcome: quota.StoreFenced}
			}
		default:
			return quota.Stored{Outcome: quota.StoreRefused}
		}
	}
}

// settle judges a conflict. After an unanswered try, reservations that have moved on
// were moved by that try, unless a leader has removed them with the holder key.
func (a *holderActor) settle(ctx context.Context, e quota.Store, conflict *statestore.ConflictError, unsure bool) quota.Stored {
	for unsure {
		item, err := a.n.store.Get(ctx, e.Key)
		if a.n.note(err) == nil {
			if item.ModRevision > e.Guards[1].ModRevision {
				return quota.Stored{Outcome: quota.StoreOK, Stamp: item.ModRevision}
			}
			break
		}
		if !a.n.pause(ctx, retryUnsure) {
			break
		}
	}
	return quota.Stored{Outcome: e.OutcomeOf(conflict)}
}

// ask asks the leader; nil: it did not answer.
func (a *holderActor) ask(ctx context.Context, ask quota.Ask) *quota.Answer {
	leader := a.n.leader()
	if a.n.view.Load().epoch != 0 {
		return a.n.askQuota(ctx, &ask)
	}
	if leader == "" || leader == a.n.set.Label || !a.n.meshWorks(leader) {
		return nil
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: a.n.set.Label, Quota: &ask})
	if err != nil {
		return nil
	}
	reply, err := a.n.peers.Relay(ctx, leader, data)
	a.n.noteMesh(leader, err)
	if err != nil {
		return nil
	}
	answers, err := mesh.DecodeAnswers(reply)
	if err != nil {
		a.n.met.BadBatches.Inc()
		return nil
	}
	return answers.Quota
}

// quotaWait bounds the wait for the core to answer a holder: it may have to store
// something first.
const quotaWait = 1500 * time.Millisecond

// askQuota lets the core answer a holder; nil: it did not.
func (n *Node) askQuota(ctx context.Context, ask *quota.Ask) *quota.Answer {
	ticket := make(chan quota.Answer, 1)
	if n.view.Load().epoch == 0 || !n.offer(QuotaAsked{Ticket: ticket, Ask: *ask}) {
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
	n.post(ctx, QuotaRead{Epoch: epoch, OK: err == nil, Items: items})
}
