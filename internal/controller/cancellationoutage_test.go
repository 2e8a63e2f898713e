package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/leasedelegation"
)

var outageDelayStep = flag.Duration("gapstep", 1500*time.Millisecond, "time between the outage delays of TestCancellationsAroundOutage")

// outageCase is a scenario in which the state service refuses only the leader, jobs are cancelled, and the state
// service then becomes unavailable to all nodes.
type outageCase struct {
	name        string
	refusal     time.Duration // how long the state service refuses only the leader
	outageDelay time.Duration // from the start of the refusal to the start of the outage
	// inject adds a further fault when the refusal begins; nil adds none.
	inject func(s *simulation, oldLeader *simulatedNode)
}

// outageCases lists the further faults that are combined with the refused leader and the outage.
var outageCases = []outageCase{
	{name: "no further fault"},
	{name: "peer connections refused", inject: func(s *simulation, _ *simulatedNode) { s.peersPartitioned = true }},
	{name: "workers reach the old leader only", inject: limitWorkersToNode},
	{name: "workers reach the old leader only, peers refused", inject: func(s *simulation, oldLeader *simulatedNode) {
		s.peersPartitioned = true
		limitWorkersToNode(s, oldLeader)
	}},
	{name: "old leader restarted", inject: func(s *simulation, oldLeader *simulatedNode) {
		s.schedule(5*time.Second, func() { s.crash(oldLeader, 300*time.Millisecond) })
	}},
	{name: "old leader paused", inject: func(s *simulation, oldLeader *simulatedNode) {
		s.schedule(3*time.Second, func() { s.pausedUntil[oldLeader.index] = s.now.Add(12 * time.Second) })
	}},
	{name: "slow state service", inject: func(s *simulation, _ *simulatedNode) { s.maxStoreLatency = 5 * time.Second }},
}

// limitWorkersToNode makes every node except one unreachable by the workers.
func limitWorkersToNode(s *simulation, reachable *simulatedNode) {
	for _, n := range s.nodes {
		s.unreachableByWorkers[n.index] = n != reachable
	}
}

// runScenario runs the case with a seed and the workers' timing settings. Jobs are cancelled from before the election
// of a successor until shortly after the outage begins, and the outage outlasts the time within which the tasks of a
// cancelled job must end. The simulation checks its invariants at every change.
func (c outageCase) runScenario(t *testing.T, seed uint64, workers config.Workers) {
	s := newSimulationWithWorkers(t, seed, workers)
	small := arraySpec
	small.Tasks = 2
	for i := range 12 {
		s.submit(i+1, small, 10*time.Minute)
	}
	s.submit(20, serviceSpec, 0)
	s.runFor(25 * time.Second)
	oldLeader := s.leader()
	if oldLeader == nil || s.running.len() < 12 {
		t.Fatalf("%d tasks are running, want at least 12; the leader is %v", s.running.len(), oldLeader)
	}
	s.refusedByStore[oldLeader.index] = true
	s.schedule(c.refusal, func() { delete(s.refusedByStore, oldLeader.index) })
	if c.inject != nil {
		c.inject(s, oldLeader)
	}
	for i := range 12 {
		// Before and during the election, up to the outage, and shortly after its start.
		at := c.outageDelay - 6*time.Second + time.Duration(i)*700*time.Millisecond
		s.schedule(max(0, at), func() { s.cancelJob(ident.JobID(fmt.Sprintf("wk-%06d", i+1))) })
	}
	confirmed := 0
	s.schedule(c.outageDelay, func() {
		s.store.Down = true
		for _, j := range s.jobs {
			if j.cancelledAt != 0 {
				confirmed++
			}
		}
	})
	s.runFor(c.outageDelay + s.settings.Params.Workers.CancelTimeout() + 15*time.Second)
	t.Logf("%d cancellations confirmed before the outage, %d tasks running at its end", confirmed, s.running.len())
	s.store.Down = false
	s.runFor(20 * time.Second)
	s.healAndFinish()
}

// TestCancellationsAroundOutage checks that the tasks of cancelled jobs end in time in the following sequence of
// faults, in which most scheduler implementations failed:
//  1. The state service refuses only the leader.
//  2. Other nodes confirm cancellations.
//  3. The state service is unavailable to all nodes for longer than cancel_s, while the workers keep sending
//     heartbeats.
//
// The bound is in docs/design.md.
func TestCancellationsAroundOutage(t *testing.T) {
	t.Parallel()
	for _, base := range outageCases {
		for _, refusal := range []time.Duration{4 * time.Second, 14 * time.Second} {
			for outage := time.Duration(0); outage <= 14*time.Second; outage += *outageDelayStep {
				c := base
				c.refusal, c.outageDelay = refusal, outage
				t.Run(fmt.Sprintf("%s/%v/%v", c.name, refusal, outage), func(t *testing.T) {
					t.Parallel()
					c.runScenario(t, 31, simulationSettings().Params.Workers)
				})
			}
		}
	}
}

// TestCancellationsAroundOutageWithShortLeases repeats the check with leases so short that a delegation grant, under
// which a node may keep renewing them, lasts for nearly three of them.
func TestCancellationsAroundOutageWithShortLeases(t *testing.T) {
	t.Parallel()
	for _, base := range outageCases {
		for outage := time.Duration(0); outage <= 12*time.Second; outage += 2 * *outageDelayStep {
			c := base
			c.refusal, c.outageDelay = 6*time.Second, outage
			t.Run(fmt.Sprintf("%s/%v", c.name, outage), func(t *testing.T) {
				t.Parallel()
				c.runScenario(t, 37, shortLeases)
			})
		}
	}
}

// TestOutageKeepsUncancelledTasks checks the converse: if the leader is refused first and a delegation grant can
// cover the outage that follows, machines without a task of a cancelled job lose no task.
func TestOutageKeepsUncancelledTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 60+seed)
			pairSpec := serviceSpec
			pairSpec.Tasks, pairSpec.Team = 2, "red"
			for i := range 4 {
				s.submit(i+1, pairSpec, 0)
			}
			cancelled := s.submit(9, oneZoneSpec, 10*time.Minute)
			s.runFor(25 * time.Second)
			oldLeader := s.leader()
			s.refusedByStore[oldLeader.index] = true
			s.schedule(7*time.Second, func() { s.cancelJob(cancelled) })
			s.runFor(8 * time.Second)
			hasCancelledTask := map[ident.MachineID]bool{}
			for task, placed := range s.running.all() {
				hasCancelledTask[placed.machine] = hasCancelledTask[placed.machine] || task.Job == cancelled
			}
			kept := map[ident.TaskID]ident.MachineID{}
			for task, placed := range s.running.all() {
				if !hasCancelledTask[placed.machine] {
					kept[task] = placed.machine
				}
			}
			if len(kept) == 0 {
				t.Fatal("no machine runs tasks of uncancelled jobs only")
			}
			s.store.Down = true
			s.runFor(30 * time.Second)
			delete(s.refusedByStore, oldLeader.index)
			s.store.Down = false
			s.runFor(20 * time.Second)
			for task, machine := range kept {
				if s.running.machineOf(task) != machine {
					t.Errorf("task %v no longer runs on %s, which had no task of the cancelled job", task, machine)
				}
			}
			s.healAndFinish()
		})
	}
}

// TestOwnDelegationStartsAtLeaseDeadline checks that the grant that a leader issues to itself counts from the last
// moment at which it was entitled to lead, so that a cancellation that its successor confirms comes after that moment.
// A leader that resigns is not entitled for the rest of its lease, so its grant counts from the resignation.
func TestOwnDelegationStartsAtLeaseDeadline(t *testing.T) {
	t.Parallel()
	grantDuration := leasedelegation.GrantDuration(simulationSettings().Params.Workers)
	for _, resigns := range []bool{false, true} {
		c, start := newLeadingCore(t)
		entitledUntil := c.election.LeaseValidUntil()
		now := start.Add(time.Second)
		if resigns {
			c.stepElection(now, election.Resign{Transferee: "n1"})
			if got := c.delegate.GrantExpiresAt(); got != now.Add(grantDuration) {
				t.Errorf("resigned at %v, but its own grant expires at %v", now.Sub(start), got.Sub(start))
			}
			continue
		}
		now = entitledUntil.Add(3 * time.Second)
		c.Step(now, HeartbeatReceived{Heartbeat: &fleet.Heartbeat{Machine: "m1", Zone: "a", Session: 1, HeartbeatSeq: 1}})
		if got := c.delegate.GrantExpiresAt(); got != entitledUntil.Add(grantDuration) {
			t.Errorf("entitled until %v, but its own grant expires at %v", entitledUntil.Sub(start), got.Sub(start))
		}
	}
}

// TestNodeOutsideZone checks that a node redirects its zone's workers to one node outside the zone such that the
// next node in name order, which the worker tries after it, is in the zone again.
func TestNodeOutsideZone(t *testing.T) {
	t.Parallel()
	settings := &config.Settings{NodeName: "n2", Zone: "a", Peers: []config.Peer{
		{NodeName: "n0", Zone: "b"}, {NodeName: "n1", Zone: "a"}, {NodeName: "n3", Zone: "b"}}}
	if got := nodeOutsideZone(settings); got != "n0" {
		t.Errorf("n2 redirects its workers to %q, want n0", got)
	}
	settings.NodeName, settings.Peers[0] = "n0", config.Peer{NodeName: "n2", Zone: "b"}
	if got := nodeOutsideZone(settings); got != "n3" {
		t.Errorf("n0 redirects its workers to %q, want n3", got)
	}
	settings.Peers = settings.Peers[1:2]
	if got := nodeOutsideZone(settings); got != "" {
		t.Errorf("a node redirects its workers to %q although no node is outside its zone", got)
	}
}
