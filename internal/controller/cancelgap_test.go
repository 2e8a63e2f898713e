package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/delegation"
	"badgerbay/internal/fleet"
	"badgerbay/internal/leadership"
	"badgerbay/internal/unit"
)

var gapStep = flag.Duration("gapstep", 1500*time.Millisecond, "between the offsets that TestGap tries")

// gap is one meeting of a refused leader, cancellations and an outage.
type gap struct {
	what    string
	refused time.Duration // how long the state service refuses the leader alone
	outage  time.Duration // from the refusal to the outage
	// meanwhile brings about what comes on top as the refusal begins.
	meanwhile func(*sim, *simNode)
}

// gapKinds are what may come on top of a gap.
var gapKinds = []gap{
	{what: "plain"},
	{what: "mesh refused", meanwhile: func(s *sim, _ *simNode) { s.meshCut = true }},
	{what: "workers reach the old leader only", meanwhile: reachOnly},
	{what: "and the mesh is refused", meanwhile: func(s *sim, old *simNode) {
		s.meshCut = true
		reachOnly(s, old)
	}},
	{what: "old leader restarted", meanwhile: func(s *sim, old *simNode) {
		s.after(5*time.Second, func() { s.crash(old, 300*time.Millisecond) })
	}},
	{what: "old leader frozen", meanwhile: func(s *sim, old *simNode) {
		s.after(3*time.Second, func() { s.frozen[old.index] = s.now.Add(12 * time.Second) })
	}},
	{what: "slow state service", meanwhile: func(s *sim, _ *simNode) { s.slowState = 5 * time.Second }},
}

func reachOnly(s *sim, old *simNode) {
	for _, n := range s.nodes {
		s.cut[n.index] = n != old
	}
}

// play plays the gap. Jobs are cancelled all along, and the outage outlasts the
// time that a cancelled job has. The rules are checked at every change.
func (g gap) play(t *testing.T, seed uint64, w config.Workers) {
	s := newSimWith(t, seed, w)
	small := batch
	small.Tasks = 2
	for i := range 12 {
		s.submit(i+1, small, 10*time.Minute)
	}
	s.submit(20, spread, 0)
	s.run(25 * time.Second)
	old := s.leader()
	if old == nil || len(s.on) < 12 {
		t.Fatalf("%d tasks run under %v", len(s.on), old)
	}
	s.refused[old.index] = true
	s.after(g.refused, func() { delete(s.refused, old.index) })
	if g.meanwhile != nil {
		g.meanwhile(s, old)
	}
	for i := range 12 {
		// Before the election, in it, and up to the outage and a little later.
		at := g.outage - 6*time.Second + time.Duration(i)*700*time.Millisecond
		s.after(max(0, at), func() { s.cancelJob(unit.JobID(fmt.Sprintf("wk-%06d", i+1))) })
	}
	confirmed := 0
	s.after(g.outage, func() {
		s.state.Down = true
		for _, j := range s.jobs {
			if j.cancelled != 0 {
				confirmed++
			}
		}
	})
	s.run(g.outage + s.set.Params.Workers.CancelTimeout() + 15*time.Second)
	t.Logf("%d cancellations confirmed before the outage, %d tasks left after it", confirmed, len(s.on))
	s.state.Down = false
	s.run(20 * time.Second)
	s.finish()
}

// TestGap sweeps the meeting that broke most schedulers: the state service
// refuses the leader alone, others confirm cancellations, and then it is out for
// all, for longer than cancel_s, while the workers go on reporting. The tasks
// must be gone in time all the same; see docs/design.md for the bound.
func TestGap(t *testing.T) {
	for _, kind := range gapKinds {
		for _, refused := range []time.Duration{4 * time.Second, 14 * time.Second} {
			for outage := time.Duration(0); outage <= 14*time.Second; outage += *gapStep {
				g := kind
				g.refused, g.outage = refused, outage
				t.Run(fmt.Sprintf("%s/%v/%v", g.what, refused, outage), func(t *testing.T) {
					t.Parallel()
					g.play(t, 31, simSettings().Params.Workers)
				})
			}
		}
	}
}

// TestGapWithShortLeases is the same where leases are short: what may keep them, a
// grant, lasts for nearly three of them.
func TestGapWithShortLeases(t *testing.T) {
	for _, kind := range gapKinds {
		for outage := time.Duration(0); outage <= 12*time.Second; outage += 2 * *gapStep {
			g := kind
			g.refused, g.outage = 6*time.Second, outage
			t.Run(fmt.Sprintf("%s/%v", g.what, outage), func(t *testing.T) {
				t.Parallel()
				g.play(t, 37, shortLeases)
			})
		}
	}
}

// TestGapKeepsTheRest is the converse: through a gap whose outage a grant can
// bridge, machines that hold nothing of a cancelled job lose nothing.
func TestGapKeepsTheRest(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 60+seed)
			pair := spread
			pair.Tasks, pair.Team = 2, "red"
			for i := range 4 {
				s.submit(i+1, pair, 0)
			}
			gone := s.submit(9, together, 10*time.Minute)
			s.run(25 * time.Second)
			old := s.leader()
			s.refused[old.index] = true
			s.after(7*time.Second, func() { s.cancelJob(gone) })
			s.run(8 * time.Second)
			owing := map[unit.MachineID]bool{}
			for task, m := range s.on {
				owing[m] = owing[m] || task.Job == gone
			}
			kept := map[unit.TaskID]unit.MachineID{}
			for task, m := range s.on {
				if !owing[m] {
					kept[task] = m
				}
			}
			if len(kept) == 0 {
				t.Fatal("no replica is by itself")
			}
			s.state.Down = true
			s.run(30 * time.Second)
			delete(s.refused, old.index)
			s.state.Down = false
			s.run(20 * time.Second)
			for task, m := range kept {
				if s.on[task] != m {
					t.Errorf("%v lost its place on %s, which owed nothing", task, m)
				}
			}
			s.finish()
		})
	}
}

// TestOwnGrantEndsInTime: what a leader grants itself counts from the last moment
// at which it was entitled, so a cancellation that its successor confirms comes
// after that. One that resigns is not entitled for the rest of its lease.
func TestOwnGrantEndsInTime(t *testing.T) {
	life := delegation.GrantDuration(simSettings().Params.Workers)
	for _, resigns := range []bool{false, true} {
		c, begun := newLeadingCore(t)
		entitled := c.election.LeaseValidUntil()
		now := begun.Add(time.Second)
		if resigns {
			c.stepElection(now, leadership.Resign{Transferee: "n1"})
			if got := c.delegate.GrantExpiresAt(); got != now.Add(life) {
				t.Errorf("resigned at %v, keeps workers until %v", now.Sub(begun), got.Sub(begun))
			}
			continue
		}
		now = entitled.Add(3 * time.Second)
		c.Step(now, HeartbeatReceived{Ticket: make(chan HeartbeatReply, 1), Heartbeat: &fleet.Heartbeat{Machine: "m1", Zone: "a", Session: 1, HeartbeatSeq: 1}})
		if got := c.delegate.GrantExpiresAt(); got != entitled.Add(life) {
			t.Errorf("entitled until %v, keeps workers until %v", entitled.Sub(begun), got.Sub(begun))
		}
	}
}

// TestOutsideNode: a worker that its zone's node sends on tries one node outside
// the zone, and the next in the order of the names is that node again.
func TestOutsideNode(t *testing.T) {
	set := &config.Settings{NodeName: "n2", Zone: "a", Peers: []config.Peer{
		{NodeName: "n0", Zone: "b"}, {NodeName: "n1", Zone: "a"}, {NodeName: "n3", Zone: "b"}}}
	if got := nodeOutsideZone(set); got != "n0" {
		t.Errorf("workers of n2 try %q", got)
	}
	set.NodeName, set.Peers[0] = "n0", config.Peer{NodeName: "n2", Zone: "b"}
	if got := nodeOutsideZone(set); got != "n3" {
		t.Errorf("workers of n0 try %q", got)
	}
	set.Peers = set.Peers[1:2]
	if got := nodeOutsideZone(set); got != "" {
		t.Errorf("a node alone names %q", got)
	}
}
