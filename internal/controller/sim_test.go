package controller

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/intake"
	"badgerbay/internal/leadership"
	"badgerbay/internal/policy"
	"badgerbay/internal/rental"
	"badgerbay/internal/standin"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/vouch"
)

// sim plays nodes against the stand-ins in simulated time: messages take time,
// get lost, come twice or late; nodes crash and start again. It checks the
// rules at every change on a machine.
type sim struct {
	t     *testing.T
	rng   *rand.Rand
	now   unit.Instant
	queue events
	seq   int
	set   *config.Settings
	pol   *policy.Policy
	state *standin.State
	cloud *standin.Cloud
	nodes []*simNode
	jobs  map[unit.JobID]*simJob
	on    map[unit.TaskID]unit.MachineID
	zones map[unit.TaskID]unit.Zone
	// loss is the chance that an answer is lost; dup that a direct command
	// is executed once more, much later.
	loss, dup float64
	cut       map[int]bool // nodes that the workers can't reach
	starts    int
	hung      map[unit.MachineID]unit.Instant // machines that hang, and until when
	deaf      map[unit.MachineID]unit.Instant // machines that nothing reaches, though their reports arrive
	frozen    map[int]unit.Instant            // nodes that stand still while their clocks run on, and until when
	held      []func()                        // what waits for the cut to end
	zoneCut   unit.Zone                       // cut off from everything outside it
	alone     map[int]bool                    // nodes without state service, and what follows from it
	late      float64                         // the chance that a report comes once more, late
	lateBy    time.Duration                   // how late at most
	crashAt   int                             // the leader crashes before this many of its next effects
	electAt   int                             // likewise, any node before a request of its election; it is back at once
}

type simNode struct {
	index int
	zone  unit.Zone
	name  string
	core  *Core
	life  int
	alive bool
	view  unit.Epoch
}

type simJob struct {
	spec      checkpoint.Spec
	run       time.Duration
	submitted bool
	cancelled unit.Instant // when its user was told
	told      intake.Standing
	heard     unit.Instant // when its user was last answered
	accepted  unit.Instant
	began     unit.Instant // 0: no task has started
}

type event struct {
	at  unit.Instant
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type simClock struct{ s *sim }

func (c simClock) Now() unit.Instant { return c.s.now }
func (c simClock) Wall() time.Time   { return time.UnixMilli(1_700_000_000_000 + int64(c.s.now)/1e6) }

func simSettings() *config.Settings {
	return &config.Settings{Label: "n0", Params: config.Params{Nodes: 3, Zones: []unit.Zone{"a", "b"},
		Teams:      []config.Team{{Name: "red", CPUs: 16, CPUsMax: 40}, {Name: "blue", CPUs: 16, CPUsMax: 24}},
		Objectives: []config.Objective{{Kind: "wait", Class: "svc", WithinS: 5}},
		Workers:    config.Workers{ReportS: 3, LeaseS: 27, CancelS: 50},
		State:      config.State{RPS: 80, WriteRPS: 25, ValueKB: 8, TxnOps: 8},
		Cloud:      config.Cloud{RPS: 5, ListLagS: 1}}}
}

func newSim(t *testing.T, seed uint64) *sim {
	pol, err := policy.Default()
	if err != nil {
		t.Fatal(err)
	}
	types := []*fleet.Type{
		{Name: "small", Capacity: checkpoint.Resources{CPUs: 4, MemoryGB: 16}, Price: 0.2, SpotPrice: 0.05, Boot: 8 * time.Second, Zones: []unit.Zone{"a", "b"}},
		{Name: "large", Capacity: checkpoint.Resources{CPUs: 16, MemoryGB: 64}, Price: 0.8, SpotPrice: 0.2, Boot: 5 * time.Second, Zones: []unit.Zone{"a", "b"}}}
	capacity := map[rental.Offer]int{}
	for _, ty := range types {
		for _, z := range ty.Zones {
			capacity[rental.Offer{Type: ty.Name, Zone: z}] = 3
			capacity[rental.Offer{Type: ty.Name, Zone: z, Spot: true}] = 2
		}
	}
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: unit.Instant(time.Hour), set: simSettings(), pol: pol,
		state: standin.NewState(), cloud: standin.NewCloud(types, capacity), jobs: map[unit.JobID]*simJob{},
		on: map[unit.TaskID]unit.MachineID{}, zones: map[unit.TaskID]unit.Zone{}, cut: map[int]bool{},
		hung: map[unit.MachineID]unit.Instant{}, deaf: map[unit.MachineID]unit.Instant{}, alone: map[int]bool{}, frozen: map[int]unit.Instant{}, lateBy: 40 * time.Second}
	s.cloud.Boot = func() time.Duration { return time.Duration(2+s.rng.IntN(10)) * time.Second }
	s.state.ValueBytes, s.state.TxnOps = s.set.Params.State.ValueBytes(), s.set.Params.State.TxnOps
	for i := range 3 {
		s.nodes = append(s.nodes, &simNode{index: i, name: fmt.Sprintf("n%d", i), zone: s.set.Params.Zones[i%2]})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.every(100*time.Millisecond, s.world)
	s.every(time.Second, s.peers)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) latency() time.Duration { return time.Duration(1+s.rng.IntN(15)) * time.Millisecond }
func (s *sim) lost() bool             { return s.rng.Float64() < s.loss }

// run plays until d has passed.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) start(n *simNode) {
	set := *s.set
	set.Label, set.Location = n.name, string(n.zone)
	for _, p := range s.nodes {
		if p != n {
			set.Peers = append(set.Peers, config.Peer{Label: p.name, Location: string(p.zone)})
		}
	}
	n.life++
	n.alive = true
	life := n.life
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.core = NewCore(&set, s.pol, simClock{s}, statestore.NewBudget(3, 80, 25),
		rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())), log, NewMetrics())
	var tick func()
	tick = func() {
		if n.alive && n.life == life {
			s.step(n, Tick{})
			s.after(50*time.Millisecond, tick)
		}
	}
	tick()
}

// severed tells whether nothing passes between two places; "" is the region,
// where the state service and the cloud are.
func (s *sim) severed(a, b unit.Zone) bool {
	return s.zoneCut != "" && (a == s.zoneCut) != (b == s.zoneCut)
}

// stateless tells whether a node does not reach the state service.
func (s *sim) stateless(n *simNode) bool { return s.alone[n.index] || s.severed(n.zone, "") }

// meets tells whether one node reaches another over the mesh.
func (s *sim) meets(a, b *simNode) bool {
	return a.alive && b.alive && !s.alone[a.index] && !s.alone[b.index] && !s.severed(a.zone, b.zone)
}

// peers lets the nodes ask each other for grants, and find out what they are
// cut off from.
func (s *sim) peers() {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		from, reached, stateful := vouch.Connected, 0, false
		for _, p := range s.nodes {
			if p != n && s.meets(n, p) && !s.lost() {
				reached++
				stateful = stateful || !s.stateless(p) && !s.state.Down
				s.askPeer(n, p)
			}
		}
		if s.stateless(n) || s.state.Down {
			from = vouch.Alone
			if reached == 2 && !stateful {
				from = vouch.Outage
			}
		}
		s.step(n, Isolated{From: from})
		s.step(n, MeshCut{On: reached < len(s.nodes)-1})
	}
}

func (s *sim) askPeer(n, p *simNode) {
	life, sent := n.life, s.now
	s.after(s.latency(), func() {
		if p.alive {
			s.step(p, PeerAsked{Node: n.name, Ticket: func(r ReplyPeer) {
				s.reply(n, life, PeerSaid{Node: p.name, Sent: sent, Said: r.Said})
			}})
		}
	})
}

func (s *sim) crash(n *simNode, back time.Duration) {
	n.alive = false
	n.life++
	s.after(back, func() {
		if !n.alive {
			s.start(n)
		}
	})
}

func (s *sim) step(n *simNode, in Input) {
	if until := s.frozen[n.index]; s.now.Before(until) {
		// It queues, and finds a process that woke with its clocks run on.
		life := n.life
		s.after(until.Sub(s.now), func() {
			if n.alive && n.life == life {
				s.step(n, in)
			}
		})
		return
	}
	for _, e := range n.core.Step(s.now, in) {
		if _, ok := e.(DoLead); ok && s.electAt > 0 {
			if s.electAt--; s.electAt == 0 {
				s.carryOut(n, e) // it left, and the answer finds another process
				s.crash(n, time.Duration(5+s.rng.IntN(300))*time.Millisecond)
				return
			}
		}
		if n.core.lead.Leads() && s.crashAt > 0 && changes(e) {
			if s.crashAt--; s.crashAt == 0 {
				s.crash(n, 3*time.Second)
				return
			}
		}
		s.carryOut(n, e)
	}
	n.view = n.core.lead.Epoch()
}

// reply posts the answer to an effect, unless the process has ended.
func (s *sim) reply(n *simNode, life int, in Input) {
	s.after(s.latency(), func() {
		if n.alive && n.life == life {
			s.step(n, in)
		}
	})
}

func (s *sim) carryOut(n *simNode, e Effect) {
	life := n.life
	switch e := e.(type) {
	case ReplyReport:
		e.Ticket.(func(ReplyReport))(e)
	case ReplyAsk:
		e.Ticket.(func(ReplyAsk))(e)
	case ReplyPeer:
		e.Ticket.(func(ReplyPeer))(e)
	case DoLead:
		s.after(s.latency(), func() { s.doLead(n, life, e.Effect) })
	case LoadAll:
		s.after(s.latency(), func() {
			jobs, _, err := s.state.List(checkpoint.KeyPrefix)
			rounds, _, err2 := s.state.List(round0)
			s.reply(n, life, Loaded{Epoch: e.Epoch, OK: err == nil && err2 == nil && !s.stateless(n), Jobs: jobs, Rounds: rounds})
		})
	case ReadJob:
		s.after(s.latency(), func() {
			item, err := s.state.Get(checkpoint.Key(e.Job))
			s.reply(n, life, JobRead{Job: e.Job, OK: err == nil && !s.stateless(n), Item: item})
		})
	case Commit:
		s.after(s.latency(), func() { s.commit(n, life, e, false) })
	case Do:
		s.do(n, life, e)
	default:
		s.callCloud(n, life, e)
	}
}

const round0 = "round/"

// sent tells whether the answer to a request comes; if not, the request is
// executed at once, later, or never.
func (s *sim) sent(do func()) bool {
	if !s.lost() {
		do()
		return true
	}
	switch s.rng.IntN(3) {
	case 0:
		do()
	case 1:
		s.after(time.Duration(s.rng.IntN(20_000))*time.Millisecond, do)
	}
	return false
}

func (s *sim) doLead(n *simNode, life int, e leadership.Effect) {
	sent := s.now
	if s.stateless(n) {
		s.after(1500*time.Millisecond, func() { s.unanswered(n, life, e, sent) })
		return
	}
	switch e := e.(type) {
	case leadership.ReadKey:
		h, stamp, err := s.holder()
		s.reply(n, life, Lead{leadership.KeyRead{OK: err == nil, Holder: h, Stamp: stamp}})
	case leadership.GrantLease:
		tenure, err := s.state.Grant(s.now, e.Life)
		s.reply(n, life, Lead{leadership.Granted{OK: err == nil, Tenure: tenure, Sent: sent}})
	case leadership.Renew:
		var err error
		if !s.sent(func() { err = s.state.Extend(s.now, e.Tenure) }) {
			err = statestore.ErrUncertain
		}
		s.reply(n, life, Lead{leadership.Renewed{Outcome: outcomeOf(err), Sent: sent}})
	case leadership.Acquire:
		v, err := s.tryCommit(holderTxn(e.Prev, e.Holder, e.Tenure))
		s.reply(n, life, Lead{leadership.Acquired{Outcome: outcomeOf(err), Epoch: unit.Epoch(v)}})
	case leadership.Reseal:
		v, err := s.tryCommit(holderTxn(e.Prev, e.Holder, e.Tenure))
		if err == nil {
			s.reply(n, life, Lead{leadership.Resealed{Outcome: leadership.OK, Epoch: unit.Epoch(v)}})
			return
		}
		s.after(150*time.Millisecond, func() { s.readBackSeal(n, life, e) })
	case leadership.HandOver:
		if _, err := s.tryCommit(holderTxn(e.Prev, e.Holder, e.Tenure)); err != nil {
			s.state.Revoke(e.Tenure)
		}
	case leadership.Release:
		s.state.Revoke(e.Tenure)
	}
}

// unanswered is what comes of a request that does not reach the state service.
func (s *sim) unanswered(n *simNode, life int, e leadership.Effect, sent unit.Instant) {
	switch e := e.(type) {
	case leadership.ReadKey:
		s.reply(n, life, Lead{leadership.KeyRead{}})
	case leadership.GrantLease:
		s.reply(n, life, Lead{leadership.Granted{Sent: sent}})
	case leadership.Renew:
		s.reply(n, life, Lead{leadership.Renewed{Outcome: leadership.Unknown, Sent: sent}})
	case leadership.Acquire:
		s.reply(n, life, Lead{leadership.Acquired{Outcome: leadership.Unknown}})
	case leadership.Reseal:
		s.readBackSeal(n, life, e)
	}
}

func (s *sim) readBackSeal(n *simNode, life int, e leadership.Reseal) {
	h, stamp, err := s.holder()
	switch {
	case !n.alive || n.life != life || n.core.lead.Epoch() != e.Prev:
	case err != nil || s.stateless(n):
		s.after(150*time.Millisecond, func() { s.readBackSeal(n, life, e) })
	case h != e.Holder:
		s.reply(n, life, Lead{leadership.Deposed{}})
	case stamp > e.Prev:
		s.reply(n, life, Lead{leadership.Resealed{Outcome: leadership.OK, Epoch: stamp}})
	default:
		s.reply(n, life, Lead{leadership.Resealed{Outcome: leadership.Refused}})
	}
}

func (s *sim) holder() (leadership.Holder, unit.Epoch, error) {
	item, err := s.state.Get(leadership.Key)
	var h leadership.Holder
	if err == nil && item.Stamp != 0 {
		err = msgpack.Unmarshal(item.Value, &h)
	}
	return h, unit.Epoch(item.Stamp), err
}

func (s *sim) tryCommit(t statestore.Txn) (unit.Version, error) {
	var v unit.Version
	var err error
	if !s.sent(func() { v, err = s.state.Commit(t) }) {
		return 0, statestore.ErrUncertain
	}
	return v, err
}

// commit does what Node.commit does: an unanswered transaction is sent again,
// and a conflict after that is settled by reading back.
func (s *sim) commit(n *simNode, life int, c Commit, unsure bool) {
	if !n.alive || n.life != life {
		return
	}
	again := func(unsure bool) { s.after(150*time.Millisecond, func() { s.commit(n, life, c, unsure) }) }
	if s.stateless(n) {
		again(true)
		return
	}
	v, err := s.tryCommit(c.Txn)
	done := Committed{Kind: c.Kind, Epoch: c.Epoch, Outcome: outcomeOf(err), Version: v}
	var conflict *statestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		done.Failed = conflict.Failed
		for _, k := range conflict.Failed {
			if k == leadership.Key {
				done.Outcome = leadership.Gone
			}
		}
		if done.Outcome != leadership.Gone && unsure {
			item, err := s.state.Get(c.Txn.Writes[0].Set)
			if err != nil {
				again(true)
				return
			}
			if item.Stamp > c.Txn.Guards[1].Stamp {
				done.Outcome, done.Version, done.Failed = leadership.OK, item.Stamp, nil
			}
		}
	case errors.Is(err, statestore.ErrUncertain) || err != nil && unsure:
		again(true)
		return
	}
	s.reply(n, life, done)
}

func (s *sim) do(n *simNode, life int, e Do) {
	var exec func() *fleet.Report
	exec = func() *fleet.Report {
		if until := s.hung[e.Machine]; s.now.Before(until) {
			// Held by the machine, and executed when it goes on.
			s.after(until.Sub(s.now)+time.Millisecond, func() { exec() })
			return nil
		}
		if s.now.Before(s.deaf[e.Machine]) {
			return nil // it never arrives
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && s.severed(n.zone, h.Offer.Zone) {
			// Held by the network, and delivered when the cut ends.
			s.held = append(s.held, func() { exec() })
			return nil
		}
		if h := s.cloud.Machines[e.Machine]; h != nil && h.Worker != nil && !h.Failed {
			h.Worker.Advance(s.now)
			return h.Worker.Do(s.now, e.Epoch, e.Shift, e.Orders)
		}
		return nil
	}
	s.after(s.latency(), func() {
		var r *fleet.Report
		if !s.sent(func() { r = exec() }) || r == nil {
			r = nil
			s.after(3*time.Second, func() { s.reply(n, life, DoDone{Machine: e.Machine, Epoch: e.Epoch}) })
			return
		}
		s.reply(n, life, DoDone{Machine: e.Machine, Epoch: e.Epoch, Report: r})
		if s.rng.Float64() < s.dup {
			s.after(time.Duration(1+s.rng.IntN(60))*time.Second, func() { exec() })
		}
	})
}

// heal ends the cut of a zone; what it held arrives.
func (s *sim) heal() {
	s.zoneCut = ""
	held := s.held
	s.held = nil
	for _, do := range held {
		s.after(s.latency(), do)
	}
}

func (s *sim) callCloud(n *simNode, life int, e Effect) {
	if s.severed(n.zone, "") {
		s.after(5*time.Second, func() { s.cloudSilent(n, life, e) })
		return
	}
	s.after(50*time.Millisecond, func() {
		switch e := e.(type) {
		case CallHire:
			done := HireDone{Name: e.Name, Offer: e.Offer, Sent: s.now, Verdict: rental.Uncertain}
			var ids []unit.MachineID
			var err error
			if s.sent(func() { ids, err = s.cloud.Hire(s.now, e.Name, e.Offer, e.Count) }) {
				done.Machines = ids
				done.Verdict = map[bool]rental.Verdict{true: rental.Granted, false: rental.NoneLeft}[err == nil]
				if errors.Is(err, rental.ErrBusy) {
					done.Verdict = rental.Deferred
				}
			}
			s.reply(n, life, done)
		case CallRelease:
			var err error
			ok := s.sent(func() {
				if err = s.cloud.Release(e.Machines); err == nil {
					for _, id := range e.Machines {
						s.offMachine(id)
					}
				}
			})
			s.reply(n, life, ReleaseDone{Machines: e.Machines, OK: ok && err == nil})
		case CallList:
			list, err := s.cloud.List(s.now)
			s.reply(n, life, ListDone{OK: err == nil, Sent: s.now, Machines: list})
		case CallFlavors:
			s.reply(n, life, FlavorsDone{Types: s.cloud.Types})
		}
	})
}

// cloudSilent is what comes of a call that does not reach the cloud.
func (s *sim) cloudSilent(n *simNode, life int, e Effect) {
	switch e := e.(type) {
	case CallHire:
		s.reply(n, life, HireDone{Name: e.Name, Offer: e.Offer, Sent: s.now, Verdict: rental.Uncertain})
	case CallRelease:
		s.reply(n, life, ReleaseDone{Machines: e.Machines})
	case CallList:
		s.reply(n, life, ListDone{})
	case CallFlavors:
		s.reply(n, life, FlavorsDone{})
	}
}

func (s *sim) offMachine(id unit.MachineID) {
	for task, m := range s.on {
		if m == id {
			delete(s.on, task)
		}
	}
}

// take makes a machine vanish without notice.
func (s *sim) take(id unit.MachineID) {
	s.offMachine(id)
	s.cloud.Take(id)
}

// world lets time pass outside the nodes.
func (s *sim) world() {
	if s.state.Breach != "" {
		s.t.Fatalf("beyond the limits of the state service: %s", s.state.Breach)
	}
	s.state.Expire(s.now)
	lease := s.set.Params.Workers.Lease()
	for _, w := range s.cloud.Up(s.now, func(id unit.MachineID, h *standin.Host) *standin.Worker {
		var typ *fleet.Type
		for _, ty := range s.cloud.Types {
			if ty.Name == h.Offer.Type {
				typ = ty
			}
		}
		return standin.NewWorker(id, typ, h.Offer.Zone, h.Offer.Spot, lease, s.now)
	}) {
		w.Fetch = time.Second
		w.Seen = s.seen
		w.Spec = func(id unit.JobID) (*checkpoint.Spec, time.Duration, bool) {
			j := s.jobs[id]
			if j == nil || !j.submitted {
				return nil, 0, false
			}
			return &j.spec, j.run, true
		}
		s.reportLoop(w, s.rng.IntN(len(s.nodes)))
	}
	for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
		h := s.cloud.Machines[id]
		if h.Worker == nil || h.Failed {
			continue
		}
		if s.now.Before(s.hung[id]) {
			h.Worker.Expire(s.now)
		} else {
			h.Worker.Advance(s.now)
		}
	}
	for id, j := range s.jobs {
		if j.cancelled == 0 || s.now.Sub(j.cancelled) < s.set.Params.Workers.Cancel() {
			continue
		}
		for task, m := range s.on {
			if task.Job == id {
				s.t.Fatalf("ran_cancelled: %v on %s", task, m)
			}
		}
	}
}

// reportLoop sends a worker's reports to a node, and goes on to another when
// it is refused.
func (s *sim) reportLoop(w *standin.Worker, node int) {
	h := s.cloud.Machines[w.ID]
	if h == nil || h.Worker != w || h.Failed {
		return
	}
	if until := s.hung[w.ID]; s.now.Before(until) {
		s.after(until.Sub(s.now)+time.Millisecond, func() { s.reportLoop(w, node) })
		return
	}
	w.Advance(s.now)
	n, sent, shift, r := s.nodes[node], s.now, w.Shift, w.Report()
	interval := s.set.Params.Workers.ReportInterval()
	next := interval*3/4 + time.Duration(s.rng.Int64N(int64(interval/2)))
	answered := false
	follow := func(node int, d time.Duration) {
		if !answered {
			answered = true
			s.after(d, func() { s.reportLoop(w, node) })
		}
	}
	if s.rng.Float64() < s.late {
		// A copy that was held on its way; nobody waits for its answer.
		s.after(time.Second+time.Duration(s.rng.Int64N(int64(s.lateBy))), func() {
			if n.alive {
				s.step(n, Reported{Report: r, Ticket: func(ReplyReport) {}})
			}
		})
	}
	s.after(4*time.Second, func() { follow((node+1)%len(s.nodes), time.Second) })
	if s.severed(n.zone, w.Zone) {
		s.held = append(s.held, func() {
			if n.alive {
				s.step(n, Reported{Report: r, Ticket: func(ReplyReport) {}})
			}
		})
		return
	}
	if !n.alive || s.cut[node] || s.lost() {
		return
	}
	s.after(s.latency(), func() {
		if !n.alive {
			return
		}
		s.step(n, Reported{Report: r, Ticket: func(a ReplyReport) {
			s.after(s.latency(), func() {
				if s.cut[node] || s.severed(n.zone, w.Zone) || answered || s.now.Before(s.hung[w.ID]) || s.now.Before(s.deaf[w.ID]) {
					return
				}
				switch {
				case a.Code == 200:
					w.Advance(s.now)
					before := w.Seal
					if w.Answered(s.now, sent, shift, a.Epoch, a.Orders) && w.Seal > before {
						next = 500 * time.Millisecond
					}
					follow(node, next)
				case a.Code == 421 && a.Leader != "" && a.Leader != n.name:
					follow(int(a.Leader[1]-'0'), 200*time.Millisecond)
				default:
					follow((node+1)%len(s.nodes), time.Second)
				}
			})
		}})
	})
}

// seen checks the rules as a task comes to be on a machine.
func (s *sim) seen(_ unit.Instant, w *standin.Worker, id unit.TaskID, on bool) {
	if !on {
		if s.on[id] == w.ID {
			delete(s.on, id)
		}
		return
	}
	s.starts++
	j := s.jobs[id.Job]
	if m, twice := s.on[id]; twice && m != w.ID {
		s.t.Fatalf("ran_twice: %v on %s and %s", id, m, w.ID)
	}
	if j.cancelled != 0 && s.now.Sub(j.cancelled) > s.set.Params.Workers.Cancel() {
		s.t.Fatalf("ran_cancelled: %v starts", id)
	}
	if !j.spec.Allows(w.Type.Name, w.Zone, w.Spot) {
		s.t.Fatalf("wrong_place: %v on %s", id, w.ID)
	}
	if j.began == 0 {
		j.began = s.now
	}
	s.on[id], s.zones[id] = w.ID, w.Zone
	used, here := map[unit.Team]float64{}, 0
	for task := range s.on {
		o := s.jobs[task.Job]
		used[o.spec.Team] += o.spec.CPUs
		if task.Job != id.Job {
			continue
		}
		if s.zones[task] == w.Zone {
			here++
		} else if j.spec.OneZone {
			s.t.Fatalf("wrong_place: %v is not with the others", id)
		}
	}
	if j.spec.Spread && here > j.spec.ZoneCap() {
		s.t.Fatalf("wrong_place: %d of %v in %s", here, id.Job, w.Zone)
	}
	for _, team := range s.set.Params.Teams {
		if team.CPUsMax > 0 && used[team.Name] > team.CPUsMax {
			s.t.Fatalf("quota: %s uses %v", team.Name, used[team.Name])
		}
	}
}

// submit stores a job as any node does, and tells the nodes.
func (s *sim) submit(n int, spec checkpoint.Spec, run time.Duration) unit.JobID {
	id := unit.JobID(fmt.Sprintf("wk-%06d", n))
	j := &simJob{spec: spec, run: run}
	s.jobs[id] = j
	var try func()
	try = func() {
		key := checkpoint.Key(id)
		_, err := s.state.Commit(statestore.Txn{Guards: []statestore.Guard{{Key: key}},
			Writes: []statestore.Write{{Set: key, Value: checkpoint.NewRecord(spec, simClock{s}.Wall().UnixMilli())}}})
		if err != nil {
			s.after(time.Second, try)
			return
		}
		j.submitted, j.accepted = true, s.now
	}
	try()
	s.every(2*time.Second, func() {
		for _, node := range s.nodes {
			if node.alive && j.submitted && !j.over() && !s.severed(node.zone, "") {
				s.step(node, Noticed{Job: id})
				s.poll(node, id, j)
			}
		}
	})
	return id
}

func (j *simJob) over() bool { return j.told == intake.Done || j.told == intake.Cancelled }

func (s *sim) poll(n *simNode, id unit.JobID, j *simJob) {
	s.step(n, Asked{Job: id, Ticket: func(a ReplyAsk) {
		if a.Outcome == intake.Known && s.now.Before(a.Until) {
			s.hear(id, j, a.Status)
		}
	}})
}

// hear checks what a user is told against what was said before.
func (s *sim) hear(id unit.JobID, j *simJob, st intake.Status) {
	if j.over() && st.Standing != j.told {
		s.t.Fatalf("went_back: %s was %s and is %s", id, j.told, st.Standing)
	}
	if st.Standing == intake.Done && st.Done != j.spec.Tasks {
		s.t.Fatalf("not_done: %s has %d of %d", id, st.Done, j.spec.Tasks)
	}
	j.heard = s.now
	if st.Standing == intake.Cancelled && j.cancelled == 0 {
		j.cancelled = s.now
	}
	j.told = st.Standing
}

// withdraw asks until it is told.
func (s *sim) withdraw(id unit.JobID) {
	j := s.jobs[id]
	if j.over() {
		return
	}
	for _, n := range s.nodes {
		if n.alive && !s.severed(n.zone, "") {
			s.step(n, Asked{Job: id, Withdraw: true, Ticket: func(a ReplyAsk) {
				if a.Outcome == intake.Known && s.now.Before(a.Until) {
					s.hear(id, j, a.Status)
				}
			}})
		}
	}
	s.after(2*time.Second, func() { s.withdraw(id) })
}

func (s *sim) epochs() unit.Epoch {
	_, e, _ := s.holder()
	return e
}

func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.alive && n.core.lead.Entitled(s.now) {
			return n
		}
	}
	return nil
}

var (
	batch = checkpoint.Spec{Class: "arr", Team: "red", Priority: checkpoint.Standard, Tasks: 6, CPUs: 2, MemoryGB: 4,
		Image: "img", ImageGB: 1, EstimateS: 10, Spot: true}
	spread = checkpoint.Spec{Class: "svc", Team: "blue", Priority: checkpoint.Prod, Service: true, Tasks: 3, CPUs: 2,
		MemoryGB: 2, Image: "svc", ImageGB: 1, Spread: true}
	together = checkpoint.Spec{Class: "arr", Team: "blue", Priority: checkpoint.BestEffort, Tasks: 4, CPUs: 2, MemoryGB: 4,
		Image: "img2", ImageGB: 1, EstimateS: 10, OneZone: true, Spot: true}
)

func (s *sim) load() {
	n := 0
	for range 6 {
		s.submit(n, batch, 12*time.Second)
		s.submit(n+1, spread, 0)
		s.submit(n+2, together, 8*time.Second)
		n += 3
		s.run(8 * time.Second)
	}
}

// finish lets all faults end and checks that every job comes to its end.
func (s *sim) finish() {
	s.late = 0
	s.loss, s.dup, s.state.Down, s.cloud.Down = 0, 0, false, false
	s.cut, s.alone, s.frozen = map[int]bool{}, map[int]bool{}, map[int]unit.Instant{}
	s.heal()
	s.known()
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if s.jobs[id].spec.Service {
			s.withdraw(id)
		}
	}
	s.run(200 * time.Second)
	for id, j := range s.jobs {
		if !j.over() {
			s.t.Errorf("%s is still %q", id, j.told)
		}
	}
	if s.starts == 0 {
		s.t.Error("nothing_ran")
	}
	s.served()
	s.t.Logf("%d starts, %d machines left, %d changes written, epoch %d", s.starts, len(s.cloud.Machines), s.state.Writes, s.epochs())
}

// known lets 75 s pass and checks that every accepted job was answered in them.
func (s *sim) known() {
	begun := s.now
	s.run(75 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.over() || !j.submitted {
			continue
		}
		if j.heard < begun {
			s.t.Errorf("forgotten: no question about %s was answered for 75 s", id)
		}
	}
}

// served checks that at least half of each class and of each team has begun.
func (s *sim) served() {
	began, all := map[string]int{}, map[string]int{}
	for _, j := range s.jobs {
		for _, group := range []string{"class " + string(j.spec.Class), "team " + string(j.spec.Team)} {
			all[group]++
			if j.began != 0 {
				began[group]++
			}
		}
	}
	for group, n := range all {
		if 2*began[group] < n {
			s.t.Errorf("%d of %d of %s were served", began[group], n, group)
		}
	}
}

func TestQuietDay(t *testing.T) {
	s := newSim(t, 1)
	s.load()
	s.finish()
}

// TestHugeJob plays a job of 100,000 tasks that end in any order: its records
// stay within the limits of the state service, and it gets done bit by bit.
func TestHugeJob(t *testing.T) {
	s := newSim(t, 5)
	huge := batch
	huge.Tasks, huge.CPUs, huge.MemoryGB = 100_000, 0.25, 0.25
	id := s.submit(1, huge, 3*time.Second)
	s.submit(2, batch, 12*time.Second)
	s.run(60 * time.Second)
	l := s.leader()
	if l == nil {
		t.Fatal("nobody leads")
	}
	j := l.core.term.jobs[id]
	if j.Done.Len() < 200 {
		t.Errorf("%d tasks done in a minute", j.Done.Len())
	}
	s.crash(l, time.Second)
	s.run(20 * time.Second)
	s.withdraw(id)
	s.run(60 * time.Second)
	if s.jobs[id].told != intake.Cancelled {
		t.Errorf("still %q", s.jobs[id].told)
	}
}

// changes tells whether an effect changes something outside the process.
func changes(e Effect) bool {
	switch e := e.(type) {
	case Commit, Do, CallHire, CallRelease:
		return true
	case ReplyReport:
		return len(e.Orders) > 0
	case DoLead:
		_, reads := e.Effect.(leadership.ReadKey)
		_, renews := e.Effect.(leadership.Renew)
		return !reads && !renews
	}
	return false
}

// TestCrashBetweenAnyTwoSteps crashes the leader before each of its effects in
// turn: records, launches, rentals, folds, reaps, withdrawals. Its successor
// must go on, with nothing run twice and nothing lost.
func TestCrashBetweenAnyTwoSteps(t *testing.T) {
	for k := 1; k <= 60; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 7)
			s.crashAt = k
			s.submit(1, batch, 12*time.Second)
			s.submit(2, spread, 0)
			s.run(20 * time.Second)
			s.submit(3, together, 8*time.Second)
			s.run(25 * time.Second)
			s.withdraw("wk-000003")
			s.run(60 * time.Second)
			s.finish()
			if s.crashAt > 0 {
				t.Logf("the day had %d effects less", s.crashAt)
			}
		})
	}
}

// eachSeed plays a day with each of n seeds, side by side.
func eachSeed(t *testing.T, n int, day func(*testing.T, uint64)) {
	for seed := range uint64(n) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day(t, seed)
		})
	}
}

// TestRoughDays plays days with lost and repeated messages, crashes of nodes,
// outages and machines that vanish, each with other luck.
func TestRoughDays(t *testing.T) {
	eachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, 100+seed)
		s.loss, s.dup, s.late = 0.04, 0.1, 0.05
		s.every(19*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) > 0 && s.loss > 0 {
				s.hung[ids[s.rng.IntN(len(ids))]] = s.now.Add(time.Duration(5+s.rng.IntN(35)) * time.Second)
			}
		})
		s.every(time.Duration(7+s.rng.IntN(20))*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if s.loss > 0 && n.alive {
				s.crash(n, time.Duration(100+s.rng.IntN(8000))*time.Millisecond)
			}
		})
		s.after(40*time.Second, func() {
			s.state.Down = true
			s.after(20*time.Second, func() { s.state.Down = false })
		})
		s.after(75*time.Second, func() {
			s.cloud.Down = true
			s.after(30*time.Second, func() { s.cloud.Down = false })
		})
		s.every(23*time.Second, func() {
			if l := s.leader(); l != nil && s.loss > 0 {
				s.cut[l.index] = true
				s.after(12*time.Second, func() { delete(s.cut, l.index) })
			}
		})
		s.every(17*time.Second, func() {
			for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
				h := s.cloud.Machines[id]
				if s.loss > 0 && h.Worker != nil && s.rng.IntN(8) == 0 {
					s.take(id)
					break
				}
			}
		})
		s.load()
		s.after(5*time.Second, func() { s.withdraw("wk-000003") })
		s.after(9*time.Second, func() { s.withdraw("wk-000004") })
		s.run(120 * time.Second)
		s.finish()
	})
}

// TestDeafMachines plays days on which the reports of machines arrive, but no
// answer and no command reaches them, for longer than a lease, again and again;
// with copies of reports that come up to several leases late, nodes that lose
// the state service and each other but not their workers, and processes that
// are back within a fraction of a second.
func TestDeafMachines(t *testing.T) {
	eachSeed(t, 8, func(t *testing.T, seed uint64) {
		s := newSim(t, 900+seed)
		s.loss, s.late, s.lateBy = 0.01, 0.1, 100*time.Second
		s.every(13*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) > 0 && s.loss > 0 {
				s.deaf[ids[s.rng.IntN(len(ids))]] = s.now.Add(time.Duration(10+s.rng.IntN(50)) * time.Second)
			}
		})
		s.every(31*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
				n = l
			}
			if s.loss > 0 {
				s.alone[n.index] = true
				s.after(time.Duration(5+s.rng.IntN(20))*time.Second, func() { delete(s.alone, n.index) })
			}
		})
		s.every(time.Duration(9+s.rng.IntN(9))*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if s.loss > 0 && n.alive {
				s.crash(n, time.Duration(20+s.rng.IntN(500))*time.Millisecond)
			}
		})
		s.every(21*time.Second, func() {
			// A machine is back at once, with nothing of what ran on it.
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) == 0 || s.loss == 0 {
				return
			}
			if w := s.cloud.Machines[ids[s.rng.IntN(len(ids))]].Worker; w != nil {
				w.Clear(s.now)
				w.Shift++
			}
		})
		s.after(80*time.Second, func() {
			// A zone is cut: its nodes and the others lose sight of each
			// other's workers.
			s.cut[2] = true
			s.after(20*time.Second, func() { delete(s.cut, 2) })
		})
		s.after(55*time.Second, func() {
			s.state.Down = true
			s.after(15*time.Second, func() { s.state.Down = false })
		})
		s.load()
		s.after(5*time.Second, func() { s.withdraw("wk-000003") })
		s.run(150 * time.Second)
		s.finish()
	})
}

// TestFrozenNodes plays days on which nodes, rather the leader than not, stand
// still for a fraction of a second to more than a lease while their clocks run
// on, with crashes, outages, late copies and lost messages in between.
func TestFrozenNodes(t *testing.T) {
	eachSeed(t, 8, func(t *testing.T, seed uint64) {
		s := newSim(t, 300+seed)
		s.loss, s.dup, s.late = 0.02, 0.05, 0.05
		s.every(11*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if l := s.leader(); l != nil && s.rng.IntN(3) > 0 {
				n = l
			}
			if s.loss > 0 {
				s.frozen[n.index] = s.now.Add(time.Duration(100<<s.rng.IntN(9)) * time.Millisecond)
			}
		})
		s.every(37*time.Second, func() {
			if n := s.nodes[s.rng.IntN(3)]; s.loss > 0 && n.alive {
				s.crash(n, time.Duration(20+s.rng.IntN(500))*time.Millisecond)
			}
		})
		s.after(45*time.Second, func() {
			s.state.Down = true
			s.after(15*time.Second, func() { s.state.Down = false })
		})
		s.load()
		s.after(5*time.Second, func() { s.withdraw("wk-000003") })
		s.run(150 * time.Second)
		s.finish()
	})
}

// TestZoneCuts plays days on which a zone is cut off from everything, state
// service and cloud included, for less and more than a lease, with one node or
// two in it, the leader among them or not; with crashes, freezes, withdrawals
// and lonely nodes in the cut. What was held arrives after it.
func TestZoneCuts(t *testing.T) {
	eachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, 500+seed)
		s.loss, s.dup, s.late = 0.02, 0.05, 0.05
		s.every(75*time.Second, func() {
			if s.loss == 0 {
				return
			}
			s.zoneCut = s.set.Params.Zones[s.rng.IntN(2)]
			s.after(time.Duration(5+s.rng.IntN(60))*time.Second, s.heal)
		})
		s.every(23*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			switch {
			case s.loss == 0 || !n.alive:
			case s.rng.IntN(3) == 0:
				s.crash(n, time.Duration(20+s.rng.IntN(4000))*time.Millisecond)
			case s.rng.IntN(2) == 0:
				s.frozen[n.index] = s.now.Add(time.Duration(100<<s.rng.IntN(9)) * time.Millisecond)
			default:
				s.alone[n.index] = true
				s.after(time.Duration(5+s.rng.IntN(40))*time.Second, func() { delete(s.alone, n.index) })
			}
		})
		s.every(17*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) == 0 || s.loss == 0 {
				return
			}
			if id := ids[s.rng.IntN(len(ids))]; s.rng.IntN(2) == 0 {
				s.hung[id] = s.now.Add(time.Duration(5+s.rng.IntN(35)) * time.Second)
			} else if s.cloud.Machines[id].Worker != nil {
				s.take(id)
			}
		})
		s.load()
		for i, id := range []unit.JobID{"wk-000003", "wk-000004", "wk-000007", "wk-000010", "wk-000008"} {
			s.after(time.Duration(12+17*i)*time.Second, func() { s.withdraw(id) })
		}
		s.run(220 * time.Second)
		s.finish()
	})
}

// TestCutZoneKeepsItsReplicas: workers that are cut off together with a node
// live through a cut that outlasts their leases, and nothing of theirs is
// started elsewhere; without the grants all in the zone were killed.
func TestCutZoneKeepsItsReplicas(t *testing.T) {
	for _, inside := range []bool{true, false} {
		s := newSim(t, 21)
		s.submit(1, spread, 0)
		s.submit(2, spread, 0)
		s.run(30 * time.Second)
		before := s.starts
		l := s.leader()
		if s.zoneCut = s.nodes[1].zone; inside == (l.zone != s.zoneCut) {
			s.zoneCut = s.nodes[0].zone
		}
		s.run(42 * time.Second)
		s.heal()
		s.run(20 * time.Second)
		if s.starts != before || len(s.on) != 2*spread.Tasks {
			t.Errorf("leader inside %v: %d replicas started anew, %d run of %d", inside, s.starts-before, len(s.on), 2*spread.Tasks)
		}
		s.finish()
	}
}

// TestRestartInEachStepOfAnElection ends a process before each of its requests
// to the state service in turn, while it stands for election or leads, and
// starts it again at once: late answers to the one must not serve the other.
func TestRestartInEachStepOfAnElection(t *testing.T) {
	for k := 1; k <= 40; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 11)
			s.electAt, s.loss = k, 0.02
			s.submit(1, batch, 12*time.Second)
			s.submit(2, spread, 0)
			s.every(8*time.Second, func() {
				if l := s.leader(); l != nil && s.loss > 0 {
					s.crash(l, 6*time.Second) // so that the others elect
				}
			})
			s.run(60 * time.Second)
			if s.electAt > 0 {
				t.Fatalf("no step %d", k)
			}
			s.finish()
		})
	}
}

// TestGrowingDay plays a day at some hundred machines, with arrays that fill
// them, crashes in a row, an outage and machines that vanish.
func TestGrowingDay(t *testing.T) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		s := newSim(t, 40+seed)
		for o := range s.cloud.Capacity {
			s.cloud.Capacity[o] *= 15
		}
		s.set.Params.Teams = []config.Team{{Name: "red", CPUs: 300, CPUsMax: 900}, {Name: "blue", CPUs: 300, CPUsMax: 900}}
		for _, n := range s.nodes {
			s.crash(n, time.Millisecond)
		}
		s.loss = 0.01
		array := batch
		array.Tasks = 160
		for i := range 12 {
			s.submit(3*i, array, 15*time.Second)
			s.submit(3*i+1, spread, 0)
			s.submit(3*i+2, together, 8*time.Second)
		}
		for _, at := range []int{25, 32, 61} {
			s.after(time.Duration(at)*time.Second, func() {
				if l := s.leader(); l != nil {
					s.crash(l, 500*time.Millisecond)
				}
			})
		}
		peak := 0
		s.every(time.Second, func() { peak = max(peak, len(s.cloud.Machines)) })
		s.after(45*time.Second, func() {
			s.state.Down = true
			s.after(12*time.Second, func() { s.state.Down = false })
		})
		s.after(50*time.Second, func() {
			for i, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
				if h := s.cloud.Machines[id]; i%9 == 0 && h.Worker != nil {
					s.take(id)
				}
			}
		})
		s.run(100 * time.Second)
		if peak < 40 {
			t.Errorf("the day had only %d machines", peak)
		}
		s.finish()
	})
}

var fleetSeeds = flag.Int("fleetseeds", 1, "days of TestFleetDays, each with other luck")

// grow gives the world about so many machines in the zones; nodes stand in the
// first two.
func (s *sim) grow(zones []unit.Zone, machines int) {
	s.set.Params.Zones = zones
	clear(s.cloud.Capacity)
	for _, typ := range s.cloud.Types {
		typ.Zones = zones
		for _, z := range zones {
			for _, spot := range []bool{false, true} {
				s.cloud.Capacity[rental.Offer{Type: typ.Name, Zone: z, Spot: spot}] = machines / (2 * len(zones) * len(s.cloud.Types))
			}
		}
	}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
}

// TestFleetDays draws days of up to 1,900 machines: zones with and without a
// node, replicas, large arrays beside many small ones, and troubles of each kind
// on top of each other: cut zones, nodes that stand still, crash one or all and
// are back at once, lonely nodes, an outage, a third of the machines lost or
// hung, late copies and repeats. All rules are checked at each change.
func TestFleetDays(t *testing.T) {
	eachSeed(t, *fleetSeeds, func(t *testing.T, seed uint64) {
		s := newSim(t, 7000+seed)
		s.loss, s.dup, s.late = 0.01, 0.02, 0.02
		s.grow([]unit.Zone{"a", "b", "c", "d"}[:2+s.rng.IntN(3)], 1000+s.rng.IntN(900))
		s.set.Params.Workers.ReportS = 5
		s.set.Params.Teams = []config.Team{{Name: "red", CPUs: 1000, CPUsMax: 10_000}, {Name: "blue", CPUs: 1000, CPUsMax: 10_000}}
		s.drawJobs(int(s.rng.Uint64N(20)))
		s.every(9*time.Second, func() {
			if s.loss > 0 {
				s.trouble()
			}
		})
		peak := 0
		s.every(time.Second, func() { peak = max(peak, len(s.cloud.Machines)) })
		s.run(150 * time.Second)
		t.Logf("%d machines at most, in %d zones", peak, len(s.set.Params.Zones))
		if peak < 500 {
			t.Errorf("the day had only %d machines", peak)
		}
		s.finish()
	})
}

// drawJobs submits replicas, large arrays and many small ones over a minute.
func (s *sim) drawJobs(more int) {
	replicas, large, small := spread, batch, together
	replicas.Tasks, large.Tasks, large.CPUs = 4, 400, 4
	for i := range 60 + more {
		s.after(time.Duration(i)*time.Second, func() {
			s.submit(10*i, replicas, 0)
			s.submit(10*i+1, small, 8*time.Second)
			if i%4 == 0 {
				s.submit(10*i+2, large, time.Duration(20+s.rng.IntN(40))*time.Second)
			}
		})
		if i%7 == 3 {
			s.after(time.Duration(i+10+s.rng.IntN(60))*time.Second, func() {
				s.withdraw(unit.JobID(fmt.Sprintf("wk-%06d", 10*i+s.rng.IntN(2))))
			})
		}
	}
}

// trouble draws one trouble, which may come on top of others.
func (s *sim) trouble() {
	n := s.nodes[s.rng.IntN(3)]
	if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
		n = l
	}
	length := time.Duration(500<<s.rng.IntN(7)) * time.Millisecond
	switch s.rng.IntN(7) {
	case 0:
		s.zoneCut = s.set.Params.Zones[s.rng.IntN(len(s.set.Params.Zones))]
		s.after(length+10*time.Second, s.heal)
	case 1:
		s.frozen[n.index] = s.now.Add(length)
	case 2:
		for _, o := range s.nodes {
			if o == n || s.rng.IntN(2) == 0 {
				s.crash(o, time.Duration(20+s.rng.IntN(4000))*time.Millisecond)
			}
		}
	case 3:
		s.alone[n.index] = true
		s.after(length, func() { delete(s.alone, n.index) })
	case 4:
		s.state.Down = true
		s.after(length, func() { s.state.Down = false })
	case 5:
		s.lose(func(id unit.MachineID) {
			if s.cloud.Machines[id].Worker != nil {
				s.take(id)
			}
		})
	case 6:
		s.lose(func(id unit.MachineID) { s.hung[id] = s.now.Add(length) })
	}
}

// lose draws a third of the machines.
func (s *sim) lose(how func(unit.MachineID)) {
	for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
		if s.rng.IntN(3) == 0 {
			how(id)
		}
	}
}

// TestLargestBegin: the largest job of the lowest class begins within four
// minutes, and keeps running for long enough to count, however many small ones
// of a higher priority come all the time and take all there is.
func TestLargestBegin(t *testing.T) {
	s := newSim(t, 6)
	for o := range s.cloud.Capacity {
		s.cloud.Capacity[o] = 1
	}
	s.set.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	small, large := batch, batch
	small.Tasks, small.CPUs = 20, 2
	large.Priority, large.Class, large.Tasks, large.CPUs = checkpoint.BestEffort, "low", 150, 4
	n := 1
	s.every(2*time.Second, func() {
		if n < 120 {
			n++
			s.submit(n, small, 20*time.Second)
		}
	})
	s.run(20 * time.Second) // the small ones hold everything
	id := s.submit(1, large, 60*time.Second)
	s.run(4 * time.Minute)
	j := s.jobs[id]
	if j.began == 0 {
		t.Fatal("the largest job has not begun in four minutes")
	}
	if p := s.leader().core.term.jobs[id]; s.now.Sub(j.began) > 70*time.Second && len(p.Done) == 0 {
		t.Errorf("it began %v ago, and nothing of it is done", s.now.Sub(j.began))
	}
}
