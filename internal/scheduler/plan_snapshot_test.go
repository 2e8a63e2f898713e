package scheduler

import (
	"fmt"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/policy"
)

// rng is a SplitMix64 random number generator. The golden plans depend on every number that it returns, so it is
// implemented here and does not change with a library.
type rng struct{ state uint64 }

func (g *rng) next() uint64 {
	g.state += 0x9e3779b97f4a7c15
	z := g.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// intN returns a random integer from 0 to n-1.
func (g *rng) intN(n int) int { return int(g.next() % uint64(n)) }

// between returns a random integer from low to high, both included.
func (g *rng) between(low, high int) int { return low + g.intN(high-low+1) }

// percent returns true with a probability of n percent.
func (g *rng) percent(n int) bool { return g.intN(100) < n }

// pick returns one of the choices, each with the same probability.
func pick[T any](g *rng, choices ...T) T { return choices[g.intN(len(choices))] }

// profile is the situation that a generated snapshot emphasizes. It is derived from the seed.
type profile int

const (
	mixed         profile = iota
	crowded               // machines full of low-priority tasks, high-priority jobs queued
	sparse                // a few replicas on each of many machines, hardly any jobs queued
	gangsQueued           // queued gangs beside running ones
	gangTasksLost         // gangs that lost one of their tasks, which may be replaced in most cases
	guaranteed            // teams with guarantees, other teams beyond theirs
	growing               // at most three machines
	agedJobs              // jobs that have waited long
	largeGangs            // small record values, gangs whose records exceed one value
	profileCount
)

// The snapshots are taken at snapshotNow. The leader of the fleet started at snapshotLeaderStart, one hour after the
// zero instant.
const (
	snapshotLeaderStart = clock.Instant(time.Hour)
	snapshotNow         = snapshotLeaderStart + clock.Instant(15*time.Minute)
	snapshotWall        = 1_700_000_000_000 // ms
	snapshotEpoch       = ident.Epoch(10)
)

// snapshotGenerator generates a snapshot from a seed. Its draw methods choose at random. All CPU counts are multiples
// of 0.25, so that sums don't depend on the order of their terms.
type snapshotGenerator struct {
	rng
	profile       profile
	snapshot      *Snapshot
	jobs          map[ident.JobID]*jobs.Job
	zones         []ident.Zone
	types         []*fleet.MachineType
	machines      []*fleet.Machine
	heartbeatSeqs map[ident.MachineID]ident.HeartbeatSeq
}

func newSnapshotGenerator(seed uint64) *snapshotGenerator {
	s := &snapshotGenerator{rng: rng{state: seed * 0x2545f4914f6cdd1d}, profile: profile(seed % uint64(profileCount)),
		jobs: map[ident.JobID]*jobs.Job{}, heartbeatSeqs: map[ident.MachineID]ident.HeartbeatSeq{}}
	s.zones = []ident.Zone{"a", "b", "c"}[:s.between(1, 3)]
	s.types = s.drawTypes()
	f := fleet.New(fleet.Timing{HeartbeatInterval: 3 * time.Second, LeaseTTL: 27 * time.Second}, snapshotEpoch, snapshotLeaderStart,
		func(id ident.JobID) *jobs.Job { return s.jobs[id] })
	f.SetMachineTypes(s.types)
	s.snapshot = &Snapshot{Now: snapshotNow, WallMs: snapshotWall, RoundNo: ident.RoundNo(s.between(20, 2000)), Epoch: snapshotEpoch,
		Fleet: f, MachineTypes: s.types, Zones: s.zones, Teams: s.drawTeams(), Objectives: s.drawObjectives(),
		MayDrain: s.percent(80), MayProvision: s.percent(85), Policy: s.drawPolicy(),
		ValueBytes: pick(&s.rng, 8192, 65536), MaxJobValues: 1, MaxRoundValues: 1,
		SpecJSONSize: func(*jobs.Job) int { return 300 }, ReplacementAttempts: map[ident.JobID]ident.Attempt{}}
	if s.profile == sparse {
		s.snapshot.MayDrain, s.snapshot.Policy.SpareTasks = true, s.intN(3)
	}
	if s.profile == largeGangs {
		s.snapshot.ValueBytes, s.snapshot.MaxJobValues, s.snapshot.MaxRoundValues = 2048, 4, pick(&s.rng, 1, 4, 4)
	}
	s.drawAvailability()
	s.drawMachines()
	s.drawPlacedJobs()
	s.drawQueuedJobs()
	s.drawTypicalSpecs()
	s.drawReservations()
	s.drawPendingMachines()
	s.drawStates()
	return s
}

func (s *snapshotGenerator) drawTypes() []*fleet.MachineType {
	all := []*fleet.MachineType{
		{Name: "m4", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, CacheGB: 20, FetchGBps: 1,
			HourlyPrice: 0.4, HourlySpotPrice: 0.1, BootTime: 20 * time.Second},
		{Name: "c16", Capacity: jobs.Resources{CPUs: 16, MemoryGB: 32}, CacheGB: 60, FetchGBps: 0.5,
			HourlyPrice: 1.3, HourlySpotPrice: 0.5, BootTime: 30 * time.Second, Zones: s.zones},
		{Name: "g8", Capacity: jobs.Resources{CPUs: 8, GPUs: 2, MemoryGB: 64}, CacheGB: 90, FetchGBps: 0.25,
			HourlyPrice: 4, HourlySpotPrice: 1, BootTime: 45 * time.Second, Zones: s.zones[:1]},
		{Name: "x64", Capacity: jobs.Resources{CPUs: 64, MemoryGB: 256},
			HourlyPrice: 5, HourlySpotPrice: 2.5, BootTime: 60 * time.Second},
	}
	if s.profile == largeGangs {
		return all[:s.between(1, 2)]
	}
	return all[:s.between(1, len(all))]
}

func (s *snapshotGenerator) drawTeams() map[ident.Team]config.Team {
	teams := map[ident.Team]config.Team{}
	for _, name := range []ident.Team{"red", "blue", "green"} {
		var team config.Team
		if s.profile == guaranteed || s.percent(25) {
			team.CPUGuarantee, team.GPUGuarantee = float64(pick(&s.rng, 0, 8, 16, 32)), float64(pick(&s.rng, 0, 2, 4))
		}
		if s.percent(40) {
			team.CPULimit = team.CPUGuarantee + float64(pick(&s.rng, 8, 24, 64))
		}
		if s.percent(20) {
			team.GPULimit = team.GPUGuarantee + float64(pick(&s.rng, 2, 6))
		}
		if s.profile == guaranteed && s.percent(40) {
			team.CPUGuarantee *= 8 // exceeds the capacity of the machines
		}
		teams[name] = team
	}
	return teams
}

var classes = []ident.Class{"web", "batch", "train", "report"}

func (s *snapshotGenerator) drawObjectives() map[ident.Class]Objectives {
	objectives := map[ident.Class]Objectives{}
	for _, class := range classes {
		var o Objectives
		if s.percent(40) {
			o = o.With("wait", time.Duration(pick(&s.rng, 5, 12, 40, 120))*time.Second)
		}
		for s.percent(35) {
			o = o.With("finished", time.Duration(pick(&s.rng, 60, 110, 250, 600))*time.Second)
		}
		if !o.IsEmpty() {
			objectives[class] = o
		}
	}
	return objectives
}

func (s *snapshotGenerator) drawPolicy() *policy.Policy {
	return &policy.Policy{PreemptionDelay: time.Duration(pick(&s.rng, 0, 10, 60)) * time.Second,
		SpareTasks: pick(&s.rng, 0, 2, 5), GuaranteeShare: pick(&s.rng, 0.5, 1, 1, 1.5), PreferSpot: s.percent(70)}
}

// drawAvailability draws which offers are unavailable and which teams are active.
func (s *snapshotGenerator) drawAvailability() {
	unavailable := map[cloud.Offer]bool{}
	for _, t := range s.types {
		for _, z := range s.zones {
			for _, spot := range []bool{true, false} {
				unavailable[cloud.Offer{Type: t.Name, Zone: z, Spot: spot}] = s.percent(15)
			}
		}
	}
	s.snapshot.OfferUnavailable = func(o cloud.Offer) bool { return unavailable[o] }
	active := map[ident.Team]bool{"red": s.percent(80), "blue": s.percent(80), "green": s.percent(80)}
	s.snapshot.TeamActive = func(team ident.Team) bool { return active[team] }
}

func (s *snapshotGenerator) drawMachines() {
	n := s.between(2, 24)
	switch s.profile {
	case growing:
		n = s.between(0, 3)
	case sparse:
		n = s.between(4, 80)
	case guaranteed:
		n = s.between(1, 16)
	case largeGangs:
		n = s.between(60, 160)
	}
	for i := range n {
		t := pick(&s.rng, s.types...)
		heartbeat := &fleet.Heartbeat{Machine: ident.MachineID(fmt.Sprintf("host-%06d", (i*7919+13)%1_000_000)), Type: t.Name,
			Zone: pick(&s.rng, t.AvailableZones(s.zones)...), Spot: s.percent(40)}
		at := snapshotNow - clock.Instant(s.between(0, 3000))*clock.Instant(time.Millisecond)
		if s.percent(4) {
			at -= clock.Instant(10 * time.Second) // the machine has missed heartbeats
		}
		s.machines = append(s.machines, s.sendHeartbeat(at, heartbeat))
	}
}

// sendHeartbeat applies the next heartbeat of a machine to the fleet and returns the machine. The first heartbeat
// registers the machine.
func (s *snapshotGenerator) sendHeartbeat(at clock.Instant, heartbeat *fleet.Heartbeat) *fleet.Machine {
	s.heartbeatSeqs[heartbeat.Machine]++
	heartbeat.Session, heartbeat.HeartbeatSeq, heartbeat.FencingToken = 1, s.heartbeatSeqs[heartbeat.Machine], snapshotEpoch
	s.snapshot.Fleet.ApplyHeartbeat(at, heartbeat)
	return s.snapshot.Fleet.Machine(heartbeat.Machine)
}

// reportTasks applies a heartbeat in which the machine reports the placements as tasks in the given state.
func (s *snapshotGenerator) reportTasks(m *fleet.Machine, state fleet.TaskState, placements ...*jobs.Placement) {
	heartbeat := &fleet.Heartbeat{Machine: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	for _, p := range placements {
		status := fleet.TaskStatus{Task: p.ID(), Attempt: p.Attempt, State: state, Cause: fleet.ExitStopped}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	s.sendHeartbeat(m.LastHeartbeat, heartbeat)
}

// drawSpec draws the spec of a job.
func (s *snapshotGenerator) drawSpec() jobs.Spec {
	g := &s.rng
	spec := jobs.Spec{Class: pick(g, classes...), Team: pick(g, ident.Team("red"), "blue", "green"),
		Priority: pick(g, jobs.PriorityBestEffort, jobs.PriorityStandard, jobs.PriorityStandard, jobs.PriorityHigh, jobs.PriorityProd),
		Tasks:    pick(g, 1, 2, 3, 5, 8, 20), CPUs: pick(g, 0.25, 0.5, 1, 1, 2, 4), MemoryGB: pick(g, 0.3, 1, 1.7, 4),
		Image: pick(g, ident.Image("img-1"), "img-2", "img-3"), ImageGB: pick(g, 0.5, 2, 9), EstimatedRunSeconds: pick(g, 0.0, 20, 50, 120),
		Spot: s.percent(60), ZoneAffinity: s.percent(15), ZoneSpread: s.percent(15)}
	spec.Service = s.percent(25)
	if s.percent(10) && len(s.types) > 2 { // the third type has GPUs
		spec.GPUs = 1
	}
	if s.percent(15) {
		spec.Zone = pick(g, s.zones...)
	}
	if s.percent(15) {
		spec.MachineTypes = append(spec.MachineTypes, pick(g, s.types...).Name, s.types[0].Name)
	}
	if s.percent(35) {
		spec.CheckpointIntervalSeconds, spec.CheckpointSeconds = pick(g, 10.0, 30), pick(g, 1.0, 3, 8)
	}
	if s.percent(25) {
		spec.DeadlineSeconds = pick(g, 60.0, 200, 900)
	}
	if !spec.Service && s.percent(20) {
		spec = asGang(g, spec)
	}
	return spec
}

// asGang returns the spec changed to that of a gang of two to six tasks.
func asGang(g *rng, spec jobs.Spec) jobs.Spec {
	spec.Gang, spec.Service, spec.ZoneSpread = true, false, false
	spec.ZoneAffinity = g.percent(70)
	spec.Tasks = g.between(2, 6)
	return spec
}

// addJob adds a job that was accepted secondsAgo seconds before the snapshot, with all of its tasks queued.
func (s *snapshotGenerator) addJob(spec jobs.Spec, secondsAgo int) *jobs.Job {
	id := ident.JobID(fmt.Sprintf("wk-%06d", len(s.jobs)+1))
	j := jobs.NewJob(id, jobs.NewRecord(spec, snapshotWall-int64(secondsAgo)*1000), 1, snapshotLeaderStart)
	j.QueuedSince = snapshotNow - clock.Instant(s.between(0, min(secondsAgo, 800)))*clock.Instant(time.Second)
	s.jobs[id] = j
	return j
}

// drawPlacedJobs adds jobs and places their tasks on the machines.
func (s *snapshotGenerator) drawPlacedJobs() {
	n := s.between(0, 10)
	switch s.profile {
	case crowded, guaranteed, gangTasksLost:
		n = s.between(8, 16)
	case sparse:
		n = s.between(3, 40)
	case largeGangs:
		n = s.between(0, 3)
	case growing:
		n = 2
	}
	noneQueued := (s.profile == sparse || s.profile == guaranteed) && s.percent(70)
	for range n {
		spec := s.drawSpec()
		switch s.profile {
		case crowded:
			spec.Priority = pick(&s.rng, jobs.PriorityBestEffort, jobs.PriorityStandard)
			spec.Tasks = s.between(3, 12)
		case sparse:
			spec.Service, spec.Gang = s.percent(85), false
			spec.Tasks, spec.CPUs = s.between(1, 4), pick(&s.rng, 0.25, 0.5, 1)
			spec.Priority = jobs.PriorityHigh
			spec.Zone, spec.GPUs, spec.Image = "", 0, pick(&s.rng, ident.Image("img-1"), "img-1", "img-2")
		case gangTasksLost:
			if s.percent(60) {
				spec = asGang(&s.rng, spec)
			}
		case guaranteed:
			spec.Team = pick(&s.rng, ident.Team("red"), "red", "blue")
			spec.Tasks = s.between(4, 16)
		}
		j := s.addJob(spec, s.between(20, 400))
		s.placeQueuedTasks(j)
		if noneQueued {
			j.Queue = nil
		}
	}
}

// placeQueuedTasks places queued tasks of a job where they fit. A gang is placed whole or not at all.
func (s *snapshotGenerator) placeQueuedTasks(j *jobs.Job) {
	attempt := ident.Attempt(s.between(1, 15))
	placePercent := s.between(30, 100)
	var placed []*jobs.Placement
	for j.Queue.Len() > 0 {
		m := s.findMachine(j)
		if s.percent(1) {
			// A round record names this machine, but it has sent no heartbeat, so its zone is unknown.
			m = s.snapshot.Fleet.Ensure(snapshotNow, "host-unheard")
		}
		if m == nil || !j.Spec.Gang && !s.percent(placePercent) {
			break
		}
		p := &jobs.Placement{Job: j, Task: j.Queue[0].First, Machine: m.ID, Session: m.Session, Attempt: attempt,
			FencingToken: snapshotEpoch, PlacedAt: snapshotNow - clock.Instant(s.between(0, 300))*clock.Instant(time.Second)}
		s.snapshot.Fleet.AddPlacement(p.PlacedAt, p)
		placed = append(placed, p)
	}
	if j.Spec.Gang && j.Queue.Len() > 0 {
		for _, p := range placed {
			s.snapshot.Fleet.RetractPlacement(snapshotNow, p)
		}
		return
	}
	if j.Spec.Gang && s.profile == gangTasksLost && len(placed) > 1 && s.percent(70) {
		s.loseTask(j, placed)
	}
}

// loseTask ends one task of a gang. It draws whether the task's machine remembers the exit, and whether the task may
// be replaced.
func (s *snapshotGenerator) loseTask(j *jobs.Job, placed []*jobs.Placement) {
	lost := pick(&s.rng, placed...)
	if s.percent(50) {
		s.snapshot.Fleet.RetractPlacement(snapshotNow, lost)
	} else {
		m := s.snapshot.Fleet.Machine(lost.Machine)
		s.reportTasks(m, "exited", lost)
	}
	if s.percent(80) {
		s.snapshot.ReplacementAttempts[j.ID] = lost.Attempt
	}
}

// findMachine returns a machine that has room for a task of the job and that the job allows, or nil if there is none.
// The search starts at a random machine.
func (s *snapshotGenerator) findMachine(j *jobs.Job) *fleet.Machine {
	if len(s.machines) == 0 {
		return nil
	}
	first := s.intN(len(s.machines))
	for i := range s.machines {
		m := s.machines[(first+i)%len(s.machines)]
		if s.snapshot.Fleet.FreeCapacity(m).Fits(j.Spec.TaskResources()) &&
			j.Spec.AllowsMachine(m.Type, m.Zone, m.Spot) &&
			j.PlacementsByZone[m.Zone] < j.Spec.MaxTasksPerZone() &&
			(!j.Spec.ZoneAffinity || len(j.Placements) == j.PlacementsByZone[m.Zone]) {
			return m
		}
	}
	return nil
}

// drawQueuedJobs adds jobs with queued tasks and no placements.
func (s *snapshotGenerator) drawQueuedJobs() {
	n := s.between(1, 8)
	switch s.profile {
	case sparse:
		n = s.between(0, 1)
	case guaranteed:
		n = max(0, s.between(-3, 3))
	}
	for range n {
		spec, secondsAgo := s.drawSpec(), pick(&s.rng, 0, 1, 15, 50, 100, 150, 200, 500)
		switch s.profile {
		case crowded:
			spec.Priority = pick(&s.rng, jobs.PriorityStandard, jobs.PriorityHigh, jobs.PriorityProd)
		case gangsQueued, largeGangs:
			if s.percent(75) {
				spec = asGang(&s.rng, spec)
			}
			if s.profile == largeGangs && spec.Gang {
				spec.CPUs, spec.Tasks, spec.ZoneAffinity = pick(&s.rng, 2.0, 4), s.between(40, 120), s.percent(20)
				spec.MachineTypes, spec.Zone, spec.GPUs = nil, "", 0
			}
		case guaranteed:
			spec.Team = pick(&s.rng, ident.Team("blue"), "green")
		case agedJobs:
			spec.Gang, spec.Service = false, s.percent(10)
			spec.Priority = pick(&s.rng, jobs.PriorityBestEffort, jobs.PriorityStandard)
			secondsAgo = pick(&s.rng, 20, 130, 145, 175, 190, 600)
		}
		s.drawHistory(s.addJob(spec, secondsAgo))
	}
}

// drawHistory adds earlier events to a queued job, each with some probability: a completed task, a started task, its
// last placement, and a machine that it avoids after a failure.
func (s *snapshotGenerator) drawHistory(j *jobs.Job) {
	if !j.Spec.Gang && j.Spec.Tasks > 2 && s.percent(25) {
		j.CompleteTask(snapshotNow, ident.TaskIndex(s.intN(j.Spec.Tasks)))
	}
	if !j.Spec.Gang && s.percent(20) {
		j.StartedTasks.Add(ident.TaskIndex(s.intN(j.Spec.Tasks)))
	}
	if s.percent(20) {
		j.LastPlacedAt = snapshotNow - clock.Instant(s.between(1, 120))*clock.Instant(time.Second)
	}
	if len(s.machines) > 0 && s.percent(15) {
		failedOn := pick(&s.rng, s.machines...).ID
		until := snapshotNow + clock.Instant(pick(&s.rng, -1, 5))*clock.Instant(time.Second)
		j.AvoidUntil = map[ident.MachineID]clock.Instant{failedOn: until}
	}
}

// drawTypicalSpecs draws which classes have a typical spec, these specs, and for which of the specs spare capacity is
// kept.
func (s *snapshotGenerator) drawTypicalSpecs() {
	for _, class := range classes {
		spec := s.drawSpec()
		spec.Class, spec.Gang = class, false
		if s.percent(60) || s.profile == guaranteed {
			s.snapshot.TypicalSpecs = append(s.snapshot.TypicalSpecs, &spec)
			if s.profile != guaranteed && s.percent(30) {
				s.snapshot.SpareSpecs = append(s.snapshot.SpareSpecs, &spec)
			}
		}
	}
}

// drawReservations draws how much of each team's limit other nodes have reserved.
func (s *snapshotGenerator) drawReservations() {
	if !s.percent(30) {
		return
	}
	s.snapshot.Reserved = map[ident.Team]jobs.Resources{}
	for _, team := range []ident.Team{"red", "blue", "green"} {
		if s.percent(60) {
			s.snapshot.Reserved[team] = jobs.Resources{CPUs: float64(s.between(1, 12)), GPUs: float64(s.between(0, 2))}
		}
	}
	reserved := s.between(0, 4)
	s.snapshot.ReservedTasks = func(j *jobs.Job) int { return min(reserved, j.Spec.Tasks) }
}

// drawPendingMachines adds up to five machines that are being provisioned.
func (s *snapshotGenerator) drawPendingMachines() {
	for range s.between(0, 5) {
		if s.percent(50) {
			t := pick(&s.rng, s.types...)
			zone := pick(&s.rng, t.AvailableZones(s.zones)...)
			pending := PendingMachine{Offer: cloud.Offer{Type: t.Name, Zone: zone, Spot: s.percent(50)}}
			s.snapshot.PendingMachines = append(s.snapshot.PendingMachines, pending)
		}
	}
}

// drawStates draws the states of the placements and machines, and fills the snapshot's lists of jobs.
func (s *snapshotGenerator) drawStates() {
	for _, m := range s.machines {
		s.drawPlacementStates(m)
		switch {
		case !s.percent(8):
		case s.percent(25):
			m.InterruptionAt = snapshotNow + clock.Instant(20*time.Second)
		case s.percent(33):
			m.Quarantined = true
		case s.percent(50):
			m.Draining = true
		default:
			m.Deprovisioning = true
		}
	}
	for i := range len(s.jobs) {
		j := s.jobs[ident.JobID(fmt.Sprintf("wk-%06d", i+1))]
		if len(j.Placements) > 0 {
			s.snapshot.PlacedJobs = append(s.snapshot.PlacedJobs, j)
		}
		if len(j.Queue) > 0 {
			s.snapshot.QueuedJobs = append(s.snapshot.QueuedJobs, j)
		}
	}
}

// drawPlacementStates draws for each live placement of a machine whether it is fetching its image or running, and
// whether it is stopping.
func (s *snapshotGenerator) drawPlacementStates(m *fleet.Machine) {
	var running []*jobs.Placement
	live := m.LivePlacements()
	for _, p := range live {
		p.State = jobs.PlacementFetching
		if s.percent(85) {
			running = append(running, p)
		}
	}
	if len(running) > 0 {
		s.reportTasks(m, "running", running...)
	}
	for _, p := range live {
		if p.State == jobs.PlacementRunning {
			p.RunningSince = snapshotNow - clock.Instant(s.between(0, 400))*clock.Instant(time.Second)
		}
		if s.percent(6) {
			s.snapshot.Fleet.StopPlacement(snapshotNow, p, 0)
		}
	}
}
