package controller

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/config"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/policy"
	"badgerbay/internal/quota"
	"badgerbay/internal/standby"
)

// simulation runs nodes against fakes of the state service, the cloud and the workers in simulated time. Messages have
// latency and may be lost, duplicated or delayed, and nodes may crash and restart. It checks the invariants whenever a
// task starts on a machine, and every 100 ms.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      clock.Instant
	queue    eventQueue
	nextSeq  int
	settings *config.Settings
	policy   *policy.Policy
	store    *fake.KVStore
	cloud    *fake.Cloud
	nodes    []*simulatedNode
	jobs     map[ident.JobID]*simulatedJob
	running  *taskTable
	faults
	taskStarts int
	gangExits  map[ident.JobID]gangExitCounts
	// limitViolations counts the writes beyond the limits of the state service that were found before
	// limitGraceUntil, when they are permitted.
	limitViolations int

	trace                        *wireTrace         // nil: the scenario is not traced
	leaderHistory                fake.LeaderHistory // the actions that nodes take as leader
	admissions                   int                // jobs admitted by quota holders
	warmFailovers, coldFailovers int                // failovers with a replica: used, and unusable
}

type simulatedNode struct {
	index       int
	zone        ident.Zone
	name        string
	core        *Core
	incarnation int
	alive       bool
	epoch       ident.Epoch
	clockRate   float64 // rate of its steady clock relative to true time

	holder        *quota.Holder     // nil: the node admits no jobs
	follower      *standby.Follower // nil: the node has no replica
	replicaReady  bool              // the replica was complete at the last check
	knownMachines MachineSnapshot   // machines in the last list that it read as follower
}

type simulatedJob struct {
	spec              jobs.Spec
	runTime           time.Duration
	submitted         bool
	runTimeStep       time.Duration // added to runTime once for each lower task index
	startableSince    clock.Instant // start of the time in which it waits though a task could start; 0: none
	startsAtLastCheck int           // value of starts at the last check
	starts            int           // task starts
	cancelledAt       clock.Instant // when its user first received the status cancelled; 0: not yet
	reportedState     api.JobState
	lastStatusAt      clock.Instant // when its user last received its status
	acceptedAt        clock.Instant
	startedAt         clock.Instant // 0: no task has started
}

type event struct {
	at  clock.Instant
	seq int
	do  func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type simulatedClock struct {
	sim  *simulation
	node *simulatedNode // nil: true time
}

func (c simulatedClock) Now() clock.Instant {
	if c.node == nil {
		return c.sim.now
	}
	return c.node.steadyTime(c.sim.now)
}

// simulationStart is the time at which scenarios begin. The steady clocks of all nodes are equal at this time and drift
// apart from there.
const simulationStart = clock.Instant(time.Hour)

// steadyTime returns the reading of the node's steady clock at a true time.
func (n *simulatedNode) steadyTime(now clock.Instant) clock.Instant {
	return simulationStart.Add(time.Duration(float64(now.Sub(simulationStart)) * n.clockRate))
}
func (c simulatedClock) Wall() time.Time {
	return time.UnixMilli(1_700_000_000_000 + int64(c.sim.now)/1e6)
}

func simulationSettings() *config.Settings {
	return &config.Settings{NodeName: "n0", Params: config.Params{Nodes: 3, Zones: []ident.Zone{"a", "b"},
		Teams:        []config.Team{{Name: "red", CPUGuarantee: 16, CPULimit: 40}, {Name: "blue", CPUGuarantee: 16, CPULimit: 24}},
		Objectives:   []config.Objective{{Kind: "wait", Class: "svc", WithinSeconds: 5}},
		Workers:      config.Workers{HeartbeatSeconds: 3, LeaseSeconds: 27, CancelSeconds: 50, GangWaitSeconds: 20, GangPeerSeconds: 8},
		StateService: config.State{RPS: 80, WriteRPS: 25, MaxValueKB: 8, MaxTxnOps: 8},
		Cloud:        config.Cloud{RPS: 5, ListLagSeconds: 1}}}
}

// allWithWarmStandby enables the warm standby in all scenarios that don't set a policy of their own.
var allWithWarmStandby = flag.Bool("warmstandby", false, "run all scenarios that set no policy of their own with the warm standby")

func newSimulation(t *testing.T, seed uint64) *simulation {
	script := ""
	if *allWithWarmStandby {
		script = warmStandbyPolicy
	}
	return newSimulationWithPolicy(t, seed, script)
}

// warmStandbyPolicy is the policy script that enables the warm standby, as documented for operators.
const warmStandbyPolicy = "warm_standby = {}"

// newSimulationWithPolicy returns a simulation whose nodes use the policy of a script.
func newSimulationWithPolicy(t *testing.T, seed uint64, script string) *simulation {
	pol, err := policy.Parse("sim.star", script)
	if err != nil {
		t.Fatal(err)
	}
	types := []*fleet.MachineType{
		{Name: "small", Capacity: jobs.Resources{CPUs: 4, MemoryGB: 16}, HourlyPrice: 0.2, HourlySpotPrice: 0.05, BootTime: 8 * time.Second, Zones: []ident.Zone{"a", "b"}},
		{Name: "large", Capacity: jobs.Resources{CPUs: 16, MemoryGB: 64}, HourlyPrice: 0.8, HourlySpotPrice: 0.2, BootTime: 5 * time.Second, Zones: []ident.Zone{"a", "b"}}}
	capacity := map[cloud.Offer]int{}
	for _, ty := range types {
		for _, z := range ty.Zones {
			capacity[cloud.Offer{Type: ty.Name, Zone: z}] = 3
			capacity[cloud.Offer{Type: ty.Name, Zone: z, Spot: true}] = 2
		}
	}
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: simulationStart, settings: simulationSettings(), policy: pol,
		store: fake.NewKVStore(), cloud: fake.NewCloud(types, capacity), jobs: map[ident.JobID]*simulatedJob{},
		running: newTaskTable(), faults: noFaults(), gangExits: map[ident.JobID]gangExitCounts{}}
	s.cloud.BootTime = func() time.Duration { return time.Duration(2+s.rng.IntN(10)) * time.Second }
	s.store.MaxValueBytes, s.store.MaxTxnOps = s.settings.Params.StateService.MaxValueBytes(), s.settings.Params.StateService.MaxTxnOps
	for i := range 3 {
		const maxClockRateError = 0.0005 // steady clocks run at most this fraction too fast
		rate := 1 + maxClockRateError*float64(i)/2
		s.nodes = append(s.nodes, &simulatedNode{index: i, name: fmt.Sprintf("n%d", i), zone: s.settings.Params.Zones[i%2], clockRate: rate})
	}
	s.traceToFile()
	for _, n := range s.nodes {
		s.startNode(n)
	}
	s.scheduleEvery(100*time.Millisecond, s.advanceEnvironment)
	s.scheduleEvery(time.Second, s.pollPeers)
	return s
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.nextSeq++
	heap.Push(&s.queue, event{s.now.Add(d), s.nextSeq, do})
}

func (s *simulation) scheduleEvery(d time.Duration, do func()) {
	s.schedule(d, func() { do(); s.scheduleEvery(d, do) })
}

func (s *simulation) latency() time.Duration {
	d := time.Duration(1+s.rng.IntN(15)) * time.Millisecond
	if s.maxExtraLatency > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.maxExtraLatency)))
	}
	return d
}

func (s *simulation) isLost() bool { return s.rng.Float64() < s.lossProbability }

// runFor processes events until d has passed.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}
