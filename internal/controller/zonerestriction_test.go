package controller

import (
	"testing"
	"time"

	"badgerbay/internal/jobs"
)

// rescheduleCauses are the ways in which tasks come to be placed anew.
var rescheduleCauses = []struct {
	name  string
	begin func(*simulation)
}{
	{"machines are lost", func(s *simulation) {
		s.repeatWhileFaulty(10*sec, 20*sec, func() {
			for _, id := range s.randomMachines(0.5) {
				s.reclaimMachine(id)
			}
		})
	}},
	{"higher work takes their room", func(s *simulation) {
		urgent := arraySpec
		urgent.Class, urgent.Priority, urgent.CPUs = "urgent", jobs.PriorityProd, 4
		n := 500
		s.repeatWhileFaulty(8*sec, 12*sec, func() {
			n++
			s.submit(n, urgent, 6*sec)
		})
	}},
	{"the leader changes", func(s *simulation) {
		s.repeatWhileFaulty(8*sec, 16*sec, func() { s.crashLeader(3 * sec) })
		s.repeatWhileFaulty(20*sec, 30*sec, func() { s.reclaimMachine(s.upMachines()[0]) })
	}},
	{"old reports arrive", func(s *simulation) {
		s.lateHeartbeatProbability, s.maxHeartbeatDelay = 0.4, 60*sec
		s.repeatWhileFaulty(12*sec, 20*sec, func() {
			s.crashLeader(2 * sec)
			for _, id := range s.randomMachines(0.3) {
				w := s.cloud.Machines[id].Worker
				w.KillAll(s.now)
				w.Session++
			}
		})
	}},
	{"their zone is cut off", func(s *simulation) {
		s.repeatWhileFaulty(40*sec, 50*sec, func() {
			s.partitionedZone = "a"
			s.schedule(25*sec, s.healPartition)
		})
	}},
	{"the other zone is cut off", func(s *simulation) {
		s.repeatWhileFaulty(40*sec, 50*sec, func() {
			s.partitionedZone = "b"
			s.schedule(25*sec, s.healPartition)
		})
	}},
}

// TestJobsStayInTheirZone: however their tasks come to be placed anew, jobs that are
// allowed one zone only never start in another: there they would put data where it
// may not be. The simulation checks the zone of each start; each path must bring some about.
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
					t.Fatal("nothing runs")
				}
				s.faultsActive = true
				cause.begin(s)
				s.runFor(120 * time.Second)
				s.faultsActive = false
				if s.taskStarts == before {
					t.Error("nothing was placed anew")
				}
				s.healAndFinish()
			})
		}
	}
}
