package scheduler

import (
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// newExpensiveMachineFixture has one free machine that is expensive, since cheap ones exist and are not
// available, and no guarantees.
func newExpensiveMachineFixture(t *testing.T) *fixture {
	s := newFixture(t)
	s.snapshot.Teams = map[ident.Team]config.Team{"red": {}, "blue": {}}
	s.addMachine("host-1", "a", false)
	return s
}

// addStartedJob is a job of which one task is done, and the others have been queued for so long.
func addStartedJob(s *fixture, id ident.JobID, idle time.Duration) *jobs.Job {
	spec := taskSpec("red", jobs.PriorityStandard, 6, 1)
	spec.Spot = true
	j := s.addJob(id, spec)
	j.CompleteTask(s.snapshot.Now, 0)
	j.QueuedSince = s.snapshot.Now.Add(-idle)
	return j
}

// TestRestOfJobIsNotStarved: what is left of a job that has started, and that has no objective,
// waits for a cheap machine, but not for ever: beside an idle expensive one it waited for good.
func TestRestOfJobIsNotStarved(t *testing.T) {
	for _, c := range []struct {
		idle   time.Duration
		starts int
	}{{20 * time.Second, 0}, {70 * time.Second, 1}} {
		s := newExpensiveMachineFixture(t)
		addStartedJob(s, "wk-000001", c.idle)
		if plan := s.plan(); len(plan.Record.Starts) != c.starts {
			t.Errorf("after %v: %d starts, want %d", c.idle, len(plan.Record.Starts), c.starts)
		}
	}
}

// TestUnusableRoomIsNotReserved: a job that may preempt does not reserve free room on machines
// that it stays off; others waited beside them.
func TestUnusableRoomIsNotReserved(t *testing.T) {
	s := newExpensiveMachineFixture(t)
	s.snapshot.Policy.PreemptionDelay = 5 * time.Second
	addStartedJob(s, "wk-000001", 30*time.Second) // may preempt, and goes first
	later := addStartedJob(s, "wk-000002", 70*time.Second)
	later.AcceptedAtMs = 1
	plan := s.plan()
	if len(plan.Record.Starts) != 1 || plan.Record.Starts[0].Job != later.ID {
		t.Errorf("starts %+v, want the stalled job's", plan.Record.Starts)
	}
}
