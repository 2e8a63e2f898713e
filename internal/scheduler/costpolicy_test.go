package scheduler

import (
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// newExpensiveMachineFixture returns a fixture without guarantees whose only machine is idle and has on-demand
// pricing. The machine is expensive for spot jobs: cheaper spot machines are offered, but none is up.
func newExpensiveMachineFixture(t *testing.T) *fixture {
	s := newFixture(t)
	s.snapshot.Teams = map[ident.Team]config.Team{"red": {}, "blue": {}}
	s.addMachine("host-1", "a", false)
	return s
}

// addStartedJob adds a spot job with one completed task, whose other tasks have been queued for the duration idle.
func addStartedJob(s *fixture, id ident.JobID, idle time.Duration) *jobs.Job {
	spec := taskSpec("red", jobs.PriorityStandard, 6, 1)
	spec.Spot = true
	j := s.addJob(id, spec)
	j.CompleteTask(s.snapshot.Now, 0)
	j.QueuedSince = s.snapshot.Now.Add(-idle)
	return j
}

// TestStartedJobUsesExpensiveMachineOnceStalled checks that the remaining tasks of a started job without objectives
// wait for a cheap machine only until the job counts as stalled, and then start on an expensive one. It guards
// against a fault in which such tasks waited indefinitely although an expensive machine was idle.
func TestStartedJobUsesExpensiveMachineOnceStalled(t *testing.T) {
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

// TestPreemptorDoesNotReserveUnusableMachines checks that a job that may preempt does not reserve free capacity on a
// machine that is too expensive for it. It guards against a fault in which jobs that could use the machine waited
// although it was idle.
func TestPreemptorDoesNotReserveUnusableMachines(t *testing.T) {
	s := newExpensiveMachineFixture(t)
	s.snapshot.Policy.PreemptionDelay = 5 * time.Second
	addStartedJob(s, "wk-000001", 30*time.Second) // may preempt, and precedes the other job in the queue
	stalled := addStartedJob(s, "wk-000002", 70*time.Second)
	stalled.AcceptedAtMs = 1
	plan := s.plan()
	if len(plan.Record.Starts) != 1 || plan.Record.Starts[0].Job != stalled.ID {
		t.Errorf("starts %+v, want one start, of the stalled job", plan.Record.Starts)
	}
}
