package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/quota"
)

// teamQuotasPolicy enables team quotas in addition to the warm standby.
const teamQuotasPolicy = "warm_standby = {}\nteam_quotas = {}"

var quotaSeedCount = flag.Int("quotadays", 4, "number of seeds of TestQuotasUnderFaults")

// remainingAllocations returns the number of stored team records with a non-zero allocation plus the number of stored
// reservations.
func (s *simulation) remainingAllocations() int {
	items, _, _ := s.store.List(quota.KeyPrefix)
	remaining := 0
	for _, item := range items {
		if r, err := quota.DecodeTeamRecord(item.Value); err == nil && len(r.Allocations) > 0 && !r.Allocated().IsZero() {
			remaining++
		}
		if _, reservations, err := quota.DecodeReservationRecord(item.Value); err == nil {
			remaining += len(reservations)
		}
	}
	return remaining
}

// TestQuotasUnderFaults simulates holders that admit work of teams at their limits under faults: leaders stop, nodes
// crash or are paused, peers are partitioned, the state service is slow, unavailable or refuses a single node, and
// writes are applied late. The stored quota records are checked at every change, and the usage of the teams at every
// task start. Once the load is over, no allocation or reservation may remain.
func TestQuotasUnderFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, *quotaSeedCount, func(t *testing.T, seed uint64) {
		script := teamQuotasPolicy
		if seed%2 == 1 {
			script = "team_quotas = {}"
		}
		s := newLossySimulation(t, 900+seed, script)
		s.repeatWhileFaultsActive(10*time.Second, 20*time.Second, s.injectRandomFault)
		if s.policy.Features.WarmStandby != nil {
			s.repeatWhileFaultsActive(10*time.Second, 20*time.Second, s.injectFailoverFault)
		}
		s.runLossyScenario()
		s.runFor(30 * time.Second)
		if n := s.remainingAllocations(); n > 0 {
			t.Errorf("%d allocations and reservations remain", n)
		}
		if s.admissions == 0 {
			t.Error("no holder has admitted a job")
		}
	})
}

// TestHoldersAdmitJobs checks that, without faults, jobs are admitted by the nodes that received them, and that all
// jobs run and end as they do without team quotas.
func TestHoldersAdmitJobs(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 5, teamQuotasPolicy)
	s.submitContinuously(60 * time.Second)
	s.submitMixedLoad()
	if s.admissions < 40 {
		t.Errorf("holders admitted %d jobs, want at least 40", s.admissions)
	}
	s.healAndFinish()
}

// simulationWithIdleHolder returns a simulation in which one holder has been allocated most of the limit of team red
// and uses none of it, and the node of that holder.
func simulationWithIdleHolder(t *testing.T, seed uint64) (*simulation, *simulatedNode) {
	s := newSimulationWithPolicy(t, seed, teamQuotasPolicy)
	s.submit(1, serviceSpec, 0)
	s.runFor(30 * time.Second)
	var holder *simulatedNode
	for _, n := range s.nodes {
		if n != s.leader() {
			holder = n
		}
	}
	for range 6 {
		// The job is not stored, so its reservation is never used.
		s.stepHolder(holder, quota.JobSubmitted{Job: "wk-999999", Team: "red", Tasks: 1, TaskDemand: quota.Quantity{MilliCPU: 40_000}})
		s.runFor(time.Second)
	}
	if got := holder.holder.Status().Teams["red"].Allocated; got.MilliCPU < 30_000 {
		t.Fatalf("the holder has been allocated %v of 40 CPUs, want at least 30", got)
	}
	return s, holder
}

// TestIdleAllocationsAreRecalled checks that the leader regains an unused allocation within ten seconds once other
// work of the team needs it, whether the holder responds, has crashed, is paused or is unreachable. A holder that was
// wrongly considered dead must not be able to use the allocation afterwards.
func TestIdleAllocationsAreRecalled(t *testing.T) {
	t.Parallel()
	const bound = 10 * time.Second
	for name, injectFault := range map[string]func(*simulation, *simulatedNode){
		"holder responds":           func(*simulation, *simulatedNode) {},
		"holder crashed":            func(s *simulation, n *simulatedNode) { s.crash(n, time.Minute) },
		"holder paused":             func(s *simulation, n *simulatedNode) { s.pausedUntil[n.index] = s.now.Add(20 * time.Second) },
		"holder unreachable":        func(s *simulation, _ *simulatedNode) { s.peersPartitioned = true },
		"holder and leader crashed": func(s *simulation, n *simulatedNode) { s.crash(n, time.Minute); s.crash(s.leader(), time.Minute) },
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s, holder := simulationWithIdleHolder(t, seed)
				injectFault(s, holder)
				job := arraySpec
				job.Tasks, job.CPUs = 9, 4 // 36 of the 40 CPUs
				s.submitUnadmitted(50, job, 30*time.Second)
				s.runFor(bound + 3*time.Second) // 3 s for a failover, in the case that has one
				l := s.leader()
				if l == nil {
					t.Fatalf("%s: no leader", name)
				}
				if allocated := l.core.term.quotas.allocator.Allocated("red"); allocated.MilliCPU > 4_000 {
					t.Errorf("%s, seed %d: %v of 40 CPUs are still allocated, want at most 4", name, seed, allocated)
				}
				s.peersPartitioned = false
				s.runFor(30 * time.Second)
				if err := s.checkUsageWithinLimits(); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
	}
}

// submitUnadmitted submits a job while no node has a holder, so that only the leader can admit it.
func (s *simulation) submitUnadmitted(n int, spec jobs.Spec, runTime time.Duration) ident.JobID {
	holders := make([]*quota.Holder, len(s.nodes))
	for i, node := range s.nodes {
		holders[i], node.holder = node.holder, nil
	}
	id := s.submit(n, spec, runTime)
	for i, node := range s.nodes {
		node.holder = holders[i]
	}
	return id
}

// TestQuotaCheckDetectsOverallocation checks that the check of the stored quota records detects two violations: a
// holder that reserves more than it has been allocated, and a leader that allocates what another holder already has.
func TestQuotaCheckDetectsOverallocation(t *testing.T) {
	t.Parallel()
	teams := simulationSettings().Params.TeamsByName()
	s, holder := simulationWithIdleHolder(t, 1)
	if err := s.checkStoredQuotas(); err != nil {
		t.Fatal(err)
	}
	holderRevision := holder.holder.Status().ModRevision
	reservations := []quota.Reservation{{Job: "wk-000007", Team: "red", Tasks: 1, TaskDemand: quota.Quantity{MilliCPU: 41_000}}}
	excessive, err := quota.NewReservationRecord(holderRevision, reservations)
	if err != nil {
		t.Fatal(err)
	}
	storeUnchecked(t, s, quota.ReservationKey(holder.name), excessive)
	if s.checkStoredQuotas() == nil {
		t.Error("a reservation that exceeds its allocation is not detected")
	}
	s, _ = simulationWithIdleHolder(t, 1)
	overallocated := quota.TeamRecord{SchemaVersion: 1}
	for _, node := range []string{"n0", "n1"} {
		overallocated.Allocations = append(overallocated.Allocations, quota.Allocation{Holder: quota.HolderID{Node: node, ModRevision: 1}, Quantity: quota.Quantity{MilliCPU: 30_000}})
	}
	storeUnchecked(t, s, quota.TeamKey("red"), overallocated)
	if s.checkStoredQuotas() == nil || teams["red"].CPULimit != 40 {
		t.Error("an allocation of 60 CPUs under a limit of 40 is not detected")
	}
}

// storeUnchecked writes a value to the state service without a condition and without the simulation's quota check.
func storeUnchecked(t *testing.T, s *simulation, key string, value any) {
	t.Helper()
	if _, err := s.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}
