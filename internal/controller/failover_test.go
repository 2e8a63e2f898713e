package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/standby"
)

var failoverSeeds = flag.Int("takeoverseeds", 2, "seeds of each cause in TestFailoverTimes")

// failoverCause is a fault that stops the leader.
type failoverCause struct {
	name string
	stop func(*simulation, *simulatedNode)
}

var failoverCauses = []failoverCause{
	{"crash", func(s *simulation, n *simulatedNode) { s.crash(n, 30*time.Second) }},
	{"pause", func(s *simulation, n *simulatedNode) { s.pausedUntil[n.index] = s.now.Add(12 * time.Second) }},
	{"isolated from the state service and its peers", func(s *simulation, n *simulatedNode) {
		s.isolated[n.index] = true
		s.schedule(20*time.Second, func() { delete(s.isolated, n.index) })
	}},
	{"isolated from the state service, its peers and the workers", func(s *simulation, n *simulatedNode) {
		s.isolated[n.index], s.unreachableByWorkers[n.index] = true, true
		s.schedule(20*time.Second, func() {
			delete(s.isolated, n.index)
			delete(s.unreachableByWorkers, n.index)
		})
	}},
}

// failoverTimes holds the durations of the consecutive phases of a failover.
type failoverTimes struct{ elected, recordsRead, reconciled, firstRound time.Duration }

func (t failoverTimes) total() time.Duration {
	return t.elected + t.recordsRead + t.reconciled + t.firstRound
}

// String returns the total and the duration of each phase, in seconds.
func (t failoverTimes) String() string {
	return fmt.Sprintf("%.2f s = %.2f until elected + %.2f until the records are read + %.2f until scheduling opens + "+
		"%.2f until the first round",
		t.total().Seconds(), t.elected.Seconds(), t.recordsRead.Seconds(), t.reconciled.Seconds(), t.firstRound.Seconds())
}

// submitContinuously submits a job with one short task several times a second for a duration of d, so that there is
// something to schedule at any moment.
func (s *simulation) submitContinuously(d time.Duration) {
	const interval = 300 * time.Millisecond
	small := arraySpec
	small.Tasks, small.CPUs, small.MemoryGB = 1, 0.25, 0.25
	for i := range int(d / interval) {
		s.schedule(time.Duration(i)*interval, func() { s.submit(1000+i, small, 2*time.Second) })
	}
}

// measureFailover stops the leader and measures the time from its last action to the first round that its successor
// records.
func measureFailover(t *testing.T, seed uint64, policyScript string, heartbeatSeconds float64, cause failoverCause) (
	failoverTimes, *simulation) {
	s := newSimulationWithPolicy(t, seed, policyScript)
	s.settings.Params.Workers.HeartbeatSeconds = heartbeatSeconds
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond) // restart the nodes so that they use these settings
	}
	s.submit(1, serviceSpec, 0)
	s.submitContinuously(70 * time.Second)
	s.runFor(35*time.Second + time.Duration(s.rng.IntN(4000))*time.Millisecond)
	oldLeader := s.leader()
	if oldLeader == nil {
		t.Fatal("no node leads")
	}
	lastAction := s.leaderHistory.LastActionAt()
	cause.stop(s, oldLeader)
	times := s.awaitFailover(lastAction, oldLeader)
	if times.total() == 0 {
		t.Fatalf("seed %d: no successor recorded a round within 30 s", seed)
	}
	s.runFor(30 * time.Second)
	return times, s
}

// awaitFailover runs the simulation until a node other than oldLeader has recorded a round, for at most 30 s. It
// returns zero times if none has by then.
func (s *simulation) awaitFailover(lastAction clock.Instant, oldLeader *simulatedNode) failoverTimes {
	var times failoverTimes
	var successor *term
	epoch := s.leaderHistory.Epoch()
	for range 3000 {
		s.runFor(10 * time.Millisecond)
		n := s.leader()
		if n == nil || n == oldLeader || n.core.term == nil {
			continue
		}
		if n.core.term != successor {
			successor, times = n.core.term, failoverTimes{elected: s.now.Sub(lastAction)}
		}
		if times.recordsRead == 0 && successor.recovery.loaded {
			times.recordsRead = s.now.Sub(lastAction) - times.elected
		}
		if times.recordsRead != 0 && times.reconciled == 0 && successor.recovery.schedulingOpen {
			times.reconciled = s.now.Sub(lastAction) - times.elected - times.recordsRead
		}
		if at, ok := s.leaderHistory.FirstRoundAfter(epoch); ok && times.reconciled != 0 {
			times.firstRound = max(0, at.Sub(lastAction)-times.elected-times.recordsRead-times.reconciled)
			return times
		}
	}
	return failoverTimes{}
}

// TestFailoverTimes checks that with the warm standby a successor records its first round within five seconds of the
// leader's last action, whichever fault stops the leader. The times without the warm standby are measured for
// comparison only.
func TestFailoverTimes(t *testing.T) {
	t.Parallel()
	const maxFailoverTime = 5 * time.Second
	for _, heartbeatSeconds := range []float64{1, 3, 5} {
		for _, cause := range failoverCauses {
			t.Run(fmt.Sprintf("%s, heartbeats every %v s", cause.name, heartbeatSeconds), func(t *testing.T) {
				t.Parallel()
				var warm, cold []failoverTimes
				for seed := range uint64(*failoverSeeds) {
					times, s := measureFailover(t, seed, warmStandbyPolicy, heartbeatSeconds, cause)
					if times.total() > maxFailoverTime {
						t.Errorf("seed %d: %v", seed, times)
					}
					if s.warmFailovers == 0 {
						t.Errorf("seed %d: the successor did not use its replica", seed)
					}
					warm = append(warm, times)
					if seed%2 == 0 {
						times, _ = measureFailover(t, seed, "", heartbeatSeconds, cause)
						cold = append(cold, times)
					}
				}
				t.Logf("with the warm standby: median %v, longest %v", median(warm), longest(warm))
				t.Logf("without the warm standby: median %v, longest %v", median(cold), longest(cold))
			})
		}
	}
}

func byTotal(a, b failoverTimes) int { return int(a.total() - b.total()) }

func median(all []failoverTimes) failoverTimes {
	return slices.SortedFunc(slices.Values(all), byTotal)[len(all)/2]
}

func longest(all []failoverTimes) failoverTimes { return slices.MaxFunc(all, byTotal) }

// TestLeaderSurvivesStoreOutage checks that the same leader continues in the same epoch after an outage of the state
// service: while no node can write, no node can detect that the leader sends no heartbeats.
func TestLeaderSurvivesStoreOutage(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		s := newSimulationWithPolicy(t, seed, warmStandbyPolicy)
		s.submitMixedLoad()
		before, epoch := s.leader(), s.currentEpoch()
		s.store.Down = true
		s.runFor(3*time.Second + time.Duration(s.rng.IntN(10_000))*time.Millisecond)
		if names := s.entitledNodes(); len(names) > 0 {
			t.Fatalf("nodes entitled to lead during an outage: %v", names)
		}
		s.store.Down = false
		s.runFor(2 * time.Second)
		if s.leader() != before || s.currentEpoch() != epoch {
			t.Errorf("seed %d: epoch %d led by %v after the outage, was %d led by %v",
				seed, s.currentEpoch(), s.leader(), epoch, before)
		}
		s.healAndFinish()
	})
}

// TestLeaderSurvivesSlowStore checks that a leader that stores heartbeats remains leader while the state service often
// takes up to a second to respond.
func TestLeaderSurvivesSlowStore(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 4, warmStandbyPolicy)
	s.submitMixedLoad()
	epoch := s.currentEpoch()
	s.maxStoreLatency = time.Second
	for range 600 {
		s.runFor(100 * time.Millisecond)
		if s.leader() == nil {
			t.Fatalf("no node is entitled to lead at %v", s.now)
		}
	}
	if l := s.leader(); l.core.term.acquiredAt > clock.Instant(time.Hour).Add(10*time.Second) {
		t.Errorf("leadership has changed since epoch %d", epoch)
	}
	s.maxStoreLatency = 0
	s.healAndFinish()
}

// TestStandbyReloadsAfterCompaction checks that a standby that was disconnected for longer than the state service
// retains changes reloads all records, and takes over nevertheless.
func TestStandbyReloadsAfterCompaction(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 9, warmStandbyPolicy)
	s.store.RetainedChanges = 40
	s.submitMixedLoad()
	leader := s.leader()
	for _, n := range s.nodes {
		if n != leader {
			s.refusedByStore[n.index] = true
		}
	}
	s.submitContinuously(30 * time.Second)
	s.runFor(30 * time.Second)
	for _, n := range s.nodes {
		if n != leader && n.replicaState(s.now) == standby.StateReady {
			t.Errorf("%s reports a ready replica although it has read nothing for 30 s", n.name)
		}
	}
	s.refusedByStore = map[int]bool{}
	s.runFor(4 * time.Second)
	reloads := 0
	for _, n := range s.nodes {
		reloads += n.follower.Status(s.now).Reloads
	}
	if reloads == 0 {
		t.Error("no standby reloaded its replica")
	}
	s.crash(leader, 20*time.Second)
	s.runFor(20 * time.Second)
	if s.warmFailovers == 0 {
		t.Error("the successor did not use its replica")
	}
	s.healAndFinish()
}

// TestUpgradeToLeaderHeartbeats checks clusters in which nodes without leader heartbeats, which lead by their lease
// alone, run beside nodes with heartbeats, in any order of upgrades and crashes.
func TestUpgradeToLeaderHeartbeats(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		s := newSimulationWithPolicy(t, seed, "")
		warmStandby := newSimulationWithPolicy(t, seed, warmStandbyPolicy).policy
		s.submitMixedLoad()
		s.policy = warmStandby
		for _, i := range s.rng.Perm(3) {
			s.crash(s.nodes[i], time.Second)
			s.runFor(time.Duration(3+s.rng.IntN(8)) * time.Second)
			if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
				s.pausedUntil[l.index] = s.now.Add(8 * time.Second)
				s.runFor(10 * time.Second)
			}
		}
		s.runFor(10 * time.Second)
		s.healAndFinish()
	})
}

// TestEntitlementCheckFindsTwoLeaders checks that the entitlement check of every scenario detects two entitled nodes
// if leaders act for longer than their heartbeats claim.
func TestEntitlementCheckFindsTwoLeaders(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 3, warmStandbyPolicy)
	s.heartbeatTTLShortfall = 1500 * time.Millisecond
	s.submitMixedLoad()
	l := s.leader()
	s.refusedByStore[l.index] = true
	for range 300 {
		s.runFor(10 * time.Millisecond)
		if len(s.entitledNodes()) > 1 {
			return
		}
	}
	t.Error("two entitled nodes were not detected")
}

var warmStandbySeeds = flag.Int("standbydays", 4, "seeds of TestWarmStandbyUnderFaults")

// injectFailoverFault injects random faults that coincide with a failover: the leader stops, and about when its
// standbys act, one node crashes or is paused, the nodes refuse each other's connections, or the state service is
// slow, unavailable, or refuses one node.
func (s *simulation) injectFailoverFault() {
	heartbeatTTL := s.policy.Features.WarmStandby.HeartbeatTTL
	duration := s.randomDuration(heartbeatTTL/2, 4*heartbeatTTL)
	if l := s.leader(); l != nil {
		switch s.rng.IntN(5) {
		case 0:
			s.crash(l, s.randomDuration(20*time.Millisecond, 2*heartbeatTTL))
		case 1, 2:
			// Resumes before, during or after the failover.
			s.pausedUntil[l.index] = s.now.Add(s.randomDuration(heartbeatTTL-time.Second, heartbeatTTL+2*time.Second))
		case 3:
			s.refusedByStore[l.index] = true
			s.schedule(duration, func() { delete(s.refusedByStore, l.index) })
		case 4:
			s.unreachableByWorkers[l.index] = true // so that it transfers the leadership
			s.schedule(12*time.Second, func() { delete(s.unreachableByWorkers, l.index) })
		}
	}
	n := s.nodes[s.rng.IntN(3)]
	s.schedule(s.randomDuration(heartbeatTTL-time.Second, heartbeatTTL+2*time.Second), func() {
		switch s.rng.IntN(7) {
		case 0:
			s.crash(n, s.randomDuration(20*time.Millisecond, heartbeatTTL))
		case 1:
			s.pausedUntil[n.index] = s.now.Add(duration)
		case 2:
			s.peersPartitioned = true
			s.schedule(duration, func() { s.peersPartitioned = false })
		case 3:
			s.maxStoreLatency = s.randomDuration(200*time.Millisecond, 2*time.Second)
			s.schedule(duration, func() { s.maxStoreLatency = 0 })
		case 4:
			s.beginStoreOutage(duration)
		case 5:
			s.refusedByStore[n.index] = true
			s.schedule(duration, func() { delete(s.refusedByStore, n.index) })
		case 6:
			s.electionRequestsUntilCrash = 1 + s.rng.IntN(4) // a node crashes during its election
		}
	})
}

// newLossySimulation returns a simulation in which messages are lost, delayed and duplicated, and repeated faults are
// active.
func newLossySimulation(t *testing.T, seed uint64, policyScript string) *simulation {
	s := newSimulationWithPolicy(t, seed, policyScript)
	s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability, s.lateCommitProbability = 0.01, 0.05, 0.05, 0.03
	s.faultsActive = true
	return s
}

// runLossyScenario submits and cancels jobs while faults occur, then ends the faults and finishes the scenario.
func (s *simulation) runLossyScenario() {
	s.submitContinuously(120 * time.Second)
	s.submitMixedLoad()
	s.schedule(5*time.Second, func() { s.cancelJob("wk-000003") })
	s.schedule(40*time.Second, func() { s.cancelJob("wk-000004") })
	s.runFor(130 * time.Second)
	s.electionRequestsUntilCrash = 0
	s.healAndFinish()
}

// TestWarmStandbyUnderFaults checks scenarios in which failovers repeatedly coincide with a second fault, with lost
// and late messages, cancellations and reclaimed machines.
func TestWarmStandbyUnderFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, *warmStandbySeeds, func(t *testing.T, seed uint64) {
		s := newLossySimulation(t, 700+seed, warmStandbyPolicy)
		s.repeatWhileFaultsActive(8*time.Second, 16*time.Second, s.injectFailoverFault)
		s.repeatWhileFaultsActive(20*time.Second, 40*time.Second, func() {
			if up := s.upMachines(); len(up) > 0 {
				s.reclaimMachine(up[s.rng.IntN(len(up))])
			}
		})
		s.runLossyScenario()
		t.Logf("%d failovers with a replica, %d without", s.warmFailovers, s.coldFailovers)
		if s.warmFailovers < 3 {
			t.Errorf("%d failovers with a replica, want at least 3", s.warmFailovers)
		}
	})
}
