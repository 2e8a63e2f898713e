package round

import (
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/unit"
)

// lateScene has one free machine that is dear, since cheap ones exist and can't
// be had, and no guarantees.
func lateScene(t *testing.T) *scene {
	s := newScene(t)
	s.w.Teams = map[unit.Team]config.Team{"red": {}, "blue": {}}
	s.machine("host-1", "a", false)
	return s
}

func begun(s *scene, id unit.JobID, idle time.Duration) *checkpoint.Job {
	spec := task("red", checkpoint.PriorityStandard, 6, 1)
	spec.Spot = true
	j := s.job(id, spec)
	j.CompleteTask(s.w.Now, 0) // some of it has run already
	j.QueuedSince = s.w.Now.Add(-idle)
	return j
}

// TestRestOfAJobIsNotLeft: what is left of a job that has begun, and that
// nothing is expected of, waits for a cheap machine, but not for ever: beside an
// idle dear one it waited for good.
func TestRestOfAJobIsNotLeft(t *testing.T) {
	for _, c := range []struct {
		idle   time.Duration
		starts int
	}{{20 * time.Second, 0}, {70 * time.Second, 1}} {
		s := lateScene(t)
		begun(s, "wk-000001", c.idle)
		if plan := s.plan(); len(plan.Record.Starts) != c.starts {
			t.Errorf("after %v: %d starts, want %d", c.idle, len(plan.Record.Starts), c.starts)
		}
	}
}

// TestNobodyHoldsWhatItMayNotUse: a job that may have room made for it does not
// hold free room on machines that it stays off; others waited beside them.
func TestNobodyHoldsWhatItMayNotUse(t *testing.T) {
	s := lateScene(t)
	s.w.Policy.PreemptionDelay = 5 * time.Second
	begun(s, "wk-000001", 30*time.Second) // may preempt, and goes first
	later := begun(s, "wk-000002", 70*time.Second)
	later.AcceptedAtMs = 1
	plan := s.plan()
	if len(plan.Record.Starts) != 1 || plan.Record.Starts[0].Job != later.ID {
		t.Errorf("starts %+v, want the stalled job's", plan.Record.Starts)
	}
}
