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

// outageCase is one combination of a refused leader, cancellations and an outage.
type outageCase struct {
	name        string
	refusal     time.Duration // how long the state service refuses the leader alone
	outageDelay time.Duration // from the refusal to the outage
	// inject brings about what comes on top as the refusal begins.
	inject func(*simulation, *simulatedNode)
}

// outageCases are what may come on top of a gap.
var outageCases = []outageCase{
	{name: "plain"},
	{name: "mesh refused", inject: func(s *simulation, _ *simulatedNode) { s.peersPartitioned = true }},
	{name: "workers reach the old leader only", inject: limitWorkersToNode},
	{name: "and the mesh is refused", inject: func(s *simulation, old *simulatedNode) {
		s.peersPartitioned = true
		limitWorkersToNode(s, old)
	}},
	{name: "old leader restarted", inject: func(s *simulation, old *simulatedNode) {
		s.schedule(5*time.Second, func() { s.crash(old, 300*time.Millisecond) })
	}},
	{name: "old leader frozen", inject: func(s *simulation, old *simulatedNode) {
		s.schedule(3*time.Second, func() { s.pausedUntil[old.index] = s.now.Add(12 * time.Second) })
	}},
	{name: "slow state service", inject: func(s *simulation, _ *simulatedNode) { s.maxStoreLatency = 5 * time.Second }},
}

func limitWorkersToNode(s *simulation, old *simulatedNode) {
	for _, n := range s.nodes {
		s.unreachableByWorkers[n.index] = n != old
	}
}

// runScenario plays the gap. Jobs are cancelled all along, and the outage outlasts the
// time that a cancelled job has. The rules are checked at every change.
func (g outageCase) runScenario(t *testing.T, seed uint64, w config.Workers) {
	s := newSimulationWithWorkers(t, seed, w)
	small := arraySpec
	small.Tasks = 2
	for i := range 12 {
		s.submit(i+1, small, 10*time.Minute)
	}
	s.submit(20, serviceSpec, 0)
	s.runFor(25 * time.Second)
	old := s.leader()
	if old == nil || s.running.len() < 12 {
		t.Fatalf("%d tasks run under %v", s.running.len(), old)
	}
	s.refusedByStore[old.index] = true
	s.schedule(g.refusal, func() { delete(s.refusedByStore, old.index) })
	if g.inject != nil {
		g.inject(s, old)
	}
	for i := range 12 {
		// Before the election, in it, and up to the outage and a little later.
		at := g.outageDelay - 6*time.Second + time.Duration(i)*700*time.Millisecond
		s.schedule(max(0, at), func() { s.cancelJob(ident.JobID(fmt.Sprintf("wk-%06d", i+1))) })
	}
	confirmed := 0
	s.schedule(g.outageDelay, func() {
		s.store.Down = true
		for _, j := range s.jobs {
			if j.cancelledAt != 0 {
				confirmed++
			}
		}
	})
	s.runFor(g.outageDelay + s.settings.Params.Workers.CancelTimeout() + 15*time.Second)
	t.Logf("%d cancellations confirmed before the outage, %d tasks left after it", confirmed, s.running.len())
	s.store.Down = false
	s.runFor(20 * time.Second)
	s.healAndFinish()
}

// TestCancellationsAroundOutage sweeps the fault combination that broke most schedulers: the state service
// refuses the leader alone, others confirm cancellations, and then it is out for
// all, for longer than cancel_s, while the workers go on reporting. The tasks
// must be gone in time all the same; see docs/design.md for the bound.
func TestCancellationsAroundOutage(t *testing.T) {
	t.Parallel()
	for _, kind := range outageCases {
		for _, refused := range []time.Duration{4 * time.Second, 14 * time.Second} {
			for outage := time.Duration(0); outage <= 14*time.Second; outage += *outageDelayStep {
				g := kind
				g.refusal, g.outageDelay = refused, outage
				t.Run(fmt.Sprintf("%s/%v/%v", g.name, refused, outage), func(t *testing.T) {
					t.Parallel()
					g.runScenario(t, 31, simulationSettings().Params.Workers)
				})
			}
		}
	}
}

// TestCancellationsAroundOutageWithShortLeases is the same where leases are short: what may keep them, a
// grant, lasts for nearly three of them.
func TestCancellationsAroundOutageWithShortLeases(t *testing.T) {
	t.Parallel()
	for _, kind := range outageCases {
		for outage := time.Duration(0); outage <= 12*time.Second; outage += 2 * *outageDelayStep {
			g := kind
			g.refusal, g.outageDelay = 6*time.Second, outage
			t.Run(fmt.Sprintf("%s/%v", g.name, outage), func(t *testing.T) {
				t.Parallel()
				g.runScenario(t, 37, shortLeases)
			})
		}
	}
}

// TestOutageKeepsUncancelledTasks is the converse: through a gap whose outage a grant can
// bridge, machines that hold nothing of a cancelled job lose nothing.
func TestOutageKeepsUncancelledTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 60+seed)
			pair := serviceSpec
			pair.Tasks, pair.Team = 2, "red"
			for i := range 4 {
				s.submit(i+1, pair, 0)
			}
			gone := s.submit(9, oneZoneSpec, 10*time.Minute)
			s.runFor(25 * time.Second)
			old := s.leader()
			s.refusedByStore[old.index] = true
			s.schedule(7*time.Second, func() { s.cancelJob(gone) })
			s.runFor(8 * time.Second)
			owing := map[ident.MachineID]bool{}
			for task, placed := range s.running.all() {
				owing[placed.machine] = owing[placed.machine] || task.Job == gone
			}
			kept := map[ident.TaskID]ident.MachineID{}
			for task, placed := range s.running.all() {
				if !owing[placed.machine] {
					kept[task] = placed.machine
				}
			}
			if len(kept) == 0 {
				t.Fatal("no replica is by itself")
			}
			s.store.Down = true
			s.runFor(30 * time.Second)
			delete(s.refusedByStore, old.index)
			s.store.Down = false
			s.runFor(20 * time.Second)
			for task, m := range kept {
				if s.running.machineOf(task) != m {
					t.Errorf("%v lost its place on %s, which owed nothing", task, m)
				}
			}
			s.healAndFinish()
		})
	}
}

// TestOwnDelegationEndsInTime: what a leader grants itself counts from the last moment
// at which it was entitled, so a cancellation that its successor confirms comes
// after that. One that resigns is not entitled for the rest of its lease.
func TestOwnDelegationEndsInTime(t *testing.T) {
	t.Parallel()
	life := leasedelegation.GrantDuration(simulationSettings().Params.Workers)
	for _, resigns := range []bool{false, true} {
		c, begun := newLeadingCore(t)
		entitled := c.election.LeaseValidUntil()
		now := begun.Add(time.Second)
		if resigns {
			c.stepElection(now, election.Resign{Transferee: "n1"})
			if got := c.delegate.GrantExpiresAt(); got != now.Add(life) {
				t.Errorf("resigned at %v, keeps workers until %v", now.Sub(begun), got.Sub(begun))
			}
			continue
		}
		now = entitled.Add(3 * time.Second)
		c.Step(now, HeartbeatReceived{Heartbeat: &fleet.Heartbeat{Machine: "m1", Zone: "a", Session: 1, HeartbeatSeq: 1}})
		if got := c.delegate.GrantExpiresAt(); got != entitled.Add(life) {
			t.Errorf("entitled until %v, keeps workers until %v", entitled.Sub(begun), got.Sub(begun))
		}
	}
}

// TestNodeOutsideTheZone: a worker that its zone's node sends on tries one node outside
// the zone, and the next in the order of the names is that node again.
func TestNodeOutsideTheZone(t *testing.T) {
	t.Parallel()
	set := &config.Settings{NodeName: "n2", Zone: "a", Peers: []config.Peer{
		{NodeName: "n0", Zone: "b"}, {NodeName: "n1", Zone: "a"}, {NodeName: "n3", Zone: "b"}}}
	if got := nodeOutsideZone(set); got != "n0" {
		t.Errorf("workers of n2 try %q", got)
	}
	set.NodeName, set.Peers[0] = "n0", config.Peer{NodeName: "n2", Zone: "b"}
	if got := nodeOutsideZone(set); got != "n3" {
		t.Errorf("workers of n0 try %q", got)
	}
	set.Peers = set.Peers[1:2]
	if got := nodeOutsideZone(set); got != "" {
		t.Errorf("a node alone names %q", got)
	}
}
