package controller

import (
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/rollout"
)

// rollOut plays a day on which the nodes get this version one at a time, with
// the later limits of the state service some time after the last.
func rollOut(t *testing.T, seed uint64, trouble func(*sim)) *sim {
	s := newSim(t, 9000+seed)
	s.set.Params.State.Next = &config.StateLimits{WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	s.before = map[int]bool{0: true, 1: true, 2: true}
	s.set.Params.Teams = []config.Team{{Name: "red", CPUs: 100, CPUsMax: 400}, {Name: "blue", CPUs: 16, CPUsMax: 24}}
	for o := range s.cloud.Capacity {
		s.cloud.Capacity[o] *= 8
	}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	wide := batch
	wide.Tasks, wide.Class = 150, "wide"
	s.load()
	for i := range 4 {
		s.submit(400+i, wide, time.Duration(25+20*i)*time.Second)
	}
	trouble(s)
	for i, n := range s.nodes {
		s.after(time.Duration(10+10*i)*time.Second, func() {
			delete(s.before, n.index)
			s.crash(n, 3*time.Second)
		})
	}
	s.after(34*time.Second+time.Duration(s.rng.IntN(8000))*time.Millisecond, func() {
		s.surprise = s.now.Add(5 * time.Second)
		s.state.ValueBytes, s.state.TxnOps = 2048, 4
	})
	s.run(150 * time.Second)
	return s
}

// TestRollout: nodes of two versions serve side by side, what only the later can
// read is stored once all have it and not before, and the lower limits change
// nothing that a user sees.
func TestRollout(t *testing.T) {
	for what, trouble := range map[string]func(*sim){
		"quiet": func(*sim) {},
		"crashes": func(s *sim) {
			s.troubled = true
			s.again(6*sec, 14*sec, func() { s.crashLeader(4 * sec) })
		},
		"outage and return of the version before": func(s *sim) {
			s.after(22*sec, func() { s.stateOut(9 * sec) })
			s.after(25*sec, func() {
				// It ends before its turn, and comes back as it was.
				s.crash(s.nodes[2], 200*time.Millisecond)
			})
		},
		"a node cut off as the limits come": func(s *sim) {
			s.after(33*sec, func() { s.alone[1] = true })
			s.after(90*sec, func() { delete(s.alone, 1) })
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				early := false
				s := rollOut(t, seed, func(s *sim) {
					trouble(s)
					s.every(sec, func() {
						parts, _, _ := s.state.List(checkpoint.PartPrefix)
						form, _ := s.state.Get(rollout.Key)
						early = early || len(s.before) > 0 && (len(parts) > 0 || form.Stamp != 0)
					})
				})
				if early {
					t.Error("what the version before can't read was stored while a node had it")
				}
				if form, _ := s.state.Get(rollout.Key); form.Stamp == 0 {
					t.Error("that all nodes have the version was never stored")
				}
				s.troubled = false
				s.finish()
				t.Logf("%d requests met the limits", s.surprised)
			}
		})
	}
}
