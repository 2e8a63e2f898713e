package controller

import (
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
)

// zonePaths are the ways in which tasks come to be placed anew.
var zonePaths = []struct {
	what  string
	begin func(*sim)
}{
	{"machines are lost", func(s *sim) {
		s.again(10*sec, 20*sec, func() {
			for _, id := range s.some(0.5) {
				s.take(id)
			}
		})
	}},
	{"higher work takes their room", func(s *sim) {
		urgent := batch
		urgent.Class, urgent.Priority, urgent.CPUs = "urgent", checkpoint.PriorityProd, 4
		n := 500
		s.again(8*sec, 12*sec, func() {
			n++
			s.submit(n, urgent, 6*sec)
		})
	}},
	{"the leader changes", func(s *sim) {
		s.again(8*sec, 16*sec, func() { s.crashLeader(3 * sec) })
		s.again(20*sec, 30*sec, func() { s.take(s.fleetOf()[0]) })
	}},
	{"old reports arrive", func(s *sim) {
		s.late, s.lateBy = 0.4, 60*sec
		s.again(12*sec, 20*sec, func() {
			s.crashLeader(2 * sec)
			for _, id := range s.some(0.3) {
				w := s.cloud.Machines[id].Worker
				w.Clear(s.now)
				w.Session++
			}
		})
	}},
	{"their zone is cut off", func(s *sim) {
		s.again(40*sec, 50*sec, func() {
			s.zoneCut = "a"
			s.after(25*sec, s.heal)
		})
	}},
	{"the other zone is cut off", func(s *sim) {
		s.again(40*sec, 50*sec, func() {
			s.zoneCut = "b"
			s.after(25*sec, s.heal)
		})
	}},
}

// TestJobsStayInTheirZone: however their tasks come to be placed anew, jobs that are
// allowed one zone only never start in another: there they would put data where it
// may not be. The sim checks the zone of each start; each path must bring some about.
func TestJobsStayInTheirZone(t *testing.T) {
	for i, path := range zonePaths {
		for _, times := range meetingTimes {
			t.Run(times.what+path.what, func(t *testing.T) {
				t.Parallel()
				s := newSimWith(t, 8000+uint64(i), times.workers)
				for k := range 4 {
					array, replicas, group := batch, spread, gang
					array.Zone, replicas.Zone, group.Zone = "a", "a", "a"
					replicas.ZoneSpread, replicas.Tasks = false, 2
					array.Priority, array.Spot = checkpoint.PriorityBestEffort, k%2 == 0
					s.submit(3*k, array, 45*sec)
					s.submit(3*k+1, replicas, 0)
					s.submit(3*k+2, group, 20*sec)
				}
				s.run(30 * time.Second)
				before := s.starts
				if before == 0 {
					t.Fatal("nothing runs")
				}
				s.troubled = true
				path.begin(s)
				s.run(120 * time.Second)
				s.troubled = false
				if s.starts == before {
					t.Error("nothing was placed anew")
				}
				s.finish()
			})
		}
	}
}
