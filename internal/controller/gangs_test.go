package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/unit"
)

var gangSeeds = flag.Int("gangseeds", 2, "days of each trouble of TestGangs, each with other luck")

var gang = checkpoint.Spec{Class: "gang", Team: "red", Gang: true, Priority: checkpoint.Standard, Tasks: 4, CPUs: 2, MemoryGB: 4,
	Image: "img3", ImageGB: 1, EstimateS: 10, OneZone: true, CheckpointS: 5, SaveS: 2}

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
	{"cuts, outages, withdrawals", func(s *sim) {
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
					g.Tasks, g.OneZone = 2+k%5, k%4 != 3
					if k%3 == 0 {
						g.Priority = checkpoint.High
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
	g.OneZone, g.Spread, g.CPUs = false, true, 4 // on several machines
	id := s.submit(1, g, 60*time.Second)
	s.run(25 * sec)
	tm := s.leader().core.term
	j := tm.jobs[id]
	if j.Running() != g.Tasks {
		t.Fatalf("%d of %d tasks run", j.Running(), g.Tasks)
	}
	before := j.Live[0].Attempt
	lost := j.Live[0].Machine
	s.take(lost)
	tm.ended(s.now, tm.fleet.Remove(s.now, lost))
	rest := len(j.Live)
	if rest == 0 || rest == g.Tasks {
		t.Fatalf("%d tasks are left", rest)
	}
	s.run(300 * time.Millisecond)
	for _, p := range j.Live {
		if !p.Halting {
			t.Errorf("task %d was not told to end", p.Task)
		}
	}
	s.run(30 * sec)
	for i, p := range j.Live {
		if p.Attempt == before || p.Attempt != j.Live[0].Attempt {
			t.Errorf("task %d runs in attempt %d, the gang was in %d", i, p.Attempt, before)
		}
	}
	if j.Running() != g.Tasks {
		t.Errorf("%d of %d tasks run again", j.Running(), g.Tasks)
	}
	s.finish()
}

// TestGangIsStoppedWhole: a notice on one machine has all tasks of a gang told to
// stop, with leave to save, in the same step.
func TestGangIsStoppedWhole(t *testing.T) {
	s := newSim(t, 12)
	g := gang
	g.OneZone, g.Spread, g.CPUs = false, true, 4
	id := s.submit(1, g, 60*time.Second)
	s.run(30 * sec)
	tm := s.leader().core.term
	j := tm.jobs[id]
	if j.Running() != g.Tasks {
		t.Fatalf("%d of %d tasks run", j.Running(), g.Tasks)
	}
	m := tm.fleet.Machine(j.Live[0].Machine)
	m.NoticeAt = s.now.Add(10 * sec)
	tm.drain(s.now, m)
	for i := range unit.TaskIndex(4) {
		if p := j.Live[i]; !p.Halting || p.Leave != 2*sec {
			t.Errorf("task %d: told %v with leave %v", i, p.Halting, p.Leave)
		}
	}
	s.finish()
}
