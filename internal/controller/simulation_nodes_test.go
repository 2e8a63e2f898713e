package controller

import (
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/chunk"
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/metrics"
	"badgerbay/internal/quota"
	"badgerbay/internal/recovery"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/standby"
)

func (s *simulation) startNode(n *simulatedNode) {
	set := *s.settings
	set.NodeName, set.Zone = n.name, string(n.zone)
	for _, p := range s.nodes {
		if p != n {
			set.Peers = append(set.Peers, config.Peer{NodeName: p.name, Zone: string(p.zone)})
		}
	}
	n.incarnation++
	n.alive, n.replicaReady = true, false
	incarnation := n.incarnation
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.core = NewCore(&set, s.policy, simulatedClock{s, n}, kvstore.NewBudget(3, 80, 25),
		rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())), log, metrics.New())
	n.follower, n.holder, n.knownMachines = nil, nil, MachineSnapshot{}
	if s.policy.Features.TeamQuotas && !s.onPreviousVersion[n.index] {
		n.holder = quota.NewHolder(n.name, s.settings.Params.StateService.MaxValueBytes())
	}
	if w := s.policy.Features.WarmStandby; w != nil && !s.onPreviousVersion[n.index] {
		n.follower = standby.NewFollower(w.SyncInterval, w.MaxReplicaBytes())
	}
	var tick func()
	tick = func() {
		if n.alive && n.incarnation == incarnation {
			s.step(n, Tick{})
			s.tickFollower(n)
			s.stepHolder(n, quota.Tick{})
			s.schedule(50*time.Millisecond, tick)
		}
	}
	tick()
}

// replicaState returns the state of a node's replica by the node's own clock.
func (n *simulatedNode) replicaState(now clock.Instant) standby.State {
	return n.follower.Status(n.steadyTime(now)).State
}

// tickFollower advances the follower that keeps a node's replica, lists the machines of the cloud when that is due, and
// reports changes of the replica's readiness to the election.
func (s *simulation) tickFollower(n *simulatedNode) {
	if n.follower == nil || s.now.Before(s.pausedUntil[n.index]) {
		return
	}
	s.stepFollower(n, standby.LeadershipChanged{Leading: n.core.election.Epoch() != 0})
	s.stepFollower(n, standby.Tick{})
	if at := n.steadyTime(s.now); at.Sub(n.knownMachines.RequestedAt) > standby.MachineListInterval && n.core.election.Epoch() == 0 && !s.partitioned(n.zone, "") {
		if list, err := s.cloud.List(s.now); err == nil {
			n.knownMachines = MachineSnapshot{RequestedAt: at, Machines: list}
		}
	}
	if ready := n.replicaState(s.now) == standby.StateReady; ready != n.replicaReady {
		n.replicaReady = ready
		s.step(n, ElectionInput{election.ReplicaState{Ready: ready}})
	}
}

// pollPeers makes each node request a delegation grant from its peers, and passes it whether it is isolated and whether
// it reaches all of them.
func (s *simulation) pollPeers() {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		isolation, reached, storeReachable := leasedelegation.Connected, 0, false
		for _, p := range s.nodes {
			if p != n && s.reachesPeer(n, p) && !s.isLost() {
				reached++
				storeReachable = storeReachable || !s.storeUnreachable(p) && !s.store.Down
				s.pollPeer(n, p)
			}
		}
		if s.storeUnreachable(n) || s.store.Down {
			isolation = leasedelegation.NodeIsolated
			if reached == 2 && !storeReachable {
				isolation = leasedelegation.StateServiceOutage
			}
		}
		s.step(n, IsolationChanged{Isolation: isolation})
		s.step(n, PeerReachabilityChanged{Unreachable: reached < len(s.nodes)-1})
	}
}

func (s *simulation) pollPeer(n, p *simulatedNode) {
	incarnation, sent := n.incarnation, n.steadyTime(s.now)
	s.schedule(s.latency(), func() {
		if p.alive {
			s.step(p, DelegationRequest{Node: n.name, Responder: ResponderFunc[DelegationReply](func(r DelegationReply) {
				s.reply(n, incarnation, PeerStatusReceived{Node: p.name, SentAt: sent, Status: r.Status, SchemaVersion: s.announcedSchemaVersion(n, p), EnforcesQuotas: s.announcedSchemaVersion(n, p) != 0})
			})})
		}
	})
}

// announcedSchemaVersion returns the schema version that p announces to n, or 0 if either node still runs the previous
// version.
func (s *simulation) announcedSchemaVersion(n, p *simulatedNode) schemaversion.Version {
	if s.onPreviousVersion[n.index] || s.onPreviousVersion[p.index] {
		return 0
	}
	return schemaversion.Latest
}

func (s *simulation) crash(n *simulatedNode, restartDelay time.Duration) {
	n.alive = false
	n.incarnation++
	s.schedule(restartDelay, func() {
		if !n.alive {
			s.startNode(n)
		}
	})
}

func (s *simulation) step(n *simulatedNode, in Input) {
	if until := s.pausedUntil[n.index]; s.now.Before(until) {
		// The input waits until the process resumes. Its clocks have advanced meanwhile.
		incarnation := n.incarnation
		s.schedule(until.Sub(s.now), func() {
			if n.alive && n.incarnation == incarnation {
				s.step(n, in)
			}
		})
		return
	}
	effects := n.core.Step(n.steadyTime(s.now), in)
	s.recordLeaderActions(n, effects)
	for _, e := range effects {
		s.traceEffect(n, e)
		if _, ok := e.(ElectionEffect); ok && s.electionRequestsUntilCrash > 0 {
			if s.electionRequestsUntilCrash--; s.electionRequestsUntilCrash == 0 {
				s.executeEffect(n, e) // the request was sent before the crash, so its reply does not reach this process
				s.crash(n, time.Duration(5+s.rng.IntN(300))*time.Millisecond)
				return
			}
		}
		if n.core.election.IsLeader() && s.effectsUntilCrash > 0 && hasSideEffect(e) {
			if s.effectsUntilCrash--; s.effectsUntilCrash == 0 {
				s.crash(n, 3*time.Second)
				return
			}
		}
		s.executeEffect(n, e)
	}
	n.epoch = n.core.election.Epoch()
}

// reply passes the result of an effect to the node, unless the process that caused the effect has ended.
func (s *simulation) reply(n *simulatedNode, incarnation int, in Input) {
	s.schedule(s.latency(), func() {
		if n.alive && n.incarnation == incarnation {
			s.step(n, in)
		}
	})
}

func (s *simulation) executeEffect(n *simulatedNode, e Effect) {
	incarnation := n.incarnation
	switch e := e.(type) {
	case Reply:
		e.Deliver()
	case ReadQuotaRecords:
		s.schedule(s.storeLatency(), func() {
			items, _, err := s.store.List(quota.KeyPrefix)
			s.reply(n, incarnation, QuotaRecordsRead{Epoch: e.Epoch, OK: err == nil && !s.storeUnreachable(n) && !s.isLost(), Items: items})
		})
	case ElectionEffect:
		s.schedule(s.storeLatency(), func() { s.executeElectionEffect(n, incarnation, e.Effect) })
	case ReadRecords:
		s.schedule(s.recordsReadDelay+s.storeLatency(), func() {
			stored, err := s.loadRecords(n, e.Epoch)
			s.reply(n, incarnation, RecordsRead{Epoch: e.Epoch, OK: err == nil && !s.storeUnreachable(n), Stored: stored, KnownMachines: n.knownMachines})
		})
	case ReadJobRecord:
		s.schedule(s.storeLatency(), func() {
			item, err := s.store.Get(jobs.Key(e.Job))
			values := map[int][]byte{}
			for _, k := range jobs.ChunkNumbers(item.Value) {
				part, _ := s.store.Get(jobs.ChunkKey(e.Job, k))
				values[k] = part.Value
			}
			s.reply(n, incarnation, JobRecordRead{Job: e.Job, OK: err == nil && !s.storeUnreachable(n), Item: item, Chunks: values})
		})
	case CommitTransaction:
		s.schedule(s.storeLatency(), func() { s.commit(n, incarnation, e, false) })
	case SendCommands:
		s.sendCommand(n, incarnation, e)
	default:
		s.callCloud(n, incarnation, e)
	}
}

// loadRecords returns the records with which a node starts its term: its replica, if it has a complete one, else the
// records in the state service. The replica must be equal to these.
func (s *simulation) loadRecords(n *simulatedNode, epoch ident.Epoch) (recovery.StoredRecords, error) {
	jobRecords, _, err := s.store.List(jobs.KeyPrefix)
	rounds, _, err2 := s.store.List(roundlog.KeyPrefix)
	chunks, _, _ := s.store.List(chunk.KeyPrefix)
	agreement, _ := s.store.Get(schemaversion.Key)
	stored := recovery.StoredRecords{Jobs: jobRecords, Rounds: rounds, Chunks: chunks, SchemaAgreement: agreement}
	if n.follower == nil || err != nil || s.storeUnreachable(n) {
		return stored, errors.Join(err, err2)
	}
	replica, _, err := standby.CatchUp(n.follower.Replica(), epoch, s.store.Watch)
	if err != nil {
		s.coldFailovers++
		return stored, nil
	}
	s.warmFailovers++
	replica.SchemaAgreement = agreement
	if reflect.DeepEqual(stored, replica) {
		return replica, nil // cmp.Diff is slow and needed only to show the difference
	}
	if diff := cmp.Diff(stored, replica, cmpopts.EquateEmpty()); diff != "" {
		s.t.Fatalf("the replica of %s differs from the stored records (-stored +replica):\n%s", n.name, diff)
	}
	return replica, nil
}

// stepFollower passes an input to the follower that keeps a node's replica, and executes its requests.
func (s *simulation) stepFollower(n *simulatedNode, in standby.Input) {
	incarnation := n.incarnation
	for _, e := range n.follower.Step(n.steadyTime(s.now), in) {
		s.schedule(s.storeLatency(), func() {
			if !n.alive || n.incarnation != incarnation {
				return
			}
			switch e := e.(type) {
			case standby.List:
				done := standby.ListDone{Prefix: e.Prefix, Err: s.requestError(n)}
				if done.Err == nil {
					done.Items, done.Revision, done.Err = s.store.List(e.Prefix)
				}
				s.stepFollower(n, done)
			case standby.Watch:
				done := standby.WatchDone{Prefix: e.Prefix, Err: s.requestError(n)}
				if done.Err == nil {
					done.Changes, done.Revision, done.Err = s.store.Watch(e.Prefix, e.Since)
				}
				s.stepFollower(n, done)
			}
		})
	}
}

// requestError returns the error of a request to the state service that gets no reply, or nil if it gets one.
func (s *simulation) requestError(n *simulatedNode) error {
	if s.storeUnreachable(n) || s.isLost() {
		return kvstore.ErrOutcomeUnknown
	}
	return nil
}

// executeWithLoss executes a request and reports whether its reply arrives. If the reply is lost, the request is
// executed at once, within 20 s, or never.
func (s *simulation) executeWithLoss(do func()) bool {
	if !s.isLost() {
		do()
		return true
	}
	switch s.rng.IntN(3) {
	case 0:
		do()
	case 1:
		s.schedule(time.Duration(s.rng.IntN(20_000))*time.Millisecond, do)
	}
	return false
}

// storeLatency returns the latency of a request to the state service, in one direction.
func (s *simulation) storeLatency() time.Duration {
	d := s.latency()
	if s.maxStoreLatency > 0 && s.rng.IntN(3) == 0 {
		d += time.Duration(s.rng.Int64N(int64(s.maxStoreLatency)))
	}
	return d
}

func (s *simulation) executeElectionEffect(n *simulatedNode, incarnation int, e election.Effect) {
	sent := n.steadyTime(s.now)
	if s.storeUnreachable(n) {
		s.schedule(1500*time.Millisecond, func() { s.failElectionRequest(n, incarnation, e, sent) })
		return
	}
	switch e := e.(type) {
	case election.ReadLeaderKeys:
		items, _, err := s.store.List(election.LeaderKey)
		in, unread := election.DecodeLeaderKeys(items)
		in.OK = err == nil && unread == nil
		in.Heartbeat.TTLMs -= s.heartbeatTTLShortfall.Milliseconds()
		s.reply(n, incarnation, ElectionInput{in})
	case election.GrantLease:
		leaseID, err := s.store.Grant(s.now, e.TTL)
		s.reply(n, incarnation, ElectionInput{election.LeaseGranted{OK: err == nil, LeaseID: leaseID, SentAt: sent}})
	case election.RenewLease:
		var err error
		if !s.executeWithLoss(func() { err = s.store.Extend(s.now, e.LeaseID) }) {
			err = kvstore.ErrOutcomeUnknown
		}
		s.reply(n, incarnation, ElectionInput{election.LeaseRenewed{LeaseID: e.LeaseID, Outcome: election.OutcomeOf(err), SentAt: sent}})
	case election.AcquireLeaderKey:
		v, err := s.tryCommit(e.Txn())
		s.reply(n, incarnation, ElectionInput{election.LeaderKeyAcquired{Outcome: election.OutcomeOf(err), Epoch: ident.Epoch(v)}})
	case election.RewriteLeaderKey:
		v, err := s.tryCommit(e.Txn())
		if err == nil {
			s.reply(n, incarnation, ElectionInput{election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeOK, Epoch: ident.Epoch(v)}})
			return
		}
		s.schedule(150*time.Millisecond, func() { s.readBackEpoch(n, incarnation, e) })
	case election.WriteHeartbeat:
		_, err := s.tryCommit(e.Txn())
		s.reply(n, incarnation, ElectionInput{election.HeartbeatWritten{Epoch: e.Epoch, Outcome: election.HeartbeatOutcomeOf(err), SentAt: sent}})
	case election.TransferLeadership:
		if _, err := s.tryCommit(e.Txn()); err != nil {
			s.store.Revoke(e.LeaseID)
		}
	case election.RevokeLease:
		s.store.Revoke(e.LeaseID)
	}
}

// failElectionRequest replies to an election request that did not reach the state service.
func (s *simulation) failElectionRequest(n *simulatedNode, incarnation int, e election.Effect, sent clock.Instant) {
	switch e := e.(type) {
	case election.ReadLeaderKeys:
		s.reply(n, incarnation, ElectionInput{election.LeaderKeysRead{}})
	case election.GrantLease:
		s.reply(n, incarnation, ElectionInput{election.LeaseGranted{SentAt: sent}})
	case election.RenewLease:
		s.reply(n, incarnation, ElectionInput{election.LeaseRenewed{LeaseID: e.LeaseID, Outcome: election.OutcomeUnknown, SentAt: sent}})
	case election.AcquireLeaderKey:
		s.reply(n, incarnation, ElectionInput{election.LeaderKeyAcquired{Outcome: election.OutcomeUnknown}})
	case election.WriteHeartbeat:
		s.reply(n, incarnation, ElectionInput{election.HeartbeatWritten{Epoch: e.Epoch, Outcome: election.OutcomeUnknown, SentAt: sent}})
	case election.RewriteLeaderKey:
		s.readBackEpoch(n, incarnation, e)
	}
}

// readBackEpoch determines the outcome of a rewrite of the leader key by reading the key: the rewrite was applied, it
// was not, or another node has become leader. It retries while the state service can't be reached.
func (s *simulation) readBackEpoch(n *simulatedNode, incarnation int, e election.RewriteLeaderKey) {
	leader, epoch, err := s.readLeaderKey()
	switch {
	case !n.alive || n.incarnation != incarnation || n.core.election.Epoch() != e.PrevEpoch:
	case err != nil || s.storeUnreachable(n):
		s.schedule(150*time.Millisecond, func() { s.readBackEpoch(n, incarnation, e) })
	case leader != e.Leader:
		s.reply(n, incarnation, ElectionInput{election.LeadershipLost{}})
	case epoch > e.PrevEpoch:
		s.reply(n, incarnation, ElectionInput{election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeOK, Epoch: epoch}})
	default:
		s.reply(n, incarnation, ElectionInput{election.LeaderKeyRewritten{PrevEpoch: e.PrevEpoch, Outcome: election.OutcomeRefused}})
	}
}

func (s *simulation) readLeaderKey() (election.LeaderRecord, ident.Epoch, error) {
	item, err := s.store.Get(election.LeaderKey)
	var h election.LeaderRecord
	if err == nil && item.ModRevision != 0 {
		err = msgpack.Unmarshal(item.Value, &h)
	}
	return h, ident.Epoch(item.ModRevision), err
}

// tryCommit commits a transaction. With the fault probabilities, the transaction commits late or its reply is lost; the
// result is then kvstore.ErrOutcomeUnknown.
func (s *simulation) tryCommit(t kvstore.Txn) (ident.Revision, error) {
	var v ident.Revision
	var err error
	if s.lateCommitProbability > 0 && s.rng.Float64() < s.lateCommitProbability {
		s.schedule(2*time.Second+time.Duration(s.rng.Int64N(int64(10*time.Second))), func() { s.applyTransaction(t) })
		return 0, kvstore.ErrOutcomeUnknown
	}
	if !s.executeWithLoss(func() { v, err = s.applyTransaction(t) }) {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return v, err
}

// commit commits a transaction in the way of Node.commit: a transaction without a reply is retried, and if the retry
// conflicts, a read determines whether the earlier attempt was applied.
func (s *simulation) commit(n *simulatedNode, incarnation int, c CommitTransaction, outcomeUnknown bool) {
	if !n.alive || n.incarnation != incarnation {
		return
	}
	retry := func(outcomeUnknown bool) {
		s.schedule(150*time.Millisecond, func() { s.commit(n, incarnation, c, outcomeUnknown) })
	}
	if s.storeUnreachable(n) {
		retry(true)
		return
	}
	v, err := s.tryCommit(c.Txn)
	done := TransactionCompleted{Kind: c.Kind, Epoch: c.Epoch, Outcome: election.OutcomeOf(err), Revision: v}
	limits := s.settings.Params.StateService.Strictest()
	done.ExceedsNextLimits = errors.Is(err, kvstore.ErrRejected) && c.Txn.Exceeds(limits.MaxValueBytes(), limits.MaxTxnOps)
	var conflict *kvstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		done.FailedConditions = conflict.FailedKeys
		for _, k := range conflict.FailedKeys {
			if k == election.LeaderKey {
				done.Outcome = election.OutcomeGone
			}
		}
		if done.Outcome != election.OutcomeGone && outcomeUnknown {
			item, readErr := s.store.Get(c.Txn.OutcomeKey())
			if readErr != nil {
				retry(true)
				return
			}
			if c.Txn.WasApplied(item) {
				done.Outcome, done.Revision, done.FailedConditions = election.OutcomeOK, item.ModRevision, nil
			}
		}
	case errors.Is(err, kvstore.ErrOutcomeUnknown) || err != nil && outcomeUnknown:
		retry(true)
		return
	}
	s.reply(n, incarnation, done)
}

func (s *simulation) currentEpoch() ident.Epoch {
	_, e, _ := s.readLeaderKey()
	return e
}

func (s *simulation) leader() *simulatedNode {
	for _, n := range s.nodes {
		if n.alive && n.core.election.LeaseValid(n.steadyTime(s.now)) {
			return n
		}
	}
	return nil
}

// hasSideEffect reports whether an effect changes state outside the process.
func hasSideEffect(e Effect) bool {
	switch e := e.(type) {
	case CommitTransaction, SendCommands, ProvisionMachines, DeprovisionMachines:
		return true
	case HeartbeatReply:
		return len(e.Commands) > 0
	case ElectionEffect:
		_, reads := e.Effect.(election.ReadLeaderKeys)
		_, renews := e.Effect.(election.RenewLease)
		_, beats := e.Effect.(election.WriteHeartbeat)
		return !reads && !renews && !beats
	}
	return false
}
