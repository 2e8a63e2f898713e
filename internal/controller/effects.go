package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/leadership"
	"badgerbay/internal/parts"
	"badgerbay/internal/rental"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

const (
	doTimeout    = 3 * time.Second
	retryUnsure  = 150 * time.Millisecond
	watchHold    = 5 * time.Second
	watchBetween = 250 * time.Millisecond
)

// carryOut starts an effect. Answers leave at once; calls run beside the actor
// and post what comes of them.
func (n *Node) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case ReplyReport:
		e.Ticket.(chan ReplyReport) <- e
	case ReplyAsk:
		e.Ticket.(chan ReplyAsk) <- e
	case ReplyPeer:
		e.Ticket.(chan ReplyPeer) <- e
	case DoLead:
		go n.doLead(ctx, e.Effect)
	case LoadAll:
		go n.loadAll(ctx, e.Epoch)
	case ReadJob:
		go n.readJob(ctx, e.Job)
	case Commit:
		go n.commit(ctx, e)
	case Do:
		go n.do(ctx, e)
	case CallHire:
		go n.hire(ctx, e)
	case CallRelease:
		go n.release(ctx, e.Machines)
	case CallList:
		go n.list(ctx)
	case CallFlavors:
		go n.flavors(ctx)
	case Stop:
		select {
		case n.stop <- e.Err:
		default: // it stops already
		}
	}
}

// note keeps the health and the counters of the state service.
func (n *Node) note(err error) error {
	var conflict *statestore.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict), errors.Is(err, statestore.ErrNoLease):
		n.health.stateOK(n.clock.Now())
	case errors.Is(err, statestore.ErrThrottled):
		n.met.Throttled.Inc()
		n.log.Warn("state service throttles us")
	case errors.Is(err, statestore.ErrUncertain):
		n.met.Uncertain.Inc()
	}
	return err
}

func (n *Node) doLead(ctx context.Context, e leadership.Effect) {
	switch e := e.(type) {
	case leadership.ReadKey:
		h, stamp, err := n.readLeader(ctx)
		n.post(ctx, Lead{leadership.KeyRead{OK: err == nil, Holder: h, Stamp: stamp}})
	case leadership.GrantLease:
		sent := n.clock.Now()
		tenure, err := n.store.Grant(ctx, e.Life)
		n.post(ctx, Lead{leadership.Granted{OK: n.note(err) == nil, Tenure: tenure, Sent: sent}})
	case leadership.Renew:
		sent := n.clock.Now()
		err := n.note(n.store.Extend(ctx, e.Tenure))
		n.post(ctx, Lead{leadership.Renewed{Outcome: outcomeOf(err), Sent: sent}})
	case leadership.Acquire:
		v, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
		n.post(ctx, Lead{leadership.Acquired{Outcome: outcomeOf(n.note(err)), Epoch: unit.Epoch(v)}})
	case leadership.SetToken:
		n.setToken(ctx, e)
	case leadership.HandOver:
		_, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
		if n.note(err) != nil {
			// Without an heir, or not knowing, let anybody stand.
			n.note(n.store.Revoke(ctx, e.Tenure))
		}
	case leadership.Release:
		n.note(n.store.Revoke(ctx, e.Tenure))
	}
}

func holderTxn(prev unit.Epoch, h leadership.Holder, t unit.Tenure) statestore.Txn {
	return statestore.Txn{
		Guards: []statestore.Guard{{Key: leadership.Key, Stamp: unit.Version(prev)}},
		Writes: []statestore.Write{{Set: leadership.Key, Value: h, Tenure: t}},
	}
}

func (n *Node) readLeader(ctx context.Context) (leadership.Holder, unit.Epoch, error) {
	item, err := n.store.Get(ctx, leadership.Key)
	if n.note(err) != nil || item.Stamp == 0 {
		return leadership.Holder{}, 0, err
	}
	var h leadership.Holder
	if err := msgpack.Unmarshal(item.Value, &h); err != nil {
		return h, 0, fmt.Errorf("leader key: %w", err)
	}
	return h, unit.Epoch(item.Stamp), nil
}

// reseal raises the token and settles the outcome by reading the key back: the
// writes of the leader wait until it is known.
func (n *Node) setToken(ctx context.Context, e leadership.SetToken) {
	v, err := n.store.Commit(ctx, holderTxn(e.Prev, e.Holder, e.Tenure))
	out := outcomeOf(n.note(err))
	for out != leadership.OK {
		if !n.pause(ctx, retryUnsure) {
			return
		}
		h, stamp, err := n.readLeader(ctx)
		switch {
		case err != nil:
			if n.view.Load().epoch != e.Prev {
				return
			}
			continue
		case h != e.Holder:
			n.post(ctx, Lead{leadership.Deposed{}})
			return
		case stamp > e.Prev:
			out, v = leadership.OK, unit.Version(stamp)
		default:
			n.post(ctx, Lead{leadership.TokenSet{Outcome: leadership.Refused}})
			return
		}
	}
	n.post(ctx, Lead{leadership.TokenSet{Outcome: leadership.OK, Epoch: unit.Epoch(v)}})
}

func (n *Node) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// outcomeOf sorts an error of the state service for the leadership machine.
func outcomeOf(err error) leadership.Outcome {
	switch {
	case err == nil:
		return leadership.OK
	case errors.Is(err, statestore.ErrNoLease):
		return leadership.Gone
	case errors.Is(err, statestore.ErrUncertain):
		return leadership.Unknown
	}
	return leadership.Refused
}

func (n *Node) loadAll(ctx context.Context, epoch unit.Epoch) {
	jobs, since, err := n.store.List(ctx, checkpoint.KeyPrefix)
	var rounds, rest []statestore.Item
	var agreed statestore.Item
	if n.note(err) == nil {
		rounds, _, err = n.store.List(ctx, round.KeyPrefix)
	}
	if n.note(err) == nil {
		rest, _, err = n.store.List(ctx, parts.Prefix)
	}
	if n.note(err) == nil {
		agreed, err = n.store.Get(ctx, rollout.Key)
	}
	if n.note(err) != nil {
		n.log.Warn("records can't be read", "epoch", epoch, "err", err)
		n.pause(ctx, retryUnsure)
	}
	n.post(ctx, Loaded{Epoch: epoch, OK: err == nil, Jobs: jobs, Rounds: rounds, Parts: rest, Agreed: agreed})
	if err == nil {
		go n.relayDown(ctx, epoch, since)
		n.watchJobs(ctx, epoch, since)
	}
}

// watchJobs finds the jobs whose notice was lost on its way, while this node
// leads. It looks at most once a second, so that the leader's own writes do
// not come back one by one.
func (n *Node) watchJobs(ctx context.Context, epoch unit.Epoch, since unit.Version) {
	for n.leadsSince(epoch) {
		log, next, err := n.store.Watch(ctx, checkpoint.KeyPrefix, since, watchHold)
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			since = n.rescan(ctx, since)
		case err == nil:
			since = max(since, next)
			for _, c := range log {
				if c.Set != "" {
					n.post(ctx, Noticed{Job: unit.JobID(c.Set[len(checkpoint.KeyPrefix):]), Stamp: c.Stamp})
				}
			}
		}
		if !n.pause(ctx, watchBetween) {
			return
		}
	}
}

// rescan lists all jobs, when the changes since the last look are not kept any
// more, and returns the revision to go on from.
func (n *Node) rescan(ctx context.Context, since unit.Version) unit.Version {
	items, rev, err := n.store.List(ctx, checkpoint.KeyPrefix)
	if n.note(err) != nil {
		return since
	}
	for _, it := range items {
		n.post(ctx, Noticed{Job: unit.JobID(it.Key[len(checkpoint.KeyPrefix):]), Stamp: it.Stamp})
	}
	return rev
}

// leadsSince tells whether this node still leads in the term that began with
// the epoch, or has done so a moment ago; raises of the token keep the term.
func (n *Node) leadsSince(epoch unit.Epoch) bool {
	e := n.view.Load().epoch
	return e >= epoch
}

func (n *Node) readJob(ctx context.Context, id unit.JobID) {
	item, err := n.store.Get(ctx, checkpoint.Key(id))
	values := map[int][]byte{}
	for _, k := range checkpoint.PartNumbers(item.Value) {
		if err != nil {
			break
		}
		var part statestore.Item
		part, err = n.store.Get(ctx, checkpoint.PartKey(id, k))
		values[k] = part.Value
	}
	n.post(ctx, JobRead{Job: id, OK: n.note(err) == nil, Item: item, Parts: values})
}

// commit applies a transaction of the leader and finds out what became of it.
// Without an answer it is sent again: its guards name the versions it changes,
// so it is applied at most once, and a conflict after an unanswered try is
// settled by reading back.
func (n *Node) commit(ctx context.Context, c Commit) {
	unsure := false
	for {
		v, err := n.store.Commit(ctx, c.Txn)
		done := Committed{Kind: c.Kind, Epoch: c.Epoch, Outcome: outcomeOf(n.note(err)), Version: v}
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
		case errors.As(err, &conflict):
			done = n.settle(ctx, c, done, conflict, unsure)
		case errors.Is(err, statestore.ErrUncertain) || unsure:
			unsure = unsure || errors.Is(err, statestore.ErrUncertain)
			if !n.leadsSince(c.Epoch) || !n.pause(ctx, retryUnsure) {
				return
			}
			continue
		case errors.Is(err, statestore.ErrMalformed):
			done.TooLarge = beyond(c.Txn, n.set.Params.State.Tight())
			n.met.TooLarge.Inc()
			key, size := largest(c.Txn)
			n.log.Error("transaction refused", "epoch", c.Epoch, "writes", len(c.Txn.Writes), "largest", key, "bytes", size, "beyond_next", done.TooLarge, "err", err)
		}
		n.post(ctx, done)
		return
	}
}

// largest returns the key of the largest value of a transaction, and its size.
func largest(t statestore.Txn) (string, int) {
	key, size := "", 0
	for _, w := range t.Writes {
		if n := statestore.JSONSize(w.Value); n > size {
			key, size = w.Set, n
		}
	}
	return key, size
}

// beyond tells whether a transaction is larger than the limits allow.
func beyond(t statestore.Txn, limits config.State) bool {
	_, size := largest(t)
	return size > limits.ValueBytes() || len(t.Writes) > limits.TxnOps
}

// settle judges a conflict. If the leader guard failed, this node is deposed.
// After an unanswered try, a key that has moved on was moved by that try: only
// the leader of this epoch changes these keys.
func (n *Node) settle(ctx context.Context, c Commit, done Committed, conflict *statestore.ConflictError, unsure bool) Committed {
	done.Outcome, done.Failed = leadership.Refused, conflict.Failed
	for _, key := range conflict.Failed {
		if key == leadership.Key {
			done.Outcome = leadership.Gone
			return done
		}
	}
	if !unsure {
		return done
	}
	for {
		item, err := n.store.Get(ctx, c.Txn.Writes[0].Set)
		if n.note(err) == nil {
			if item.Stamp > c.Txn.Guards[1].Stamp {
				done.Outcome, done.Version, done.Failed = leadership.OK, item.Stamp, nil
			}
			return done
		}
		if !n.leadsSince(c.Epoch) || !n.pause(ctx, retryUnsure) {
			return done
		}
	}
}

// do sends a direct command to a worker.
func (n *Node) do(ctx context.Context, e Do) {
	done := DoDone{Machine: e.Machine, Epoch: e.Epoch}
	n.doing <- struct{}{}
	defer func() { <-n.doing }()
	if body, err := fleet.EncodeDo(e.Epoch, e.Session, e.Orders); err == nil {
		done.Report, err = n.sendDo(ctx, e.Addr, body)
		if err != nil {
			n.log.Debug("direct command not answered", "machine", e.Machine, "epoch", e.Epoch, "err", err)
		}
	}
	n.post(ctx, done)
}

func (n *Node) sendDo(ctx context.Context, addr string, body []byte) (*fleet.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	status, data, err := wire.Exchange(n.worker, req, 4*fleet.MaxBody)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, fmt.Errorf("status %d", status)
	}
	return fleet.DecodeReport(data)
}

func (n *Node) hire(ctx context.Context, e CallHire) {
	sent := n.clock.Now()
	ids, err := n.cloud.Hire(ctx, e.Name, e.Offer, e.Count)
	n.post(ctx, HireDone{Name: e.Name, Offer: e.Offer, Sent: sent, Machines: ids, Verdict: n.verdictOf(err)})
}

func (n *Node) verdictOf(err error) rental.Verdict {
	switch {
	case err == nil:
		return rental.Granted
	case errors.Is(err, rental.ErrNoCapacity):
		return rental.NoneLeft
	case errors.Is(err, rental.ErrBusy):
		n.met.Throttled.Inc()
		return rental.Deferred
	case errors.Is(err, rental.ErrMalformed):
		n.log.Error("rental refused", "err", err)
		return rental.Impossible
	}
	n.met.Uncertain.Inc()
	return rental.Uncertain
}

func (n *Node) release(ctx context.Context, ids []unit.MachineID) {
	err := n.cloud.Release(ctx, ids)
	if err != nil {
		n.log.Info("release not answered", "machines", ids, "err", err)
	}
	n.post(ctx, ReleaseDone{Machines: ids, OK: err == nil})
}

func (n *Node) list(ctx context.Context) {
	done := ListDone{Sent: n.clock.Now(), OK: true}
	since, more := unit.MachineID(""), true
	for more && done.OK {
		page, next, err := n.cloud.List(ctx, since)
		if err != nil {
			done.OK = false
			break
		}
		done.Machines = append(done.Machines, page...)
		if more = next; more {
			since = page[len(page)-1].ID
		}
	}
	n.post(ctx, done)
}

func (n *Node) flavors(ctx context.Context) {
	types, err := n.cloud.Flavors(ctx)
	if err != nil {
		n.log.Info("machine types can't be read", "err", err)
		types = n.keptFlavors(ctx)
	} else {
		n.keepFlavors(ctx, types)
	}
	n.post(ctx, FlavorsDone{Types: types})
}

// flavorsKey keeps the machine types, so that a node that starts while the
// cloud is down can still tell what may run.
const flavorsKey = "flavors"

// keptFlavors reads the machine types that a leader has kept, or nil. A node
// that knows them from the cloud keeps what it knows.
func (n *Node) keptFlavors(ctx context.Context) []*fleet.Type {
	if n.view.Load().types != nil {
		return nil
	}
	item, err := n.store.Get(ctx, flavorsKey)
	if n.note(err) != nil || item.Stamp == 0 {
		return nil
	}
	types, err := rental.DecodeTypes(item.Value)
	if err != nil {
		n.log.Warn("kept machine types can't be read", "err", err)
		return nil
	}
	n.log.Info("machine types taken from those kept", "types", len(types))
	return types
}

// keepFlavors stores the machine types once a term, if this node leads.
func (n *Node) keepFlavors(ctx context.Context, types []*fleet.Type) {
	epoch := n.view.Load().epoch
	value := rental.EncodeTypes(types)
	if epoch == 0 || n.kept.Load() || statestore.JSONSize(value) > n.set.Params.State.Tight().ValueBytes() ||
		!n.budget.TakeWrites(n.clock.Now(), statestore.UseFold, 1) {
		return
	}
	_, err := n.store.Commit(ctx, statestore.Txn{
		Guards: []statestore.Guard{{Key: leadership.Key, Stamp: unit.Version(epoch)}},
		Writes: []statestore.Write{{Set: flavorsKey, Value: value}},
	})
	if n.note(err) == nil {
		n.kept.Store(true)
	}
}
