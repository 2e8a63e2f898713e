package controller

import (
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/leadership"
	"badgerbay/internal/parts"
	"badgerbay/internal/quota"
	"badgerbay/internal/rollout"
	"badgerbay/internal/round"
	"badgerbay/internal/standby"
	"badgerbay/internal/statestore"
	"badgerbay/internal/takeover"
	"badgerbay/internal/unit"
)

func (s *sim) start(n *simNode) {
	set := *s.set
	set.NodeName, set.Zone = n.name, string(n.zone)
	for _, p := range s.nodes {
		if p != n {
			set.Peers = append(set.Peers, config.Peer{NodeName: p.name, Zone: string(p.zone)})
		}
	}
	n.life++
	n.alive, n.ready = true, false
	life := n.life
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.core = NewCore(&set, s.pol, simClock{s, n}, statestore.NewBudget(3, 80, 25),
		rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())), log, NewMetrics())
	n.follower, n.holder, n.machines = nil, nil, MachineSnapshot{}
	if s.pol.Features.TeamQuotas && !s.before[n.index] {
		n.holder = quota.NewHolder(n.name, s.set.Params.StateService.MaxValueBytes())
	}
	if w := s.pol.Features.WarmStandby; w != nil && !s.before[n.index] {
		n.follower = standby.NewFollower(standby.Options{SyncInterval: w.SyncInterval}, w.ReplicaBytes())
	}
	var tick func()
	tick = func() {
		if n.alive && n.life == life {
			s.step(n, Tick{})
			s.followTick(n)
			s.holderStep(n, quota.Tick{})
			s.after(50*time.Millisecond, tick)
		}
	}
	tick()
}

// replicaState is the state of a node's replica, as the node itself sees it.
func (n *simNode) replicaState(now unit.Instant) standby.State {
	return n.follower.Status(n.clock(now)).State
}

// followTick lets time pass for a node's replica.
func (s *sim) followTick(n *simNode) {
	if n.follower == nil || s.now.Before(s.frozen[n.index]) {
		return
	}
	s.follow(n, standby.LeadershipChanged{Leading: n.core.election.Epoch() != 0})
	s.follow(n, standby.Tick{})
	if at := n.clock(s.now); at.Sub(n.machines.RequestedAt) > standby.MachineListInterval && n.core.election.Epoch() == 0 && !s.severed(n.zone, "") {
		if list, err := s.cloud.List(s.now); err == nil {
			n.machines = MachineSnapshot{RequestedAt: at, Machines: list}
		}
	}
	if ready := n.replicaState(s.now) == standby.StateReady; ready != n.ready {
		n.ready = ready
		s.step(n, ElectionInput{leadership.ReplicaState{Ready: ready}})
	}
}

// severed tells whether nothing passes between two places; "" is the region,
// where the state service and the cloud are.
func (s *sim) severed(a, b unit.Zone) bool {
	return s.zoneCut != "" && (a == s.zoneCut) != (b == s.zoneCut)
}

// stateless tells whether a node does not reach the state service.
func (s *sim) stateless(n *simNode) bool {
	return s.alone[n.index] || s.refused[n.index] || s.severed(n.zone, "")
}

// meets tells whether one node reaches another over the mesh.
func (s *sim) meets(a, b *simNode) bool {
	return a.alive && b.alive && !s.meshCut && !s.alone[a.index] && !s.alone[b.index] && !s.severed(a.zone, b.zone)
}

// peers lets the nodes ask each other for grants, and find out what they are
// cut off from.
func (s *sim) peers() {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		from, reached, stateful := delegation.Connected, 0, false
		for _, p := range s.nodes {
			if p != n && s.meets(n, p) && !s.lost() {
				reached++
				stateful = stateful || !s.stateless(p) && !s.state.Down
				s.askPeer(n, p)
			}
		}
		if s.stateless(n) || s.state.Down {
			from = delegation.NodeIsolated
			if reached == 2 && !stateful {
				from = delegation.StateServiceOutage
			}
		}
		s.step(n, IsolationChanged{Isolation: from})
		s.step(n, PeerReachabilityChanged{Unreachable: reached < len(s.nodes)-1})
	}
}

func (s *sim) askPeer(n, p *simNode) {
	life, sent := n.life, n.clock(s.now)
	s.after(s.latency(), func() {
		if p.alive {
			s.step(p, DelegationRequest{Node: n.name, Ticket: func(r DelegationReply) {
				s.reply(n, life, PeerStatusReceived{Node: p.name, SentAt: sent, Status: r.Status, SchemaVersion: s.formOf(n, p), EnforcesQuotas: s.formOf(n, p) != 0})
			}})
		}
	})
}

// formOf is what n hears that p can; where either still has the version before,
// nothing.
func (s *sim) formOf(n, p *simNode) rollout.Version {
	if s.before[n.index] || s.before[p.index] {
		return 0
	}
	return rollout.Latest
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
	effects := n.core.Step(n.clock(s.now), in)
	s.noteActs(n, effects)
	for _, e := range effects {
		if _, ok := e.(ElectionEffect); ok && s.electAt > 0 {
			if s.electAt--; s.electAt == 0 {
				s.carryOut(n, e) // it left, and the answer finds another process
				s.crash(n, time.Duration(5+s.rng.IntN(300))*time.Millisecond)
				return
			}
		}
		if n.core.election.IsLeader() && s.crashAt > 0 && changes(e) {
			if s.crashAt--; s.crashAt == 0 {
				s.crash(n, 3*time.Second)
				return
			}
		}
		s.carryOut(n, e)
	}
	n.view = n.core.election.Epoch()
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
	case HeartbeatReply:
		e.Ticket.(func(HeartbeatReply))(e)
	case JobReply:
		e.Ticket.(func(JobReply))(e)
	case DelegationReply:
		e.Ticket.(func(DelegationReply))(e)
	case QuotaReply:
		e.Ticket.(func(quota.AllocationResponse))(e.Answer)
	case ReadQuotaRecords:
		s.after(s.stateLatency(), func() {
			items, _, err := s.state.List(quota.KeyPrefix)
			s.reply(n, life, QuotaRecordsRead{Epoch: e.Epoch, OK: err == nil && !s.stateless(n) && !s.lost(), Items: items})
		})
	case ElectionEffect:
		s.after(s.stateLatency(), func() { s.doLead(n, life, e.Effect) })
	case ReadRecords:
		s.after(s.slowLoads+s.stateLatency(), func() {
			stored, err := s.takeRecords(n, e.Epoch)
			s.reply(n, life, RecordsRead{Epoch: e.Epoch, OK: err == nil && !s.stateless(n), Stored: stored, KnownMachines: n.machines})
		})
	case ReadJobRecord:
		s.after(s.stateLatency(), func() {
			item, err := s.state.Get(checkpoint.Key(e.Job))
			values := map[int][]byte{}
			for _, k := range checkpoint.ChunkNumbers(item.Value) {
				part, _ := s.state.Get(checkpoint.ChunkKey(e.Job, k))
				values[k] = part.Value
			}
			s.reply(n, life, JobRecordRead{Job: e.Job, OK: err == nil && !s.stateless(n), Item: item, Chunks: values})
		})
	case CommitTransaction:
		s.after(s.stateLatency(), func() { s.commit(n, life, e, false) })
	case SendCommands:
		s.do(n, life, e)
	default:
		s.callCloud(n, life, e)
	}
}

// takeRecords reads what a node takes over with: its replica, if it has one, which
// must hold just what the state service does.
func (s *sim) takeRecords(n *simNode, epoch unit.Epoch) (takeover.StoredRecords, error) {
	jobs, _, err := s.state.List(checkpoint.KeyPrefix)
	rounds, _, err2 := s.state.List(round.KeyPrefix)
	rest, _, _ := s.state.List(parts.KeyPrefix)
	agreed, _ := s.state.Get(rollout.Key)
	read := takeover.StoredRecords{Jobs: jobs, Rounds: rounds, Chunks: rest, SchemaAgreement: agreed}
	if n.follower == nil || err != nil || s.stateless(n) {
		return read, errors.Join(err, err2)
	}
	warm, _, err := standby.CatchUp(n.follower.Replica(), epoch, s.state.Watch)
	if err != nil {
		s.coldTakeovers++
		return read, nil
	}
	s.warmTakeovers++
	warm.SchemaAgreement = agreed
	if diff := cmp.Diff(read, warm, cmpopts.EquateEmpty()); diff != "" {
		s.t.Fatalf("the replica of %s is not what is stored: %s", n.name, diff)
	}
	return warm, nil
}

// follow lets a node that does not lead follow the records.
func (s *sim) follow(n *simNode, in standby.Input) {
	life := n.life
	for _, e := range n.follower.Step(n.clock(s.now), in) {
		s.after(s.stateLatency(), func() {
			if !n.alive || n.life != life {
				return
			}
			switch e := e.(type) {
			case standby.List:
				answer := standby.ListDone{Prefix: e.Prefix, Err: s.unreached(n)}
				if answer.Err == nil {
					answer.Items, answer.Revision, answer.Err = s.state.List(e.Prefix)
				}
				s.follow(n, answer)
			case standby.Watch:
				answer := standby.WatchDone{Prefix: e.Prefix, Err: s.unreached(n)}
				if answer.Err == nil {
					answer.Changes, answer.Revision, answer.Err = s.state.Watch(e.Prefix, e.Since)
				}
				s.follow(n, answer)
			}
		})
	}
}

// unreached is the error of a request that gets no answer.
func (s *sim) unreached(n *simNode) error {
	if s.stateless(n) || s.lost() {
		return statestore.ErrOutcomeUnknown
	}
	return nil
}

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

// stateLatency is how long a request to the state service takes, there or back.
func (s *sim) stateLatency() time.Duration {
	d := s.latency()
	if s.slowState > 0 && s.rng.IntN(3) == 0 {
		d += time.Duration(s.rng.Int64N(int64(s.slowState)))
	}
	return d
}

func (s *sim) doLead(n *simNode, life int, e leadership.Effect) {
	sent := n.clock(s.now)
	if s.stateless(n) {
		s.after(1500*time.Millisecond, func() { s.unanswered(n, life, e, sent) })
		return
	}
	switch e := e.(type) {
	case leadership.ReadLeaderKeys:
		items, _, err := s.state.List(leadership.LeaderKey)
		in, unread := leadership.DecodeKeys(items)
		in.OK = err == nil && unread == nil
		in.Heartbeat.TTLMs -= s.understated.Milliseconds()
		s.reply(n, life, ElectionInput{in})
	case leadership.GrantLease:
		tenure, err := s.state.Grant(s.now, e.TTL)
		s.reply(n, life, ElectionInput{leadership.LeaseGranted{OK: err == nil, LeaseID: tenure, SentAt: sent}})
	case leadership.RenewLease:
		var err error
		if !s.sent(func() { err = s.state.Extend(s.now, e.LeaseID) }) {
			err = statestore.ErrOutcomeUnknown
		}
		s.reply(n, life, ElectionInput{leadership.LeaseRenewed{LeaseID: e.LeaseID, Outcome: leadership.OutcomeOf(err), SentAt: sent}})
	case leadership.AcquireLeaderKey:
		v, err := s.tryCommit(e.Txn())
		s.reply(n, life, ElectionInput{leadership.LeaderKeyAcquired{Outcome: leadership.OutcomeOf(err), Epoch: unit.Epoch(v)}})
	case leadership.RewriteLeaderKey:
		v, err := s.tryCommit(e.Txn())
		if err == nil {
			s.reply(n, life, ElectionInput{leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeOK, Epoch: unit.Epoch(v)}})
			return
		}
		s.after(150*time.Millisecond, func() { s.readBackToken(n, life, e) })
	case leadership.WriteHeartbeat:
		_, err := s.tryCommit(e.Txn())
		s.reply(n, life, ElectionInput{leadership.HeartbeatWritten{Epoch: e.Epoch, Outcome: leadership.HeartbeatOutcomeOf(err), SentAt: sent}})
	case leadership.TransferLeadership:
		if _, err := s.tryCommit(e.Txn()); err != nil {
			s.state.Revoke(e.LeaseID)
		}
	case leadership.RevokeLease:
		s.state.Revoke(e.LeaseID)
	}
}

// unanswered is what comes of a request that does not reach the state service.
func (s *sim) unanswered(n *simNode, life int, e leadership.Effect, sent unit.Instant) {
	switch e := e.(type) {
	case leadership.ReadLeaderKeys:
		s.reply(n, life, ElectionInput{leadership.LeaderKeysRead{}})
	case leadership.GrantLease:
		s.reply(n, life, ElectionInput{leadership.LeaseGranted{SentAt: sent}})
	case leadership.RenewLease:
		s.reply(n, life, ElectionInput{leadership.LeaseRenewed{LeaseID: e.LeaseID, Outcome: leadership.OutcomeUnknown, SentAt: sent}})
	case leadership.AcquireLeaderKey:
		s.reply(n, life, ElectionInput{leadership.LeaderKeyAcquired{Outcome: leadership.OutcomeUnknown}})
	case leadership.WriteHeartbeat:
		s.reply(n, life, ElectionInput{leadership.HeartbeatWritten{Epoch: e.Epoch, Outcome: leadership.OutcomeUnknown, SentAt: sent}})
	case leadership.RewriteLeaderKey:
		s.readBackToken(n, life, e)
	}
}

func (s *sim) readBackToken(n *simNode, life int, e leadership.RewriteLeaderKey) {
	h, stamp, err := s.holder()
	switch {
	case !n.alive || n.life != life || n.core.election.Epoch() != e.PrevEpoch:
	case err != nil || s.stateless(n):
		s.after(150*time.Millisecond, func() { s.readBackToken(n, life, e) })
	case h != e.Leader:
		s.reply(n, life, ElectionInput{leadership.LeadershipLost{}})
	case stamp > e.PrevEpoch:
		s.reply(n, life, ElectionInput{leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeOK, Epoch: stamp}})
	default:
		s.reply(n, life, ElectionInput{leadership.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: leadership.OutcomeRefused}})
	}
}

func (s *sim) holder() (leadership.LeaderRecord, unit.Epoch, error) {
	item, err := s.state.Get(leadership.LeaderKey)
	var h leadership.LeaderRecord
	if err == nil && item.ModRevision != 0 {
		err = msgpack.Unmarshal(item.Value, &h)
	}
	return h, unit.Epoch(item.ModRevision), err
}

func (s *sim) tryCommit(t statestore.Txn) (unit.Revision, error) {
	var v unit.Revision
	var err error
	if s.lateWrites > 0 && s.rng.Float64() < s.lateWrites {
		s.after(2*time.Second+time.Duration(s.rng.Int64N(int64(10*time.Second))), func() { s.apply(t) })
		return 0, statestore.ErrOutcomeUnknown
	}
	if !s.sent(func() { v, err = s.apply(t) }) {
		return 0, statestore.ErrOutcomeUnknown
	}
	return v, err
}

// commit does what Node.commit does: an unanswered transaction is sent again,
// and a conflict after that is settled by reading back.
func (s *sim) commit(n *simNode, life int, c CommitTransaction, unsure bool) {
	if !n.alive || n.life != life {
		return
	}
	again := func(unsure bool) { s.after(150*time.Millisecond, func() { s.commit(n, life, c, unsure) }) }
	if s.stateless(n) {
		again(true)
		return
	}
	v, err := s.tryCommit(c.Txn)
	done := TransactionCompleted{Kind: c.Kind, Epoch: c.Epoch, Outcome: leadership.OutcomeOf(err), Revision: v}
	limits := s.set.Params.StateService.Strictest()
	done.ExceedsNextLimits = errors.Is(err, statestore.ErrRejected) && c.Txn.Exceeds(limits.MaxValueBytes(), limits.MaxTxnOps)
	var conflict *statestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		done.FailedConditions = conflict.FailedKeys
		for _, k := range conflict.FailedKeys {
			if k == leadership.LeaderKey {
				done.Outcome = leadership.OutcomeGone
			}
		}
		if done.Outcome != leadership.OutcomeGone && unsure {
			item, err := s.state.Get(c.Txn.OutcomeKey())
			if err != nil {
				again(true)
				return
			}
			if c.Txn.WasApplied(item) {
				done.Outcome, done.Revision, done.FailedConditions = leadership.OutcomeOK, item.ModRevision, nil
			}
		}
	case errors.Is(err, statestore.ErrOutcomeUnknown) || err != nil && unsure:
		again(true)
		return
	}
	s.reply(n, life, done)
}

func (s *sim) epochs() unit.Epoch {
	_, e, _ := s.holder()
	return e
}

func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.alive && n.core.election.LeaseValid(n.clock(s.now)) {
			return n
		}
	}
	return nil
}

// changes tells whether an effect changes something outside the process.
func changes(e Effect) bool {
	switch e := e.(type) {
	case CommitTransaction, SendCommands, ProvisionMachines, DeprovisionMachines:
		return true
	case HeartbeatReply:
		return len(e.Commands) > 0
	case ElectionEffect:
		_, reads := e.Effect.(leadership.ReadLeaderKeys)
		_, renews := e.Effect.(leadership.RenewLease)
		_, beats := e.Effect.(leadership.WriteHeartbeat)
		return !reads && !renews && !beats
	}
	return false
}
