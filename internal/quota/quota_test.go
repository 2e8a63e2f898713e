package quota

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fake"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/kvstore"
)

var oneTeam = map[ident.Team]config.Team{"red": {Name: "red", CPUGuarantee: 2, CPULimit: 4}}

// cluster is holders and a leader around one state service. Its lock stands for that of
// the service; every change is checked as it is made.
type cluster struct {
	mu           sync.Mutex
	store        *fake.KVStore
	teams        map[ident.Team]config.Team
	now          clock.Instant
	finishedJobs map[ident.JobID]bool // jobs that are over
	violation    error
	holders      []*testHolder
	allocator    *Allocator
	responses    map[string]*AllocationResponse // that wait for their holders
	// leaderWaiting names the holders whose requests a concurrent leader has not
	// answered yet.
	leaderWaiting map[string]bool
}

type testHolder struct {
	node   string
	holder *Holder
}

func newCluster(holders int, teams map[ident.Team]config.Team) *cluster {
	g := &cluster{store: fake.NewKVStore(), teams: teams, now: clock.Instant(time.Hour), finishedJobs: map[ident.JobID]bool{}, responses: map[string]*AllocationResponse{}, leaderWaiting: map[string]bool{}}
	for i := range holders {
		g.holders = append(g.holders, &testHolder{node: fmt.Sprintf("n%d", i)})
		g.restart(i)
	}
	g.elect()
	return g
}

func (g *cluster) restart(i int) {
	g.holders[i].holder = NewHolder(g.holders[i].node, 8<<10)
}

// elect lets a new leader begin.
func (g *cluster) elect() {
	epoch, _ := g.commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: "leader"}}})
	ledger, err := NewAllocator(g.teams, true, ident.Epoch(epoch))
	if err != nil {
		panic(err)
	}
	g.allocator = ledger
}

// commit carries out a transaction and checks what is stored then.
func (g *cluster) commit(t kvstore.Txn) (ident.Revision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, err := g.store.Commit(t)
	if err == nil && g.violation == nil {
		items, _, _ := g.store.List(KeyPrefix)
		g.violation = CheckInvariants(items, g.teams)
	}
	return v, err
}

func (g *cluster) list() []kvstore.KeyValue {
	g.mu.Lock()
	defer g.mu.Unlock()
	items, _, _ := g.store.List(KeyPrefix)
	return items
}

func (g *cluster) revisionOf(key string) ident.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	item, _ := g.store.Get(key)
	return item.ModRevision
}

// stepHolder gives a holder an input and carries out what it asks for, but for asks, which
// are returned.
func (g *cluster) stepHolder(m *testHolder, now clock.Instant, in HolderInput) (asks []AllocationRequest) {
	for _, e := range m.holder.Step(now, in) {
		switch e := e.(type) {
		case Register:
			key := HolderKey(e.Node)
			v, _ := g.commit(kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, ModRevision: g.revisionOf(key)}}, Operations: []kvstore.Operation{{SetKey: key, Value: e.Node}}})
			asks = append(asks, g.stepHolder(m, now, RegistrationDone{ModRevision: v})...)
		case StoreReservations:
			v, err := g.commit(kvstore.Txn{Conditions: e.Conditions, Operations: []kvstore.Operation{{SetKey: e.Key, Value: e.Record}}})
			out := StoreDone{ModRevision: v}
			if conflict := (*kvstore.ConflictError)(nil); errors.As(err, &conflict) {
				out.Outcome = StoreFailed
				for _, key := range conflict.FailedKeys {
					if key == election.LeaderKey && out.Outcome != StoreFenced {
						out.Outcome = StoreLeaderChanged
					}
					if key == e.Conditions[0].Key {
						out.Outcome = StoreFenced
					}
				}
			}
			asks = append(asks, g.stepHolder(m, now, out)...)
		case SendRequest:
			asks = append(asks, e.Request)
		}
	}
	return asks
}

func (g *cluster) usage() JobUsage {
	return JobUsage{Uncovered: func(ident.Team) Quantity { return Quantity{} }, RemainingTasks: func(id ident.JobID) (int, bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.finishedJobs[id] {
			return 0, true
		}
		return 100, true
	}}
}

// stepLeader lets the leader do what is due.
func (g *cluster) stepLeader(now clock.Instant, answer func(Reply)) {
	if g.allocator.BeginReadIfDue(now) {
		if err := g.allocator.Load(now, g.allocator.epoch, g.list(), true); err != nil {
			panic(err)
		}
	}
	txn, replies := g.allocator.Step(now, g.usage(), true, 6)
	if txn != nil {
		v, err := g.commit(*txn)
		replies = append(replies, g.allocator.CompleteChange(now, err == nil, v, g.usage())...)
	}
	for _, r := range replies {
		answer(r)
	}
}

var quotaSteps = flag.Int("quotasteps", 6, "steps of which TestLastUnits plays every order")

// TestLastUnits lets two and three holders, and a leader, act in every order of some
// steps, with answers lost, late and doubled, holders that return under their names and
// leaders that change in between: more than the limit is never allotted or reserved.
func TestLastUnits(t *testing.T) {
	for holders := 2; holders <= 3; holders++ {
		steps := *quotaSteps + 2 - holders
		admitted, contended := 0, 0
		eachOrder(holders, steps, func(order int, g *cluster) {
			g.play(order, holders+4, steps)
			if g.violation != nil {
				t.Fatalf("order %d of %d holders: %v", order, holders, g.violation)
			}
			if n := g.admitted(); n > 0 {
				admitted++
			}
			if g.allocator.Allocated("red").MilliCPU >= 3000 {
				contended++
			}
		})
		if admitted == 0 || contended == 0 {
			t.Errorf("%d holders: something was admitted in %d orders, and most was allotted in %d", holders, admitted, contended)
		}
	}
}

// eachOrder begins anew for each order of the steps.
func eachOrder(holders, steps int, play func(order int, g *cluster)) {
	orders := 1
	for range steps {
		orders *= holders + 4
	}
	for order := range orders {
		play(order, newCluster(holders, oneTeam))
	}
}

func (g *cluster) admitted() int {
	sum := 0
	for _, m := range g.holders {
		sum += m.holder.admitted
	}
	return sum
}

// TestCheckInvariantsFindsOvershoot: were the leader to allot more than the limit, the check of
// what is stored would show it.
func TestCheckInvariantsFindsOvershoot(t *testing.T) {
	found := 0
	eachOrder(2, 4, func(order int, g *cluster) {
		g.teams = map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 1}} // the leader has 4
		g.play(order, 6, 4)
		if g.violation != nil {
			found++
		}
	})
	if found == 0 {
		t.Error("not found")
	}
}

// BenchmarkAdmission measures what holders admit, and what changes that takes, where
// each node takes five jobs a second for a minute; asking the leader for each would take
// a question and a change for every one.
func BenchmarkAdmission(b *testing.B) {
	for _, holders := range []int{1, 3, 10} {
		for _, teams := range []int{1, 6, 50} {
			b.Run(fmt.Sprintf("%d controllers, %d teams", holders, teams), func(b *testing.B) {
				for range b.N {
					admitted, submitted, changes := admitForAMinute(holders, teams)
					b.ReportMetric(float64(admitted)/60, "admitted/s")
					b.ReportMetric(float64(submitted)/60, "submitted/s")
					b.ReportMetric(float64(changes)/60, "changes/s")
				}
			})
		}
	}
}

func admitForAMinute(holders, teams int) (admitted, submitted, changes int) {
	limits := map[ident.Team]config.Team{}
	for i := range teams {
		name := ident.Team(fmt.Sprintf("team %d", i))
		limits[name] = config.Team{Name: name, CPULimit: 400}
	}
	g, rng := newCluster(holders, limits), rand.New(rand.NewPCG(1, 1))
	for step := range 600 {
		g.now = g.now.Add(100 * time.Millisecond)
		for i, m := range g.holders {
			if step%2 == 0 {
				submitted++
				g.stepHolder(m, g.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%02d%06d", i, step)), Team: ident.Team(fmt.Sprintf("team %d", rng.IntN(teams))), Tasks: 1 + rng.IntN(4), TaskDemand: Quantity{MilliCPU: 1000}})
			}
			for _, ask := range g.stepHolder(m, g.now, Tick{}) {
				g.allocator.Receive(g.now, ask, nil)
			}
		}
		g.stepLeader(g.now, func(r Reply) {
			g.stepHolder(g.holders[int(r.Response.Holder.Node[1]-'0')], g.now, ResponseReceived{&r.Response})
		})
		if step%100 == 0 {
			g.finishJobs()
		}
	}
	return g.admitted(), submitted, g.store.OperationCount
}

// play lets the members act in the order that the digits of a number say.
func (g *cluster) play(order, actions, steps int) {
	var old []*AllocationResponse
	asks := map[string]AllocationRequest{}
	for i, m := range g.holders {
		g.stepHolder(m, g.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 4, TaskDemand: Quantity{MilliCPU: 1000}})
		g.stepHolder(m, g.now, Tick{})
	}
	for range steps {
		g.now = g.now.Add(1100 * time.Millisecond)
		what := order % actions
		order /= actions
		switch what - len(g.holders) {
		case 0: // the leader acts
			for _, ask := range asks {
				g.allocator.Receive(g.now, ask, nil)
			}
			g.stepLeader(g.now, func(r Reply) { g.responses[r.Response.Holder.Node] = &r.Response })
		case 1: // answers are lost
			for node := range g.responses {
				delete(g.responses, node)
			}
		case 2: // an old answer comes again
			for _, a := range old {
				g.stepHolder(g.holders[0], g.now, ResponseReceived{a})
			}
		case 3: // the leader changes, and a holder returns as another
			g.elect()
			g.restart(0)
		default:
			m := g.holders[what]
			if a := g.responses[m.node]; a != nil {
				g.stepHolder(m, g.now, ResponseReceived{a})
				old = append(old, a)
				delete(g.responses, m.node)
			} else {
				g.stepHolder(m, g.now, ResponseReceived{})
			}
			job := ident.JobID(fmt.Sprintf("wk-%06d", 100+int(g.now.Sub(0)/time.Millisecond)))
			g.stepHolder(m, g.now, JobSubmitted{Job: job, Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
			for _, ask := range g.stepHolder(m, g.now, Tick{}) {
				asks[m.node] = ask
			}
		}
	}
}

// TestConcurrentAdmission lets ten holders and a leader run side by side, each with a
// goroutine of its own, while holders die and return, leaders change and jobs end: at
// every change that is stored nobody has more than the limit, and in the end all is
// back.
func TestConcurrentAdmission(t *testing.T) {
	const holders = 10
	teams := map[ident.Team]config.Team{}
	for i := range 6 {
		name := ident.Team(fmt.Sprintf("team %d", i))
		teams[name] = config.Team{Name: name, CPULimit: 20, GPULimit: float64(i)}
	}
	g := newCluster(holders, teams)
	admitted := g.runConcurrently()
	if g.violation != nil {
		t.Fatal(g.violation)
	}
	sum, least := 0, math.MaxInt
	for _, n := range admitted {
		sum, least = sum+n, min(least, n)
	}
	if sum < 10*holders || least == 0 {
		t.Errorf("%d jobs admitted, the least by one holder %d", sum, least)
	}
	for _, item := range g.list() {
		if r, err := DecodeTeamRecord(item.Value); err == nil && !r.Allocated().IsZero() {
			t.Errorf("%s: %v are left", item.Key, r.Allocated())
		}
	}
	t.Logf("%d jobs admitted, between %d and %v a holder, in %v of simulated time; %d changes", sum, least, admitted, g.now.Sub(clock.Instant(time.Hour)), g.store.OperationCount)
}

const (
	// stepsOfSubmissions are the steps of 20 ms in which jobs come and holders die, and
	// stepsInAll those after which everything has been given back.
	stepsOfSubmissions = 20_000
	stepsInAll         = 30_000
	concurrentStep     = 20 * time.Millisecond
)

// concurrentHolder is a holder with a goroutine of its own.
type concurrentHolder struct {
	*testHolder
	index    int
	rng      *rand.Rand
	waiting  bool
	answers  chan *AllocationResponse // nil: no answer will come
	admitted int
}

// runConcurrently lets each holder and the leader take a step at every instant, all of
// them side by side, and time pass once all have: so a goroutine that the machine
// starves is not left behind by the others' clock. It returns what each has admitted.
func (g *cluster) runConcurrently() []int {
	requests := make(chan AllocationRequest, len(g.holders))
	members := make([]*concurrentHolder, len(g.holders))
	ticks := make([]chan clock.Instant, len(g.holders))
	var step, running sync.WaitGroup
	for i, m := range g.holders {
		members[i] = &concurrentHolder{testHolder: m, index: i, rng: rand.New(rand.NewPCG(uint64(i), 1)), answers: make(chan *AllocationResponse, 1)}
		ticks[i] = make(chan clock.Instant)
		running.Go(func() {
			for now := range ticks[i] {
				g.runHolder(members[i], now, requests)
				step.Done()
			}
		})
	}
	for n := range stepsInAll {
		now := g.advance(concurrentStep)
		step.Add(len(ticks))
		for _, tick := range ticks {
			tick <- now
		}
		g.runLeader(n, now, requests, members)
		step.Wait()
	}
	for _, tick := range ticks {
		close(tick)
	}
	running.Wait()
	admitted := make([]int, len(members))
	for i, m := range members {
		admitted[i] = m.admitted
	}
	return admitted
}

// runHolder takes a holder's step: it submits jobs and dies now and then.
func (g *cluster) runHolder(m *concurrentHolder, now clock.Instant, requests chan<- AllocationRequest) {
	if m.waiting {
		select {
		case a := <-m.answers:
			m.waiting = false
			if m.rng.IntN(10) == 0 {
				a = nil // it is lost
			}
			g.stepHolder(m.testHolder, now, ResponseReceived{a})
		default:
			return
		}
	}
	submitting := now < clock.Instant(time.Hour).Add(stepsOfSubmissions*concurrentStep)
	if submitting && m.rng.IntN(50) == 0 {
		job := JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%02d%08d", m.index, now.Sub(0)/time.Millisecond)), Team: ident.Team(fmt.Sprintf("team %d", m.rng.IntN(6))),
			Tasks: 1 + m.rng.IntN(8), TaskDemand: Quantity{MilliCPU: 250 * m.rng.Int64N(8), MilliGPU: 250 * m.rng.Int64N(2)}, Gang: m.rng.IntN(5) == 0}
		before := m.holder.admitted
		g.stepHolder(m.testHolder, now, job)
		m.admitted += m.holder.admitted - before
	}
	if submitting && m.rng.IntN(4000) == 0 {
		g.restart(m.index)
	}
	for _, request := range g.stepHolder(m.testHolder, now, Tick{}) {
		m.waiting = true
		requests <- request
	}
}

// advance lets time pass, and returns what time it is.
func (g *cluster) advance(d time.Duration) clock.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = g.now.Add(d)
	return g.now
}

// finishJobs lets all jobs that are reserved for be over.
func (g *cluster) finishJobs() {
	for _, item := range g.list() {
		if _, jobs, err := DecodeReservationRecord(item.Value); err == nil {
			g.mu.Lock()
			for _, j := range jobs {
				g.finishedJobs[j.Job] = true
			}
			g.mu.Unlock()
		}
	}
}

// runLeader takes the leader's step: it answers holders, is replaced now and then, and
// lets jobs end.
func (g *cluster) runLeader(step int, now clock.Instant, requests <-chan AllocationRequest, members []*concurrentHolder) {
	for more := true; more; {
		select {
		case request := <-requests:
			g.leaderWaiting[request.Holder.Node] = true
			g.allocator.Receive(now, request, nil)
		default:
			more = false
		}
	}
	answer := func(node string, response *AllocationResponse) {
		if g.leaderWaiting[node] {
			delete(g.leaderWaiting, node)
			members[int(node[1]-'0')].answers <- response
		}
	}
	g.stepLeader(now, func(r Reply) { answer(r.Response.Holder.Node, &r.Response) })
	if step%2000 == 1999 && step < stepsOfSubmissions {
		g.elect()
		for node := range g.leaderWaiting {
			answer(node, nil)
		}
	}
	if step%50 == 0 && step > 0 {
		g.finishJobs()
	}
}

// TestMalformedRecordsAreRefused: what no program writes is refused whole, and never counts as
// nothing.
func TestMalformedRecordsAreRefused(t *testing.T) {
	good := Allocation{Holder: HolderID{"n0", 3}, Quantity: Quantity{MilliCPU: 1000}}
	for what, r := range map[string]TeamRecord{
		"a holder without a name": {SchemaVersion: 1, Allocations: []Allocation{{Holder: HolderID{"", 3}}}},
		"a holder without a key":  {SchemaVersion: 1, Allocations: []Allocation{{Holder: HolderID{"n0", 0}}}},
		"negative units":          {SchemaVersion: 1, Allocations: []Allocation{{Holder: good.Holder, Quantity: Quantity{MilliCPU: -1}}}},
		"units beyond counting":   {SchemaVersion: 1, Allocations: []Allocation{{Holder: good.Holder, Quantity: Quantity{MilliCPU: math.MaxInt64}}}},
		"a holder named twice":    {SchemaVersion: 1, Allocations: []Allocation{good, good}},
		"no schema":               {Allocations: []Allocation{good}},
		"a later schema":          {SchemaVersion: 2, Allocations: []Allocation{good}},
	} {
		data, err := msgpack.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		_, err = DecodeTeamRecord(data)
		if later := r.SchemaVersion == 2; err == nil || errors.Is(err, ErrNewerSchema) != later {
			t.Errorf("%s: %v", what, err)
		}
	}
	for what, all := range map[string][]Reservation{
		"no tasks":       {{Job: "wk-000001", Team: "red", Tasks: 0, TaskDemand: Quantity{MilliCPU: 1}}},
		"negative need":  {{Job: "wk-000001", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: -1}}},
		"no job":         {{Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1}}},
		"too many tasks": {{Job: "wk-000001", Team: "red", Tasks: 1 << 20, TaskDemand: Quantity{MilliCPU: 1}}},
	} {
		r, err := NewReservationRecord(3, all)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := msgpack.Marshal(r)
		if _, _, err := DecodeReservationRecord(data); err == nil {
			t.Errorf("%s: taken", what)
		}
	}
	r, _ := NewReservationRecord(3, []Reservation{{Job: "wk-000001", Team: "red", Tasks: 2, TaskDemand: Quantity{MilliCPU: 500}}})
	r.TeamTotals["red"] = Quantity{MilliCPU: 10}
	data, _ := msgpack.Marshal(r)
	if _, _, err := DecodeReservationRecord(data); !errors.Is(err, ErrMalformedRecord) {
		t.Errorf("sums that differ: %v", err)
	}
	for _, junk := range [][]byte{nil, {0xc1}, []byte("\x81\xa1v\xa1x"), data[:len(data)/2]} {
		if _, err := DecodeTeamRecord(junk); err == nil {
			t.Errorf("%q is a team's record", junk)
		}
	}
}

// TestDamagedRecordIsReplaced: a team's record that can't be read is replaced only in
// one transaction with the end of all holders; one of a later version stops the leader.
func TestDamagedRecordIsReplaced(t *testing.T) {
	g := newCluster(1, oneTeam)
	m := g.holders[0]
	g.stepHolder(m, g.now, JobSubmitted{Job: "wk-000001", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
	g.stepHolder(m, g.now, Tick{})
	stamp := m.holder.modRevision
	g.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: TeamKey("red"), Value: "damaged"}}})
	for range 4 {
		g.now = g.now.Add(time.Second)
		g.stepLeader(g.now, func(Reply) {})
	}
	if g.revisionOf(HolderKey(m.node)) != 0 || g.allocator.Status(g.now, g.usage())["red"].Damaged {
		t.Error("not replaced, or the holder is still one")
	}
	if asks := g.stepHolder(m, g.now, Tick{}); len(asks) == 1 {
		g.allocator.Receive(g.now, asks[0], nil)
		for range 3 {
			g.now = g.now.Add(time.Second)
			g.stepLeader(g.now, func(r Reply) { g.stepHolder(m, g.now, ResponseReceived{&r.Response}) })
		}
	}
	if m.holder.modRevision == stamp {
		t.Error("the holder was not told")
	}
	g.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: TeamKey("red"), Value: TeamRecord{SchemaVersion: 2}}}})
	if err := g.allocator.Load(g.now, g.allocator.epoch, g.list(), true); !errors.Is(err, ErrNewerSchema) {
		t.Errorf("a later schema: %v", err)
	}
}

// TestLoweredLimit: while more is in use than a limit that was lowered, nothing is
// allotted, and what is idle is wanted back.
func TestLoweredLimit(t *testing.T) {
	g := newCluster(1, oneTeam)
	m := g.holders[0]
	work := func(seconds int) {
		for range seconds {
			g.now = g.now.Add(1100 * time.Millisecond)
			for _, ask := range g.stepHolder(m, g.now, Tick{}) {
				g.allocator.Receive(g.now, ask, nil)
			}
			g.stepLeader(g.now, func(r Reply) { g.stepHolder(m, g.now, ResponseReceived{&r.Response}) })
			m.holder.requestInFlight = false
		}
	}
	for i := range 4 {
		g.stepHolder(m, g.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
		work(2)
	}
	if got := g.allocator.Allocated("red"); got.MilliCPU < 3000 {
		t.Fatalf("%v allotted of 4 CPUs", got)
	}
	g.teams = map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 1}}
	g.elect()
	g.violation = nil // what is stored is beyond the new limit
	work(20)
	before := g.allocator.Allocated("red")
	g.stepHolder(m, g.now, JobSubmitted{Job: "wk-000077", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
	work(5)
	if after := g.allocator.Allocated("red"); !after.Within(before) || before.MilliCPU > 3000 {
		t.Errorf("allotted %v, then %v, of 1 CPU", before, after)
	}
}

func TestQuantityRounding(t *testing.T) {
	need, err := DemandOf(&jobs.Spec{CPUs: 0.25 + 1e-12, GPUs: 0.0001})
	if err != nil || need != (Quantity{250, 1}) {
		t.Errorf("%v, %v", need, err)
	}
	limit, err := LimitOf(config.Team{CPULimit: 1.9999, GPULimit: 0})
	if err != nil || limit.MilliCPU != 1999 || limit.MilliGPU != Unlimited {
		t.Errorf("%v, %v", limit, err)
	}
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		if _, err := DemandOf(&jobs.Spec{CPUs: bad}); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("%v CPUs: %v", bad, err)
		}
	}
}
