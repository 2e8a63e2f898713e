package controller

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"badgerbay/internal/ident"
)

var (
	mistakeSeeds   = flag.Int("mistakeseeds", 24, "seeds of TestMistakesAndFaultyMachines")
	mistakeMinutes = flag.Int("mistakeminutes", 4, "minutes of load in TestMistakesAndFaultyMachines")
)

// TestMistakesAndFaultyMachines checks scenarios in which mistaken jobs and faulty machines meet on a fleet that can't
// grow and whose machines are never idle, while leaders crash: afterwards no job waits for longer than maxStartDelay
// beside a machine with room, and all jobs end.
func TestMistakesAndFaultyMachines(t *testing.T) {
	t.Parallel()
	forEachSeed(t, *mistakeSeeds, func(t *testing.T, seed uint64) {
		s := newBusyFleet(t, 600+seed, 1+int(seed%3))
		s.faultsActive = true
		s.repeatWhileFaultsActive(sec, 5*sec, s.submitRandomArray)
		s.repeatWhileFaultsActive(20*sec, 60*sec, s.makeRandomMachineFaulty)
		if seed%2 == 1 {
			s.repeatWhileFaultsActive(30*sec, 90*sec, func() { s.crashLeader(4 * sec) })
		}
		s.runFor(time.Duration(*mistakeMinutes) * time.Minute)
		s.faultsActive = false
		s.endTaskFailures()
		s.watchStartDelays()
		for i, zone := range s.settings.Params.Zones {
			spec := arraySpec
			spec.Zone = zone
			s.submit(10+i, spec, 2*time.Second)
		}
		s.runFor(maxStartDelay + 10*time.Second) // the replicas still keep all machines busy
		s.healAndFinish()
	})
}

// submitRandomArray submits an array of a random size, which is mistaken with a probability of one third, and is
// cancelled by its user then.
func (s *simulation) submitRandomArray() {
	spec := arraySpec
	spec.Tasks = 1 << s.rng.IntN(5)
	if s.rng.IntN(3) == 0 {
		spec.Zone = s.settings.Params.Zones[s.rng.IntN(2)]
	}
	id := s.submit(100+len(s.jobs), spec, s.randomDuration(500*time.Millisecond, 6*sec))
	if s.rng.IntN(3) == 0 {
		s.makeMistaken(id, s.randomDuration(2*sec, 40*sec))
	}
}

// makeRandomMachineFaulty makes a machine fail all its tasks for a while.
func (s *simulation) makeRandomMachineFaulty() {
	up := s.upMachines()
	if len(up) == 0 {
		return
	}
	id := up[s.rng.IntN(len(up))]
	s.faultyMachines[id] = true
	s.schedule(s.randomDuration(3*sec, 90*sec), func() { delete(s.faultyMachines, id) })
}

// endTaskFailures repairs the faulty machines and cancels the mistaken jobs.
func (s *simulation) endTaskFailures() {
	clear(s.faultyMachines)
	for _, id := range slices.Sorted(maps.Keys(s.mistakenJobs)) {
		s.cancelJob(id)
	}
}

// TestFaultyMachineThatIsNeverIdle checks that a machine on which every array task fails, and which is not returned
// because it runs a replica, is quarantined for at least three quarters of the time, while the arrays complete elsewhere.
func TestFaultyMachineThatIsNeverIdle(t *testing.T) {
	t.Parallel()
	s := newBusyFleet(t, 511, 1)
	machine := s.machineIn("a")
	s.faultyMachines[machine] = true
	const minutes = 10
	quarantined := 0
	s.scheduleEvery(time.Second, func() {
		if m := s.leader().core.term.fleet.Machine(machine); m != nil && m.Quarantined {
			quarantined++
		}
	})
	var ids []ident.JobID
	for n := range minutes * 12 {
		ids = append(ids, s.submit(100+n, arraySpec, 3*time.Second))
		s.runFor(5 * time.Second)
	}
	if minQuarantined := minutes * 60 * 3 / 4; quarantined < minQuarantined {
		t.Errorf("machine %s was quarantined for %d of %d s, want at least %d", machine, quarantined, minutes*60, minQuarantined)
	}
	s.healAndFinish()
	for _, id := range ids {
		if !s.jobs[id].isFinished() {
			t.Errorf("%s did not end", id)
		}
	}
}
