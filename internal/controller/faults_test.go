package controller

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestNoFaults checks that a mixed load runs to its end if no fault occurs.
func TestNoFaults(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 1)
	s.submitMixedLoad()
	s.healAndFinish()
}

// TestHundredThousandTaskJob checks that a job of 100,000 tasks that end in any order keeps its records within the
// limits of the state service and makes steady progress.
func TestHundredThousandTaskJob(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 5)
	huge := arraySpec
	huge.Tasks, huge.CPUs, huge.MemoryGB = 100_000, 0.25, 0.25
	id := s.submit(1, huge, 3*time.Second)
	s.submit(2, arraySpec, 12*time.Second)
	s.runFor(60 * time.Second)
	leader := s.leader()
	if leader == nil {
		t.Fatal("no node leads")
	}
	j := leader.core.term.jobs.get(id)
	if j.Done.Len() < 200 {
		t.Errorf("%d tasks done in a minute, want at least 200", j.Done.Len())
	}
	s.crash(leader, time.Second)
	s.runFor(20 * time.Second)
	s.cancelJob(id)
	s.runFor(60 * time.Second)
	if s.jobs[id].reportedState != api.Cancelled {
		t.Errorf("the cancelled job is still %q", s.jobs[id].reportedState)
	}
}

// TestLeaderCrashBeforeEachEffect crashes the leader before each of its effects in turn (records, starts, provision
// requests, checkpoints that include the results of rounds, acknowledged exits, cancellations) and checks that its
// successor continues: no task runs twice and nothing is lost.
func TestLeaderCrashBeforeEachEffect(t *testing.T) {
	t.Parallel()
	for k := 1; k <= 60; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 7)
			s.effectsUntilCrash = k
			s.submit(1, arraySpec, 12*time.Second)
			s.submit(2, serviceSpec, 0)
			s.runFor(20 * time.Second)
			s.submit(3, oneZoneSpec, 8*time.Second)
			s.runFor(25 * time.Second)
			s.cancelJob("wk-000003")
			s.runFor(60 * time.Second)
			s.healAndFinish()
			if s.effectsUntilCrash > 0 {
				t.Logf("the scenario ended %d effects before the crash", s.effectsUntilCrash)
			}
		})
	}
}

// forEachSeed runs a scenario with each of n seeds, in parallel.
func forEachSeed(t *testing.T, n int, scenario func(*testing.T, uint64)) {
	for seed := range uint64(n) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario(t, seed)
		})
	}
}

// TestMessageLossAndCrashes checks scenarios with lost and duplicated messages, node crashes, outages and reclaimed
// machines, each with its own seed.
func TestMessageLossAndCrashes(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := newSimulation(t, 100+seed)
		s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability = 0.04, 0.1, 0.05
		s.scheduleEvery(19*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) > 0 && s.lossProbability > 0 {
				s.hungUntil[ids[s.rng.IntN(len(ids))]] = s.now.Add(time.Duration(5+s.rng.IntN(35)) * time.Second)
			}
		})
		s.scheduleEvery(time.Duration(7+s.rng.IntN(20))*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if s.lossProbability > 0 && n.alive {
				s.crash(n, time.Duration(100+s.rng.IntN(8000))*time.Millisecond)
			}
		})
		s.schedule(40*time.Second, func() { s.beginStoreOutage(20 * time.Second) })
		s.schedule(75*time.Second, func() {
			s.cloud.Down = true
			s.schedule(30*time.Second, func() { s.cloud.Down = false })
		})
		s.scheduleEvery(23*time.Second, func() {
			if l := s.leader(); l != nil && s.lossProbability > 0 {
				s.unreachableByWorkers[l.index] = true
				s.schedule(12*time.Second, func() { delete(s.unreachableByWorkers, l.index) })
			}
		})
		s.scheduleEvery(17*time.Second, func() {
			for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
				h := s.cloud.Machines[id]
				if s.lossProbability > 0 && h.Worker != nil && s.rng.IntN(8) == 0 {
					s.reclaimMachine(id)
					break
				}
			}
		})
		s.submitMixedLoad()
		s.schedule(5*time.Second, func() { s.cancelJob("wk-000003") })
		s.schedule(9*time.Second, func() { s.cancelJob("wk-000004") })
		s.runFor(120 * time.Second)
		s.healAndFinish()
	})
}

// TestUnreachableMachines checks scenarios in which the heartbeats of machines arrive, but no reply and no command
// reaches them, repeatedly and for longer than a lease. In addition, copies of heartbeats arrive up to several leases
// late, nodes lose the state service and each other but not their workers, and crashed processes restart within a
// fraction of a second.
func TestUnreachableMachines(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 8, func(t *testing.T, seed uint64) {
		s := newSimulation(t, 900+seed)
		s.lossProbability, s.lateHeartbeatProbability, s.maxHeartbeatDelay = 0.01, 0.1, 100*time.Second
		s.scheduleEvery(13*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) > 0 && s.lossProbability > 0 {
				s.unreachableUntil[ids[s.rng.IntN(len(ids))]] = s.now.Add(time.Duration(10+s.rng.IntN(50)) * time.Second)
			}
		})
		s.scheduleEvery(31*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
				n = l
			}
			if s.lossProbability > 0 {
				s.isolated[n.index] = true
				s.schedule(time.Duration(5+s.rng.IntN(20))*time.Second, func() { delete(s.isolated, n.index) })
			}
		})
		s.scheduleEvery(time.Duration(9+s.rng.IntN(9))*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if s.lossProbability > 0 && n.alive {
				s.crash(n, time.Duration(20+s.rng.IntN(500))*time.Millisecond)
			}
		})
		s.scheduleEvery(21*time.Second, func() {
			// A worker restarts at once, without the tasks that ran on it.
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) == 0 || s.lossProbability == 0 {
				return
			}
			if w := s.cloud.Machines[ids[s.rng.IntN(len(ids))]].Worker; w != nil {
				w.KillAll(s.now)
				w.Session++
			}
		})
		s.schedule(80*time.Second, func() {
			// No worker reaches node 2 for 20 s.
			s.unreachableByWorkers[2] = true
			s.schedule(20*time.Second, func() { delete(s.unreachableByWorkers, 2) })
		})
		s.schedule(55*time.Second, func() { s.beginStoreOutage(15 * time.Second) })
		s.submitMixedLoad()
		s.schedule(5*time.Second, func() { s.cancelJob("wk-000003") })
		s.runFor(150 * time.Second)
		s.healAndFinish()
	})
}

// TestPausedNodes checks scenarios in which nodes, preferably the leader, are paused for a fraction of a second to
// more than a lease while their clocks advance, together with crashes, outages, late copies of heartbeats and lost
// messages.
func TestPausedNodes(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 8, func(t *testing.T, seed uint64) {
		s := newSimulation(t, 300+seed)
		s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability = 0.02, 0.05, 0.05
		s.scheduleEvery(11*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if l := s.leader(); l != nil && s.rng.IntN(3) > 0 {
				n = l
			}
			if s.lossProbability > 0 {
				s.pausedUntil[n.index] = s.now.Add(time.Duration(100<<s.rng.IntN(9)) * time.Millisecond)
			}
		})
		s.scheduleEvery(37*time.Second, func() {
			if n := s.nodes[s.rng.IntN(3)]; s.lossProbability > 0 && n.alive {
				s.crash(n, time.Duration(20+s.rng.IntN(500))*time.Millisecond)
			}
		})
		s.schedule(45*time.Second, func() { s.beginStoreOutage(15 * time.Second) })
		s.submitMixedLoad()
		s.schedule(5*time.Second, func() { s.cancelJob("wk-000003") })
		s.runFor(150 * time.Second)
		s.healAndFinish()
	})
}

// TestZonePartitions checks scenarios in which a zone is partitioned from everything, including the state service and
// the cloud, for less and for more than a lease. The zone has one node or two, with or without the leader. Crashes,
// pauses, cancellations and isolated nodes coincide with the partition, and the messages that it delayed are delivered
// when it ends.
func TestZonePartitions(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := newSimulation(t, 500+seed)
		s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability = 0.02, 0.05, 0.05
		s.scheduleEvery(75*time.Second, func() {
			if s.lossProbability == 0 {
				return
			}
			s.partitionedZone = s.settings.Params.Zones[s.rng.IntN(2)]
			s.schedule(time.Duration(5+s.rng.IntN(60))*time.Second, s.healPartition)
		})
		s.scheduleEvery(23*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			switch {
			case s.lossProbability == 0 || !n.alive:
			case s.rng.IntN(3) == 0:
				s.crash(n, time.Duration(20+s.rng.IntN(4000))*time.Millisecond)
			case s.rng.IntN(2) == 0:
				s.pausedUntil[n.index] = s.now.Add(time.Duration(100<<s.rng.IntN(9)) * time.Millisecond)
			default:
				s.isolated[n.index] = true
				s.schedule(time.Duration(5+s.rng.IntN(40))*time.Second, func() { delete(s.isolated, n.index) })
			}
		})
		s.scheduleEvery(17*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) == 0 || s.lossProbability == 0 {
				return
			}
			if id := ids[s.rng.IntN(len(ids))]; s.rng.IntN(2) == 0 {
				s.hungUntil[id] = s.now.Add(time.Duration(5+s.rng.IntN(35)) * time.Second)
			} else if s.cloud.Machines[id].Worker != nil {
				s.reclaimMachine(id)
			}
		})
		s.submitMixedLoad()
		for i, id := range []ident.JobID{"wk-000003", "wk-000004", "wk-000007", "wk-000010", "wk-000008"} {
			s.schedule(time.Duration(12+17*i)*time.Second, func() { s.cancelJob(id) })
		}
		s.runFor(220 * time.Second)
		s.healAndFinish()
	})
}

// TestPartitionedZoneKeepsItsReplicas checks that workers that are partitioned together with a node keep their tasks
// through a partition that outlasts their leases, and that none of these tasks is started elsewhere. Before
// delegation grants existed, all tasks in the zone were killed.
func TestPartitionedZoneKeepsItsReplicas(t *testing.T) {
	t.Parallel()
	partitionZone(t, 21)
}

var zonePartitionSeeds = flag.Uint64("cutseeds", 10, "seeds of TestPartitionedZoneForAnyWorkerAssignment, two scenarios each")

// TestPartitionedZoneForAnyWorkerAssignment repeats the check with different nodes that receive the workers' heartbeats
// when the partition begins. A worker waits four seconds for each unreachable node, and another second before it tries
// the next. When the node inside the zone redirected a worker without naming a node, the worker came back only after
// the grant had expired, and its tasks were lost.
func TestPartitionedZoneForAnyWorkerAssignment(t *testing.T) {
	t.Parallel()
	for seed := range *zonePartitionSeeds {
		partitionZone(t, seed)
	}
}

// partitionZone partitions a zone that has a node in it: the leader's zone in one subtest, the other zone in the
// other.
func partitionZone(t *testing.T, seed uint64) {
	for _, inside := range []bool{true, false} {
		t.Run(fmt.Sprintf("%d/leader inside %v", seed, inside), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed)
			s.submit(1, serviceSpec, 0)
			s.submit(2, serviceSpec, 0)
			s.runFor(30 * time.Second)
			startsBefore := s.taskStarts
			leader := s.leader()
			if s.partitionedZone = s.nodes[1].zone; inside == (leader.zone != s.partitionedZone) {
				s.partitionedZone = s.nodes[0].zone
			}
			s.runFor(42 * time.Second)
			s.healPartition()
			s.runFor(20 * time.Second)
			if s.taskStarts != startsBefore || s.running.len() != 2*serviceSpec.Tasks {
				t.Errorf("%d replicas were restarted; %d are running, want %d",
					s.taskStarts-startsBefore, s.running.len(), 2*serviceSpec.Tasks)
			}
			s.healAndFinish()
		})
	}
}

// TestRestartBeforeEachElectionRequest crashes a process before each of its requests to the state service in turn,
// while it is a candidate or leads, and restarts it at once. It checks that the new process does not use late responses
// to requests of the old one.
func TestRestartBeforeEachElectionRequest(t *testing.T) {
	t.Parallel()
	for k := 1; k <= 40; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 11)
			s.electionRequestsUntilCrash, s.lossProbability = k, 0.02
			s.submit(1, arraySpec, 12*time.Second)
			s.submit(2, serviceSpec, 0)
			s.scheduleEvery(8*time.Second, func() {
				if l := s.leader(); l != nil && s.lossProbability > 0 {
					s.crash(l, 6*time.Second) // so that the other nodes hold an election
				}
			})
			s.runFor(60 * time.Second)
			if s.electionRequestsUntilCrash > 0 {
				t.Fatalf("the scenario has no election request %d", k)
			}
			s.healAndFinish()
		})
	}
}

// TestHundredsOfMachines checks a scenario with some hundred machines: arrays that fill them, consecutive leader
// crashes, an outage and reclaimed machines.
func TestHundredsOfMachines(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		s := newSimulation(t, 40+seed)
		for o := range s.cloud.Capacity {
			s.cloud.Capacity[o] *= 15
		}
		s.settings.Params.Teams = []config.Team{{Name: "red", CPUGuarantee: 300, CPULimit: 900}, {Name: "blue", CPUGuarantee: 300, CPULimit: 900}}
		for _, n := range s.nodes {
			s.crash(n, time.Millisecond)
		}
		s.lossProbability = 0.01
		array := arraySpec
		array.Tasks = 160
		for i := range 12 {
			s.submit(3*i, array, 15*time.Second)
			s.submit(3*i+1, serviceSpec, 0)
			s.submit(3*i+2, oneZoneSpec, 8*time.Second)
		}
		for _, at := range []int{25, 32, 61} {
			s.schedule(time.Duration(at)*time.Second, func() {
				if l := s.leader(); l != nil {
					s.crash(l, 500*time.Millisecond)
				}
			})
		}
		peak := 0
		s.scheduleEvery(time.Second, func() { peak = max(peak, len(s.cloud.Machines)) })
		s.schedule(45*time.Second, func() { s.beginStoreOutage(12 * time.Second) })
		s.schedule(50*time.Second, func() {
			for i, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
				if h := s.cloud.Machines[id]; i%9 == 0 && h.Worker != nil {
					s.reclaimMachine(id)
				}
			}
		})
		s.runFor(100 * time.Second)
		if peak < 40 {
			t.Errorf("the scenario had at most %d machines, want at least 40", peak)
		}
		s.healAndFinish()
	})
}

var largeFleetSeeds = flag.Int("fleetseeds", 1, "seeds of TestLargeFleetFaults")

// TestLargeFleetFaults checks random scenarios of up to 1,900 machines: zones with and without a node, replicas, and
// large arrays beside many small ones, with overlapping faults of each kind. These are partitioned zones, paused
// nodes, crashes of one node or all with an immediate restart, isolated nodes, an outage, a third of the machines
// reclaimed or hung, and late and duplicated messages. All invariants are checked at each change.
func TestLargeFleetFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, *largeFleetSeeds, func(t *testing.T, seed uint64) {
		s := newSimulation(t, 7000+seed)
		s.lossProbability, s.duplicateProbability, s.lateHeartbeatProbability = 0.01, 0.02, 0.02
		s.scaleCloud([]ident.Zone{"a", "b", "c", "d"}[:2+s.rng.IntN(3)], 1000+s.rng.IntN(900))
		s.settings.Params.Workers.HeartbeatSeconds = 5
		s.settings.Params.Teams = []config.Team{{Name: "red", CPUGuarantee: 1000, CPULimit: 10_000}, {Name: "blue", CPUGuarantee: 1000, CPULimit: 10_000}}
		s.submitRandomJobs(int(s.rng.Uint64N(20)))
		s.scheduleEvery(9*time.Second, func() {
			if s.lossProbability > 0 {
				s.injectRandomFault()
			}
		})
		peak := 0
		s.scheduleEvery(time.Second, func() { peak = max(peak, len(s.cloud.Machines)) })
		s.runFor(150 * time.Second)
		t.Logf("%d machines at most, in %d zones", peak, len(s.settings.Params.Zones))
		if peak < 500 {
			t.Errorf("the scenario had at most %d machines, want at least 500", peak)
		}
		s.healAndFinish()
	})
}

// TestLargestLowPriorityJobStarts checks that the largest job of the lowest class starts within four minutes and
// keeps running for long enough to finish tasks, although a steady stream of small jobs of a higher priority takes
// all capacity.
func TestLargestLowPriorityJobStarts(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 6)
	for o := range s.cloud.Capacity {
		s.cloud.Capacity[o] = 1
	}
	s.settings.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	small, large := arraySpec, arraySpec
	small.Tasks, small.CPUs = 20, 2
	large.Priority, large.Class, large.Tasks, large.CPUs = jobs.PriorityBestEffort, "low", 150, 4
	jobNumber := 1
	s.scheduleEvery(2*time.Second, func() {
		if jobNumber < 120 {
			jobNumber++
			s.submit(jobNumber, small, 20*time.Second)
		}
	})
	s.runFor(20 * time.Second) // until the small jobs use all capacity
	id := s.submit(1, large, 60*time.Second)
	s.runFor(4 * time.Minute)
	j := s.jobs[id]
	if j.startedAt == 0 {
		t.Fatal("the largest job has not started within four minutes")
	}
	if job := s.leader().core.term.jobs.get(id); s.now.Sub(j.startedAt) > 70*time.Second && len(job.Done) == 0 {
		t.Errorf("the largest job started %v ago, and none of its tasks is done", s.now.Sub(j.startedAt))
	}
}
