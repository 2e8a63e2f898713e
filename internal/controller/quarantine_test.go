package controller

import (
	"testing"
	"time"

	"badgerbay/internal/cloud"
)

// limitCloudToLargeMachines leaves n machines of type large in each zone for provisioning, and no others.
func (s *simulation) limitCloudToLargeMachines(n int) {
	clear(s.cloud.Capacity)
	for _, zone := range s.settings.Params.Zones {
		s.cloud.Capacity[cloud.Offer{Type: "large", Zone: zone}] = n
	}
}

// TestWorkLeavesFaultyMachine checks that a machine on which every task fails gets no more work, and is deprovisioned.
// It guards against a failure in which the start of each task erased the failures of the tasks before it, so that a
// machine on which tasks failed one by one was used for ever.
func TestWorkLeavesFaultyMachine(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 510)
	s.limitCloudToLargeMachines(1)
	single := arraySpec
	single.Tasks = 1
	s.submit(1, arraySpec, 4*time.Second)
	s.runFor(20 * time.Second)
	faulty := s.cloud.SortedMachines()[0].ID
	s.faultyMachines[faulty] = true
	for n := range 40 {
		s.submit(10+n, single, 2*time.Second)
		s.runFor(1500 * time.Millisecond)
	}
	if m := s.leader().core.term.fleet.Machine(faulty); m != nil && !m.Deprovisioning {
		t.Errorf("machine %s, on which every task fails, is still in use; it is quarantined: %v", faulty, m.Quarantined)
	}
	s.healAndFinish()
}
