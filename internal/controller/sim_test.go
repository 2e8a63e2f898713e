package controller

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fake"
	"badgerbay/internal/fleet"
	"badgerbay/internal/policy"
	"badgerbay/internal/quota"
	"badgerbay/internal/rental"
	"badgerbay/internal/standby"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// sim plays nodes against the stand-ins in simulated time: messages take time,
// get lost, come twice or late; nodes crash and start again. It checks the
// rules at every change on a machine.
type sim struct {
	t     *testing.T
	rng   *rand.Rand
	now   unit.Instant
	queue events
	seq   int
	set   *config.Settings
	pol   *policy.Policy
	state *fake.State
	cloud *fake.Cloud
	nodes []*simNode
	jobs  map[unit.JobID]*simJob
	on    map[unit.TaskID]unit.MachineID
	zones map[unit.TaskID]unit.Zone
	// loss is the chance that an answer is lost; dup that a direct command
	// is executed once more, much later.
	loss, dup float64
	cut       map[int]bool // nodes that the workers can't reach
	starts    int
	hung      map[unit.MachineID]unit.Instant // machines that hang, and until when
	deaf      map[unit.MachineID]unit.Instant // machines that nothing reaches, though their reports arrive
	frozen    map[int]unit.Instant            // nodes that stand still while their clocks run on, and until when
	held      []func()                        // what waits for the cut to end
	zoneCut   unit.Zone                       // cut off from everything outside it
	alone     map[int]bool                    // nodes without state service, and what follows from it
	late      float64                         // the chance that a report comes once more, late
	lateBy    time.Duration                   // how late at most
	crashAt   int                             // the leader crashes before this many of its next effects
	electAt   int                             // likewise, any node before a request of its election; it is back at once

	refused    map[int]bool                    // nodes that the state service refuses; the mesh is whole
	meshCut    bool                            // nodes refuse each other's connections
	lateWrites float64                         // the share of transactions that are carried out late, without an answer
	slowState  time.Duration                   // how long the state service takes at most
	slowLoads  time.Duration                   // how long a new leader needs to read the records
	surprise   unit.Instant                    // until when the limits of the state service may be met
	surprised  int                             // how often they were
	before     map[int]bool                    // nodes that don't say their version
	troubled   bool                            // the troubles of the day go on
	linkDelay  time.Duration                   // how much longer messages take, at most
	atEnd      float64                         // the chance that a job is cancelled as its last task ends
	mute       map[unit.MachineID]unit.Instant // machines whose reports reach nobody, though commands reach them
	exits      map[unit.JobID]exitCounts       // of gangs' tasks

	acts                         fake.History  // of those who act as leader
	admissions                   int           // of jobs, by holders
	understated                  time.Duration // what heartbeats seem to claim less than they do
	warmTakeovers, coldTakeovers int           // with a replica, and where it was of no use
}

type simNode struct {
	index int
	zone  unit.Zone
	name  string
	core  *Core
	life  int
	alive bool
	view  unit.Epoch
	rate  float64 // of its steady clock

	holder   *quota.Holder     // nil: it admits nothing
	follower *standby.Follower // nil: it has no replica
	ready    bool              // its replica was complete when last looked at
	machines MachineSnapshot   // that it has listed
}

type simJob struct {
	spec      checkpoint.Spec
	run       time.Duration
	submitted bool
	apart     time.Duration // how much longer each task runs than the one before
	waits     unit.Instant  // since when it waits though it could start; 0: it does not
	seenStart int           // of its tasks, when last looked at
	starts    int
	cancelled unit.Instant // when its user was told
	told      userapi.JobState
	heard     unit.Instant // when its user was last answered
	accepted  unit.Instant
	began     unit.Instant // 0: no task has started
}

type event struct {
	at  unit.Instant
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

type simClock struct {
	s *sim
	n *simNode // nil: true time
}

func (c simClock) Now() unit.Instant {
	if c.n == nil {
		return c.s.now
	}
	return c.n.clock(c.s.now)
}

// dayBegins is when the days of the sim begin, for clocks that run too fast.
const dayBegins = unit.Instant(time.Hour)

// clock is what the node's steady clock shows at a time.
func (n *simNode) clock(now unit.Instant) unit.Instant {
	return dayBegins.Add(time.Duration(float64(now.Sub(dayBegins)) * n.rate))
}
func (c simClock) Wall() time.Time { return time.UnixMilli(1_700_000_000_000 + int64(c.s.now)/1e6) }

func simSettings() *config.Settings {
	return &config.Settings{NodeName: "n0", Params: config.Params{Nodes: 3, Zones: []unit.Zone{"a", "b"},
		Teams:        []config.Team{{Name: "red", CPUGuarantee: 16, CPULimit: 40}, {Name: "blue", CPUGuarantee: 16, CPULimit: 24}},
		Objectives:   []config.Objective{{Kind: "wait", Class: "svc", WithinSeconds: 5}},
		Workers:      config.Workers{HeartbeatSeconds: 3, LeaseSeconds: 27, CancelSeconds: 50, GangWaitSeconds: 20, GangPeerSeconds: 8},
		StateService: config.State{RPS: 80, WriteRPS: 25, MaxValueKB: 8, MaxTxnOps: 8},
		Cloud:        config.Cloud{RPS: 5, ListLagSeconds: 1}}}
}

// warmStandby makes days that name no policy of their own be played with the warm
// standby.
var warmStandby = flag.Bool("warmstandby", false, "play all days with the warm standby")

func newSim(t *testing.T, seed uint64) *sim {
	script := ""
	if *warmStandby {
		script = warmScript
	}
	return newSimOf(t, seed, script)
}

// warmScript enables the warm standby as the operators' page says.
const warmScript = "warm_standby = {}"

// newSimOf returns a sim whose nodes have the policy of a script.
func newSimOf(t *testing.T, seed uint64, script string) *sim {
	pol, err := policy.Parse("sim.star", script)
	if err != nil {
		t.Fatal(err)
	}
	types := []*fleet.MachineType{
		{Name: "small", Capacity: checkpoint.Resources{CPUs: 4, MemoryGB: 16}, HourlyPrice: 0.2, HourlySpotPrice: 0.05, BootTime: 8 * time.Second, Zones: []unit.Zone{"a", "b"}},
		{Name: "large", Capacity: checkpoint.Resources{CPUs: 16, MemoryGB: 64}, HourlyPrice: 0.8, HourlySpotPrice: 0.2, BootTime: 5 * time.Second, Zones: []unit.Zone{"a", "b"}}}
	capacity := map[rental.Offer]int{}
	for _, ty := range types {
		for _, z := range ty.Zones {
			capacity[rental.Offer{Type: ty.Name, Zone: z}] = 3
			capacity[rental.Offer{Type: ty.Name, Zone: z, Spot: true}] = 2
		}
	}
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: dayBegins, set: simSettings(), pol: pol,
		state: fake.NewState(), cloud: fake.NewCloud(types, capacity), jobs: map[unit.JobID]*simJob{},
		on: map[unit.TaskID]unit.MachineID{}, zones: map[unit.TaskID]unit.Zone{}, cut: map[int]bool{},
		hung: map[unit.MachineID]unit.Instant{}, deaf: map[unit.MachineID]unit.Instant{}, alone: map[int]bool{}, frozen: map[int]unit.Instant{},
		refused: map[int]bool{}, mute: map[unit.MachineID]unit.Instant{}, exits: map[unit.JobID]exitCounts{}, lateBy: 40 * time.Second}
	s.cloud.Boot = func() time.Duration { return time.Duration(2+s.rng.IntN(10)) * time.Second }
	s.state.ValueBytes, s.state.TxnOps = s.set.Params.StateService.MaxValueBytes(), s.set.Params.StateService.MaxTxnOps
	for i := range 3 {
		const fastest = 0.0005 // by which steady clocks may be too fast
		rate := 1 + fastest*float64(i)/2
		s.nodes = append(s.nodes, &simNode{index: i, name: fmt.Sprintf("n%d", i), zone: s.set.Params.Zones[i%2], rate: rate})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.every(100*time.Millisecond, s.world)
	s.every(time.Second, s.peers)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) latency() time.Duration {
	d := time.Duration(1+s.rng.IntN(15)) * time.Millisecond
	if s.linkDelay > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.linkDelay)))
	}
	return d
}

func (s *sim) lost() bool { return s.rng.Float64() < s.loss }

// run plays until d has passed.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}
