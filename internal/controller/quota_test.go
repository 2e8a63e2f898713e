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

// teamQuotasPolicy enables team quotas beside the warm standby.
const teamQuotasPolicy = "warm_standby = {}\nteam_quotas = {}"

var quotaSeedCount = flag.Int("quotadays", 4, "seeds of TestQuotasUnderFaults")

// remainingAllocations is what is still allotted or reserved.
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

// TestQuotasUnderFaults plays scenarios in which holders admit work of teams that are at their
// limits while leaders stop, nodes die and are paused, peers are partitioned, the state
// service is slow, away, or refuses one, and writes land late. What is stored is
// checked at every change, and what runs at every start. Once it is quiet, no unit is
// left with anybody.
func TestQuotasUnderFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, *quotaSeedCount, func(t *testing.T, seed uint64) {
		script := teamQuotasPolicy
		if seed%2 == 1 {
			script = "team_quotas = {}"
		}
		s := newLossySimulation(t, 900+seed, script)
		s.repeatWhileFaulty(10*time.Second, 20*time.Second, s.injectRandomFault)
		if s.policy.Features.WarmStandby != nil {
			s.repeatWhileFaulty(10*time.Second, 20*time.Second, s.injectFailoverFault)
		}
		s.runLossyScenario()
		s.runFor(30 * time.Second)
		if n := s.remainingAllocations(); n > 0 {
			t.Errorf("%d allotments and reservations are left", n)
		}
		if s.admissions == 0 {
			t.Error("no holder has admitted anything")
		}
	})
}

// TestHoldersAdmitJobs: in a calm scenario jobs are admitted by the nodes that took them, and
// everything runs and ends as it does without.
func TestHoldersAdmitJobs(t *testing.T) {
	t.Parallel()
	s := newSimulationWithPolicy(t, 5, teamQuotasPolicy)
	s.submitContinuously(60 * time.Second)
	s.submitMixedLoad()
	if s.admissions < 40 {
		t.Errorf("%d jobs were admitted by holders", s.admissions)
	}
	s.healAndFinish()
}

// simulationWithIdleHolder returns a scenario in which a holder has most of red's limit and uses none
// of it, and that holder.
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
		// Of jobs that nobody stores, and so of no reservation that is ever used.
		s.stepHolder(holder, quota.JobSubmitted{Job: "wk-999999", Team: "red", Tasks: 1, TaskDemand: quota.Quantity{MilliCPU: 40_000}})
		s.runFor(time.Second)
	}
	if got := holder.holder.Status().Teams["red"].Allocated; got.MilliCPU < 30_000 {
		t.Fatalf("the holder has %v of 40 CPUs", got)
	}
	return s, holder
}

// TestIdleAllotmentsAreRecalled: what a holder does not use is back within ten seconds once
// other work of the team needs it, whether the holder answers, is dead, is paused,
// or can't be reached; and a holder that was thought dead and is not can do nothing
// with it.
func TestIdleAllotmentsAreRecalled(t *testing.T) {
	t.Parallel()
	const bound = 10 * time.Second
	for name, injectFault := range map[string]func(*simulation, *simulatedNode){
		"answers":          func(*simulation, *simulatedNode) {},
		"is dead":          func(s *simulation, n *simulatedNode) { s.crash(n, time.Minute) },
		"stands still":     func(s *simulation, n *simulatedNode) { s.pausedUntil[n.index] = s.now.Add(20 * time.Second) },
		"can't be reached": func(s *simulation, _ *simulatedNode) { s.peersPartitioned = true },
		"and a new leader": func(s *simulation, n *simulatedNode) { s.crash(n, time.Minute); s.crash(s.leader(), time.Minute) },
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				s, holder := simulationWithIdleHolder(t, seed)
				injectFault(s, holder)
				job := arraySpec
				job.Tasks, job.CPUs = 9, 4 // 36 of the 40 CPUs
				s.submitUnadmitted(50, job, 30*time.Second)
				s.runFor(bound + 3*time.Second) // and a failover, where there is one
				l := s.leader()
				if l == nil {
					t.Fatalf("%s: nobody leads", name)
				}
				if allocated := l.core.term.quotas.allocator.Allocated("red"); allocated.MilliCPU > 4_000 {
					t.Errorf("%s, seed %d: %v of 40 CPUs are still allotted", name, seed, allocated)
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

// submitUnadmitted submits a job that no holder admits.
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

// TestQuotaCheckFindsOverallotment: a holder that reserves more than it was allotted,
// and a leader that allots what another has, are found in what is stored.
func TestQuotaCheckFindsOverallotment(t *testing.T) {
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
		t.Error("a reservation beyond the allotment is not found")
	}
	s, _ = simulationWithIdleHolder(t, 1)
	overallocated := quota.TeamRecord{SchemaVersion: 1}
	for _, node := range []string{"n0", "n1"} {
		overallocated.Allocations = append(overallocated.Allocations, quota.Allocation{Holder: quota.HolderID{Node: node, ModRevision: 1}, Quantity: quota.Quantity{MilliCPU: 30_000}})
	}
	storeUnchecked(t, s, quota.TeamKey("red"), overallocated)
	if s.checkStoredQuotas() == nil || teams["red"].CPULimit != 40 {
		t.Error("60 of 40 CPUs are allotted, and it is not found")
	}
}

// storeUnchecked stores a value as nobody should.
func storeUnchecked(t *testing.T, s *simulation, key string, value any) {
	t.Helper()
	if _, err := s.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}
