package controller

import (
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/fake"
)

// shortLeases are workers that report every second and live for ten without an
// answer.
var shortLeases = config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40, GangWaitSeconds: 45, GangPeerSeconds: 6}

// newSimulationWithWorkers returns a simulation whose workers have other times.
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

// simulationWithShortLeases returns a simulation with short leases in which replicas and an array run.
func simulationWithShortLeases(t *testing.T, seed uint64, arrayRunTime time.Duration) *simulation {
	s := newSimulationWithWorkers(t, seed, shortLeases)
	s.submit(1, serviceSpec, 0)
	s.submit(2, arraySpec, arrayRunTime)
	s.runFor(40 * time.Second)
	return s
}

// TestLostLeaderWithShortLeases takes the leader off the network: each worker waits
// 4 s for an answer that never comes and tries the next node a second later. With a
// leader lease of 6 s whatever the workers' was, no node could answer them by then,
// they came back to the lost one, and two thirds of them lost their tasks.
func TestLostLeaderWithShortLeases(t *testing.T) {
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
			t.Fatalf("leader %v, %d workers", l, workers)
		}
		s.unreachableByWorkers[l.index], s.isolated[l.index] = true, true
		s.runFor(30 * time.Second)
		if lost := s.lostSessions(); lost > 0 {
			t.Errorf("%d machines lost their leases", lost)
		}
		delete(s.unreachableByWorkers, l.index)
		delete(s.isolated, l.index)
		s.healAndFinish()
	})
}

// TestPartitionedZoneWithShortLeases cuts off a zone with nodes in it for two leases and
// more: nothing may be lost on a machine whose worker finds a node with its first try
// elsewhere. Workers that came from a leader which did not answer were sent to probe
// another node, and were back after their lease. Where the next node is out of reach
// too, two waits of 4 s and the pauses between outlast a lease of 10 s whatever the
// nodes do.
func TestPartitionedZoneWithShortLeases(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 24, func(t *testing.T, seed uint64) {
		s := simulationWithShortLeases(t, 500+seed, 2*time.Minute)
		l := s.leader()
		if l == nil {
			t.Fatal("nobody leads")
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
				t.Errorf("%s lost its lease, leader %s, next %s", w.ID, l.name, next.name)
			}
		}
		s.healPartition()
		s.runFor(20 * time.Second)
		s.healAndFinish()
	})
}
