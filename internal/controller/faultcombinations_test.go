package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// machineOfJob returns the machine with the lowest ID that runs a task of the job, and fails the test if
// there is none.
func (s *simulation) machineOfJob(id ident.JobID) ident.MachineID {
	var machines []ident.MachineID
	for _, placed := range s.running.ofJob(id) {
		machines = append(machines, placed.machine)
	}
	if len(machines) == 0 {
		s.t.Fatalf("no task of %s is running", id)
	}
	return slices.Min(machines)
}

// TestUnloadedLeadersDoNotRenewCancelledTasks checks that leaders that are replaced before they have loaded the
// records do not keep renewing the leases of cancelled tasks. They used to answer heartbeats with status 200 and no
// commands: a machine that was unreachable when a job was cancelled ran its tasks for as long as the leader kept
// changing.
func TestUnloadedLeadersDoNotRenewCancelledTasks(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 3)
	id := s.submit(1, arraySpec, 10*time.Minute)
	s.runFor(25 * time.Second)
	s.unreachableUntil[s.machineOfJob(id)] = s.now.Add(4 * time.Second)
	s.cancelJob(id)
	s.runFor(500 * time.Millisecond)
	if s.jobs[id].cancelledAt == 0 {
		t.Fatal("the cancellation was not confirmed")
	}
	s.recordsReadDelay = 20 * time.Second
	for range 16 {
		if l := s.leader(); l != nil {
			s.crash(l, 200*time.Millisecond)
		}
		s.runFor(5 * time.Second)
	}
	s.healAndFinish()
}

var faultCombinationSeeds = flag.Int("meetseeds", 2, "seeds of each combination in TestFaultCombinations")

const sec = time.Second

// faultCombinations lists combinations of two faults that break schedulers of this kind.
var faultCombinations = []struct {
	name  string
	begin func(*simulation)
}{
	{"team limit, failover, unreachable machines, cancellations", func(s *simulation) {
		s.repeatWhileFaultsActive(15*sec, 30*sec, func() {
			s.makeUnreachable(0.4, 5*sec, 40*sec)
			s.schedule(s.randomDuration(0, 6*sec), func() { s.crashLeader(6 * sec) })
			s.schedule(s.randomDuration(0, 12*sec), func() { s.cancelRunningJobs(3) })
		})
	}},
	{"cancellations and status queries as the last task ends", func(s *simulation) {
		s.cancelAtEndProbability = 0.8
		s.repeatWhileFaultsActive(20*sec, 40*sec, func() { s.crashLeader(2 * sec) })
	}},
	{"completion races with cancellation, unanswered writes, leader changes", func(s *simulation) {
		s.cancelAtEndProbability, s.lateCommitProbability, s.lossProbability = 0.8, 0.2, 0.03
		s.repeatWhileFaultsActive(8*sec, 20*sec, func() { s.crashLeader(2 * sec) })
		s.repeatWhileFaultsActive(20*sec, 30*sec, func() { s.refuseLeader(s.randomDuration(2*sec, 9*sec)) })
	}},
	{"leadership transfers, all controllers crash, one restarts at once", func(s *simulation) {
		s.repeatWhileFaultsActive(12*sec, 20*sec, func() {
			if l := s.leader(); l != nil {
				s.unreachableByWorkers[l.index] = true
				s.schedule(s.randomDuration(8*sec, 14*sec), func() { delete(s.unreachableByWorkers, l.index) })
			}
			s.schedule(s.randomDuration(9*sec, 12*sec), func() {
				for i, n := range s.nodes {
					if n.alive {
						s.crash(n, time.Duration(1+i*5)*s.randomDuration(100*time.Millisecond, sec))
					}
				}
			})
		})
	}},
	{"machines whose heartbeats are lost", func(s *simulation) {
		s.repeatWhileFaultsActive(10*sec, 25*sec, func() {
			for _, id := range s.randomMachines(0.4) {
				s.heartbeatsLostUntil[id] = s.now.Add(s.randomDuration(5*sec, 50*sec))
			}
			s.cancelRunningJobs(1)
		})
		s.repeatWhileFaultsActive(30*sec, 50*sec, func() { s.crashLeader(4 * sec) })
	}},
	{"late heartbeats of earlier sessions and attempts", func(s *simulation) {
		s.lateHeartbeatProbability, s.maxHeartbeatDelay = 0.4, 90*sec
		s.repeatWhileFaultsActive(8*sec, 16*sec, func() {
			for _, id := range s.randomMachines(0.2) {
				w := s.cloud.Machines[id].Worker
				w.KillAll(s.now)
				w.Session++
			}
		})
		s.repeatWhileFaultsActive(20*sec, 30*sec, func() { s.crashLeader(sec); s.cancelRunningJobs(1) })
	}},
	{"unanswered transactions that are applied late", func(s *simulation) {
		s.lateCommitProbability = 0.25
		s.repeatWhileFaultsActive(15*sec, 30*sec, func() { s.crashLeader(3 * sec); s.cancelRunningJobs(1) })
	}},
	{"all controllers down for longer than a lease", func(s *simulation) {
		s.repeatWhileFaultsActive(50*sec, 60*sec, func() {
			s.cancelRunningJobs(2)
			for _, n := range s.nodes {
				s.crash(n, s.randomDuration(28*sec, 40*sec))
			}
		})
	}},
	{"jobs restricted to a zone lose machines", func(s *simulation) {
		s.repeatWhileFaultsActive(10*sec, 20*sec, func() {
			for _, id := range s.randomMachines(0.3) {
				if s.cloud.Machines[id].Offer.Zone == "a" {
					s.reclaimMachine(id)
				}
			}
		})
		s.repeatWhileFaultsActive(25*sec, 40*sec, func() { s.crashLeader(4 * sec) })
	}},
	{"commands delayed for seconds", func(s *simulation) {
		s.duplicateProbability = 0.3
		s.repeatWhileFaultsActive(4*sec, 9*sec, func() { s.hangMachines(0.3, sec, 9*sec); s.cancelRunningJobs(1) })
		s.repeatWhileFaultsActive(20*sec, 35*sec, func() { s.crashLeader(4 * sec) })
	}},
	{"leader isolated from state service and peers, cancellations through its successor", func(s *simulation) {
		s.repeatWhileFaultsActive(25*sec, 35*sec, func() {
			s.isolateLeader(s.randomDuration(8*sec, 30*sec))
			s.schedule(s.randomDuration(6*sec, 10*sec), func() { s.cancelRunningJobs(3) })
		})
	}},
	{"leader crashes while machines are unreachable or hang", func(s *simulation) {
		s.repeatWhileFaultsActive(20*sec, 30*sec, func() {
			s.makeUnreachable(0.5, 10*sec, 35*sec)
			s.hangMachines(0.2, 5*sec, 35*sec)
			s.crashLeader(6 * sec)
			s.schedule(s.randomDuration(0, 10*sec), func() { s.cancelRunningJobs(2) })
		})
	}},
	{"partitioned zone with a controller", func(s *simulation) {
		s.repeatWhileFaultsActive(45*sec, 60*sec, func() {
			s.partitionedZone = s.settings.Params.Zones[s.rng.IntN(2)]
			s.schedule(s.randomDuration(28*sec, 42*sec), s.healPartition)
			s.schedule(s.randomDuration(0, 20*sec), func() { s.cancelRunningJobs(2) })
		})
	}},
	{"slow state service, leader refused by it, outage", func(s *simulation) {
		s.maxStoreLatency = 2 * sec
		s.repeatWhileFaultsActive(70*sec, 80*sec, func() {
			s.refuseLeader(14 * sec)
			s.schedule(s.randomDuration(0, 12*sec), func() { s.beginStoreOutage(55 * sec) })
			for range 5 {
				s.schedule(s.randomDuration(0, 20*sec), func() { s.cancelRunningJobs(1) })
			}
		})
	}},
	{"heartbeats delayed until a new leader has acted", func(s *simulation) {
		s.lateHeartbeatProbability, s.maxHeartbeatDelay = 0.5, 25*sec
		s.repeatWhileFaultsActive(12*sec, 18*sec, func() { s.crashLeader(3 * sec); s.makeUnreachable(0.2, 3*sec, 30*sec); s.cancelRunningJobs(1) })
	}},
	{"ten leaders in two minutes, also in an outage", func(s *simulation) {
		s.repeatWhileFaultsActive(9*sec, 13*sec, func() { s.crashLeader(300 * time.Millisecond) })
		s.repeatWhileFaultsActive(40*sec, 50*sec, func() { s.beginStoreOutage(s.randomDuration(5*sec, 25*sec)); s.cancelRunningJobs(2) })
	}},
	{"tasks of a job end far apart, under several leaders", func(s *simulation) {
		for _, j := range s.jobs {
			if !j.spec.Service {
				j.runTimeStep = 14 * sec
			}
		}
		s.lossProbability = 0.03
		s.repeatWhileFaultsActive(10*sec, 18*sec, func() { s.crashLeader(6 * sec) })
	}},
	{"more work than capacity, mixed priorities, slow links", func(s *simulation) {
		s.maxExtraLatency = 700 * time.Millisecond
		urgent := arraySpec
		urgent.Priority, urgent.Class = jobs.PriorityHigh, "urgent"
		for i := range 12 {
			s.submit(300+2*i, urgent, 15*sec)
			s.submit(301+2*i, oneZoneSpec, 20*sec)
		}
		s.repeatWhileFaultsActive(20*sec, 40*sec, func() { s.crashLeader(4 * sec); s.cancelRunningJobs(1) })
	}},
}

// workerTimings lists the workers' timing settings with which each fault combination is run.
var workerTimings = []struct {
	name    string
	workers config.Workers
}{
	{"", simulationSettings().Params.Workers},
	{"short leases/", shortLeases},
}

// TestFaultCombinations runs each fault combination in random scenarios and checks every invariant, that every
// accepted job is still answered, and that no job waits once the faults are over.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	for i, combination := range faultCombinations {
		for _, timing := range workerTimings {
			for seed := range uint64(*faultCombinationSeeds) {
				t.Run(fmt.Sprintf("%s%s/%d", timing.name, combination.name, seed), func(t *testing.T) {
					t.Parallel()
					s := newSimulationWithWorkers(t, 5000+100*uint64(i)+seed, timing.workers)
					if seed%2 == 1 {
						s.settings.Params.Teams = []config.Team{{Name: "red", CPULimit: 40}, {Name: "blue", CPULimit: 24}}
						for _, n := range s.nodes {
							s.crash(n, time.Millisecond)
						}
					}
					s.runFaultCombination(combination.begin)
				})
			}
		}
	}
}

// runFaultCombination submits jobs of each kind, runs the faults for a while, and finishes the scenario without them.
func (s *simulation) runFaultCombination(begin func(*simulation)) {
	s.submitMixedLoad()
	zoneBound := arraySpec
	zoneBound.Zone, zoneBound.Class = "a", "bound"
	pairSpec := oneZoneSpec
	pairSpec.Tasks, pairSpec.Team, pairSpec.Class = 2, "red", "pair"
	for k := range 4 {
		s.submit(100+3*k, zoneBound, 20*sec)
		s.submit(101+3*k, pairSpec, 25*sec)
		s.submit(102+3*k, arraySpec, 60*sec)
	}
	s.runFor(5 * sec)
	s.faultsActive = true
	begin(s)
	s.runFor(150 * sec)
	s.faultsActive = false
	s.healAndFinish()
}
