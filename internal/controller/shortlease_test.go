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

// newSimWith returns a sim whose workers have other times.
func newSimWith(t *testing.T, seed uint64, w config.Workers) *sim {
	s := newSim(t, seed)
	if w == s.set.Params.Workers {
		return s
	}
	s.set.Params.Workers = w
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// shortLeaseDay returns a sim with short leases in which replicas and an array run.
func shortLeaseDay(t *testing.T, seed uint64, array time.Duration) *sim {
	s := newSimWith(t, seed, shortLeases)
	s.submit(1, spread, 0)
	s.submit(2, batch, array)
	s.run(40 * time.Second)
	return s
}

// TestLostLeaderWithShortLeases takes the leader off the network: each worker waits
// 4 s for an answer that never comes and tries the next node a second later. With a
// leader lease of 6 s whatever the workers' was, no node could answer them by then,
// they came back to the lost one, and two thirds of them lost their tasks.
func TestLostLeaderWithShortLeases(t *testing.T) {
	eachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := shortLeaseDay(t, 400+seed, 5*time.Minute)
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
		s.cut[l.index], s.alone[l.index] = true, true
		s.run(30 * time.Second)
		if lost := s.sessionsLost(); lost > 0 {
			t.Errorf("%d machines lost their leases", lost)
		}
		delete(s.cut, l.index)
		delete(s.alone, l.index)
		s.finish()
	})
}

// TestCutZoneWithShortLeases cuts off a zone with nodes in it for two leases and
// more: nothing may be lost on a machine whose worker finds a node with its first try
// elsewhere. Workers that came from a leader which did not answer were sent to probe
// another node, and were back after their lease. Where the next node is out of reach
// too, two waits of 4 s and the pauses between outlast a lease of 10 s whatever the
// nodes do.
func TestCutZoneWithShortLeases(t *testing.T) {
	eachSeed(t, 24, func(t *testing.T, seed uint64) {
		s := shortLeaseDay(t, 500+seed, 2*time.Minute)
		l := s.leader()
		if l == nil {
			t.Fatal("nobody leads")
		}
		s.zoneCut = s.nodes[seed%2].zone
		next := s.nodes[(l.index+1)%len(s.nodes)]
		var reporting []*fake.Worker
		for _, h := range s.cloud.Machines {
			if h.Worker != nil && h.Worker.Token > 0 && !s.severed(h.Offer.Zone, next.zone) {
				reporting = append(reporting, h.Worker)
			}
		}
		s.run(22 * time.Second)
		for _, w := range reporting {
			if w.Session > 1 {
				t.Errorf("%s lost its lease, leader %s, next %s", w.ID, l.name, next.name)
			}
		}
		s.heal()
		s.run(20 * time.Second)
		s.finish()
	})
}
