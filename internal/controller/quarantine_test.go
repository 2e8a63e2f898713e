package controller

import (
	"testing"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// limitCloudToLargeMachines leaves n machines of type large in each zone for provisioning, and no others.
func (s *simulation) limitCloudToLargeMachines(n int) {
	clear(s.cloud.Capacity)
	for _, zone := range s.settings.Params.Zones {
		s.cloud.Capacity[cloud.Offer{Type: "large", Zone: zone}] = n
	}
}

// submitReplicaInEachZone submits a service of one replica for each zone, with the IDs from n on, so that no machine
// that runs one becomes idle.
func (s *simulation) submitReplicaInEachZone(n int) {
	for i, zone := range s.settings.Params.Zones {
		replica := serviceSpec
		replica.Tasks, replica.CPUs, replica.Zone = 1, 1, zone
		s.submit(n+i, replica, 0)
	}
}

// newBusyFleet returns a simulation with one replica in each zone, on a cloud with n machines in each zone.
func newBusyFleet(t *testing.T, seed uint64, n int) *simulation {
	s := newSimulation(t, seed)
	s.limitCloudToLargeMachines(n)
	s.submitReplicaInEachZone(1)
	s.runFor(40 * time.Second)
	return s
}

// makeMistaken makes the tasks of a job fail on every machine, and cancels the job after a time.
func (s *simulation) makeMistaken(id ident.JobID, cancelAfter time.Duration) {
	s.mistakenJobs[id] = true
	s.schedule(cancelAfter, func() { s.cancelJob(id) })
}

// startsInTime submits an array and reports whether a task of it starts within maxStartDelay.
func (s *simulation) startsInTime(n int, spec jobs.Spec) bool {
	id := s.submit(n, spec, time.Second)
	s.runFor(maxStartDelay)
	return s.jobs[id].startedAt != 0
}

// TestMistakenJobsDoNotQuarantineMachines checks that jobs that were submitted with a mistake and cancelled by their
// users don't keep later jobs from the machines that they failed on. It guards against a failure in which the tasks of
// one array that failed together quarantined a machine, which was never used again because it ran a replica.
func TestMistakenJobsDoNotQuarantineMachines(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		s := newBusyFleet(t, 500+seed, 1)
		spec := arraySpec
		spec.Tasks = 4
		for n := range 6 {
			s.makeMistaken(s.submit(10+n, spec, time.Second), 6*time.Second)
			s.runFor(2500 * time.Millisecond)
		}
		s.runFor(6 * time.Second)
		if !s.startsInTime(30, spec) {
			t.Errorf("no task of an array started within %v of the last cancellation", maxStartDelay)
		}
		s.healAndFinish()
	})
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

// TestQuarantineEnds checks that a machine that was faulty for a while, and was never idle because it runs a replica,
// gets work again. It guards against a failure in which the quarantine of such a machine lasted until the leader
// changed, while work that fits only there waited.
func TestQuarantineEnds(t *testing.T) {
	t.Parallel()
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		s := newBusyFleet(t, 520+seed, 1)
		machine := s.machineIn("a")
		s.faultyMachines[machine] = true
		large := arraySpec
		large.Tasks = 60
		s.submit(10, large, 2*time.Second)
		s.runFor(10 * time.Second)
		if m := s.leader().core.term.fleet.Machine(machine); m == nil || !m.Faulty {
			t.Fatalf("machine %s, on which every task fails, is not considered faulty: %+v", machine, m)
		}
		delete(s.faultyMachines, machine)
		bound := arraySpec
		bound.Zone = "a"
		if !s.startsInTime(20, bound) {
			t.Errorf("no task of an array started in zone a within %v of the end of the fault", maxStartDelay)
		}
		s.healAndFinish()
	})
}

// machineIn returns the first machine of a zone.
func (s *simulation) machineIn(zone ident.Zone) ident.MachineID {
	for _, m := range s.cloud.SortedMachines() {
		if m.Offer.Zone == zone {
			return m.ID
		}
	}
	s.t.Fatalf("no machine in zone %s", zone)
	return ""
}

// failTasks makes all running tasks of a machine fail, and sends the heartbeat that reports it.
func (g *coreFixture) failTasks(i int) {
	for k, task := range g.machines[i].Tasks {
		if task.State == fleet.TaskRunning {
			g.machines[i].Tasks[k].State, g.machines[i].Tasks[k].Cause = fleet.TaskExited, fleet.ExitError
		}
	}
	g.sendHeartbeat(i)
}

// TestTasksThatFailTogetherBackOffOnce checks that the tasks of an array that fail together on one machine delay the
// array as one failure does. It guards against a failure in which an array that runs well elsewhere waited for 30 s
// because six of its tasks were on a faulty machine.
func TestTasksThatFailTogetherBackOffOnce(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 1)
	spec := arraySpec
	spec.Tasks, spec.CPUs = 8, 1
	g.submit(1, spec)
	for range 5 {
		g.advance(time.Second)
	}
	j := g.core.term.jobs.get("wk-000001")
	if j.RunningTasks() != spec.Tasks {
		t.Fatalf("%d of %d tasks run", j.RunningTasks(), spec.Tasks)
	}
	g.failTasks(0)
	if backoff, want := j.BackoffUntil.Sub(g.now), 2*failureBackoffBase; backoff != want || j.Queue.Len() != spec.Tasks {
		t.Errorf("the array backs off for %v after %d tasks failed together, want %v", backoff, j.Queue.Len(), want)
	}
}

// TestMistakenArrayBacksOffByTask checks that each task of an array counts that fails on a second machine while none has
// completed. It guards against a failure in which a mistaken array, which avoids the machines it failed on, was retried
// so soon that a machine was provisioned for it every few seconds.
func TestMistakenArrayBacksOffByTask(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 4)
	spec := arraySpec
	spec.Tasks, spec.CPUs = 4, 1
	g.submit(1, spec)
	j := g.core.term.jobs.get("wk-000001")
	failures := 0
	for second := 0; second < 20 && failures < 2; second++ {
		g.advance(time.Second)
		if j.RunningTasks() < spec.Tasks {
			continue
		}
		failures++
		for i := range g.machines {
			g.failTasks(i)
		}
	}
	if backoff, want := j.BackoffUntil.Sub(g.now), failureBackoffBase<<(1+spec.Tasks); backoff != want || failures != 2 {
		t.Errorf("the array backs off for %v after %d failures, want %v after one on each of two machines", backoff, failures, want)
	}
}

// TestFailuresOfStableServiceAreNotConsecutive checks that a replica that fails after a long run is replaced as soon as
// after its first failure. It guards against a failure in which nothing but the completion of a task, which a service
// never has, reset the count: a service that had failed a few times in its life waited for 30 s each time.
func TestFailuresOfStableServiceAreNotConsecutive(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 530)
	spec := serviceSpec
	spec.Tasks = 1
	id := s.submit(1, spec, jobs.StableRunTime+30*time.Second)
	s.mistakenJobs[id] = true // each replica fails after that time
	longest := time.Duration(0)
	s.scheduleEvery(100*time.Millisecond, func() {
		if l := s.leader(); l != nil && l.core.term != nil && l.core.term.jobs.get(id) != nil {
			longest = max(longest, l.core.term.jobs.get(id).BackoffUntil.Sub(l.steadyTime(s.now)))
		}
	})
	s.runFor(20 * time.Minute)
	if starts := s.jobs[id].starts; longest > 2*failureBackoffBase || starts < 6 {
		t.Errorf("the longest backoff was %v in %d starts, want %v and at least 6", longest, starts, 2*failureBackoffBase)
	}
	s.cancelJob(id)
	s.healAndFinish()
}

// TestDrainOfBusyMachineEnds checks that a machine that is being drained, and still runs a long task, gets work again.
// It guards against a failure in which such a machine was withheld from work until the task ended, while a job that
// fits only there waited.
func TestDrainOfBusyMachineEnds(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 540)
	clear(s.cloud.Capacity)
	s.cloud.Capacity[cloud.Offer{Type: "large", Zone: "a"}] = 2
	s.settings.Params.Teams[0].CPULimit = 100
	replica := serviceSpec
	replica.Tasks, replica.ZoneSpread, replica.Team = 1, false, "red"
	large, small := replica, replica
	large.CPUs, small.CPUs = 9, 5
	s.submit(1, large, 0) // these two fill a machine each
	s.submit(2, large, 0)
	s.runFor(30 * time.Second)
	s.submit(3, small, 0)
	s.submit(4, small, 0)
	s.runFor(10 * time.Second)
	long := arraySpec
	long.Tasks = 2
	longID := s.submit(10, long, time.Hour)
	s.runFor(20 * time.Second)
	s.cancelJob("wk-000001")
	s.cancelJob("wk-000002")
	s.runFor(20 * time.Second)
	drained := 0
	for _, m := range s.leader().core.term.fleet.Machines() {
		if m.Draining && m.Busy() {
			drained++
		}
	}
	if drained != 1 {
		t.Fatalf("%d busy machines are being drained, want 1", drained)
	}
	waiting := arraySpec
	waiting.CPUs, waiting.Tasks = 10, 1
	if !s.startsInTime(20, waiting) {
		t.Errorf("a job did not start within %v, though the machine being drained has room for it", maxStartDelay)
	}
	s.cancelJob(longID)
	s.healAndFinish()
}
