package scheduler

import (
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/roundlog"
)

func gangSpec(n int, cpus float64) jobs.Spec {
	s := taskSpec("red", jobs.PriorityStandard, n, cpus)
	s.Gang, s.ZoneAffinity = true, true
	return s
}

func newGangFixture(t *testing.T, zones ...ident.Zone) *fixture {
	s := newFixture(t)
	s.snapshot.Teams = map[ident.Team]config.Team{"red": {CPULimit: 40}, "blue": {CPULimit: 40}}
	for i, z := range zones {
		s.addMachine(ident.MachineID("host-"+string(rune('1'+i))), z, false)
	}
	return s
}

// TestGangInOneZone: a gang that must be in one zone starts where one holds it
// whole; room that is spread over zones is none, and is not reserved either.
func TestGangInOneZone(t *testing.T) {
	s := newGangFixture(t, "a", "b", "b")
	s.addJob("wk-000001", gangSpec(4, 2))
	starts := map[ident.MachineID]int{}
	for _, st := range s.plan().Record.Starts {
		starts[st.Machine] += st.Tasks.Len()
	}
	if len(starts) != 2 || starts["host-2"] != 2 || starts["host-3"] != 2 {
		t.Errorf("starts %v, want two on each machine of zone b", starts)
	}
	s = newGangFixture(t, "a", "b")
	s.snapshot.MayProvision = false
	s.addJob("wk-000001", gangSpec(4, 2))
	s.snapshot.OfferUnavailable = func(cloud.Offer) bool { return true } // and no zone can be given more
	later := s.addJob("wk-000002", taskSpec("blue", jobs.PriorityStandard, 2, 2))
	later.AcceptedAtMs = 1
	for _, st := range s.plan().Record.Starts {
		if st.Job == "wk-000001" {
			t.Errorf("a part of a gang starts: %+v", st)
		}
	}
	if n := len(s.plan().Record.Starts); n == 0 {
		t.Error("a gang that no zone can hold reserves machines")
	}
}

// TestGangReservesItsZone: while machines for the rest of a gang may be provisioned, what is
// free in its zone is reserved for it, and the rest is provisioned there.
func TestGangReservesItsZone(t *testing.T) {
	s := newGangFixture(t, "a", "b", "b")
	s.addJob("wk-000001", gangSpec(6, 2)) // three machines
	later := s.addJob("wk-000002", taskSpec("blue", jobs.PriorityStandard, 6, 2))
	later.AcceptedAtMs = 1
	plan := s.plan()
	for _, st := range plan.Record.Starts {
		if st.Machine != "host-1" || st.Job != later.ID {
			t.Errorf("start %+v in the zone that is reserved for the gang", st)
		}
	}
	if p := plan.Record.Provisions; len(p) != 1 || p[0].Offer.Zone != "b" || plan.ProvisionedFor != "wk-000001" {
		t.Errorf("provisions %+v for %q, want one in zone b for the gang", p, plan.ProvisionedFor)
	}
}

// TestGangsDoNotReserveHalfEach: of two gangs that each need the whole zone, the
// first gets it and the second nothing.
func TestGangsDoNotReserveHalfEach(t *testing.T) {
	s := newGangFixture(t, "a", "a")
	s.addJob("wk-000001", gangSpec(4, 2))
	second := s.addJob("wk-000002", gangSpec(4, 2))
	second.AcceptedAtMs = 1
	n := 0
	for _, st := range s.plan().Record.Starts {
		if st.Job != "wk-000001" {
			t.Errorf("start %+v", st)
		}
		n += st.Tasks.Len()
	}
	if n != 4 {
		t.Errorf("%d tasks of the first gang start", n)
	}
}

// TestGangWithinItsLimit: a gang that would take its team beyond its limit, tasks
// that are told to stop included, does not start, and reserves nothing.
func TestGangWithinItsLimit(t *testing.T) {
	s := newGangFixture(t, "a", "a", "a")
	s.snapshot.Teams["red"] = config.Team{CPULimit: 10}
	old := s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 1, 4))
	s.place(old, 0, "host-3").Stopping = true
	s.addJob("wk-000002", gangSpec(4, 2))
	later := s.addJob("wk-000003", taskSpec("blue", jobs.PriorityStandard, 4, 2))
	later.AcceptedAtMs = 1
	n := 0
	for _, st := range s.plan().Record.Starts {
		if st.Job == "wk-000002" {
			t.Errorf("a gang beyond its team's limit: %+v", st)
		}
		n += st.Tasks.Len()
	}
	if n != 4 {
		t.Errorf("%d tasks of the other team start", n)
	}
}

// TestGangReservesItsQuota: while a gang waits for its team's limit, what is left of
// that goes to no other work of the team that comes after it.
func TestGangReservesItsQuota(t *testing.T) {
	s := newGangFixture(t, "a", "a", "a")
	s.snapshot.Teams["red"] = config.Team{CPULimit: 10}
	s.place(s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 1, 4)), 0, "host-3")
	s.addJob("wk-000002", gangSpec(4, 2))
	later := s.addJob("wk-000003", taskSpec("red", jobs.PriorityStandard, 3, 2))
	later.AcceptedAtMs = 1
	if starts := s.plan().Record.Starts; len(starts) > 0 {
		t.Errorf("starts %+v of what the gang waits for", starts)
	}
}

// TestGangIsEvictedWholeOrNot: a gang that is in the way of higher work is evicted
// with all its tasks, on whatever machine, and none of equal priority is.
func TestGangIsEvictedWholeOrNot(t *testing.T) {
	for _, priority := range []jobs.Priority{jobs.PriorityBestEffort, jobs.PriorityProd} {
		s := newGangFixture(t, "a", "a")
		low := gangSpec(2, 4)
		low.Priority = priority
		j := s.addJob("wk-000001", low)
		s.place(j, 0, "host-1")
		s.place(j, 1, "host-2")
		s.addJob("wk-000002", taskSpec("blue", jobs.PriorityProd, 1, 2))
		evicted := map[ident.TaskIndex]bool{}
		for _, eviction := range s.plan().Evictions {
			evicted[eviction.Placement.Task] = true
		}
		if want := 2 * int(jobs.PriorityProd-priority) / int(jobs.PriorityProd); len(evicted) != want {
			t.Errorf("priority %d: %d tasks of a gang of two are evicted, want %d", priority, len(evicted), want)
		}
	}
}

// TestGangPreemptsForAllOfIt: a higher gang has lower work evicted in one zone, as much as
// lets all of it start and no more; where that can't be, nothing is evicted.
func TestGangPreemptsForAllOfIt(t *testing.T) {
	for _, c := range []struct {
		what      string
		tasks     int
		evictions int
	}{{"one free machine and two tasks evicted", 4, 2}, {"more than the zone holds", 7, 0}} {
		s := newGangFixture(t, "a", "a", "a", "b")
		s.snapshot.MayProvision = false
		low := s.addJob("wk-000001", taskSpec("blue", jobs.PriorityBestEffort, 5, 2))
		for i, m := range []ident.MachineID{"host-1", "host-1", "host-2", "host-2", "host-4"} {
			s.place(low, ident.TaskIndex(i), m)
		}
		high := gangSpec(c.tasks, 2)
		high.Priority = jobs.PriorityHigh
		s.addJob("wk-000002", high)
		plan := s.plan()
		if len(plan.Evictions) != c.evictions || len(plan.Record.Starts) > 0 {
			t.Errorf("%s: %d evictions, want %d; starts %+v", c.what, len(plan.Evictions), c.evictions, plan.Record.Starts)
		}
		for _, eviction := range plan.Evictions {
			if eviction.Placement.Machine == "host-4" {
				t.Errorf("%s: evicted in another zone", c.what)
			}
			eviction.Placement.Stopping = true
		}
		if again := s.plan().Evictions; len(again) > 0 {
			t.Errorf("%s: %d more are evicted while the first end", c.what, len(again))
		}
	}
}

// TestGangPreemptsWholeGangs: a higher gang preempts lower ones, each with all its tasks;
// once enough of them yield the rest goes on.
func TestGangPreemptsWholeGangs(t *testing.T) {
	s := newGangFixture(t, "a", "a", "a", "a")
	s.snapshot.Teams["blue"] = config.Team{CPULimit: 40}
	for i := range 2 {
		low := gangSpec(4, 2)
		low.Team, low.Priority = "blue", jobs.PriorityBestEffort
		j := s.addJob(ident.JobID(fmt.Sprintf("wk-00000%d", i+1)), low)
		for k := range ident.TaskIndex(4) {
			// Each lies on two machines, next to no other.
			s.place(j, k, ident.MachineID(fmt.Sprintf("host-%d", 2*i+1+int(k)/2)))
		}
	}
	high := gangSpec(3, 2)
	high.Priority = jobs.PriorityHigh
	s.addJob("wk-000009", high)
	evicted := map[ident.JobID]int{}
	for _, eviction := range s.plan().Evictions {
		evicted[eviction.Placement.Job.ID]++
	}
	if len(evicted) != 1 || evicted["wk-000001"]+evicted["wk-000002"] != 4 {
		t.Errorf("evicted %v, want all four tasks of one gang", evicted)
	}
}

// TestGangsGiveGuaranteeBack: a gang of a team within its guarantee takes back
// what another team's gang holds beyond its own, whole, but not so much that the
// other falls below its guarantee.
func TestGangsGiveGuaranteeBack(t *testing.T) {
	for guarantee, want := range map[float64]int{0: 4, 4: 0} {
		s := newGangFixture(t, "a", "a")
		s.snapshot.MayProvision = false
		s.snapshot.Teams = map[ident.Team]config.Team{
			"red":  {CPUGuarantee: 8, CPULimit: 40},
			"blue": {CPUGuarantee: guarantee, CPULimit: 40},
		}
		victim := gangSpec(4, 2)
		victim.Team = "blue"
		j := s.addJob("wk-000001", victim)
		for k := range ident.TaskIndex(4) {
			s.place(j, k, ident.MachineID(fmt.Sprintf("host-%d", 1+int(k)/2)))
		}
		for _, m := range []ident.MachineID{"host-1", "host-2"} {
			s.sendHeartbeat(m)
		}
		s.addJob("wk-000002", gangSpec(4, 2))
		if n := len(s.plan().Evictions); n != want {
			t.Errorf("guarantee %v: %d evictions, want %d", guarantee, n, want)
		}
	}
}

// TestLostGangTaskIsReplacedInItsAttempt: what a waiting gang lost is started again
// in its zone under its attempt, not where an exit of that attempt is still known;
// nothing is where it may not be replaced.
func TestLostGangTaskIsReplacedInItsAttempt(t *testing.T) {
	for _, mayReplace := range []bool{true, false} {
		s := newGangFixture(t, "a", "a", "a", "b")
		j := s.addJob("wk-000001", gangSpec(3, 4))
		for i, m := range []ident.MachineID{"host-1", "host-2"} {
			s.place(j, ident.TaskIndex(i), m).State = jobs.PlacementFetching
		}
		s.snapshot.Fleet.RetractPlacement(s.snapshot.Now, s.place(j, 2, "host-3")) // and its exit is forgotten
		if mayReplace {
			s.snapshot.ReplacementAttempts = map[ident.JobID]ident.Attempt{j.ID: 1}
		}
		starts := s.plan().Record.Starts
		if !mayReplace {
			if len(starts) > 0 {
				t.Errorf("starts %+v of a gang that may not be replaced", starts)
			}
			continue
		}
		if len(starts) != 1 || starts[0].Machine != "host-3" || starts[0].AttemptInRound(5) != 1 || !starts[0].Tasks.Contains(2) {
			t.Errorf("starts %+v", starts)
		}
		exit := s.place(j, 2, "host-3")
		s.snapshot.Fleet.ApplyHeartbeat(s.snapshot.Now, &fleet.Heartbeat{Machine: "host-3", Type: "m4", Zone: "a",
			Session: 1, HeartbeatSeq: 2, FencingToken: fixtureEpoch,
			Tasks: []fleet.TaskStatus{{Task: exit.ID(), Attempt: 1, State: fleet.TaskExited, Cause: fleet.ExitNoCapacity}}})
		if starts := s.plan().Record.Starts; len(starts) > 0 {
			t.Errorf("starts %+v where the exit is known, or in another zone", starts)
		}
	}
}

// TestGangBeyondOneValue: a gang whose starts don't fit into one value takes a
// record in chunks where nodes know them, and is not started where they don't.
func TestGangBeyondOneValue(t *testing.T) {
	for values, want := range map[int]int{1: 0, 4: 80} {
		s := newFixture(t)
		s.snapshot.Teams = map[ident.Team]config.Team{"red": {CPULimit: 4000}}
		s.snapshot.ValueBytes, s.snapshot.MaxRoundValues, s.snapshot.MaxJobValues = 2048, values, 4
		for i := range 80 {
			s.addMachine(ident.MachineID(fmt.Sprintf("host-%06d", i)), "a", false)
		}
		s.addJob("wk-000001", gangSpec(80, 3)) // one to a machine
		plan := s.plan()
		if n := len(plan.Record.Starts); n != want {
			t.Errorf("%d values: %d starts, want %d", values, n, want)
		}
		if values > 1 {
			if _, _, err := plan.Record.Split(2048, values, kvstore.JSONSize); err != nil {
				t.Error(err)
			}
		}
	}
}

// largestGang is the largest gang, with one task on each machine, whose records fit.
func largestGang(limits config.State) jobs.Spec {
	spec := gangSpec(1, 3)
	for roundlog.GangRecordsFit(&spec, 1, 300, limits) {
		spec.Tasks++
	}
	spec.Tasks--
	return spec
}

// TestLargestGangIsPlaced: the largest gang that is accepted, one task to a machine, is started
// whole, and its records can be stored; one that is larger is not accepted.
func TestLargestGangIsPlaced(t *testing.T) {
	limits := config.State{MaxValueKB: 2, MaxTxnOps: 4}
	spec := largestGang(limits)
	if spec.Tasks < 100 {
		t.Errorf("the largest gang has %d tasks", spec.Tasks)
	}
	s := newFixture(t)
	s.snapshot.Teams = map[ident.Team]config.Team{"red": {CPULimit: 4000}}
	s.snapshot.ValueBytes, s.snapshot.MaxRoundValues, s.snapshot.MaxJobValues = 2048, 4, 4
	for i := range spec.Tasks {
		s.addMachine(ident.MachineID(fmt.Sprintf("machine-%08d", i*7919%1_000_000)), "a", false)
	}
	j := s.addJob("wk-000001", spec)
	plan := s.plan()
	if n := len(plan.Record.Starts); n != spec.Tasks {
		t.Fatalf("%d of %d tasks start", n, spec.Tasks)
	}
	if _, _, err := plan.Record.Split(2048, 4, kvstore.JSONSize); err != nil {
		t.Error(err)
	}
	for _, st := range plan.Record.Starts {
		s.place(j, st.Tasks[0].First, st.Machine)
	}
	if _, _, err := j.Record(9).Split(2048, 4, kvstore.JSONSize); err != nil {
		t.Error(err)
	}
}

// TestLargeGangBesideOthers: the largest gang starts in the same round as higher
// work, however much of that there is: it must not wait for a round of its own.
func TestLargeGangBesideOthers(t *testing.T) {
	limits := config.State{MaxValueKB: 2, MaxTxnOps: 4}
	spec := largestGang(limits)
	for _, others := range []int{5, 20} {
		s := newFixture(t)
		s.snapshot.Teams = map[ident.Team]config.Team{"red": {CPULimit: 4000}, "blue": {CPULimit: 4000}}
		s.snapshot.ValueBytes, s.snapshot.MaxRoundValues, s.snapshot.MaxJobValues = 2048, 4, 4
		for i := range spec.Tasks + others {
			s.addMachine(ident.MachineID(fmt.Sprintf("machine-%08d", i*7919%1_000_000)), "a", false)
		}
		gang := s.addJob("wk-000001", spec)
		first := taskSpec("blue", jobs.PriorityProd, others, 3)
		first.Service = true
		s.addJob("wk-000002", first)
		plan := s.plan()
		starts := 0
		for _, st := range plan.Record.Starts {
			if st.Job == gang.ID {
				starts++
			}
		}
		if starts != spec.Tasks {
			t.Errorf("beside %d others %d of %d tasks start", others, starts, spec.Tasks)
		}
		if _, _, err := plan.Record.Split(2048, 4, kvstore.JSONSize); err != nil {
			t.Error(err)
		}
	}
}

// TestGangIsPreemptedLast: where a task of an array can make room, a gang of the
// same priority goes on, though it would write a checkpoint and the array's work is lost.
func TestGangIsPreemptedLast(t *testing.T) {
	s := newGangFixture(t, "a", "a")
	gang := gangSpec(2, 2)
	gang.CheckpointIntervalSeconds, gang.CheckpointSeconds = 20, 3
	j := s.addJob("wk-000001", gang)
	s.place(j, 0, "host-1")
	s.place(j, 1, "host-1")
	array := s.addJob("wk-000002", taskSpec("blue", jobs.PriorityStandard, 2, 2))
	s.place(array, 0, "host-2")
	s.place(array, 1, "host-2")
	s.snapshot.Now = s.snapshot.Now.Add(40 * time.Second)
	s.sendHeartbeat("host-1")
	s.sendHeartbeat("host-2")
	s.addJob("wk-000003", taskSpec("blue", jobs.PriorityProd, 1, 2))
	evictions := s.plan().Evictions
	if len(evictions) != 1 || evictions[0].Placement.Job != array {
		t.Errorf("evicted: %+v, want a task of the array", evictions)
	}
}
