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

// gangFaults are what may befall gangs at any step of start, run and end.
var gangFaults = []struct {
	name  string
	begin func(*simulation)
}{
	{"quiet", func(*simulation) {}},
	{"leaders end", func(s *simulation) {
		s.repeatWhileFaulty(5*sec, 12*sec, func() { s.crashLeader(3 * sec) })
	}},
	{"machines vanish", func(s *simulation) {
		s.repeatWhileFaulty(6*sec, 12*sec, func() {
			for _, id := range s.randomMachines(0.15) {
				s.reclaimMachine(id)
			}
		})
	}},
	{"machines hang", func(s *simulation) {
		s.repeatWhileFaulty(5*sec, 12*sec, func() { s.hangMachines(0.2, 2*sec, 30*sec) })
	}},
	{"machines are deaf or mute, commands come late", func(s *simulation) {
		s.duplicateProbability, s.lossProbability = 0.2, 0.03
		s.repeatWhileFaulty(8*sec, 15*sec, func() {
			s.makeUnreachable(0.15, 3*sec, 30*sec)
			for _, id := range s.randomMachines(0.15) {
				s.silentUntil[id] = s.now.Add(s.randomDuration(3*sec, 35*sec))
			}
		})
	}},
	{"cuts, outages, cancellations", func(s *simulation) {
		s.repeatWhileFaulty(40*sec, 60*sec, func() {
			s.partitionedZone = s.settings.Params.Zones[s.rng.IntN(2)]
			s.schedule(s.randomDuration(10*sec, 40*sec), s.healPartition)
		})
		s.repeatWhileFaulty(25*sec, 40*sec, func() { s.storeOutage(s.randomDuration(3*sec, 12*sec)); s.cancelRunningJobs(1) })
		s.repeatWhileFaulty(15*sec, 25*sec, func() { s.crashLeader(4 * sec) })
	}},
}

// TestGangsUnderFaults plays scenarios with gangs beside arrays and services, with each fault:
// every rule holds, each gang comes to its end, and none keeps another from it.
func TestGangsUnderFaults(t *testing.T) {
	t.Parallel()
	for i, trouble := range gangFaults {
		for seed := range uint64(*gangSeeds) {
			t.Run(fmt.Sprintf("%s/%d", trouble.name, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(t, 11000+100*uint64(i)+seed)
				s.submitMixedLoad()
				s.faultsActive = true
				trouble.begin(s)
				for k := range 14 {
					g := gangSpec
					g.Tasks, g.ZoneAffinity = 2+k%5, k%4 != 3
					if k%3 == 0 {
						g.Priority = jobs.PriorityHigh
					}
					s.submit(500+k, g, time.Duration(8+2*k)*time.Second)
					s.runFor(4 * sec)
				}
				s.runFor(70 * sec)
				s.faultsActive = false
				s.healAndFinish()
			})
		}
	}
}

// TestBrokenGangStopsAtOnce: as soon as a task of a gang is surely gone the rest
// is told to end: it would wait for as long as a gang may wait, and hold its
// machines. The gang is placed anew, whole and in another attempt.
func TestBrokenGangStopsAtOnce(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 8)
	g := gangSpec
	g.ZoneAffinity, g.ZoneSpread, g.CPUs = false, true, 4 // on several machines
	id := s.submit(1, g, 60*time.Second)
	s.runFor(25 * sec)
	tm := s.leader().core.term
	j := tm.jobs.get(id)
	if j.RunningTasks() != g.Tasks {
		t.Fatalf("%d of %d tasks run", j.RunningTasks(), g.Tasks)
	}
	before := j.Placements[0].Attempt
	lost := j.Placements[0].Machine
	s.reclaimMachine(lost)
	tm.tasksEnded(s.now, tm.fleet.Remove(s.now, lost))
	rest := len(j.Placements)
	if rest == 0 || rest == g.Tasks {
		t.Fatalf("%d tasks are left", rest)
	}
	s.runFor(300 * time.Millisecond)
	for _, p := range j.Placements {
		if !p.Stopping {
			t.Errorf("task %d was not told to end", p.Task)
		}
	}
	s.runFor(30 * sec)
	for i, p := range j.Placements {
		if p.Attempt == before || p.Attempt != j.Placements[0].Attempt {
			t.Errorf("task %d runs in attempt %d, the gang was in %d", i, p.Attempt, before)
		}
	}
	if j.RunningTasks() != g.Tasks {
		t.Errorf("%d of %d tasks run again", j.RunningTasks(), g.Tasks)
	}
	s.healAndFinish()
}

// TestGangIsStoppedWhole: a notice on one machine has all tasks of a gang told to
// stop, with leave to save, in the same step.
func TestGangIsStoppedWhole(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 12)
	g := gangSpec
	g.ZoneAffinity, g.ZoneSpread, g.CPUs = false, true, 4
	id := s.submit(1, g, 60*time.Second)
	s.runFor(30 * sec)
	tm := s.leader().core.term
	j := tm.jobs.get(id)
	if j.RunningTasks() != g.Tasks {
		t.Fatalf("%d of %d tasks run", j.RunningTasks(), g.Tasks)
	}
	m := tm.fleet.Machine(j.Placements[0].Machine)
	m.InterruptionAt = s.now.Add(10 * sec)
	tm.stopForInterruption(s.now, m)
	for i := range ident.TaskIndex(4) {
		if p := j.Placements[i]; !p.Stopping || p.GracePeriod != 2*sec {
			t.Errorf("task %d: told %v with leave %v", i, p.Stopping, p.GracePeriod)
		}
	}
	s.healAndFinish()
}

// TestGangIsPreempted: lower gangs are stopped whole for a higher one, and all their
// tasks are told soon enough to save together, over slow links too.
func TestGangIsPreempted(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{0, 2 * sec} {
		s := newSimulation(t, 21)
		s.maxExtraLatency = delay
		clear(s.cloud.Capacity)
		s.cloud.Capacity[cloud.Offer{Type: "large", Zone: "a"}] = 2
		low := gangSpec
		low.Priority, low.Tasks, low.CPUs = jobs.PriorityBestEffort, 4, 4 // both machines hold it together
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
			t.Errorf("delay %v: the higher gang has not begun", delay)
		}
		stopped := 0
		for _, low := range []ident.JobID{first, second} {
			n := s.gangExits[low]
			if n.saved > 0 {
				stopped++
			}
			if n.saved%tasksPerPreemptedGang != 0 || n.peersLost > 0 || n.incomplete > 0 {
				t.Errorf("delay %v: %s was stopped with %+v", delay, low, n)
			}
		}
		if stopped != 1 {
			t.Errorf("delay %v: %d gangs were stopped, one is enough", delay, stopped)
		}
		s.cancelJob(first)
		s.cancelJob(second)
		s.runFor(sec)
		s.healAndFinish()
	}
}

// tasksPerPreemptedGang is how many tasks each of the gangs that make way has.
const tasksPerPreemptedGang = 4

// TestLostGangTaskIsReplacedInTime: a task that a gang loses before it has begun is
// started again under its attempt, and the gang begins without being placed anew.
// After a failover, or with too little time left, the gang ends and is placed anew.
func TestLostGangTaskIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for name, meanwhile := range map[string]func(*simulation){
		"in time":       func(*simulation) {},
		"lost twice":    func(*simulation) {},
		"takeover":      func(s *simulation) { s.runFor(600 * time.Millisecond); s.crashLeader(sec) },
		"late":          func(*simulation) {},
		"version first": func(*simulation) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 8)
			switch name {
			case "version first":
				s.onPreviousVersion = map[int]bool{0: true, 1: true, 2: true}
			case "late":
				s.settings.Params.Workers.GangWaitSeconds = 1
				for _, n := range s.nodes {
					s.crash(n, time.Millisecond)
				}
			}
			// What ran before leaves machines that are up.
			before := arraySpec
			before.Tasks, before.CPUs, before.ZoneSpread, before.Spot = 6, 6, true, false
			s.submit(9, before, 3*time.Second)
			for range 600 {
				if s.runFor(50 * time.Millisecond); s.jobs["wk-000009"].reportedState == api.Done {
					break
				}
			}
			g := gangSpec
			g.ZoneSpread, g.ZoneAffinity, g.CPUs = true, false, 4
			g.ImageGB = 0
			id := s.submit(1, g, 30*time.Second)
			placed := func() *jobs.Job {
				for range 400 {
					s.runFor(50 * time.Millisecond)
					if l := s.leader(); l != nil && l.core.term.jobs.get(id) != nil && len(l.core.term.jobs.get(id).Placements) == g.Tasks {
						return l.core.term.jobs.get(id)
					}
				}
				t.Fatalf("%s: the gang is not placed", name)
				return nil
			}
			placed()
			meanwhile(s)
			j := placed()
			tm := s.leader()
			attempt := j.Placements[0].Attempt
			lose := func() {
				p := j.Placements[0]
				if p == nil {
					t.Fatalf("%s: task 0 is not placed", name)
				}
				s.reclaimMachine(p.Machine)
				tm.core.term.tasksEnded(s.now, tm.core.term.fleet.Remove(s.now, p.Machine))
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
				t.Errorf("%s: replaced under the attempt %v, want %v", name, got, want)
			}
			if name == "lost twice" {
				lose()
				if !replaced() {
					t.Errorf("%s: not replaced a second time", name)
				}
			}
			s.runFor(60 * sec)
			s.healAndFinish()
			if n := s.gangExits[id]; want && n.incomplete > 0 {
				t.Errorf("%s: the gang gave up: %+v", name, n)
			}
		})
	}
}
