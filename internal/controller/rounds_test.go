package controller

import (
	"testing"
	"time"
)

// TestLateMachinesAreNotWaitedFor guards against an incident: machines that
// never came up were counted on for four times their boot time, and services
// waited for them.
func TestLateMachinesAreNotWaitedFor(t *testing.T) {
	s := newSim(t, 3)
	first := true
	s.cloud.Boot = func() time.Duration {
		if first {
			return time.Hour // the first machine never comes up
		}
		return 5 * time.Second
	}
	id := s.submit(1, spread, 0)
	s.run(8 * time.Second)
	if len(s.cloud.Machines) == 0 {
		t.Fatal("nothing was rented")
	}
	first = false
	s.run(25 * time.Second)
	if n := len(s.on); n != spread.Tasks {
		t.Errorf("%d of %d replicas of %s run, with machines that never come up", n, spread.Tasks, id)
	}
}

// TestHealthyMachinesAreKept guards against an incident: with reports every
// five seconds, give or take a quarter, machines whose report was a little late
// were taken for dead after six and returned with all that ran on them.
func TestHealthyMachinesAreKept(t *testing.T) {
	s := newSim(t, 4)
	s.set.Params.Workers.ReportS = 5
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	id := s.submit(1, spread, 0)
	s.run(40 * time.Second)
	before := s.starts
	s.run(10 * time.Minute)
	if s.starts != before || len(s.on) != spread.Tasks {
		t.Errorf("%d replicas of %s started anew on a quiet day, %d run", s.starts-before, id, len(s.on))
	}
}
