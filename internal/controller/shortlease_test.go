package controller

import (
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/fake"
)

// shortLeases are worker settings with a heartbeat every second and a lease of ten seconds.
var shortLeases = config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40, GangWaitSeconds: 45, GangPeerSeconds: 6}

// newSimulationWithWorkers returns a simulation with the given worker settings.
func newSimulationWithWorkers(t *testing.T, seed uint64, w config.Workers) *simulation {
	s := newSimulation(t, seed)
	if w == s.settings.Params.Workers {
		return s
	}
	s.settings.Params.Workers = w
	for _, n := range s.nodes {
		s.startNode(n)
	}
	return s
}

// simulationWithShortLeases returns a simulation with short leases in which the replicas of a service and the tasks
// of an array job run. Each task of the array runs for arrayRunTime.
func simulationWithShortLeases(t *testing.T, seed uint64, arrayRunTime time.Duration) *simulation {
	s := newSimulationWithWorkers(t, seed, shortLeases)
	s.submit(1, serviceSpec, 0)
	s.submit(2, arraySpec, arrayRunTime)
	s.runFor(40 * time.Second)
	return s
}

// TestIsolatedLeaderWithShortLeases checks that no worker loses its lease when the leader is isolated from the network.
// Each worker waits 4 s for a reply that never arrives, and tries the next node a second later. It guards against a
// leader lease of 6 s regardless of the lease of the workers: no node could answer the workers when they tried the
// next one, they returned to the isolated leader, and two thirds of them lost their tasks.
func TestIsolatedLeaderWithShortLeases(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := simulationWithShortLeases(t, 400+seed, 5*time.Minute)
		workers := 0
		for _, h := range s.cloud.Machines {
			if h.Worker != nil && h.Worker.Session == 1 {
				workers++
			}
		}
		l := s.leader()
		if l == nil || workers < 2 {
			t.Fatalf("want a leader and at least 2 workers, got leader %v, %d workers", l, workers)
		}
		s.unreachableByWorkers[l.index], s.isolated[l.index] = true, true
		s.runFor(30 * time.Second)
		if lost := s.lostSessions(); lost > 0 {
			t.Errorf("%d workers lost their leases", lost)
		}
		delete(s.unreachableByWorkers, l.index)
		delete(s.isolated, l.index)
		s.healAndFinish()
	})
}

// TestPartitionedZoneWithShortLeases cuts off a zone with nodes in it for more than two lease TTLs, and checks that
// no worker loses its lease if the node after the leader, which it tries next, is reachable. It guards against a
// failure in which workers that had switched over from an unresponsive leader were redirected to probe another node,
// and returned only after their lease had expired. Workers that can't reach the next node either are not checked: two
// timeouts of 4 s and the pauses between them exceed a lease of 10 s whatever the nodes do.
func TestPartitionedZoneWithShortLeases(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 24, func(t *testing.T, seed uint64) {
		s := simulationWithShortLeases(t, 500+seed, 2*time.Minute)
		l := s.leader()
		if l == nil {
			t.Fatal("no leader")
		}
		s.partitionedZone = s.nodes[seed%2].zone
		next := s.nodes[(l.index+1)%len(s.nodes)]
		var reporting []*fake.Worker
		for _, h := range s.cloud.Machines {
			if h.Worker != nil && h.Worker.FencingToken > 0 && !s.partitioned(h.Offer.Zone, next.zone) {
				reporting = append(reporting, h.Worker)
			}
		}
		s.runFor(22 * time.Second)
		for _, w := range reporting {
			if w.Session > 1 {
				t.Errorf("%s lost its lease; leader %s, next node %s", w.ID, l.name, next.name)
			}
		}
		s.healPartition()
		s.runFor(20 * time.Second)
		s.healAndFinish()
	})
}
