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

// TestGangWithZoneAffinityStartsInOneZone checks that a gang with zone affinity starts in a zone that has room for
// all of its tasks. If only several zones together have enough room, the gang does not start and reserves no
// machines.
func TestGangWithZoneAffinityStartsInOneZone(t *testing.T) {
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
	s.snapshot.OfferUnavailable = func(cloud.Offer) bool { return true } // no zone can gain machines
	later := s.addJob("wk-000002", taskSpec("blue", jobs.PriorityStandard, 2, 2))
	later.AcceptedAtMs = 1
	for _, st := range s.plan().Record.Starts {
		if st.Job == "wk-000001" {
			t.Errorf("part of a gang starts: %+v", st)
		}
	}
	if n := len(s.plan().Record.Starts); n == 0 {
		t.Error("no task starts: a gang that fits no zone reserves machines")
	}
}

// TestUnplacedGangReservesItsZone checks that, while the machines that a gang lacks can be provisioned, the free
// capacity of its zone is reserved for it and the missing machines are provisioned in that zone.
func TestUnplacedGangReservesItsZone(t *testing.T) {
	s := newGangFixture(t, "a", "b", "b")
	s.addJob("wk-000001", gangSpec(6, 2)) // fills three machines
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

// TestCompetingGangsDoNotSplitZone checks that, of two gangs that each need all machines of the zone, the first in
// the queue starts whole and the second gets none of them.
func TestCompetingGangsDoNotSplitZone(t *testing.T) {
	s := newGangFixture(t, "a", "a")
	s.addJob("wk-000001", gangSpec(4, 2))
	second := s.addJob("wk-000002", gangSpec(4, 2))
	second.AcceptedAtMs = 1
	n := 0
	for _, st := range s.plan().Record.Starts {
		if st.Job != "wk-000001" {
			t.Errorf("start %+v of the second gang", st)
		}
		n += st.Tasks.Len()
	}
	if n != 4 {
		t.Errorf("%d tasks of the first gang start, want 4", n)
	}
}

// TestGangBeyondTeamLimitReservesNoMachines checks that a gang that would exceed its team's limit does not start and
// reserves no machines. Tasks that are stopping still count against the limit.
func TestGangBeyondTeamLimitReservesNoMachines(t *testing.T) {
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
			t.Errorf("start %+v of a gang that exceeds its team's limit", st)
		}
		n += st.Tasks.Len()
	}
	if n != 4 {
		t.Errorf("%d tasks of the other team start, want 4", n)
	}
}

// TestGangReservesRemainingQuota checks that, while a gang does not fit its team's limit, the unused part of the
// limit is not given to jobs of the team that are behind the gang in the queue.
func TestGangReservesRemainingQuota(t *testing.T) {
	s := newGangFixture(t, "a", "a", "a")
	s.snapshot.Teams["red"] = config.Team{CPULimit: 10}
	s.place(s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 1, 4)), 0, "host-3")
	s.addJob("wk-000002", gangSpec(4, 2))
	later := s.addJob("wk-000003", taskSpec("red", jobs.PriorityStandard, 3, 2))
	later.AcceptedAtMs = 1
	if starts := s.plan().Record.Starts; len(starts) > 0 {
		t.Errorf("starts %+v within the quota that is reserved for the gang", starts)
	}
}

// TestGangIsEvictedWholeOrNotAtAll checks that a gang that is preempted by a job of higher priority is evicted with
// all of its tasks, whichever machines they are on, and that a gang of equal priority is not evicted.
func TestGangIsEvictedWholeOrNotAtAll(t *testing.T) {
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
			t.Errorf("priority %d: %d of the gang's two tasks are evicted, want %d", priority, len(evicted), want)
		}
	}
}

// TestGangPreemptsOnlyIfAllTasksFit checks that a gang preempts tasks of lower priority in one zone only, and only as
// many as it needs for all of its tasks. If evictions cannot make room for the whole gang, nothing is evicted. A plan
// made while the evicted tasks are stopping evicts no more.
func TestGangPreemptsOnlyIfAllTasksFit(t *testing.T) {
	for _, c := range []struct {
		name      string
		tasks     int
		evictions int
	}{{"gang that needs one free machine and two evictions", 4, 2}, {"gang larger than the zone", 7, 0}} {
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
			t.Errorf("%s: %d evictions, want %d; starts %+v, want none", c.name, len(plan.Evictions), c.evictions, plan.Record.Starts)
		}
		for _, eviction := range plan.Evictions {
			if eviction.Placement.Machine == "host-4" {
				t.Errorf("%s: a task in another zone is evicted", c.name)
			}
			eviction.Placement.Stopping = true
		}
		if again := s.plan().Evictions; len(again) > 0 {
			t.Errorf("%s: %d more evictions while the first ones are stopping", c.name, len(again))
		}
	}
}

// TestGangPreemptsWholeGangs checks that a gang evicts gangs of lower priority with all of their tasks, and only as
// many gangs as it needs.
func TestGangPreemptsWholeGangs(t *testing.T) {
	s := newGangFixture(t, "a", "a", "a", "a")
	s.snapshot.Teams["blue"] = config.Team{CPULimit: 40}
	for i := range 2 {
		low := gangSpec(4, 2)
		low.Team, low.Priority = "blue", jobs.PriorityBestEffort
		j := s.addJob(ident.JobID(fmt.Sprintf("wk-00000%d", i+1)), low)
		for k := range ident.TaskIndex(4) {
			// Each gang has two machines to itself.
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

// TestGangReclaimsGuarantee checks that a gang within its team's guarantee reclaims capacity by evicting a whole gang
// of a team that is beyond its own guarantee, but not if the eviction would leave that team below its guarantee.
func TestGangReclaimsGuarantee(t *testing.T) {
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

// TestLostGangTaskIsReplacedUnderSameAttempt checks that a task that a gang lost before any of its tasks ran is
// started again in the gang's zone and under the gang's attempt. The replacement does not go to a machine that still
// remembers an exit of this attempt, since that machine would ignore the start command. A task that may not be
// replaced is not started.
func TestLostGangTaskIsReplacedUnderSameAttempt(t *testing.T) {
	for _, mayReplace := range []bool{true, false} {
		s := newGangFixture(t, "a", "a", "a", "b")
		j := s.addJob("wk-000001", gangSpec(3, 4))
		for i, m := range []ident.MachineID{"host-1", "host-2"} {
			s.place(j, ident.TaskIndex(i), m).State = jobs.PlacementFetching
		}
		s.snapshot.Fleet.RetractPlacement(s.snapshot.Now, s.place(j, 2, "host-3")) // host-3 does not remember an exit of task 2
		if mayReplace {
			s.snapshot.ReplacementAttempts = map[ident.JobID]ident.Attempt{j.ID: 1}
		}
		starts := s.plan().Record.Starts
		if !mayReplace {
			if len(starts) > 0 {
				t.Errorf("starts %+v of a gang whose lost task may not be replaced", starts)
			}
			continue
		}
		if len(starts) != 1 || starts[0].Machine != "host-3" || starts[0].AttemptInRound(5) != 1 || !starts[0].Tasks.Contains(2) {
			t.Errorf("starts %+v, want task 2 on host-3 under attempt 1", starts)
		}
		exited := s.place(j, 2, "host-3")
		s.snapshot.Fleet.ApplyHeartbeat(s.snapshot.Now, &fleet.Heartbeat{Machine: "host-3", Type: "m4", Zone: "a",
			Session: 1, HeartbeatSeq: 2, FencingToken: fixtureEpoch,
			Tasks: []fleet.TaskStatus{{Task: exited.ID(), Attempt: 1, State: fleet.TaskExited, Cause: fleet.ExitNoCapacity}}})
		if starts := s.plan().Record.Starts; len(starts) > 0 {
			t.Errorf("starts %+v on the machine that remembers the exit, or in another zone", starts)
		}
	}
}

// TestGangStartsInChunkedRecord checks that a gang whose starts don't fit into one value of the state service starts
// with a chunked round record if the nodes support chunks, and does not start if they don't.
func TestGangStartsInChunkedRecord(t *testing.T) {
	for values, want := range map[int]int{1: 0, 4: 80} {
		s := newFixture(t)
		s.snapshot.Teams = map[ident.Team]config.Team{"red": {CPULimit: 4000}}
		s.snapshot.ValueBytes, s.snapshot.MaxRoundValues, s.snapshot.MaxJobValues = 2048, values, 4
		for i := range 80 {
			s.addMachine(ident.MachineID(fmt.Sprintf("host-%06d", i)), "a", false)
		}
		s.addJob("wk-000001", gangSpec(80, 3)) // one task per machine
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

// largestGang returns the spec of the largest gang whose records fit the limits with one task on each machine.
func largestGang(limits config.State) jobs.Spec {
	spec := gangSpec(1, 3)
	for roundlog.GangRecordsFit(&spec, 1, 300, limits) {
		spec.Tasks++
	}
	spec.Tasks--
	return spec
}

// TestLargestGangIsPlaced checks that the largest gang that is accepted starts whole with one task on each machine,
// and that its records can be stored. A larger gang is not accepted.
func TestLargestGangIsPlaced(t *testing.T) {
	limits := config.State{MaxValueKB: 2, MaxTxnOps: 4}
	spec := largestGang(limits)
	if spec.Tasks < 100 {
		t.Errorf("the largest gang has %d tasks, want at least 100", spec.Tasks)
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

// TestLargestGangStartsBesideHigherPriorityWork checks that the largest gang starts in the same round as tasks of
// higher priority, however many there are, and does not wait for a round without other starts.
func TestLargestGangStartsBesideHigherPriorityWork(t *testing.T) {
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
		higher := taskSpec("blue", jobs.PriorityProd, others, 3)
		higher.Service = true
		s.addJob("wk-000002", higher)
		plan := s.plan()
		starts := 0
		for _, st := range plan.Record.Starts {
			if st.Job == gang.ID {
				starts++
			}
		}
		if starts != spec.Tasks {
			t.Errorf("beside %d other tasks, %d of the gang's %d tasks start", others, starts, spec.Tasks)
		}
		if _, _, err := plan.Record.Split(2048, 4, kvstore.JSONSize); err != nil {
			t.Error(err)
		}
	}
}

// TestArrayTaskIsPreemptedBeforeGang checks that a task of an array is evicted rather than a gang of the same
// priority, although the gang would write a checkpoint and the work of the array's task is lost.
func TestArrayTaskIsPreemptedBeforeGang(t *testing.T) {
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
		t.Errorf("evictions %+v, want one, of a task of the array", evictions)
	}
}
