package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/rental"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

var gangSeeds = flag.Int("gangseeds", 2, "days of each trouble of TestGangs, each with other luck")

var gang = checkpoint.Spec{Class: "gang", Team: "red", Gang: true, Priority: checkpoint.PriorityStandard, Tasks: 4, CPUs: 2, MemoryGB: 4,
	Image: "img3", ImageGB: 1, EstimatedRunSeconds: 10, ZoneAffinity: true, CheckpointIntervalSeconds: 5, CheckpointSeconds: 2}

// gangTroubles are what may befall gangs at any step of start, run and end.
var gangTroubles = []struct {
	what  string
	begin func(*sim)
}{
	{"quiet", func(*sim) {}},
	{"leaders end", func(s *sim) {
		s.again(5*sec, 12*sec, func() { s.crashLeader(3 * sec) })
	}},
	{"machines vanish", func(s *sim) {
		s.again(6*sec, 12*sec, func() {
			for _, id := range s.some(0.15) {
				s.take(id)
			}
		})
	}},
	{"machines hang", func(s *sim) {
		s.again(5*sec, 12*sec, func() { s.hang(0.2, 2*sec, 30*sec) })
	}},
	{"machines are deaf or mute, commands come late", func(s *sim) {
		s.dup, s.loss = 0.2, 0.03
		s.again(8*sec, 15*sec, func() {
			s.deafen(0.15, 3*sec, 30*sec)
			for _, id := range s.some(0.15) {
				s.mute[id] = s.now.Add(s.between(3*sec, 35*sec))
			}
		})
	}},
	{"cuts, outages, cancellations", func(s *sim) {
		s.again(40*sec, 60*sec, func() {
			s.zoneCut = s.set.Params.Zones[s.rng.IntN(2)]
			s.after(s.between(10*sec, 40*sec), s.heal)
		})
		s.again(25*sec, 40*sec, func() { s.stateOut(s.between(3*sec, 12*sec)); s.callOff(1) })
		s.again(15*sec, 25*sec, func() { s.crashLeader(4 * sec) })
	}},
}

// TestGangs plays days with gangs beside arrays and services, with each trouble:
// every rule holds, each gang comes to its end, and none keeps another from it.
func TestGangs(t *testing.T) {
	for i, trouble := range gangTroubles {
		for seed := range uint64(*gangSeeds) {
			t.Run(fmt.Sprintf("%s/%d", trouble.what, seed), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, 11000+100*uint64(i)+seed)
				s.load()
				s.troubled = true
				trouble.begin(s)
				for k := range 14 {
					g := gang
					g.Tasks, g.ZoneAffinity = 2+k%5, k%4 != 3
					if k%3 == 0 {
						g.Priority = checkpoint.PriorityHigh
					}
					s.submit(500+k, g, time.Duration(8+2*k)*time.Second)
					s.run(4 * sec)
				}
				s.run(70 * sec)
				s.troubled = false
				s.finish()
			})
		}
	}
}

// TestBrokenGangEndsAtOnce: as soon as a task of a gang is surely gone the rest
// is told to end: it would wait for as long as a gang may wait, and hold its
// machines. The gang is placed anew, whole and in another attempt.
func TestBrokenGangEndsAtOnce(t *testing.T) {
	s := newSim(t, 8)
	g := gang
	g.ZoneAffinity, g.ZoneSpread, g.CPUs = false, true, 4 // on several machines
	id := s.submit(1, g, 60*time.Second)
	s.run(25 * sec)
	tm := s.leader().core.term
	j := tm.jobs[id]
	if j.RunningTasks() != g.Tasks {
		t.Fatalf("%d of %d tasks run", j.RunningTasks(), g.Tasks)
	}
	before := j.Placements[0].Attempt
	lost := j.Placements[0].Machine
	s.take(lost)
	tm.tasksEnded(s.now, tm.fleet.Remove(s.now, lost))
	rest := len(j.Placements)
	if rest == 0 || rest == g.Tasks {
		t.Fatalf("%d tasks are left", rest)
	}
	s.run(300 * time.Millisecond)
	for _, p := range j.Placements {
		if !p.Stopping {
			t.Errorf("task %d was not told to end", p.Task)
		}
	}
	s.run(30 * sec)
	for i, p := range j.Placements {
		if p.Attempt == before || p.Attempt != j.Placements[0].Attempt {
			t.Errorf("task %d runs in attempt %d, the gang was in %d", i, p.Attempt, before)
		}
	}
	if j.RunningTasks() != g.Tasks {
		t.Errorf("%d of %d tasks run again", j.RunningTasks(), g.Tasks)
	}
	s.finish()
}

// TestGangIsStoppedWhole: a notice on one machine has all tasks of a gang told to
// stop, with leave to save, in the same step.
func TestGangIsStoppedWhole(t *testing.T) {
	s := newSim(t, 12)
	g := gang
	g.ZoneAffinity, g.ZoneSpread, g.CPUs = false, true, 4
	id := s.submit(1, g, 60*time.Second)
	s.run(30 * sec)
	tm := s.leader().core.term
	j := tm.jobs[id]
	if j.RunningTasks() != g.Tasks {
		t.Fatalf("%d of %d tasks run", j.RunningTasks(), g.Tasks)
	}
	m := tm.fleet.Machine(j.Placements[0].Machine)
	m.InterruptionAt = s.now.Add(10 * sec)
	tm.stopForInterruption(s.now, m)
	for i := range unit.TaskIndex(4) {
		if p := j.Placements[i]; !p.Stopping || p.GracePeriod != 2*sec {
			t.Errorf("task %d: told %v with leave %v", i, p.Stopping, p.GracePeriod)
		}
	}
	s.finish()
}

// TestGangMakesWay: lower gangs are stopped whole for a higher one, and all their
// tasks are told soon enough to save together, over slow links too.
func TestGangMakesWay(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * sec} {
		s := newSim(t, 21)
		s.linkDelay = delay
		clear(s.cloud.Capacity)
		s.cloud.Capacity[rental.Offer{Type: "large", Zone: "a"}] = 2
		low := gang
		low.Priority, low.Tasks, low.CPUs = checkpoint.PriorityBestEffort, 4, 4 // both machines hold it together
		low.Team = "red"
		wide := low
		wide.Tasks = 4
		first := s.submit(1, low, 10*time.Minute)
		second := s.submit(2, wide, 10*time.Minute)
		s.run(40 * sec)
		high := gang
		high.Priority, high.Tasks, high.CPUs, high.Team = checkpoint.PriorityHigh, 3, 4, "blue"
		id := s.submit(3, high, 20*time.Second)
		s.run(45 * sec)
		if s.jobs[id].began == 0 {
			t.Errorf("delay %v: the higher gang has not begun", delay)
		}
		stopped := 0
		for _, low := range []unit.JobID{first, second} {
			n := s.exits[low]
			if n.saved > 0 {
				stopped++
			}
			if n.saved%low4 != 0 || n.peers > 0 || n.incomplete > 0 {
				t.Errorf("delay %v: %s was stopped with %+v", delay, low, n)
			}
		}
		if stopped != 1 {
			t.Errorf("delay %v: %d gangs were stopped, one is enough", delay, stopped)
		}
		s.cancelJob(first)
		s.cancelJob(second)
		s.run(sec)
		s.finish()
	}
}

// low4 is how many tasks each of the gangs that make way has.
const low4 = 4

// TestLostTaskIsReplacedInTime: a task that a gang loses before it has begun is
// started again under its attempt, and the gang begins without being placed anew.
// After a takeover, or with too little time left, the gang ends and is placed anew.
func TestLostTaskIsReplacedInTime(t *testing.T) {
	for what, meanwhile := range map[string]func(*sim){
		"in time":       func(*sim) {},
		"lost twice":    func(*sim) {},
		"takeover":      func(s *sim) { s.run(600 * time.Millisecond); s.crashLeader(sec) },
		"late":          func(*sim) {},
		"version first": func(*sim) {},
	} {
		s := newSim(t, 8)
		switch what {
		case "version first":
			s.before = map[int]bool{0: true, 1: true, 2: true}
		case "late":
			s.set.Params.Workers.GangWaitSeconds = 1
			for _, n := range s.nodes {
				s.crash(n, time.Millisecond)
			}
		}
		// What ran before leaves machines that are up.
		before := batch
		before.Tasks, before.CPUs, before.ZoneSpread, before.Spot = 6, 6, true, false
		s.submit(9, before, 3*time.Second)
		for range 600 {
			if s.run(50 * time.Millisecond); s.jobs["wk-000009"].told == userapi.Done {
				break
			}
		}
		g := gang
		g.ZoneSpread, g.ZoneAffinity, g.CPUs = true, false, 4
		g.ImageGB = 0
		id := s.submit(1, g, 30*time.Second)
		placed := func() *checkpoint.Job {
			for range 400 {
				s.run(50 * time.Millisecond)
				if l := s.leader(); l != nil && l.core.term.jobs[id] != nil && len(l.core.term.jobs[id].Placements) == g.Tasks {
					return l.core.term.jobs[id]
				}
			}
			t.Fatalf("%s: the gang is not placed", what)
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
				t.Fatalf("%s: task 0 is not placed", what)
			}
			s.take(p.Machine)
			tm.core.term.tasksEnded(s.now, tm.core.term.fleet.Remove(s.now, p.Machine))
		}
		lose()
		replaced := func() bool {
			for range 60 {
				s.run(50 * time.Millisecond)
				if p := j.Placements[0]; p != nil && p.Attempt == attempt && p.StartAllowed {
					return true
				}
			}
			return false
		}
		want := what == "in time" || what == "lost twice"
		if got := replaced(); got != want {
			t.Errorf("%s: replaced under the attempt %v, want %v", what, got, want)
		}
		if what == "lost twice" {
			lose()
			if !replaced() {
				t.Errorf("%s: not replaced a second time", what)
			}
		}
		s.run(60 * sec)
		s.finish()
		if n := s.exits[id]; want && n.incomplete > 0 {
			t.Errorf("%s: the gang gave up: %+v", what, n)
		}
	}
}
