package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/cloud"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

var gangSeeds = flag.Int("gangseeds", 2, "seeds of each fault in TestGangsUnderFaults")

var gangSpec = jobs.Spec{Class: "gang", Team: "red", Gang: true, Priority: jobs.PriorityStandard, Tasks: 4, CPUs: 2, MemoryGB: 4,
	Image: "img3", ImageGB: 1, EstimatedRunSeconds: 10, ZoneAffinity: true, CheckpointIntervalSeconds: 5, CheckpointSeconds: 2}

// gangFaults lists the faults that may occur at any step of a gang's start, run and end.
var gangFaults = []struct {
	name  string
	begin func(*simulation)
}{
	{"no faults", func(*simulation) {}},
	{"leaders crash", func(s *simulation) {
		s.repeatWhileFaultsActive(5*sec, 12*sec, func() { s.crashLeader(3 * sec) })
	}},
	{"machines are reclaimed", func(s *simulation) {
		s.repeatWhileFaultsActive(6*sec, 12*sec, func() {
			for _, id := range s.randomMachines(0.15) {
				s.reclaimMachine(id)
			}
		})
	}},
	{"machines hang", func(s *simulation) {
		s.repeatWhileFaultsActive(5*sec, 12*sec, func() { s.hangMachines(0.2, 2*sec, 30*sec) })
	}},
	{"machines are unreachable or silent, commands are duplicated late", func(s *simulation) {
		s.duplicateProbability, s.lossProbability = 0.2, 0.03
		s.repeatWhileFaultsActive(8*sec, 15*sec, func() {
			s.makeUnreachable(0.15, 3*sec, 30*sec)
			for _, id := range s.randomMachines(0.15) {
				s.heartbeatsLostUntil[id] = s.now.Add(s.randomDuration(3*sec, 35*sec))
			}
		})
	}},
	{"partitions, outages, cancellations, leader crashes", func(s *simulation) {
		s.repeatWhileFaultsActive(40*sec, 60*sec, func() {
			s.partitionedZone = s.settings.Params.Zones[s.rng.IntN(2)]
			s.schedule(s.randomDuration(10*sec, 40*sec), s.healPartition)
		})
		s.repeatWhileFaultsActive(25*sec, 40*sec, func() { s.beginStoreOutage(s.randomDuration(3*sec, 12*sec)); s.cancelRunningJobs(1) })
		s.repeatWhileFaultsActive(15*sec, 25*sec, func() { s.crashLeader(4 * sec) })
	}},
}

// TestGangsUnderFaults checks scenarios with gangs beside arrays and services, with each fault: every invariant
// holds, each gang ends, and no gang keeps another from ending.
func TestGangsUnderFaults(t *testing.T) {
	t.Parallel()
	for i, fault := range gangFaults {
		for seed := range uint64(*gangSeeds) {
			t.Run(fmt.Sprintf("%s/%d", fault.name, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(t, 11000+100*uint64(i)+seed)
				s.submitMixedLoad()
				s.faultsActive = true
				fault.begin(s)
				for k := range 14 {
					spec := gangSpec
					spec.Tasks, spec.ZoneAffinity = 2+k%5, k%4 != 3
					if k%3 == 0 {
						spec.Priority = jobs.PriorityHigh
					}
					s.submit(500+k, spec, time.Duration(8+2*k)*time.Second)
					s.runFor(4 * sec)
				}
				s.runFor(70 * sec)
				s.faultsActive = false
				s.healAndFinish()
			})
		}
	}
}

// TestGangStopsWhenTaskIsLost checks that the other tasks of a gang are stopped as soon as one of its tasks is
// certainly gone. Otherwise they would wait for as long as a gang may wait, and hold their machines. The gang is then
// placed again as a whole, in another attempt.
func TestGangStopsWhenTaskIsLost(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 8)
	spec := gangSpec
	spec.ZoneAffinity, spec.ZoneSpread, spec.CPUs = false, true, 4 // on several machines
	id := s.submit(1, spec, 60*time.Second)
	s.runFor(25 * sec)
	term := s.leader().core.term
	job := term.jobs.get(id)
	if job.RunningTasks() != spec.Tasks {
		t.Fatalf("%d of %d tasks are running", job.RunningTasks(), spec.Tasks)
	}
	oldAttempt := job.Placements[0].Attempt
	lost := job.Placements[0].Machine
	s.reclaimMachine(lost)
	term.tasksEnded(s.now, term.fleet.Remove(s.now, lost))
	rest := len(job.Placements)
	if rest == 0 || rest == spec.Tasks {
		t.Fatalf("%d of the tasks are still placed after the loss of one machine", rest)
	}
	s.runFor(300 * time.Millisecond)
	for _, p := range job.Placements {
		if !p.Stopping {
			t.Errorf("task %d was not stopped", p.Task)
		}
	}
	s.runFor(30 * sec)
	for i, p := range job.Placements {
		if p.Attempt == oldAttempt || p.Attempt != job.Placements[0].Attempt {
			t.Errorf("task %d is in attempt %d; want a common attempt other than %d", i, p.Attempt, oldAttempt)
		}
	}
	if job.RunningTasks() != spec.Tasks {
		t.Errorf("%d of %d tasks are running again", job.RunningTasks(), spec.Tasks)
	}
	s.healAndFinish()
}

// TestInterruptionStopsWholeGang checks that an interruption notice for one machine stops all tasks of a gang in the
// same step, with a grace period to write a checkpoint.
func TestInterruptionStopsWholeGang(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 12)
	spec := gangSpec
	spec.ZoneAffinity, spec.ZoneSpread, spec.CPUs = false, true, 4
	id := s.submit(1, spec, 60*time.Second)
	s.runFor(30 * sec)
	term := s.leader().core.term
	job := term.jobs.get(id)
	if job.RunningTasks() != spec.Tasks {
		t.Fatalf("%d of %d tasks are running", job.RunningTasks(), spec.Tasks)
	}
	machine := term.fleet.Machine(job.Placements[0].Machine)
	machine.InterruptionAt = s.now.Add(10 * sec)
	term.stopForInterruption(s.now, machine)
	for i := range ident.TaskIndex(4) {
		if p := job.Placements[i]; !p.Stopping || p.GracePeriod != 2*sec {
			t.Errorf("task %d: stopping is %v, with a grace period of %v", i, p.Stopping, p.GracePeriod)
		}
	}
	s.healAndFinish()
}

// TestGangsArePreemptedWhole checks that a gang of a lower priority is stopped as a whole for one of a higher priority,
// and that all its tasks receive the stop command early enough to write their checkpoint together, over slow links too.
func TestGangsArePreemptedWhole(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 2 * sec} {
		s := newSimulation(t, 21)
		s.maxExtraLatency = delay
		clear(s.cloud.Capacity)
		s.cloud.Capacity[cloud.Offer{Type: "large", Zone: "a"}] = 2
		low := gangSpec
		low.Priority, low.Tasks, low.CPUs = jobs.PriorityBestEffort, 4, 4 // two such gangs fill both machines
		low.Team = "red"
		wide := low
		wide.Tasks = 4
		first := s.submit(1, low, 10*time.Minute)
		second := s.submit(2, wide, 10*time.Minute)
		s.runFor(40 * sec)
		high := gangSpec
		high.Priority, high.Tasks, high.CPUs, high.Team = jobs.PriorityHigh, 3, 4, "blue"
		id := s.submit(3, high, 20*time.Second)
		s.runFor(45 * sec)
		if s.jobs[id].startedAt == 0 {
			t.Errorf("delay %v: the gang of the higher priority has not started", delay)
		}
		stopped := 0
		for _, low := range []ident.JobID{first, second} {
			n := s.gangExits[low]
			if n.saved > 0 {
				stopped++
			}
			if n.saved%tasksPerPreemptedGang != 0 || n.peersLost > 0 || n.incomplete > 0 {
				t.Errorf("delay %v: %s was not stopped as a whole with checkpoints: %+v", delay, low, n)
			}
		}
		if stopped != 1 {
			t.Errorf("delay %v: %d gangs were stopped, want 1", delay, stopped)
		}
		s.cancelJob(first)
		s.cancelJob(second)
		s.runFor(sec)
		s.healAndFinish()
	}
}

// tasksPerPreemptedGang is the number of tasks in each of the gangs of lower priority in TestGangsArePreemptedWhole.
const tasksPerPreemptedGang = 4

// TestLostGangTaskIsReplacedInTime checks that a task that a gang loses before the gang has begun is started again in
// the same attempt, and that the gang then begins without being placed again. After a failover, or with too little
// time left, the gang ends and is placed again.
func TestLostGangTaskIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for name, beforeLoss := range map[string]func(*simulation){
		"in time":          func(*simulation) {},
		"lost twice":       func(*simulation) {},
		"failover":         func(s *simulation) { s.runFor(600 * time.Millisecond); s.crashLeader(sec) },
		"late":             func(*simulation) {},
		"previous version": func(*simulation) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 8)
			switch name {
			case "previous version":
				s.onPreviousVersion = map[int]bool{0: true, 1: true, 2: true}
			case "late":
				s.settings.Params.Workers.GangWaitSeconds = 1
				for _, n := range s.nodes {
					s.crash(n, time.Millisecond)
				}
			}
			// An earlier job leaves machines that are up.
			earlier := arraySpec
			earlier.Tasks, earlier.CPUs, earlier.ZoneSpread, earlier.Spot = 6, 6, true, false
			s.submit(9, earlier, 3*time.Second)
			for range 600 {
				if s.runFor(50 * time.Millisecond); s.jobs["wk-000009"].reportedState == api.Done {
					break
				}
			}
			spec := gangSpec
			spec.ZoneSpread, spec.ZoneAffinity, spec.CPUs = true, false, 4
			spec.ImageGB = 0
			id := s.submit(1, spec, 30*time.Second)
			placed := func() *jobs.Job {
				for range 400 {
					s.runFor(50 * time.Millisecond)
					if l := s.leader(); l != nil && l.core.term.jobs.get(id) != nil && len(l.core.term.jobs.get(id).Placements) == spec.Tasks {
						return l.core.term.jobs.get(id)
					}
				}
				t.Fatalf("%s: the gang is not placed", name)
				return nil
			}
			placed()
			beforeLoss(s)
			j := placed()
			leader := s.leader()
			attempt := j.Placements[0].Attempt
			lose := func() {
				p := j.Placements[0]
				if p == nil {
					t.Fatalf("%s: task 0 is not placed", name)
				}
				s.reclaimMachine(p.Machine)
				leader.core.term.tasksEnded(s.now, leader.core.term.fleet.Remove(s.now, p.Machine))
			}
			lose()
			replaced := func() bool {
				for range 60 {
					s.runFor(50 * time.Millisecond)
					if p := j.Placements[0]; p != nil && p.Attempt == attempt && p.StartAllowed {
						return true
					}
				}
				return false
			}
			want := name == "in time" || name == "lost twice"
			if got := replaced(); got != want {
				t.Errorf("%s: task replaced in the same attempt: %v, want %v", name, got, want)
			}
			if name == "lost twice" {
				lose()
				if !replaced() {
					t.Errorf("%s: the task was not replaced a second time", name)
				}
			}
			s.runFor(60 * sec)
			s.healAndFinish()
			if n := s.gangExits[id]; want && n.incomplete > 0 {
				t.Errorf("%s: the gang ended incomplete: %+v", name, n)
			}
		})
	}
}
