package controller

import (
	"slices"
	"testing"
	"time"

	"badgerbay/internal/unit"
)

// machineOf is a machine that tasks of the job run on.
func (s *sim) machineOf(id unit.JobID) unit.MachineID {
	var on []unit.MachineID
	for task, m := range s.on {
		if task.Job == id {
			on = append(on, m)
		}
	}
	if len(on) == 0 {
		s.t.Fatalf("nothing of %s runs", id)
	}
	return slices.Min(on)
}

// TestLeadersThatKnowNothing: leaders that change before they have read the
// records must not renew the leases of withdrawn tasks again and again. They
// answered reports with a 200 and no orders: a machine that heard nothing as a job was
// withdrawn ran its tasks for as long as leaders came and went.
func TestLeadersThatKnowNothing(t *testing.T) {
	s := newSim(t, 3)
	id := s.submit(1, batch, 10*time.Minute)
	s.run(25 * time.Second)
	s.deaf[s.machineOf(id)] = s.now.Add(4 * time.Second)
	s.withdraw(id)
	s.run(500 * time.Millisecond)
	if s.jobs[id].cancelled == 0 {
		t.Fatal("the withdrawal was not confirmed")
	}
	s.slowLoads = 20 * time.Second
	for range 16 {
		if l := s.leader(); l != nil {
			s.crash(l, 200*time.Millisecond)
		}
		s.run(5 * time.Second)
	}
	s.finish()
}
