package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/standby"
	"badgerbay/internal/unit"
)

var takeoverSeeds = flag.Int("takeoverseeds", 2, "takeovers of each kind that TestTakeoverTimes plays")

// takeoverKind is a way in which a leader stops.
type takeoverKind struct {
	what string
	stop func(*sim, *simNode)
}

var takeoverKinds = []takeoverKind{
	{"crash", func(s *sim, n *simNode) { s.crash(n, 30*time.Second) }},
	{"freeze", func(s *sim, n *simNode) { s.frozen[n.index] = s.now.Add(12 * time.Second) }},
	{"cut off from the state service and its peers", func(s *sim, n *simNode) {
		s.alone[n.index] = true
		s.after(20*time.Second, func() { delete(s.alone, n.index) })
	}},
	{"cut off from everything", func(s *sim, n *simNode) {
		s.alone[n.index], s.cut[n.index] = true, true
		s.after(20*time.Second, func() {
			delete(s.alone, n.index)
			delete(s.cut, n.index)
		})
	}},
}

// takeoverTimes are how long the parts of a takeover took, one after the other.
type takeoverTimes struct{ elected, read, heard, decided time.Duration }

func (x takeoverTimes) total() time.Duration { return x.elected + x.read + x.heard + x.decided }

// String shows the parts.
func (x takeoverTimes) String() string {
	return fmt.Sprintf("%.2f s = %.2f until elected + %.2f until read + %.2f until enough is heard + %.2f until it decides",
		x.total().Seconds(), x.elected.Seconds(), x.read.Seconds(), x.heard.Seconds(), x.decided.Seconds())
}

// submitSteadily submits a job of one short task several times a second, so that
// there is something to decide at any moment.
func (s *sim) submitSteadily(d time.Duration) {
	const pause = 300 * time.Millisecond
	small := batch
	small.Tasks, small.CPUs, small.MemoryGB = 1, 0.25, 0.25
	for i := range int(d / pause) {
		s.after(time.Duration(i)*pause, func() { s.submit(1000+i, small, 2*time.Second) })
	}
}

// measureTakeover stops the leader and measures from its last act to the first round
// that its successor records.
func measureTakeover(t *testing.T, seed uint64, script string, report float64, kind takeoverKind) (takeoverTimes, *sim) {
	s := newSimOf(t, seed, script)
	s.set.Params.Workers.HeartbeatSeconds = report
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond) // so that they start with these settings
	}
	s.submit(1, spread, 0)
	s.submitSteadily(70 * time.Second)
	s.run(35*time.Second + time.Duration(s.rng.IntN(4000))*time.Millisecond)
	old := s.leader()
	if old == nil {
		t.Fatal("nobody leads")
	}
	begun := s.acts.Latest()
	kind.stop(s, old)
	x := s.watchTakeover(begun, old)
	if x.total() == 0 {
		t.Fatalf("seed %d: nobody took over", seed)
	}
	s.run(30 * time.Second)
	return x, s
}

// watchTakeover runs until another node than old has recorded a round.
func (s *sim) watchTakeover(begun unit.Instant, old *simNode) takeoverTimes {
	var x takeoverTimes
	var heir *term
	epoch := s.acts.Epoch()
	for range 3000 {
		s.run(10 * time.Millisecond)
		n := s.leader()
		if n == nil || n == old || n.core.term == nil {
			continue
		}
		if n.core.term != heir {
			heir, x = n.core.term, takeoverTimes{elected: s.now.Sub(begun)}
		}
		if x.read == 0 && heir.loaded {
			x.read = s.now.Sub(begun) - x.elected
		}
		if x.read != 0 && x.heard == 0 && heir.schedulingOpen {
			x.heard = s.now.Sub(begun) - x.elected - x.read
		}
		if at, ok := s.acts.RoundAfter(epoch); ok && x.heard != 0 {
			x.decided = max(0, at.Sub(begun)-x.elected-x.read-x.heard)
			return x
		}
	}
	return takeoverTimes{}
}

// TestTakeoverTimes: with the warm standby a successor decides within five seconds of
// the leader's last act, however that stops. The same without it is measured for
// comparison.
func TestTakeoverTimes(t *testing.T) {
	const most = 5 * time.Second
	for _, report := range []float64{1, 3, 5} {
		for _, kind := range takeoverKinds {
			t.Run(fmt.Sprintf("%s, reports every %v s", kind.what, report), func(t *testing.T) {
				t.Parallel()
				var warm, cold []takeoverTimes
				for seed := range uint64(*takeoverSeeds) {
					x, s := measureTakeover(t, seed, warmScript, report, kind)
					if x.total() > most {
						t.Errorf("seed %d: %v", seed, x)
					}
					if s.warmTakeovers == 0 {
						t.Errorf("seed %d: the replica was not used", seed)
					}
					warm = append(warm, x)
					if seed%2 == 0 {
						x, _ = measureTakeover(t, seed, "", report, kind)
						cold = append(cold, x)
					}
				}
				t.Logf("with: median %v, longest %v", median(warm), longest(warm))
				t.Logf("without: median %v, longest %v", median(cold), longest(cold))
			})
		}
	}
}

func byTotal(a, b takeoverTimes) int { return int(a.total() - b.total()) }

func median(all []takeoverTimes) takeoverTimes {
	return slices.SortedFunc(slices.Values(all), byTotal)[len(all)/2]
}

func longest(all []takeoverTimes) takeoverTimes { return slices.MaxFunc(all, byTotal) }

// TestOutageEndsWithTheSameLeader: after an outage the leader that was there goes on,
// since nobody can tell that it was silent while nobody could write.
func TestOutageEndsWithTheSameLeader(t *testing.T) {
	eachSeed(t, 4, func(t *testing.T, seed uint64) {
		s := newSimOf(t, seed, warmScript)
		s.load()
		before, epoch := s.leader(), s.epochs()
		s.state.Down = true
		s.run(3*time.Second + time.Duration(s.rng.IntN(10_000))*time.Millisecond)
		if names := s.entitled(); len(names) > 0 {
			t.Fatalf("entitled in an outage: %v", names)
		}
		s.state.Down = false
		s.run(2 * time.Second)
		if s.leader() != before || s.epochs() != epoch {
			t.Errorf("seed %d: epoch %d by %v, was %d by %v", seed, s.epochs(), s.leader(), epoch, before)
		}
		s.finish()
	})
}

// TestSlowStateService: answers that take up to a second, often, do not end the
// entitlement of a leader with heartbeats.
func TestSlowStateService(t *testing.T) {
	s := newSimOf(t, 4, warmScript)
	s.load()
	epoch := s.epochs()
	s.slowState = time.Second
	for range 600 {
		s.run(100 * time.Millisecond)
		if s.leader() == nil {
			t.Fatalf("nobody is entitled at %v", s.now)
		}
	}
	if l := s.leader(); l.core.term.acquiredAt > unit.Instant(time.Hour).Add(10*time.Second) {
		t.Errorf("leadership has changed since epoch %d", epoch)
	}
	s.slowState = 0
	s.finish()
}

// TestReplicaBehindCompaction: a standby that was away for longer than the state
// service keeps changes reads the records anew, and takes over all the same.
func TestReplicaBehindCompaction(t *testing.T) {
	s := newSimOf(t, 9, warmScript)
	s.state.Kept = 40
	s.load()
	l := s.leader()
	for _, n := range s.nodes {
		if n != l {
			s.refused[n.index] = true
		}
	}
	s.submitSteadily(30 * time.Second)
	s.run(30 * time.Second)
	for _, n := range s.nodes {
		if n != l && n.replicaState(s.now) == standby.StateReady {
			t.Errorf("%s says that it is ready and has read nothing for 30 s", n.name)
		}
	}
	s.refused = map[int]bool{}
	s.run(4 * time.Second)
	rereads := 0
	for _, n := range s.nodes {
		rereads += n.follower.Status(s.now).Reloads
	}
	if rereads == 0 {
		t.Error("no replica was read anew")
	}
	s.crash(l, 20*time.Second)
	s.run(20 * time.Second)
	if s.warmTakeovers == 0 {
		t.Error("the replica was not used")
	}
	s.finish()
}

// TestRolloutToHeartbeats: nodes without heartbeats lead by their lease alone, beside
// nodes that have them, in any order of upgrades and crashes.
func TestRolloutToHeartbeats(t *testing.T) {
	eachSeed(t, 6, func(t *testing.T, seed uint64) {
		s := newSimOf(t, seed, "")
		warm := newSimOf(t, seed, warmScript).pol
		s.load()
		s.pol = warm
		for _, i := range s.rng.Perm(3) {
			s.crash(s.nodes[i], time.Second)
			s.run(time.Duration(3+s.rng.IntN(8)) * time.Second)
			if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
				s.frozen[l.index] = s.now.Add(8 * time.Second)
				s.run(10 * time.Second)
			}
		}
		s.run(10 * time.Second)
		s.finish()
	})
}

// TestCheckFindsLeadersThatOverstay: were leaders to act for longer than their
// heartbeats claim, the check of every day would find two that are entitled.
func TestCheckFindsLeadersThatOverstay(t *testing.T) {
	s := newSimOf(t, 3, warmScript)
	s.understated = 1500 * time.Millisecond
	s.load()
	l := s.leader()
	s.refused[l.index] = true
	for range 300 {
		s.run(10 * time.Millisecond)
		if len(s.entitled()) > 1 {
			return
		}
	}
	t.Error("not found")
}

var standbyDays = flag.Int("standbydays", 4, "days that TestWarmStandbyDays plays")

// aroundTakeover draws a trouble of the kinds that meet a takeover: the leader stops,
// and about when its standbys act, one of them dies or stands still, the nodes refuse
// each other, or the state service is slow, away, or refuses one.
func (s *sim) aroundTakeover() {
	takeover := s.pol.Features.WarmStandby.HeartbeatTTL
	length := s.between(takeover/2, 4*takeover)
	if l := s.leader(); l != nil {
		switch s.rng.IntN(5) {
		case 0:
			s.crash(l, s.between(20*time.Millisecond, 2*takeover))
		case 1, 2:
			// Wakes before the takeover, in the middle of it, or after it.
			s.frozen[l.index] = s.now.Add(s.between(takeover-time.Second, takeover+2*time.Second))
		case 3:
			s.refused[l.index] = true
			s.after(length, func() { delete(s.refused, l.index) })
		case 4:
			s.cut[l.index] = true // it hands over
			s.after(12*time.Second, func() { delete(s.cut, l.index) })
		}
	}
	n := s.nodes[s.rng.IntN(3)]
	s.after(s.between(takeover-time.Second, takeover+2*time.Second), func() {
		switch s.rng.IntN(7) {
		case 0:
			s.crash(n, s.between(20*time.Millisecond, takeover))
		case 1:
			s.frozen[n.index] = s.now.Add(length)
		case 2:
			s.meshCut = true
			s.after(length, func() { s.meshCut = false })
		case 3:
			s.slowState = s.between(200*time.Millisecond, 2*time.Second)
			s.after(length, func() { s.slowState = 0 })
		case 4:
			s.state.Down = true
			s.after(length, func() { s.state.Down = false })
		case 5:
			s.refused[n.index] = true
			s.after(length, func() { delete(s.refused, n.index) })
		case 6:
			s.electAt = 1 + s.rng.IntN(4) // some node dies in its election
		}
	})
}

// newLossySim returns a sim in which messages are lost, late and doubled, and troubles
// go on.
func newLossySim(t *testing.T, seed uint64, script string) *sim {
	s := newSimOf(t, seed, script)
	s.loss, s.dup, s.late, s.lateWrites = 0.01, 0.05, 0.05, 0.03
	s.troubled = true
	return s
}

// playLossyDay submits and cancels jobs amid the troubles, and lets these end.
func (s *sim) playLossyDay() {
	s.submitSteadily(120 * time.Second)
	s.load()
	s.after(5*time.Second, func() { s.cancelJob("wk-000003") })
	s.after(40*time.Second, func() { s.cancelJob("wk-000004") })
	s.run(130 * time.Second)
	s.electAt = 0
	s.finish()
}

// TestWarmStandbyDays plays days on which takeovers meet a second trouble, again and
// again, with lost and late messages, cancellations and machines that vanish.
func TestWarmStandbyDays(t *testing.T) {
	eachSeed(t, *standbyDays, func(t *testing.T, seed uint64) {
		s := newLossySim(t, 700+seed, warmScript)
		s.again(8*time.Second, 16*time.Second, s.aroundTakeover)
		s.again(20*time.Second, 40*time.Second, func() {
			if up := s.fleetOf(); len(up) > 0 {
				s.take(up[s.rng.IntN(len(up))])
			}
		})
		s.playLossyDay()
		t.Logf("%d takeovers with a replica, %d without", s.warmTakeovers, s.coldTakeovers)
		if s.warmTakeovers < 3 {
			t.Error("the day has hardly any takeovers")
		}
	})
}
