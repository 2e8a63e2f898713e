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

// failoverCause is a way in which a leader stops.
type failoverCause struct {
	name string
	stop func(*simulation, *simulatedNode)
}

var failoverCauses = []failoverCause{
	{"crash", func(s *simulation, n *simulatedNode) { s.crash(n, 30*time.Second) }},
	{"freeze", func(s *simulation, n *simulatedNode) { s.pausedUntil[n.index] = s.now.Add(12 * time.Second) }},
	{"cut off from the state service and its peers", func(s *simulation, n *simulatedNode) {
		s.isolated[n.index] = true
		s.schedule(20*time.Second, func() { delete(s.isolated, n.index) })
	}},
	{"cut off from everything", func(s *simulation, n *simulatedNode) {
		s.isolated[n.index], s.unreachableByWorkers[n.index] = true, true
		s.schedule(20*time.Second, func() {
			delete(s.isolated, n.index)
			delete(s.unreachableByWorkers, n.index)
		})
	}},
}

// failoverTimes are how long the parts of a failover took, one after the other.
type failoverTimes struct{ elected, recordsRead, reconciled, firstRound time.Duration }

func (x failoverTimes) total() time.Duration {
	return x.elected + x.recordsRead + x.reconciled + x.firstRound
}

// String shows the parts.
func (x failoverTimes) String() string {
	return fmt.Sprintf("%.2f s = %.2f until elected + %.2f until read + %.2f until enough is heard + %.2f until it decides",
		x.total().Seconds(), x.elected.Seconds(), x.recordsRead.Seconds(), x.reconciled.Seconds(), x.firstRound.Seconds())
}

// submitContinuously submits a job of one short task several times a second, so that
// there is something to decide at any moment.
func (s *simulation) submitContinuously(d time.Duration) {
	const pause = 300 * time.Millisecond
	small := arraySpec
	small.Tasks, small.CPUs, small.MemoryGB = 1, 0.25, 0.25
	for i := range int(d / pause) {
		s.schedule(time.Duration(i)*pause, func() { s.submit(1000+i, small, 2*time.Second) })
	}
}

// measureFailover stops the leader and measures from its last act to the first round
// that its successor records.
func measureFailover(t *testing.T, seed uint64, script string, report float64, kind failoverCause) (failoverTimes, *simulation) {
	s := newSimulationWithPolicy(t, seed, script)
	s.settings.Params.Workers.HeartbeatSeconds = report
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond) // so that they start with these settings
	}
	s.submit(1, serviceSpec, 0)
	s.submitContinuously(70 * time.Second)
	s.runFor(35*time.Second + time.Duration(s.rng.IntN(4000))*time.Millisecond)
	old := s.leader()
	if old == nil {
		t.Fatal("nobody leads")
	}
	begun := s.leaderHistory.LastActionAt()
	kind.stop(s, old)
	x := s.awaitFailover(begun, old)
	if x.total() == 0 {
		t.Fatalf("seed %d: nobody took over", seed)
	}
	s.runFor(30 * time.Second)
	return x, s
}

// awaitFailover runs until another node than old has recorded a round.
func (s *simulation) awaitFailover(begun clock.Instant, old *simulatedNode) failoverTimes {
	var x failoverTimes
	var heir *term
	epoch := s.leaderHistory.Epoch()
	for range 3000 {
		s.runFor(10 * time.Millisecond)
		n := s.leader()
		if n == nil || n == old || n.core.term == nil {
			continue
		}
		if n.core.term != heir {
			heir, x = n.core.term, failoverTimes{elected: s.now.Sub(begun)}
		}
		if x.recordsRead == 0 && heir.recovery.loaded {
			x.recordsRead = s.now.Sub(begun) - x.elected
		}
		if x.recordsRead != 0 && x.reconciled == 0 && heir.recovery.schedulingOpen {
			x.reconciled = s.now.Sub(begun) - x.elected - x.recordsRead
		}
		if at, ok := s.leaderHistory.FirstRoundAfter(epoch); ok && x.reconciled != 0 {
			x.firstRound = max(0, at.Sub(begun)-x.elected-x.recordsRead-x.reconciled)
			return x
		}
	}
	return failoverTimes{}
}

// TestFailoverTimes: with the warm standby a successor decides within five seconds of
// the leader's last act, however that stops. The same without it is measured for
// comparison.
func TestFailoverTimes(t *testing.T) {
	t.Parallel()
	const most = 5 * time.Second
	for _, report := range []float64{1, 3, 5} {
		for _, kind := range failoverCauses {
			t.Run(fmt.Sprintf("%s, reports every %v s", kind.name, report), func(t *testing.T) {
				t.Parallel()
				var warm, cold []failoverTimes
				for seed := range uint64(*failoverSeeds) {
					x, s := measureFailover(t, seed, warmStandbyPolicy, report, kind)
					if x.total() > most {
						t.Errorf("seed %d: %v", seed, x)
					}
					if s.warmFailovers == 0 {
						t.Errorf("seed %d: the replica was not used", seed)
					}
					warm = append(warm, x)
					if seed%2 == 0 {
						x, _ = measureFailover(t, seed, "", report, kind)
						cold = append(cold, x)
					}
				}
				t.Logf("with: median %v, longest %v", median(warm), longest(warm))
				t.Logf("without: median %v, longest %v", median(cold), longest(cold))
			})
		}
	}
}

func byTotal(a, b failoverTimes) int { return int(a.total() - b.total()) }

func median(all []failoverTimes) failoverTimes {
	return slices.SortedFunc(slices.Values(all), byTotal)[len(all)/2]
}

func longest(all []failoverTimes) failoverTimes { return slices.MaxFunc(all, byTotal) }

// TestLeaderSurvivesStoreOutage: after an outage the leader that was there goes on,
// since nobody can tell that it was silent while nobody could write.
func TestLeaderSurvivesStoreOutage(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		s := newSimulationWithPolicy(t, seed, warmStandbyPolicy)
		s.submitMixedLoad()
		before, epoch := s.leader(), s.currentEpoch()
		s.store.Down = true
		s.runFor(3*time.Second + time.Duration(s.rng.IntN(10_000))*time.Millisecond)
		if names := s.entitledNodes(); len(names) > 0 {
			t.Fatalf("entitled in an outage: %v", names)
		}
		s.store.Down = false
		s.runFor(2 * time.Second)
		if s.leader() != before || s.currentEpoch() != epoch {
			t.Errorf("seed %d: epoch %d by %v, was %d by %v", seed, s.currentEpoch(), s.leader(), epoch, before)
		}
		s.healAndFinish()
	})
}

// TestSlowStoreKeepsTheLeader: answers that take up to a second, often, do not end the
// entitlement of a leader with heartbeats.
func TestSlowStoreKeepsTheLeader(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 4, warmStandbyPolicy)
	s.submitMixedLoad()
	epoch := s.currentEpoch()
	s.maxStoreLatency = time.Second
	for range 600 {
		s.runFor(100 * time.Millisecond)
		if s.leader() == nil {
			t.Fatalf("nobody is entitled at %v", s.now)
		}
	}
	if l := s.leader(); l.core.term.acquiredAt > clock.Instant(time.Hour).Add(10*time.Second) {
		t.Errorf("leadership has changed since epoch %d", epoch)
	}
	s.maxStoreLatency = 0
	s.healAndFinish()
}

// TestReplicaBehindCompaction: a standby that was away for longer than the state
// service keeps changes reads the records anew, and takes over all the same.
func TestReplicaBehindCompaction(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 9, warmStandbyPolicy)
	s.store.RetainedChanges = 40
	s.submitMixedLoad()
	l := s.leader()
	for _, n := range s.nodes {
		if n != l {
			s.refusedByStore[n.index] = true
		}
	}
	s.submitContinuously(30 * time.Second)
	s.runFor(30 * time.Second)
	for _, n := range s.nodes {
		if n != l && n.replicaState(s.now) == standby.StateReady {
			t.Errorf("%s says that it is ready and has read nothing for 30 s", n.name)
		}
	}
	s.refusedByStore = map[int]bool{}
	s.runFor(4 * time.Second)
	rereads := 0
	for _, n := range s.nodes {
		rereads += n.follower.Status(s.now).Reloads
	}
	if rereads == 0 {
		t.Error("no replica was read anew")
	}
	s.crash(l, 20*time.Second)
	s.runFor(20 * time.Second)
	if s.warmFailovers == 0 {
		t.Error("the replica was not used")
	}
	s.healAndFinish()
}

// TestUpgradeToLeaderHeartbeats: nodes without heartbeats lead by their lease alone, beside
// nodes that have them, in any order of upgrades and crashes.
func TestUpgradeToLeaderHeartbeats(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		s := newSimulationWithPolicy(t, seed, "")
		warm := newSimulationWithPolicy(t, seed, warmStandbyPolicy).policy
		s.submitMixedLoad()
		s.policy = warm
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

// TestEntitlementCheckFindsTwoLeaders: were leaders to act for longer than their
// heartbeats claim, the check of every scenario would find two that are entitled.
func TestEntitlementCheckFindsTwoLeaders(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 3, warmStandbyPolicy)
	s.heartbeatUnderstatement = 1500 * time.Millisecond
	s.submitMixedLoad()
	l := s.leader()
	s.refusedByStore[l.index] = true
	for range 300 {
		s.runFor(10 * time.Millisecond)
		if len(s.entitledNodes()) > 1 {
			return
		}
	}
	t.Error("not found")
}

var warmStandbySeeds = flag.Int("standbydays", 4, "seeds of TestWarmStandbyUnderFaults")

// injectFailoverFault draws a fault of the kinds that meet a failover: the leader stops,
// and about when its standbys act, one of them dies or is paused, the nodes refuse
// each other, or the state service is slow, away, or refuses one.
func (s *simulation) injectFailoverFault() {
	takeover := s.policy.Features.WarmStandby.HeartbeatTTL
	length := s.randomDuration(takeover/2, 4*takeover)
	if l := s.leader(); l != nil {
		switch s.rng.IntN(5) {
		case 0:
			s.crash(l, s.randomDuration(20*time.Millisecond, 2*takeover))
		case 1, 2:
			// Wakes before the failover, in the middle of it, or after it.
			s.pausedUntil[l.index] = s.now.Add(s.randomDuration(takeover-time.Second, takeover+2*time.Second))
		case 3:
			s.refusedByStore[l.index] = true
			s.schedule(length, func() { delete(s.refusedByStore, l.index) })
		case 4:
			s.unreachableByWorkers[l.index] = true // it hands over
			s.schedule(12*time.Second, func() { delete(s.unreachableByWorkers, l.index) })
		}
	}
	n := s.nodes[s.rng.IntN(3)]
	s.schedule(s.randomDuration(takeover-time.Second, takeover+2*time.Second), func() {
		switch s.rng.IntN(7) {
		case 0:
			s.crash(n, s.randomDuration(20*time.Millisecond, takeover))
		case 1:
			s.pausedUntil[n.index] = s.now.Add(length)
		case 2:
			s.peersPartitioned = true
			s.schedule(length, func() { s.peersPartitioned = false })
		case 3:
			s.maxStoreLatency = s.randomDuration(200*time.Millisecond, 2*time.Second)
			s.schedule(length, func() { s.maxStoreLatency = 0 })
		case 4:
			s.storeOutage(length)
		case 5:
			s.refusedByStore[n.index] = true
			s.schedule(length, func() { delete(s.refusedByStore, n.index) })
		case 6:
			s.electionRequestsUntilCrash = 1 + s.rng.IntN(4) // some node dies in its election
		}
	})
}

// newLossySimulation returns a simulation in which messages are lost, late and doubled, and faults
// go on.
func newLossySimulation(t *testing.T, seed uint64, script string) *simulation {
	s := newSimulationWithPolicy(t, seed, script)
	s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability, s.lateCommitProbability = 0.01, 0.05, 0.05, 0.03
	s.faultsActive = true
	return s
}

// runLossyScenario submits and cancels jobs amid the faults, and lets these end.
func (s *simulation) runLossyScenario() {
	s.submitContinuously(120 * time.Second)
	s.submitMixedLoad()
	s.schedule(5*time.Second, func() { s.cancelJob("wk-000003") })
	s.schedule(40*time.Second, func() { s.cancelJob("wk-000004") })
	s.runFor(130 * time.Second)
	s.electionRequestsUntilCrash = 0
	s.healAndFinish()
}

// TestWarmStandbyUnderFaults plays scenarios in which failovers meet a second fault, again and
// again, with lost and late messages, cancellations and machines that vanish.
func TestWarmStandbyUnderFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, *warmStandbySeeds, func(t *testing.T, seed uint64) {
		s := newLossySimulation(t, 700+seed, warmStandbyPolicy)
		s.repeatWhileFaulty(8*time.Second, 16*time.Second, s.injectFailoverFault)
		s.repeatWhileFaulty(20*time.Second, 40*time.Second, func() {
			if up := s.upMachines(); len(up) > 0 {
				s.reclaimMachine(up[s.rng.IntN(len(up))])
			}
		})
		s.runLossyScenario()
		t.Logf("%d takeovers with a replica, %d without", s.warmFailovers, s.coldFailovers)
		if s.warmFailovers < 3 {
			t.Error("the day has hardly any takeovers")
		}
	})
}
