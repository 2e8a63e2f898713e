package controller

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"badgerbay/internal/mesh"
	"badgerbay/internal/rollout"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
	"badgerbay/internal/wire"
)

// relayUp is the actor that carries what waits to the leader through the state
// service, one batch at a time.
func (n *Node) relayUp(ctx context.Context) {
	var queue []relayItem
	seq, echo := 0, ""
	nonce := strconv.FormatInt(time.Now().UnixNano(), 36)
	for {
		if len(queue) == 0 {
			select {
			case item := <-n.relayOut:
				queue = append(queue, item)
			case <-ctx.Done():
				return
			}
		}
		begun := n.clock.Now()
		n.pause(ctx, relayEvery/4)
		queue = n.drainRelay(queue)
		seq++
		id := nonce + "-" + strconv.Itoa(seq)
		batch, sent, rest := n.batch(id, echo, queue)
		queue = rest
		if len(sent) > 0 && n.exchange(ctx, id, batch, sent) {
			echo = id
		}
		if left := relayEvery - n.clock.Now().Sub(begun); left > 0 && !n.pause(ctx, left) {
			return
		}
	}
}

func (n *Node) drainRelay(queue []relayItem) []relayItem {
	for {
		select {
		case item := <-n.relayOut:
			queue = append(queue, item)
		default:
			return queue
		}
	}
}

// batch squeezes as much of the queue as one value holds, asks first, and drops
// what has waited too long.
func (n *Node) batch(id, echo string, queue []relayItem) (value wire.Packed, sent, rest []relayItem) {
	now := n.clock.Now()
	var waiting []relayItem
	for _, item := range queue {
		if now.Before(item.until) {
			waiting = append(waiting, item)
		}
	}
	slices.SortStableFunc(waiting, func(a, b relayItem) int { return cmp.Compare(a.kind(), b.kind()) })
	limit := n.relayRoom()
	for count := len(waiting); count > 0; {
		value, err := wire.Squeeze(n.batchOf(id, echo, waiting[:count]))
		switch {
		case err != nil:
			n.log.Error("batch can't be encoded", "err", err)
			return "", nil, nil
		case len(value) <= limit:
			return value, waiting[:count], waiting[count:]
		case count == 1:
			return "", nil, nil // of one machine, and too large: it is of no use
		}
		count = max(1, min(count-1, count*limit/len(value)))
	}
	return "", nil, nil
}

// relayRoom is how large a batch or its answers may be: below the limits of the
// state service that hold now, and below those to come.
func (n *Node) relayRoom() int {
	v := n.set.Params.State.Tight().ValueBytes()
	return v - min(answerMargin, v/8)
}

func (n *Node) batchOf(id, echo string, items []relayItem) *mesh.Batch {
	quiet := n.clock.Now().Sub(unit.Instant(n.quietSince.Load()))
	b := &mesh.Batch{ID: id, Node: n.set.Label, Echo: echo, QuietMs: quiet.Milliseconds(), Form: rollout.Newest}
	for _, item := range items {
		if item.report != nil {
			b.Reports = append(b.Reports, mesh.Pack(item.report))
		} else {
			b.Asks = append(b.Asks, mesh.Ask{Job: item.ask})
		}
	}
	return b
}

// kind sorts what users ask before reports.
func (i *relayItem) kind() int {
	if i.report != nil {
		return 1
	}
	return 0
}

// exchange writes a batch and waits for the leader's answers to it; it tells
// whether they came.
func (n *Node) exchange(ctx context.Context, id string, batch wire.Packed, sent []relayItem) bool {
	if !n.budget.TakeWrites(n.clock.Now(), statestore.UseSubmit, 1) {
		return false
	}
	key := mesh.UpPrefix + n.set.Label
	since, err := n.store.Commit(ctx, statestore.Txn{Writes: []statestore.Write{{Set: key, Value: batch}}})
	if n.note(err) != nil {
		return false
	}
	until := n.clock.Now().Add(relayWait)
	for n.clock.Now().Before(until) && ctx.Err() == nil {
		log, next, err := n.store.Watch(ctx, mesh.DownPrefix+n.set.Label, since, until.Sub(n.clock.Now()))
		if n.note(err) != nil {
			return false
		}
		since = max(since, next)
		for _, c := range log {
			a, err := mesh.ExpandAnswers(c.Value)
			if err != nil {
				n.met.BadBatches.Inc()
				continue
			}
			if a.ID == id {
				deliver(a, sent)
				return true
			}
		}
	}
	return false
}

func deliver(a *mesh.Answers, sent []relayItem) {
	for _, item := range sent {
		if item.report == nil {
			for _, s := range a.Asks {
				if s.Job == item.ask {
					item.state <- s
					break
				}
			}
			continue
		}
		for _, r := range a.Reports {
			if r.Machine == item.report.Machine {
				item.answer <- r
				break
			}
		}
	}
}

// relayAsk cancels a job through the state service.
func (n *Node) relayAsk(ctx context.Context, id unit.JobID) userapi.Told {
	item := relayItem{ask: id, state: make(chan mesh.AskState, 1), until: n.clock.Now().Add(reportBudget)}
	select {
	case n.relayOut <- item:
	default:
		return userapi.Told{Outcome: userapi.NoLeader}
	}
	select {
	case s := <-item.state:
		if s.Standing != "" {
			return userapi.Told{Outcome: userapi.Known, Status: userapi.Status{Standing: userapi.Standing(s.Standing), Done: s.Done}}
		}
	case <-ctx.Done():
	}
	return userapi.Told{Outcome: userapi.NoLeader}
}
