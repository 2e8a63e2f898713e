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

// simulation plays nodes against the stand-ins in simulated time: messages take time,
// get lost, come twice or late; nodes crash and start again. It checks the
// rules at every change on a machine.
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
	gangExits  map[ident.JobID]gangExitCounts // of gangs' tasks
	// limitViolations is how often the limits of the state service were met in the
	// time in which they may be.
	limitViolations int

	trace                        *wireTrace         // nil: the scenario is not traced
	leaderHistory                fake.LeaderHistory // of those who act as leader
	admissions                   int                // of jobs, by holders
	warmFailovers, coldFailovers int                // with a replica, and where it was of no use
}

type simulatedNode struct {
	index       int
	zone        ident.Zone
	name        string
	core        *Core
	incarnation int
	alive       bool
	epoch       ident.Epoch
	clockRate   float64 // of its steady clock

	holder        *quota.Holder     // nil: it admits nothing
	follower      *standby.Follower // nil: it has no replica
	replicaReady  bool              // its replica was complete when last looked at
	knownMachines MachineSnapshot   // that it has listed
}

type simulatedJob struct {
	spec           jobs.Spec
	runTime        time.Duration
	submitted      bool
	runTimeStep    time.Duration // how much longer each task runs than the one before
	startableSince clock.Instant // since when it waits though it could start; 0: it does not
	startsSeen     int           // of its tasks, when last looked at
	starts         int
	cancelledAt    clock.Instant // when its user was told
	reportedState  api.JobState
	lastAnswerAt   clock.Instant // when its user was last answered
	acceptedAt     clock.Instant
	startedAt      clock.Instant // 0: no task has started
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

// simulationStart is when the scenarios of the simulation begin, for clocks that run too fast.
const simulationStart = clock.Instant(time.Hour)

// steadyTime is what the node's steady clock shows at a time.
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

// allWithWarmStandby makes scenarios that name no policy of their own be played with the warm
// standby.
var allWithWarmStandby = flag.Bool("warmstandby", false, "play all scenarios with the warm standby")

func newSimulation(t *testing.T, seed uint64) *simulation {
	script := ""
	if *allWithWarmStandby {
		script = warmStandbyPolicy
	}
	return newSimulationWithPolicy(t, seed, script)
}

// warmStandbyPolicy enables the warm standby as the operators' page says.
const warmStandbyPolicy = "warm_standby = {}"

// newSimulationWithPolicy returns a simulation whose nodes have the policy of a script.
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
		const fastest = 0.0005 // by which steady clocks may be too fast
		rate := 1 + fastest*float64(i)/2
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

// runFor plays until d has passed.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}
