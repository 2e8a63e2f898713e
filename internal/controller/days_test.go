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
	"badgerbay/internal/userapi"
)

func TestQuietDay(t *testing.T) {
	s := newSim(t, 1)
	s.load()
	s.finish()
}

// TestHugeJob plays a job of 100,000 tasks that end in any order: its records
// stay within the limits of the state service, and it gets done bit by bit.
func TestHugeJob(t *testing.T) {
	s := newSim(t, 5)
	huge := batch
	huge.Tasks, huge.CPUs, huge.MemoryGB = 100_000, 0.25, 0.25
	id := s.submit(1, huge, 3*time.Second)
	s.submit(2, batch, 12*time.Second)
	s.run(60 * time.Second)
	l := s.leader()
	if l == nil {
		t.Fatal("nobody leads")
	}
	j := l.core.term.jobs[id]
	if j.Done.Len() < 200 {
		t.Errorf("%d tasks done in a minute", j.Done.Len())
	}
	s.crash(l, time.Second)
	s.run(20 * time.Second)
	s.cancelJob(id)
	s.run(60 * time.Second)
	if s.jobs[id].told != userapi.Cancelled {
		t.Errorf("still %q", s.jobs[id].told)
	}
}

// TestCrashBetweenAnyTwoSteps crashes the leader before each of its effects in
// turn: records, launches, rentals, folds, reaps, cancellations. Its successor
// must go on, with nothing run twice and nothing lost.
func TestCrashBetweenAnyTwoSteps(t *testing.T) {
	for k := 1; k <= 60; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 7)
			s.crashAt = k
			s.submit(1, batch, 12*time.Second)
			s.submit(2, spread, 0)
			s.run(20 * time.Second)
			s.submit(3, together, 8*time.Second)
			s.run(25 * time.Second)
			s.cancelJob("wk-000003")
			s.run(60 * time.Second)
			s.finish()
			if s.crashAt > 0 {
				t.Logf("the day had %d effects less", s.crashAt)
			}
		})
	}
}

// eachSeed plays a day with each of n seeds, side by side.
func eachSeed(t *testing.T, n int, day func(*testing.T, uint64)) {
	for seed := range uint64(n) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day(t, seed)
		})
	}
}

// TestRoughDays plays days with lost and repeated messages, crashes of nodes,
// outages and machines that vanish, each with other luck.
func TestRoughDays(t *testing.T) {
	eachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, 100+seed)
		s.loss, s.dup, s.late = 0.04, 0.1, 0.05
		s.every(19*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) > 0 && s.loss > 0 {
				s.hung[ids[s.rng.IntN(len(ids))]] = s.now.Add(time.Duration(5+s.rng.IntN(35)) * time.Second)
			}
		})
		s.every(time.Duration(7+s.rng.IntN(20))*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if s.loss > 0 && n.alive {
				s.crash(n, time.Duration(100+s.rng.IntN(8000))*time.Millisecond)
			}
		})
		s.after(40*time.Second, func() {
			s.state.Down = true
			s.after(20*time.Second, func() { s.state.Down = false })
		})
		s.after(75*time.Second, func() {
			s.cloud.Down = true
			s.after(30*time.Second, func() { s.cloud.Down = false })
		})
		s.every(23*time.Second, func() {
			if l := s.leader(); l != nil && s.loss > 0 {
				s.cut[l.index] = true
				s.after(12*time.Second, func() { delete(s.cut, l.index) })
			}
		})
		s.every(17*time.Second, func() {
			for _, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
				h := s.cloud.Machines[id]
				if s.loss > 0 && h.Worker != nil && s.rng.IntN(8) == 0 {
					s.take(id)
					break
				}
			}
		})
		s.load()
		s.after(5*time.Second, func() { s.cancelJob("wk-000003") })
		s.after(9*time.Second, func() { s.cancelJob("wk-000004") })
		s.run(120 * time.Second)
		s.finish()
	})
}

// TestDeafMachines plays days on which the reports of machines arrive, but no
// answer and no command reaches them, for longer than a lease, again and again;
// with copies of reports that come up to several leases late, nodes that lose
// the state service and each other but not their workers, and processes that
// are back within a fraction of a second.
func TestDeafMachines(t *testing.T) {
	eachSeed(t, 8, func(t *testing.T, seed uint64) {
		s := newSim(t, 900+seed)
		s.loss, s.late, s.lateBy = 0.01, 0.1, 100*time.Second
		s.every(13*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) > 0 && s.loss > 0 {
				s.deaf[ids[s.rng.IntN(len(ids))]] = s.now.Add(time.Duration(10+s.rng.IntN(50)) * time.Second)
			}
		})
		s.every(31*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
				n = l
			}
			if s.loss > 0 {
				s.alone[n.index] = true
				s.after(time.Duration(5+s.rng.IntN(20))*time.Second, func() { delete(s.alone, n.index) })
			}
		})
		s.every(time.Duration(9+s.rng.IntN(9))*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if s.loss > 0 && n.alive {
				s.crash(n, time.Duration(20+s.rng.IntN(500))*time.Millisecond)
			}
		})
		s.every(21*time.Second, func() {
			// A machine is back at once, with nothing of what ran on it.
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) == 0 || s.loss == 0 {
				return
			}
			if w := s.cloud.Machines[ids[s.rng.IntN(len(ids))]].Worker; w != nil {
				w.Clear(s.now)
				w.Session++
			}
		})
		s.after(80*time.Second, func() {
			// A zone is cut: its nodes and the others lose sight of each
			// other's workers.
			s.cut[2] = true
			s.after(20*time.Second, func() { delete(s.cut, 2) })
		})
		s.after(55*time.Second, func() {
			s.state.Down = true
			s.after(15*time.Second, func() { s.state.Down = false })
		})
		s.load()
		s.after(5*time.Second, func() { s.cancelJob("wk-000003") })
		s.run(150 * time.Second)
		s.finish()
	})
}

// TestFrozenNodes plays days on which nodes, rather the leader than not, stand
// still for a fraction of a second to more than a lease while their clocks run
// on, with crashes, outages, late copies and lost messages in between.
func TestFrozenNodes(t *testing.T) {
	eachSeed(t, 8, func(t *testing.T, seed uint64) {
		s := newSim(t, 300+seed)
		s.loss, s.dup, s.late = 0.02, 0.05, 0.05
		s.every(11*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			if l := s.leader(); l != nil && s.rng.IntN(3) > 0 {
				n = l
			}
			if s.loss > 0 {
				s.frozen[n.index] = s.now.Add(time.Duration(100<<s.rng.IntN(9)) * time.Millisecond)
			}
		})
		s.every(37*time.Second, func() {
			if n := s.nodes[s.rng.IntN(3)]; s.loss > 0 && n.alive {
				s.crash(n, time.Duration(20+s.rng.IntN(500))*time.Millisecond)
			}
		})
		s.after(45*time.Second, func() {
			s.state.Down = true
			s.after(15*time.Second, func() { s.state.Down = false })
		})
		s.load()
		s.after(5*time.Second, func() { s.cancelJob("wk-000003") })
		s.run(150 * time.Second)
		s.finish()
	})
}

// TestZoneCuts plays days on which a zone is cut off from everything, state
// service and cloud included, for less and more than a lease, with one node or
// two in it, the leader among them or not; with crashes, freezes, cancellations
// and lonely nodes in the cut. What was held arrives after it.
func TestZoneCuts(t *testing.T) {
	eachSeed(t, 12, func(t *testing.T, seed uint64) {
		s := newSim(t, 500+seed)
		s.loss, s.dup, s.late = 0.02, 0.05, 0.05
		s.every(75*time.Second, func() {
			if s.loss == 0 {
				return
			}
			s.zoneCut = s.set.Params.Zones[s.rng.IntN(2)]
			s.after(time.Duration(5+s.rng.IntN(60))*time.Second, s.heal)
		})
		s.every(23*time.Second, func() {
			n := s.nodes[s.rng.IntN(3)]
			switch {
			case s.loss == 0 || !n.alive:
			case s.rng.IntN(3) == 0:
				s.crash(n, time.Duration(20+s.rng.IntN(4000))*time.Millisecond)
			case s.rng.IntN(2) == 0:
				s.frozen[n.index] = s.now.Add(time.Duration(100<<s.rng.IntN(9)) * time.Millisecond)
			default:
				s.alone[n.index] = true
				s.after(time.Duration(5+s.rng.IntN(40))*time.Second, func() { delete(s.alone, n.index) })
			}
		})
		s.every(17*time.Second, func() {
			ids := slices.Sorted(maps.Keys(s.cloud.Machines))
			if len(ids) == 0 || s.loss == 0 {
				return
			}
			if id := ids[s.rng.IntN(len(ids))]; s.rng.IntN(2) == 0 {
				s.hung[id] = s.now.Add(time.Duration(5+s.rng.IntN(35)) * time.Second)
			} else if s.cloud.Machines[id].Worker != nil {
				s.take(id)
			}
		})
		s.load()
		for i, id := range []unit.JobID{"wk-000003", "wk-000004", "wk-000007", "wk-000010", "wk-000008"} {
			s.after(time.Duration(12+17*i)*time.Second, func() { s.cancelJob(id) })
		}
		s.run(220 * time.Second)
		s.finish()
	})
}

// TestCutZoneKeepsItsReplicas: workers that are cut off together with a node
// live through a cut that outlasts their leases, and nothing of theirs is
// started elsewhere; without the grants all in the zone were killed.
func TestCutZoneKeepsItsReplicas(t *testing.T) {
	for _, inside := range []bool{true, false} {
		cutZone(t, 21, inside)
	}
}

var cutSeeds = flag.Uint64("cutseeds", 10, "pairs of cuts of TestCutZoneWhereverItsWorkersAre, each with other luck")

// TestCutZoneWhereverItsWorkersAre is the same whichever nodes the workers report
// to as the cut begins. A worker waits four seconds for each node out of reach, and
// a second before the next: sent on without a name by the node inside, it came back
// only when the grant had ended, and its tasks were lost.
func TestCutZoneWhereverItsWorkersAre(t *testing.T) {
	for seed := range *cutSeeds {
		for _, inside := range []bool{true, false} {
			cutZone(t, seed, inside)
		}
	}
}

// cutZone cuts off a zone with a node in it, the leader's or the other.
func cutZone(t *testing.T, seed uint64, inside bool) {
	s := newSim(t, seed)
	s.submit(1, spread, 0)
	s.submit(2, spread, 0)
	s.run(30 * time.Second)
	before := s.starts
	l := s.leader()
	if s.zoneCut = s.nodes[1].zone; inside == (l.zone != s.zoneCut) {
		s.zoneCut = s.nodes[0].zone
	}
	s.run(42 * time.Second)
	s.heal()
	s.run(20 * time.Second)
	if s.starts != before || len(s.on) != 2*spread.Tasks {
		t.Errorf("seed %d, leader inside %v: %d replicas started anew, %d run of %d", seed, inside, s.starts-before, len(s.on), 2*spread.Tasks)
	}
	s.finish()
}

// TestRestartInEachStepOfAnElection ends a process before each of its requests
// to the state service in turn, while it stands for election or leads, and
// starts it again at once: late answers to the one must not serve the other.
func TestRestartInEachStepOfAnElection(t *testing.T) {
	for k := 1; k <= 40; k++ {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 11)
			s.electAt, s.loss = k, 0.02
			s.submit(1, batch, 12*time.Second)
			s.submit(2, spread, 0)
			s.every(8*time.Second, func() {
				if l := s.leader(); l != nil && s.loss > 0 {
					s.crash(l, 6*time.Second) // so that the others elect
				}
			})
			s.run(60 * time.Second)
			if s.electAt > 0 {
				t.Fatalf("no step %d", k)
			}
			s.finish()
		})
	}
}

// TestGrowingDay plays a day at some hundred machines, with arrays that fill
// them, crashes in a row, an outage and machines that vanish.
func TestGrowingDay(t *testing.T) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		s := newSim(t, 40+seed)
		for o := range s.cloud.Capacity {
			s.cloud.Capacity[o] *= 15
		}
		s.set.Params.Teams = []config.Team{{Name: "red", CPUGuarantee: 300, CPULimit: 900}, {Name: "blue", CPUGuarantee: 300, CPULimit: 900}}
		for _, n := range s.nodes {
			s.crash(n, time.Millisecond)
		}
		s.loss = 0.01
		array := batch
		array.Tasks = 160
		for i := range 12 {
			s.submit(3*i, array, 15*time.Second)
			s.submit(3*i+1, spread, 0)
			s.submit(3*i+2, together, 8*time.Second)
		}
		for _, at := range []int{25, 32, 61} {
			s.after(time.Duration(at)*time.Second, func() {
				if l := s.leader(); l != nil {
					s.crash(l, 500*time.Millisecond)
				}
			})
		}
		peak := 0
		s.every(time.Second, func() { peak = max(peak, len(s.cloud.Machines)) })
		s.after(45*time.Second, func() {
			s.state.Down = true
			s.after(12*time.Second, func() { s.state.Down = false })
		})
		s.after(50*time.Second, func() {
			for i, id := range slices.Sorted(maps.Keys(s.cloud.Machines)) {
				if h := s.cloud.Machines[id]; i%9 == 0 && h.Worker != nil {
					s.take(id)
				}
			}
		})
		s.run(100 * time.Second)
		if peak < 40 {
			t.Errorf("the day had only %d machines", peak)
		}
		s.finish()
	})
}

var fleetSeeds = flag.Int("fleetseeds", 1, "days of TestFleetDays, each with other luck")

// TestFleetDays draws days of up to 1,900 machines: zones with and without a
// node, replicas, large arrays beside many small ones, and troubles of each kind
// on top of each other: cut zones, nodes that stand still, crash one or all and
// are back at once, lonely nodes, an outage, a third of the machines lost or
// hung, late copies and repeats. All rules are checked at each change.
func TestFleetDays(t *testing.T) {
	eachSeed(t, *fleetSeeds, func(t *testing.T, seed uint64) {
		s := newSim(t, 7000+seed)
		s.loss, s.dup, s.late = 0.01, 0.02, 0.02
		s.grow([]unit.Zone{"a", "b", "c", "d"}[:2+s.rng.IntN(3)], 1000+s.rng.IntN(900))
		s.set.Params.Workers.HeartbeatSeconds = 5
		s.set.Params.Teams = []config.Team{{Name: "red", CPUGuarantee: 1000, CPULimit: 10_000}, {Name: "blue", CPUGuarantee: 1000, CPULimit: 10_000}}
		s.drawJobs(int(s.rng.Uint64N(20)))
		s.every(9*time.Second, func() {
			if s.loss > 0 {
				s.trouble()
			}
		})
		peak := 0
		s.every(time.Second, func() { peak = max(peak, len(s.cloud.Machines)) })
		s.run(150 * time.Second)
		t.Logf("%d machines at most, in %d zones", peak, len(s.set.Params.Zones))
		if peak < 500 {
			t.Errorf("the day had only %d machines", peak)
		}
		s.finish()
	})
}

// TestLargestBegin: the largest job of the lowest class begins within four
// minutes, and keeps running for long enough to count, however many small ones
// of a higher priority come all the time and take all there is.
func TestLargestBegin(t *testing.T) {
	s := newSim(t, 6)
	for o := range s.cloud.Capacity {
		s.cloud.Capacity[o] = 1
	}
	s.set.Params.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	for _, n := range s.nodes {
		s.crash(n, time.Millisecond)
	}
	small, large := batch, batch
	small.Tasks, small.CPUs = 20, 2
	large.Priority, large.Class, large.Tasks, large.CPUs = checkpoint.PriorityBestEffort, "low", 150, 4
	n := 1
	s.every(2*time.Second, func() {
		if n < 120 {
			n++
			s.submit(n, small, 20*time.Second)
		}
	})
	s.run(20 * time.Second) // the small ones hold everything
	id := s.submit(1, large, 60*time.Second)
	s.run(4 * time.Minute)
	j := s.jobs[id]
	if j.began == 0 {
		t.Fatal("the largest job has not begun in four minutes")
	}
	if p := s.leader().core.term.jobs[id]; s.now.Sub(j.began) > 70*time.Second && len(p.Done) == 0 {
		t.Errorf("it began %v ago, and nothing of it is done", s.now.Sub(j.began))
	}
}
