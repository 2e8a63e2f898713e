package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/policy"
)

// fixture builds a snapshot for a test and plans it.
type fixture struct {
	snapshot *Snapshot
	jobs     map[ident.JobID]*jobs.Job
}

const (
	leaderStart  = clock.Instant(time.Hour)
	fixtureEpoch = ident.Epoch(10)
)

// newFixture returns a fixture without machines and jobs. It has one machine type with 4 CPUs, two zones, and two
// teams with guarantees and limits.
func newFixture(t interface{ Fatal(...any) }) *fixture {
	defaults, err := policy.Default()
	if err != nil {
		t.Fatal(err)
	}
	s := &fixture{jobs: map[ident.JobID]*jobs.Job{}}
	types := []*fleet.MachineType{{Name: "m4", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, CacheGB: 20,
		HourlyPrice: 0.4, HourlySpotPrice: 0.1, BootTime: 20 * time.Second, Zones: []ident.Zone{"a", "b"}}}
	f := fleet.New(fleet.Timing{HeartbeatInterval: 3 * time.Second, LeaseTTL: 27 * time.Second}, fixtureEpoch, leaderStart,
		func(id ident.JobID) *jobs.Job { return s.jobs[id] })
	f.SetMachineTypes(types)
	s.snapshot = &Snapshot{
		Now:          leaderStart.Add(10 * time.Second),
		RoundNo:      5,
		Epoch:        fixtureEpoch,
		Policy:       defaults,
		Fleet:        f,
		MachineTypes: types,
		Zones:        []ident.Zone{"a", "b"},
		Teams: map[ident.Team]config.Team{
			"red":  {CPUGuarantee: 4, CPULimit: 8},
			"blue": {CPUGuarantee: 8, CPULimit: 8},
		},
		TeamActive:       func(ident.Team) bool { return true },
		OfferUnavailable: func(cloud.Offer) bool { return false },
		MayProvision:     true,
		ValueBytes:       8192,
		SpecJSONSize:     func(*jobs.Job) int { return 300 },
	}
	return s
}

func (s *fixture) addMachine(id ident.MachineID, zone ident.Zone, spot bool) {
	s.snapshot.Fleet.ApplyHeartbeat(s.snapshot.Now, &fleet.Heartbeat{Machine: id, Type: "m4", Zone: zone, Spot: spot,
		Session: 1, HeartbeatSeq: 1, FencingToken: fixtureEpoch})
}

// sendHeartbeat applies a heartbeat in which the machine reports all of its tasks as running.
func (s *fixture) sendHeartbeat(id ident.MachineID) {
	m := s.snapshot.Fleet.Machine(id)
	heartbeat := &fleet.Heartbeat{Machine: id, Type: m.Type, Zone: m.Zone,
		Session: 1, HeartbeatSeq: 2, FencingToken: fixtureEpoch}
	for _, p := range m.LivePlacements() {
		status := fleet.TaskStatus{Task: p.ID(), Attempt: p.Attempt, State: fleet.TaskRunning}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	s.snapshot.Fleet.ApplyHeartbeat(s.snapshot.Now, heartbeat)
}

func (s *fixture) addJob(id ident.JobID, spec jobs.Spec) *jobs.Job {
	j := jobs.NewJob(id, jobs.NewRecord(spec, 0), 1, leaderStart)
	s.jobs[id] = j
	return j
}

func (s *fixture) place(j *jobs.Job, i ident.TaskIndex, m ident.MachineID) *jobs.Placement {
	p := &jobs.Placement{Job: j, Task: i, Machine: m, Session: 1, Attempt: 1, FencingToken: fixtureEpoch,
		State: jobs.PlacementRunning, RunningSince: leaderStart}
	s.snapshot.Fleet.AddPlacement(s.snapshot.Now, p)
	return p
}

func (s *fixture) plan() *Plan {
	s.snapshot.QueuedJobs, s.snapshot.PlacedJobs = nil, nil
	for _, j := range s.jobs {
		if len(j.Queue) > 0 {
			s.snapshot.QueuedJobs = append(s.snapshot.QueuedJobs, j)
		}
		if len(j.Placements) > 0 {
			s.snapshot.PlacedJobs = append(s.snapshot.PlacedJobs, j)
		}
	}
	return PlanRound(s.snapshot)
}

func taskSpec(team ident.Team, priority jobs.Priority, n int, cpus float64) jobs.Spec {
	return jobs.Spec{Team: team, Priority: priority, Tasks: n, CPUs: cpus, MemoryGB: 1, Image: "i", ImageGB: 1,
		EstimatedRunSeconds: 30}
}

// TestEvictedTaskCountsAgainstQuotaUntilExit checks that an evicted task counts against its team's limit until its
// exit is reported. It guards against a fault in which another job of the team used the freed part of the limit in
// the same round, so that the team exceeded its limit.
func TestEvictedTaskCountsAgainstQuotaUntilExit(t *testing.T) {
	s := newFixture(t)
	s.addMachine("host-1", "a", false)
	s.addMachine("host-2", "b", false)
	s.addMachine("host-3", "b", false)
	low := s.addJob("wk-000001", taskSpec("red", jobs.PriorityBestEffort, 2, 4))
	s.place(low, 0, "host-1")
	s.place(low, 1, "host-2") // red is at its limit of 8
	blue := s.addJob("wk-000002", taskSpec("blue", jobs.PriorityProd, 1, 4))
	blue.Spec.Zone = "a"
	s.addJob("wk-000003", taskSpec("red", jobs.PriorityStandard, 1, 4))
	plan := s.plan()
	if len(plan.Evictions) == 0 {
		t.Fatal("no task is evicted for the prod job")
	}
	for _, st := range plan.Record.Starts {
		if st.Job == "wk-000003" {
			t.Errorf("start %+v exceeds the limit of team red", st)
		}
	}
}

// TestMachineWithImageIsPreferred checks that a task starts on a machine that has its image rather than on one that
// would have to fetch it.
func TestMachineWithImageIsPreferred(t *testing.T) {
	s := newFixture(t)
	s.addMachine("host-1", "a", false)
	s.addMachine("host-2", "a", false)
	old := s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 1, 1))
	p := s.place(old, 0, "host-2")
	p.State = jobs.PlacementFetching
	s.snapshot.Fleet.ApplyHeartbeat(s.snapshot.Now, &fleet.Heartbeat{Machine: "host-2", Type: "m4", Zone: "a", Session: 1, HeartbeatSeq: 2,
		Tasks: []fleet.TaskStatus{{Task: p.ID(), Attempt: 1, State: fleet.TaskRunning}}})
	s.addJob("wk-000002", taskSpec("blue", jobs.PriorityStandard, 1, 1))
	plan := s.plan()
	if len(plan.Record.Starts) != 1 || plan.Record.Starts[0].Machine != "host-2" {
		t.Errorf("starts %+v, want one on the machine that holds the image", plan.Record.Starts)
	}
}

// TestHigherPriorityStartsFirst checks that, if there is room for one job only, the job of higher priority starts.
func TestHigherPriorityStartsFirst(t *testing.T) {
	s := newFixture(t)
	s.addMachine("host-1", "a", false)
	s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 1, 4))
	s.addJob("wk-000002", taskSpec("blue", jobs.PriorityProd, 1, 4))
	plan := s.plan()
	if len(plan.Record.Starts) != 1 || plan.Record.Starts[0].Job != "wk-000002" {
		t.Errorf("starts %+v, want the prod job", plan.Record.Starts)
	}
}

// TestNoPreemptionAtEqualPriority checks that a task does not preempt a task of the same priority, unless it reclaims
// its team's guarantee from a team that is beyond its own guarantee.
func TestNoPreemptionAtEqualPriority(t *testing.T) {
	s := newFixture(t)
	s.addMachine("host-1", "a", false)
	low := s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 1, 4)) // within red's guarantee
	s.place(low, 0, "host-1")
	s.addJob("wk-000002", taskSpec("blue", jobs.PriorityStandard, 1, 4))
	if plan := s.plan(); len(plan.Evictions) != 0 {
		t.Errorf("task %v of the same priority is evicted", plan.Evictions[0].Placement.ID())
	}
	// With a second task red is beyond its guarantee, and blue may reclaim its own.
	s.addMachine("host-2", "a", false)
	more := s.addJob("wk-000003", taskSpec("red", jobs.PriorityStandard, 1, 4))
	s.place(more, 0, "host-2")
	if plan := s.plan(); len(plan.Evictions) != 1 {
		t.Errorf("%d evictions, want 1 to give blue its guarantee", len(plan.Evictions))
	}
}

// TestGangStartsWholeOrNotAtAll checks that a gang does not start while only some of its tasks fit. The missing
// machine is provisioned, and the gang starts whole once that machine is up.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newFixture(t)
	s.addMachine("host-1", "a", false)
	spec := taskSpec("blue", jobs.PriorityStandard, 2, 4)
	spec.Gang = true
	s.addJob("wk-000001", spec)
	if plan := s.plan(); len(plan.Record.Starts) != 0 || len(plan.Record.Provisions) != 1 {
		t.Errorf("record %+v, want no start and one provision", plan.Record)
	}
	s.addMachine("host-2", "b", false)
	if plan := s.plan(); len(plan.Record.Starts) != 2 {
		t.Errorf("starts %+v, want both tasks of the gang", plan.Record.Starts)
	}
}

// TestPlanStaysWithinLimits checks on random snapshots that no plan exceeds the limit of a team, the capacity of a
// machine or the size of a record, or violates a job's zone constraints.
func TestPlanStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFixture(t)
		for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
			zone := rapid.SampledFrom([]ident.Zone{"a", "b"}).Draw(t, "zone")
			s.addMachine(ident.MachineID(fmt.Sprintf("host-%d", i)), zone, rapid.Bool().Draw(t, "spot"))
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "jobs") {
			spec := taskSpec(rapid.SampledFrom([]ident.Team{"red", "blue"}).Draw(t, "team"),
				jobs.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				rapid.SampledFrom([]int{1, 2, 5, 100_000}).Draw(t, "tasks"),
				rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "cpus"))
			spec.ZoneSpread = rapid.Bool().Draw(t, "zone spread")
			spec.ZoneAffinity = rapid.Bool().Draw(t, "zone affinity")
			spec.Spot = rapid.Bool().Draw(t, "spot")
			j := s.addJob(ident.JobID(fmt.Sprintf("wk-%06d", i)), spec)
			for _, m := range s.snapshot.Fleet.Machines() {
				if j.Queue.Len() > 0 && rapid.IntRange(0, 3).Draw(t, "occupied") == 0 && s.mayPlace(j, m) {
					s.place(j, j.Queue[0].First, m.ID)
				}
			}
		}
		checkPlanLimits(t, s, s.plan())
	})
}

// mayPlace reports whether another task of the job may be placed on the machine.
func (s *fixture) mayPlace(j *jobs.Job, m *fleet.Machine) bool {
	spec := &j.Spec
	return s.snapshot.Fleet.FreeCapacity(m).Fits(spec.TaskResources()) &&
		spec.AllowsMachine(m.Type, m.Zone, m.Spot) &&
		j.PlacementsByZone[m.Zone] < spec.MaxTasksPerZone() &&
		(!spec.ZoneAffinity || len(j.Placements) == 0) &&
		s.usedCPUs(spec.Team)+spec.CPUs <= s.snapshot.Teams[spec.Team].CPULimit
}

// usedCPUs returns the number of CPUs that the team's placements use.
func (s *fixture) usedCPUs(team ident.Team) float64 {
	sum := 0.0
	for _, j := range s.jobs {
		if j.Spec.Team == team {
			sum += j.Spec.CPUs * float64(len(j.Placements))
		}
	}
	return sum
}

// checkPlanLimits places the tasks that the plan starts and checks all limits on the result.
func checkPlanLimits(t *rapid.T, s *fixture, plan *Plan) {
	if n := plan.Record.MaxJSONSize(); n > s.snapshot.ValueBytes {
		t.Fatalf("the record has %d bytes, more than the %d of a value", n, s.snapshot.ValueBytes)
	}
	for _, st := range plan.Record.Starts {
		j, m := s.jobs[st.Job], s.snapshot.Fleet.Machine(st.Machine)
		if !j.Spec.AllowsMachine(m.Type, m.Zone, m.Spot) {
			t.Fatalf("%v may not run on %s", st, m.ID)
		}
		for i := range st.Tasks.All() {
			if !j.Queue.Contains(i) {
				t.Fatalf("task %d of %s is not queued", i, j.ID)
			}
			s.place(j, i, m.ID)
		}
	}
	for _, m := range s.snapshot.Fleet.Machines() {
		if !s.snapshot.Fleet.FreeCapacity(m).Fits(jobs.Resources{}) {
			t.Fatalf("the capacity of %s is exceeded: free %+v", m.ID, s.snapshot.Fleet.FreeCapacity(m))
		}
	}
	for name, team := range s.snapshot.Teams {
		if used := s.usedCPUs(name); used > team.CPULimit {
			t.Fatalf("team %s uses %v CPUs, more than its limit of %v", name, used, team.CPULimit)
		}
	}
	for _, j := range s.jobs {
		zones := 0
		for _, n := range j.PlacementsByZone {
			if n > 0 {
				zones++
			}
			if j.Spec.ZoneSpread && n > j.Spec.MaxTasksPerZone() {
				t.Fatalf("%s with zone spread has %d tasks in one zone", j.ID, n)
			}
		}
		if j.Spec.ZoneAffinity && zones > 1 {
			t.Fatalf("%s with zone affinity has tasks in %d zones", j.ID, zones)
		}
	}
}

// TestAgedJobReservesMachine checks that a machine is reserved for an aged job whose tasks fit no machine's free
// capacity. It guards against starvation: smaller tasks of higher priority took all capacity as soon as it became
// free, and the job's last tasks started only after four minutes.
func TestAgedJobReservesMachine(t *testing.T) {
	s := newFixture(t)
	s.snapshot.Teams = map[ident.Team]config.Team{"red": {}, "blue": {}}
	for i := range 4 {
		s.addMachine(ident.MachineID(fmt.Sprintf("host-%d", i)), "a", false)
	}
	small := s.addJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 12, 2))
	for i := range 4 { // half of each machine is in use
		s.place(small, ident.TaskIndex(i), ident.MachineID(fmt.Sprintf("host-%d", i)))
	}
	small.AcceptedAtMs = 300_000
	s.addJob("wk-000002", taskSpec("blue", jobs.PriorityBestEffort, 1, 4))
	s.snapshot.WallMs = 320_000
	unstarted := 4 // small tasks that fit the free capacity and don't start
	for _, st := range s.plan().Record.Starts {
		if st.Job == "wk-000001" {
			unstarted--
		}
	}
	if unstarted == 0 {
		t.Error("small tasks take all free capacity before a job that has waited for five minutes")
	}
	if unstarted == 4 {
		t.Error("no small task starts: one aged task reserves all machines")
	}
}
