package controller

import (
	"testing"
	"time"

	"badgerbay/internal/jobs"
)

// rescheduleCauses are the events that cause tasks to be placed again.
var rescheduleCauses = []struct {
	name  string
	begin func(*simulation)
}{
	{"machine loss", func(s *simulation) {
		s.repeatWhileFaultsActive(10*sec, 20*sec, func() {
			for _, id := range s.randomMachines(0.5) {
				s.reclaimMachine(id)
			}
		})
	}},
	{"preemption", func(s *simulation) {
		urgent := arraySpec
		urgent.Class, urgent.Priority, urgent.CPUs = "urgent", jobs.PriorityProd, 4
		n := 500
		s.repeatWhileFaultsActive(8*sec, 12*sec, func() {
			n++
			s.submit(n, urgent, 6*sec)
		})
	}},
	{"leader change", func(s *simulation) {
		s.repeatWhileFaultsActive(8*sec, 16*sec, func() { s.crashLeader(3 * sec) })
		s.repeatWhileFaultsActive(20*sec, 30*sec, func() { s.reclaimMachine(s.upMachines()[0]) })
	}},
	{"stale heartbeats", func(s *simulation) {
		s.lateHeartbeatProbability, s.maxHeartbeatDelay = 0.4, 60*sec
		s.repeatWhileFaultsActive(12*sec, 20*sec, func() {
			s.crashLeader(2 * sec)
			for _, id := range s.randomMachines(0.3) {
				w := s.cloud.Machines[id].Worker
				w.KillAll(s.now)
				w.Session++
			}
		})
	}},
	{"allowed zone partitioned", func(s *simulation) {
		s.repeatWhileFaultsActive(40*sec, 50*sec, func() {
			s.partitionedZone = "a"
			s.schedule(25*sec, s.healPartition)
		})
	}},
	{"other zone partitioned", func(s *simulation) {
		s.repeatWhileFaultsActive(40*sec, 50*sec, func() {
			s.partitionedZone = "b"
			s.schedule(25*sec, s.healPartition)
		})
	}},
}

// TestJobsStayInTheirZone checks that tasks of jobs that are restricted to one zone never start in another, whatever
// causes them to be placed again: there they could write data to a place where it must not be stored. The simulation
// checks the zone of each task start; each cause must bring about at least one.
func TestJobsStayInTheirZone(t *testing.T) {
	t.Parallel()
	for i, cause := range rescheduleCauses {
		for _, timing := range workerTimings {
			t.Run(timing.name+cause.name, func(t *testing.T) {
				t.Parallel()
				s := newSimulationWithWorkers(t, 8000+uint64(i), timing.workers)
				for k := range 4 {
					array, replicas, group := arraySpec, serviceSpec, gangSpec
					array.Zone, replicas.Zone, group.Zone = "a", "a", "a"
					replicas.ZoneSpread, replicas.Tasks = false, 2
					array.Priority, array.Spot = jobs.PriorityBestEffort, k%2 == 0
					s.submit(3*k, array, 45*sec)
					s.submit(3*k+1, replicas, 0)
					s.submit(3*k+2, group, 20*sec)
				}
				s.runFor(30 * time.Second)
				before := s.taskStarts
				if before == 0 {
					t.Fatal("no task has started")
				}
				s.faultsActive = true
				cause.begin(s)
				s.runFor(120 * time.Second)
				s.faultsActive = false
				if s.taskStarts == before {
					t.Error("no task was placed again")
				}
				s.healAndFinish()
			})
		}
	}
}
