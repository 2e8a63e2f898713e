package controller

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/intake"
	"badgerbay/internal/leadership"
	"badgerbay/internal/mesh"
	"badgerbay/internal/rollout"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

const (
	// sentBack: a worker that comes back so soon after it was sent to the
	// leader could not reach it, and is relayed.
	sentBack = 20 * time.Second
	// tryLeader is how long a worker is relayed before it is sent to the
	// leader once more.
	tryLeader = 45 * time.Second
	// relayEvery is the least time between two batches through the state
	// service; relayWait bounds the wait for the answers to one.
	relayEvery  = 500 * time.Millisecond
	relayWait   = 2 * time.Second
	relayGather = 400 * time.Millisecond
	relayQueue  = 512
	// answerMargin is left free of a value by batches and answers: one eighth at
	// most.
	answerMargin = 1024
)

// relayDesk remembers which workers were sent to the leader, and which of them
// are relayed because they could not reach it.
type relayDesk struct {
	mu      sync.Mutex
	workers map[unit.MachineID]*relayed
}

type relayed struct {
	leader string
	sent   unit.Instant // to the leader
	since  unit.Instant // relayed since; 0: not
	late   bool         // the leader could not be reached over the mesh either
}

// direct tells whether a worker should be sent to the leader rather than be
// relayed. meshWorks tells whether the leader is reached over the mesh.
func (d *relayDesk) direct(now unit.Instant, id unit.MachineID, leader string, meshWorks func() bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workers == nil {
		d.workers = map[unit.MachineID]*relayed{}
	}
	if len(d.workers) > 10_000 {
		clear(d.workers)
	}
	w := d.workers[id]
	switch {
	case w == nil, w.leader != leader:
		// Where the last leader was out of reach, the next may not be.
		d.workers[id] = &relayed{leader: leader, sent: now}
		return true
	case w.since != 0:
		if now.Sub(w.since) < tryLeader || w.late && !meshWorks() {
			return false
		}
	case now.Sub(w.sent) < sentBack:
		w.since = now
		return false
	}
	w.sent, w.since, w.late = now, 0, false
	return true
}

func (d *relayDesk) noteLate(id unit.MachineID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.workers[id]; w != nil {
		w.late = true
	}
}

// relayItem waits for the leader's answer through the state service.
type relayItem struct {
	report *fleet.Report
	ask    unit.JobID
	answer chan mesh.Answer
	state  chan mesh.AskState
	until  unit.Instant
}

// relayReport brings a report to the leader: over the mesh, or, when that is
// cut, through the state service.
func (n *Node) relayReport(ctx context.Context, leader string, r *fleet.Report) ReplyReport {
	refused := ReplyReport{Code: http.StatusServiceUnavailable}
	if a, err := n.relayMesh(ctx, leader, r); err == nil {
		return fromAnswer(a)
	}
	n.relays.noteLate(r.Machine)
	item := relayItem{report: r, answer: make(chan mesh.Answer, 1), until: n.clock.Now().Add(reportBudget)}
	select {
	case n.relayOut <- item:
	default:
		return refused
	}
	select {
	case a := <-item.answer:
		return fromAnswer(a)
	case <-ctx.Done():
		return refused
	}
}

func fromAnswer(a mesh.Answer) ReplyReport {
	return ReplyReport{Code: a.Code, Epoch: a.Epoch, Orders: a.Unpack(), Relayed: true}
}

func (n *Node) relayMesh(ctx context.Context, leader string, r *fleet.Report) (mesh.Answer, error) {
	if !n.meshWorks(leader) {
		return mesh.Answer{}, errors.New("the leader was not reached a moment ago")
	}
	data, err := msgpack.Marshal(mesh.Batch{Node: n.set.Label, Reports: []mesh.Report{mesh.Pack(r)}})
	if err != nil {
		return mesh.Answer{}, err
	}
	reply, err := n.peers.Relay(ctx, leader, data)
	n.noteMesh(leader, err)
	if err != nil {
		return mesh.Answer{}, err
	}
	answers, err := mesh.DecodeAnswers(reply)
	if err != nil || len(answers.Reports) != 1 {
		return mesh.Answer{}, errors.New("no answer")
	}
	return answers.Reports[0], nil
}

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

// relayAsk withdraws a job through the state service.
func (n *Node) relayAsk(ctx context.Context, id unit.JobID) intake.Told {
	item := relayItem{ask: id, state: make(chan mesh.AskState, 1), until: n.clock.Now().Add(reportBudget)}
	select {
	case n.relayOut <- item:
	default:
		return intake.Told{Outcome: intake.NoLeader}
	}
	select {
	case s := <-item.state:
		if s.Standing != "" {
			return intake.Told{Outcome: intake.Known, Status: intake.Status{Standing: intake.Standing(s.Standing), Done: s.Done}}
		}
	case <-ctx.Done():
	}
	return intake.Told{Outcome: intake.NoLeader}
}

// relayDown serves the batches of cut-off nodes while this node leads. The
// answers are guarded by the epoch like every write of the leader.
func (n *Node) relayDown(ctx context.Context, epoch unit.Epoch, since unit.Version) {
	answered := answeredBatches{}
	for n.leadsSince(epoch) && ctx.Err() == nil {
		log, next, err := n.store.Watch(ctx, mesh.UpPrefix, since, watchHold)
		if err != nil {
			if errors.Is(err, statestore.ErrCompacted) {
				since = 0
			}
			n.pause(ctx, watchBetween)
			continue
		}
		since = max(since, next)
		latest := map[string]statestore.Change{}
		for _, c := range log {
			if c.Set != "" {
				latest[c.Set] = c
			}
		}
		for key, c := range latest {
			n.serveUp(ctx, key[len(mesh.UpPrefix):], c, answered)
		}
	}
}

// answeredBatches holds, for each node, the last batch that was answered through
// the state service, and when the answers left.
type answeredBatches map[string]struct {
	id string
	at unit.Instant
}

// mostQuietMs bounds what a node may say of its quiet time: some decades.
const mostQuietMs = 1 << 40

// attest takes in what a node that is out of reach over the mesh says of its
// grant. It said so after it had seen the answers that it names, so that counts
// from when these left; a batch itself may be long on its way.
func (n *Node) attest(ctx context.Context, answered answeredBatches, b *mesh.Batch) {
	if last := answered[b.Node]; b.Echo != "" && last.id == b.Echo && b.QuietMs >= 0 && b.QuietMs < mostQuietMs {
		n.post(ctx, PeerSaid{Node: b.Node, Sent: last.at,
			Said: delegation.Said{Quiet: time.Duration(b.QuietMs) * time.Millisecond}, Form: b.Form})
	}
}

func (n *Node) serveUp(ctx context.Context, node string, c statestore.Change, answered answeredBatches) {
	if node == n.set.Label {
		return
	}
	b, err := mesh.ExpandBatch(c.Value)
	if err != nil {
		n.met.BadBatches.Inc()
		n.log.Warn("batch can't be read", "node", node, "err", err)
		return
	}
	b.Node = node
	n.attest(ctx, answered, b)
	answers := n.serveBatch(ctx, b)
	value, err := wire.Squeeze(answers)
	for err == nil && len(answers.Reports) > 0 && len(value) > n.relayRoom() {
		// What does not fit is answered by the next batch.
		answers.Reports = answers.Reports[:len(answers.Reports)/2]
		value, err = wire.Squeeze(answers)
	}
	if err != nil {
		n.log.Error("answers can't be encoded", "err", err)
		return
	}
	n.met.Relayed.Add(float64(len(answers.Reports)))
	last := answered[node]
	last.id, last.at = b.ID, n.clock.Now()
	answered[node] = last
	n.budget.TakeWrites(n.clock.Now(), statestore.UseLead, 1)
	_, err = n.store.Commit(ctx, statestore.Txn{
		Guards: []statestore.Guard{{Key: leadership.Key, Stamp: unit.Version(n.view.Load().epoch)}},
		Writes: []statestore.Write{{Set: mesh.DownPrefix + node, Value: value}},
	})
	if n.note(err) != nil {
		n.log.Debug("relayed answers not stored", "node", node, "err", err)
	}
}

// serveBatch lets the core answer what another node hands over. An answer may
// reach its worker late; that is safe, since a lease counts from when the
// report was sent, and that was before the core took it in.
func (n *Node) serveBatch(ctx context.Context, b *mesh.Batch) *mesh.Answers {
	ctx, cancel := context.WithTimeout(ctx, relayGather)
	defer cancel()
	out := &mesh.Answers{ID: b.ID}
	tickets := make([]chan ReplyReport, len(b.Reports))
	if b.Node == "" {
		b.Node = "?" // of a node that does not say
	}
	for i := range b.Reports {
		if r, err := b.Reports[i].Unpack(); err == nil {
			tickets[i] = make(chan ReplyReport, 1)
			if !n.offer(Reported{Ticket: tickets[i], Report: r, Via: b.Node}) {
				tickets[i] = nil
			}
		}
	}
	states := make([]chan mesh.AskState, len(b.Asks))
	for i, a := range b.Asks {
		states[i] = make(chan mesh.AskState, 1)
		go func() {
			s := mesh.AskState{Job: a.Job}
			if t := n.askCore(ctx, a.Job, true); t.Outcome == intake.Known {
				s.Standing, s.Done = string(t.Status.Standing), t.Status.Done
			}
			states[i] <- s
		}()
	}
	for i, ticket := range tickets {
		a := mesh.Answer{Machine: b.Reports[i].Machine, Code: http.StatusServiceUnavailable}
		if ticket != nil {
			select {
			case reply := <-ticket:
				if reply.Code == http.StatusOK && n.clock.Now().Before(reply.Until) {
					a.Code, a.Epoch, a.Orders = http.StatusOK, reply.Epoch, mesh.PackOrders(reply.Orders)
				}
			case <-ctx.Done():
			}
		}
		out.Reports = append(out.Reports, a)
	}
	for _, s := range states {
		out.Asks = append(out.Asks, <-s)
	}
	return out
}
