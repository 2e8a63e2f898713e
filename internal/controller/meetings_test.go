package controller

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
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
// records must not renew the leases of cancelled tasks again and again. They
// answered reports with a 200 and no orders: a machine that heard nothing as a job was
// cancelled ran its tasks for as long as leaders came and went.
func TestLeadersThatKnowNothing(t *testing.T) {
	s := newSim(t, 3)
	id := s.submit(1, batch, 10*time.Minute)
	s.run(25 * time.Second)
	s.deaf[s.machineOf(id)] = s.now.Add(4 * time.Second)
	s.cancelJob(id)
	s.run(500 * time.Millisecond)
	if s.jobs[id].cancelled == 0 {
		t.Fatal("the cancellation was not confirmed")
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

var meetSeeds = flag.Int("meetseeds", 2, "days of each meeting of TestMeetings, each with other luck")

// fleetOf lists the machines that are up.
func (s *sim) fleetOf() []unit.MachineID {
	var out []unit.MachineID
	for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
		if s.cloud.Machines[id].Worker != nil {
			out = append(out, id)
		}
	}
	return out
}

// some picks about a part of the machines that are up.
func (s *sim) some(part float64) []unit.MachineID {
	return slices.DeleteFunc(s.fleetOf(), func(unit.MachineID) bool { return s.rng.Float64() > part })
}

// between is a length between two.
func (s *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

// again calls do and again for as long as there is trouble.
func (s *sim) again(least, most time.Duration, do func()) {
	s.after(s.between(least, most), func() {
		if s.troubled {
			do()
			s.again(least, most, do)
		}
	})
}

// callOff cancels n jobs that run, at once.
func (s *sim) callOff(n int) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; n > 0 && !j.spec.Service && !j.over() && s.anyOn(id) {
			n--
			s.after(s.between(0, 200*time.Millisecond), func() { s.cancelJob(id) })
		}
	}
}

// crashLeader ends the leader, which comes back within the time.
func (s *sim) crashLeader(back time.Duration) {
	if l := s.leader(); l != nil {
		s.crash(l, s.between(20*time.Millisecond, back))
	}
}

// stateOut brings an outage about.
func (s *sim) stateOut(d time.Duration) {
	s.state.Down = true
	s.after(d, func() { s.state.Down = false })
}

// refuse has the state service refuse the leader alone.
func (s *sim) refuse(d time.Duration) {
	if l := s.leader(); l != nil {
		s.refused[l.index] = true
		s.after(d, func() { delete(s.refused, l.index) })
	}
}

// isolate takes state service and peers from the leader, but not its workers
// and users.
func (s *sim) isolate(d time.Duration) {
	if l := s.leader(); l != nil {
		s.alone[l.index] = true
		s.after(d, func() { delete(s.alone, l.index) })
	}
}

func (s *sim) deafen(part float64, least, most time.Duration) {
	for _, id := range s.some(part) {
		s.deaf[id] = s.now.Add(s.between(least, most))
	}
}

func (s *sim) hang(part float64, least, most time.Duration) {
	for _, id := range s.some(part) {
		s.hung[id] = s.now.Add(s.between(least, most))
	}
}

const sec = time.Second

// meetings are the meetings of two troubles that break schedulers like this one.
var meetings = []struct {
	what  string
	begin func(*sim)
}{
	{"limit, takeover, machines that can't be asked, cancellations", func(s *sim) {
		s.again(15*sec, 30*sec, func() {
			s.deafen(0.4, 5*sec, 40*sec)
			s.after(s.between(0, 6*sec), func() { s.crashLeader(6 * sec) })
			s.after(s.between(0, 12*sec), func() { s.callOff(3) })
		})
	}},
	{"cancellations and questions at the end of the last task", func(s *sim) {
		s.atEnd = 0.8
		s.again(20*sec, 40*sec, func() { s.crashLeader(2 * sec) })
	}},
	{"done against cancelled, writes unanswered, leaders that change", func(s *sim) {
		s.atEnd, s.lateWrites, s.loss = 0.8, 0.2, 0.03
		s.again(8*sec, 20*sec, func() { s.crashLeader(2 * sec) })
		s.again(20*sec, 30*sec, func() { s.refuse(s.between(2*sec, 9*sec)) })
	}},
	{"controllers hand over and back, all end, one returns at once", func(s *sim) {
		s.again(12*sec, 20*sec, func() {
			if l := s.leader(); l != nil {
				s.cut[l.index] = true
				s.after(s.between(8*sec, 14*sec), func() { delete(s.cut, l.index) })
			}
			s.after(s.between(9*sec, 12*sec), func() {
				for i, n := range s.nodes {
					if n.alive {
						s.crash(n, time.Duration(1+i*5)*s.between(100*time.Millisecond, sec))
					}
				}
			})
		})
	}},
	{"mute machines", func(s *sim) {
		s.again(10*sec, 25*sec, func() {
			for _, id := range s.some(0.4) {
				s.mute[id] = s.now.Add(s.between(5*sec, 50*sec))
			}
			s.callOff(1)
		})
		s.again(30*sec, 50*sec, func() { s.crashLeader(4 * sec) })
	}},
	{"old reports of earlier sessions and attempts", func(s *sim) {
		s.late, s.lateBy = 0.4, 90*sec
		s.again(8*sec, 16*sec, func() {
			for _, id := range s.some(0.2) {
				w := s.cloud.Machines[id].Worker
				w.Clear(s.now)
				w.Session++
			}
		})
		s.again(20*sec, 30*sec, func() { s.crashLeader(sec); s.callOff(1) })
	}},
	{"transactions without an answer, carried out late", func(s *sim) {
		s.lateWrites = 0.25
		s.again(15*sec, 30*sec, func() { s.crashLeader(3 * sec); s.callOff(1) })
	}},
	{"all controllers away for longer than a lease", func(s *sim) {
		s.again(50*sec, 60*sec, func() {
			s.callOff(2)
			for _, n := range s.nodes {
				s.crash(n, s.between(28*sec, 40*sec))
			}
		})
	}},
	{"jobs bound to a zone lose machines", func(s *sim) {
		s.again(10*sec, 20*sec, func() {
			for _, id := range s.some(0.3) {
				if s.cloud.Machines[id].Offer.Zone == "a" {
					s.take(id)
				}
			}
		})
		s.again(25*sec, 40*sec, func() { s.crashLeader(4 * sec) })
	}},
	{"commands held up for seconds", func(s *sim) {
		s.dup = 0.3
		s.again(4*sec, 9*sec, func() { s.hang(0.3, sec, 9*sec); s.callOff(1) })
		s.again(20*sec, 35*sec, func() { s.crashLeader(4 * sec) })
	}},
	{"leader without state service and peers, cancellations through the new one", func(s *sim) {
		s.again(25*sec, 35*sec, func() {
			s.isolate(s.between(8*sec, 30*sec))
			s.after(s.between(6*sec, 10*sec), func() { s.callOff(3) })
		})
	}},
	{"leader ends while machines can't be reached or hear nothing", func(s *sim) {
		s.again(20*sec, 30*sec, func() {
			s.deafen(0.5, 10*sec, 35*sec)
			s.hang(0.2, 5*sec, 35*sec)
			s.crashLeader(6 * sec)
			s.after(s.between(0, 10*sec), func() { s.callOff(2) })
		})
	}},
	{"zone with a controller cut off", func(s *sim) {
		s.again(45*sec, 60*sec, func() {
			s.zoneCut = s.set.Params.Zones[s.rng.IntN(2)]
			s.after(s.between(28*sec, 42*sec), s.heal)
			s.after(s.between(0, 20*sec), func() { s.callOff(2) })
		})
	}},
	{"slow state service, refused leader, outage", func(s *sim) {
		s.slowState = 2 * sec
		s.again(70*sec, 80*sec, func() {
			s.refuse(14 * sec)
			s.after(s.between(0, 12*sec), func() { s.stateOut(55 * sec) })
			for range 5 {
				s.after(s.between(0, 20*sec), func() { s.callOff(1) })
			}
		})
	}},
	{"reports held back until a new leader has acted", func(s *sim) {
		s.late, s.lateBy = 0.5, 25*sec
		s.again(12*sec, 18*sec, func() { s.crashLeader(3 * sec); s.deafen(0.2, 3*sec, 30*sec); s.callOff(1) })
	}},
	{"ten leaders in two minutes, also in an outage", func(s *sim) {
		s.again(9*sec, 13*sec, func() { s.crashLeader(300 * time.Millisecond) })
		s.again(40*sec, 50*sec, func() { s.stateOut(s.between(5*sec, 25*sec)); s.callOff(2) })
	}},
	{"jobs whose tasks end far apart, across leaders", func(s *sim) {
		for _, j := range s.jobs {
			if !j.spec.Service {
				j.apart = 14 * sec
			}
		}
		s.loss = 0.03
		s.again(10*sec, 18*sec, func() { s.crashLeader(6 * sec) })
	}},
	{"more work than room, urgent and not, slow links", func(s *sim) {
		s.linkDelay = 700 * time.Millisecond
		urgent := batch
		urgent.Priority, urgent.Class = checkpoint.PriorityHigh, "urgent"
		for i := range 12 {
			s.submit(300+2*i, urgent, 15*sec)
			s.submit(301+2*i, together, 20*sec)
		}
		s.again(20*sec, 40*sec, func() { s.crashLeader(4 * sec); s.callOff(1) })
	}},
}

// meetingTimes are the workers' times with which each meeting is played.
var meetingTimes = []struct {
	what    string
	workers config.Workers
}{
	{"", simSettings().Params.Workers},
	{"short leases/", shortLeases},
}

// TestMeetings brings each meeting of two troubles about on drawn days, and
// checks every rule, that nothing is forgotten, and that nothing waits once the
// troubles are over.
func TestMeetings(t *testing.T) {
	for i, m := range meetings {
		for _, times := range meetingTimes {
			for seed := range uint64(*meetSeeds) {
				t.Run(fmt.Sprintf("%s%s/%d", times.what, m.what, seed), func(t *testing.T) {
					t.Parallel()
					s := newSimWith(t, 5000+100*uint64(i)+seed, times.workers)
					if seed%2 == 1 {
						s.set.Params.Teams = []config.Team{{Name: "red", CPULimit: 40}, {Name: "blue", CPULimit: 24}}
						for _, n := range s.nodes {
							s.crash(n, time.Millisecond)
						}
					}
					s.playMeeting(m.begin)
				})
			}
		}
	}
}

// playMeeting submits jobs of each kind, lets the troubles come, and ends the day.
func (s *sim) playMeeting(begin func(*sim)) {
	s.load()
	bound := batch
	bound.Zone, bound.Class = "a", "bound"
	pair := together
	pair.Tasks, pair.Team, pair.Class = 2, "red", "pair"
	for k := range 4 {
		s.submit(100+3*k, bound, 20*sec)
		s.submit(101+3*k, pair, 25*sec)
		s.submit(102+3*k, batch, 60*sec)
	}
	s.run(5 * sec)
	s.troubled = true
	begin(s)
	s.run(150 * sec)
	s.troubled = false
	s.finish()
}
