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

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
	"badgerbay/internal/fake"
	"badgerbay/internal/leadership"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
)

var oneTeam = map[unit.Team]config.Team{"red": {Name: "red", CPUs: 2, CPUsMax: 4}}

// group is holders and a leader around one state service. Its lock stands for that of
// the service; every change is checked as it is made.
type group struct {
	mu      sync.Mutex
	state   *fake.State
	teams   map[unit.Team]config.Team
	now     unit.Instant
	over    map[unit.JobID]bool // jobs that are over
	wrong   error
	holders []*member
	ledger  *Ledger
	replies map[string]*Answer // that wait for their holders
}

type member struct {
	node   string
	holder *Holder
}

func newGroup(holders int, teams map[unit.Team]config.Team) *group {
	g := &group{state: fake.NewState(), teams: teams, now: unit.Instant(time.Hour), over: map[unit.JobID]bool{}, replies: map[string]*Answer{}}
	for i := range holders {
		g.holders = append(g.holders, &member{node: fmt.Sprintf("n%d", i)})
		g.restart(i)
	}
	g.elect()
	return g
}

func (g *group) restart(i int) {
	g.holders[i].holder = NewHolder(g.holders[i].node, 8<<10)
}

// elect lets a new leader begin.
func (g *group) elect() {
	epoch, _ := g.commit(statestore.Txn{Operations: []statestore.Operation{{SetKey: leadership.LeaderKey, Value: "leader"}}})
	ledger, err := NewLedger(g.teams, true, unit.Epoch(epoch))
	if err != nil {
		panic(err)
	}
	g.ledger = ledger
}

// commit carries out a transaction and checks what is stored then.
func (g *group) commit(t statestore.Txn) (unit.Revision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, err := g.state.Commit(t)
	if err == nil && g.wrong == nil {
		items, _, _ := g.state.List(KeyPrefix)
		g.wrong = CheckStored(items, g.teams)
	}
	return v, err
}

func (g *group) list() []statestore.KeyValue {
	g.mu.Lock()
	defer g.mu.Unlock()
	items, _, _ := g.state.List(KeyPrefix)
	return items
}

func (g *group) stamp(key string) unit.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	item, _ := g.state.Get(key)
	return item.ModRevision
}

// take gives a holder an input and carries out what it asks for, but for asks, which
// are returned.
func (g *group) take(m *member, now unit.Instant, in HolderInput) (asks []Ask) {
	for _, e := range m.holder.Step(now, in) {
		switch e := e.(type) {
		case Register:
			key := HolderKey(e.Node)
			v, _ := g.commit(statestore.Txn{Conditions: []statestore.Condition{{Key: key, ModRevision: g.stamp(key)}}, Operations: []statestore.Operation{{SetKey: key, Value: e.Node}}})
			asks = append(asks, g.take(m, now, Registered{Stamp: v})...)
		case Store:
			v, err := g.commit(statestore.Txn{Conditions: e.Guards, Operations: []statestore.Operation{{SetKey: e.Key, Value: e.Reserved}}})
			out := Stored{Stamp: v}
			if conflict := (*statestore.ConflictError)(nil); errors.As(err, &conflict) {
				out.Outcome = StoreRefused
				for _, key := range conflict.FailedKeys {
					if key == leadership.LeaderKey && out.Outcome != StoreFenced {
						out.Outcome = StoreOtherLeader
					}
					if key == e.Guards[0].Key {
						out.Outcome = StoreFenced
					}
				}
			}
			asks = append(asks, g.take(m, now, out)...)
		case SendAsk:
			asks = append(asks, e.Ask)
		}
	}
	return asks
}

func (g *group) use() Use {
	return Use{Uncovered: func(unit.Team) Units { return Units{} }, Remaining: func(id unit.JobID) (int, bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.over[id] {
			return 0, true
		}
		return 100, true
	}}
}

// lead lets the leader do what is due.
func (g *group) lead(now unit.Instant, answer func(Reply)) {
	if g.ledger.ReadDue(now) {
		if err := g.ledger.Take(now, g.ledger.epoch, g.list(), true); err != nil {
			panic(err)
		}
	}
	txn, replies := g.ledger.Step(now, g.use(), true, 6)
	if txn != nil {
		v, err := g.commit(*txn)
		replies = append(replies, g.ledger.Committed(now, err == nil, v, g.use())...)
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
		eachOrder(holders, steps, func(order int, g *group) {
			g.play(order, holders+4, steps)
			if g.wrong != nil {
				t.Fatalf("order %d of %d holders: %v", order, holders, g.wrong)
			}
			if n := g.admitted(); n > 0 {
				admitted++
			}
			if g.ledger.Allotted("red").CPU >= 3000 {
				contended++
			}
		})
		if admitted == 0 || contended == 0 {
			t.Errorf("%d holders: something was admitted in %d orders, and most was allotted in %d", holders, admitted, contended)
		}
	}
}

// eachOrder begins anew for each order of the steps.
func eachOrder(holders, steps int, play func(order int, g *group)) {
	orders := 1
	for range steps {
		orders *= holders + 4
	}
	for order := range orders {
		play(order, newGroup(holders, oneTeam))
	}
}

func (g *group) admitted() int {
	sum := 0
	for _, m := range g.holders {
		sum += m.holder.admitted
	}
	return sum
}

// TestCheckFindsOvershoot: were the leader to allot more than the limit, the check of
// what is stored would show it.
func TestCheckFindsOvershoot(t *testing.T) {
	found := 0
	eachOrder(2, 4, func(order int, g *group) {
		g.teams = map[unit.Team]config.Team{"red": {Name: "red", CPUsMax: 1}} // the leader has 4
		g.play(order, 6, 4)
		if g.wrong != nil {
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
	limits := map[unit.Team]config.Team{}
	for i := range teams {
		name := unit.Team(fmt.Sprintf("team %d", i))
		limits[name] = config.Team{Name: name, CPUsMax: 400}
	}
	g, rng := newGroup(holders, limits), rand.New(rand.NewPCG(1, 1))
	for step := range 600 {
		g.now = g.now.Add(100 * time.Millisecond)
		for i, m := range g.holders {
			if step%2 == 0 {
				submitted++
				g.take(m, g.now, Submitted{Job: unit.JobID(fmt.Sprintf("wk-%02d%06d", i, step)), Team: unit.Team(fmt.Sprintf("team %d", rng.IntN(teams))), Tasks: 1 + rng.IntN(4), Need: Units{CPU: 1000}})
			}
			for _, ask := range g.take(m, g.now, Tick{}) {
				g.ledger.Ask(g.now, ask, m.node)
			}
		}
		g.lead(g.now, func(r Reply) { g.take(g.holders[int(r.Ticket.(string)[1]-'0')], g.now, Answered{&r.Answer}) })
		if step%100 == 0 {
			g.endJobs()
		}
	}
	return g.admitted(), submitted, g.state.Writes
}

// play lets the members act in the order that the digits of a number say.
func (g *group) play(order, actions, steps int) {
	var old []*Answer
	asks := map[string]Ask{}
	for i, m := range g.holders {
		g.take(m, g.now, Submitted{Job: unit.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 4, Need: Units{CPU: 1000}})
		g.take(m, g.now, Tick{})
	}
	for range steps {
		g.now = g.now.Add(1100 * time.Millisecond)
		what := order % actions
		order /= actions
		switch what - len(g.holders) {
		case 0: // the leader acts
			for _, ask := range asks {
				g.ledger.Ask(g.now, ask, ask.Holder.Node)
			}
			g.lead(g.now, func(r Reply) { g.replies[r.Ticket.(string)] = &r.Answer })
		case 1: // answers are lost
			for node := range g.replies {
				delete(g.replies, node)
			}
		case 2: // an old answer comes again
			for _, a := range old {
				g.take(g.holders[0], g.now, Answered{a})
			}
		case 3: // the leader changes, and a holder returns as another
			g.elect()
			g.restart(0)
		default:
			m := g.holders[what]
			if a := g.replies[m.node]; a != nil {
				g.take(m, g.now, Answered{a})
				old = append(old, a)
				delete(g.replies, m.node)
			} else {
				g.take(m, g.now, Answered{})
			}
			job := unit.JobID(fmt.Sprintf("wk-%06d", 100+int(g.now.Sub(0)/time.Millisecond)))
			g.take(m, g.now, Submitted{Job: job, Team: "red", Tasks: 1, Need: Units{CPU: 1000}})
			for _, ask := range g.take(m, g.now, Tick{}) {
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
	const holders, rounds = 10, 1500
	teams := map[unit.Team]config.Team{}
	for i := range 6 {
		name := unit.Team(fmt.Sprintf("team %d", i))
		teams[name] = config.Team{Name: name, CPUsMax: 20, GPUsMax: float64(i)}
	}
	g := newGroup(holders, teams)
	asks := make(chan Ask, holders)
	answers := make([]chan *Answer, holders)
	var done sync.WaitGroup
	stop := make(chan struct{})
	admitted := make([]int, holders)
	for i := range holders {
		answers[i] = make(chan *Answer, 4)
		done.Add(1)
		go func() {
			defer done.Done()
			admitted[i] = g.runHolder(i, rounds, asks, answers[i], stop)
		}()
	}
	finished := make(chan struct{})
	go func() { done.Wait(); close(finished) }()
	g.runLeader(asks, answers, finished, stop)
	if g.wrong != nil {
		t.Fatal(g.wrong)
	}
	sum, least := 0, math.MaxInt
	for _, n := range admitted {
		sum, least = sum+n, min(least, n)
	}
	if sum < 10*holders || least == 0 {
		t.Errorf("%d jobs admitted, the least by one holder %d", sum, least)
	}
	for _, item := range g.list() {
		if r, err := DecodeTeam(item.Value); err == nil && !r.Allotted().Zero() {
			t.Errorf("%s: %v are left", item.Key, r.Allotted())
		}
	}
	t.Logf("%d jobs admitted, between %d and %v a holder, in %v of simulated time; %d changes", sum, least, admitted, g.now.Sub(unit.Instant(time.Hour)), g.state.Writes)
}

// runHolder submits jobs, dies now and then, and returns what it has admitted.
func (g *group) runHolder(i, rounds int, asks chan<- Ask, answers <-chan *Answer, stop <-chan struct{}) int {
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	m, admitted := g.holders[i], 0
	for round := 0; ; round++ {
		select {
		case <-stop:
			return admitted
		default:
		}
		now := g.tick(0)
		if round < rounds && rng.IntN(4) == 0 {
			job := Submitted{Job: unit.JobID(fmt.Sprintf("wk-%02d%06d", i, round)), Team: unit.Team(fmt.Sprintf("team %d", rng.IntN(6))),
				Tasks: 1 + rng.IntN(8), Need: Units{CPU: 250 * rng.Int64N(8), GPU: 250 * rng.Int64N(2)}, Gang: rng.IntN(5) == 0}
			before := m.holder.admitted
			g.take(m, now, job)
			admitted += m.holder.admitted - before
		}
		if round < rounds && rng.IntN(400) == 0 {
			g.restart(i)
		}
		for _, ask := range g.take(m, now, Tick{}) {
			asks <- ask
			var a *Answer
			select {
			case a = <-answers:
			case <-stop:
				return admitted
			}
			if rng.IntN(10) == 0 {
				a = nil // it is lost
			}
			g.take(m, g.tick(0), Answered{a})
		}
		if round >= rounds {
			g.endJobs()
		}
	}
}

// tick lets time pass, and returns what time it is.
func (g *group) tick(d time.Duration) unit.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = g.now.Add(d)
	return g.now
}

// endJobs lets all jobs that are reserved for be over.
func (g *group) endJobs() {
	for _, item := range g.list() {
		if _, jobs, err := DecodeReserved(item.Value); err == nil {
			g.mu.Lock()
			for _, j := range jobs {
				g.over[j.Job] = true
			}
			g.mu.Unlock()
		}
	}
}

// runLeader answers holders until they are done, and has time pass.
func (g *group) runLeader(asks <-chan Ask, answers []chan *Answer, finished <-chan struct{}, stop chan struct{}) {
	waiting := map[string]bool{}
	answer := func(r Reply) {
		if node := r.Ticket.(string); waiting[node] {
			delete(waiting, node)
			answers[int(node[1]-'0')] <- &r.Answer
		}
	}
	for step := 0; ; step++ {
		now := g.tick(20 * time.Millisecond)
		for more := true; more; {
			select {
			case ask := <-asks:
				waiting[ask.Holder.Node] = true
				g.ledger.Ask(now, ask, ask.Holder.Node)
			default:
				more = false
			}
		}
		g.lead(now, answer)
		if step%2000 == 1999 && step < 20_000 {
			g.elect()
			for node := range waiting {
				delete(waiting, node)
				answers[int(node[1]-'0')] <- nil
			}
		}
		if step%50 == 0 && step > 0 {
			g.endJobs()
		}
		if step == 30_000 {
			close(stop)
		}
		select {
		case <-finished:
			return
		default:
		}
	}
}

// TestRecordsThatCannotBe: what no program writes is refused whole, and never counts as
// nothing.
func TestRecordsThatCannotBe(t *testing.T) {
	good := Allotment{Holder: HolderID{"n0", 3}, Units: Units{CPU: 1000}}
	for what, r := range map[string]TeamRecord{
		"a holder without a name": {Schema: 1, Allotments: []Allotment{{Holder: HolderID{"", 3}}}},
		"a holder without a key":  {Schema: 1, Allotments: []Allotment{{Holder: HolderID{"n0", 0}}}},
		"negative units":          {Schema: 1, Allotments: []Allotment{{Holder: good.Holder, Units: Units{CPU: -1}}}},
		"units beyond counting":   {Schema: 1, Allotments: []Allotment{{Holder: good.Holder, Units: Units{CPU: math.MaxInt64}}}},
		"a holder named twice":    {Schema: 1, Allotments: []Allotment{good, good}},
		"no schema":               {Allotments: []Allotment{good}},
		"a later schema":          {Schema: 2, Allotments: []Allotment{good}},
	} {
		data, err := msgpack.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		_, err = DecodeTeam(data)
		if later := r.Schema == 2; err == nil || errors.Is(err, ErrSchema) != later {
			t.Errorf("%s: %v", what, err)
		}
	}
	for what, all := range map[string][]Reservation{
		"no tasks":       {{Job: "wk-000001", Team: "red", Tasks: 0, Need: Units{CPU: 1}}},
		"negative need":  {{Job: "wk-000001", Team: "red", Tasks: 1, Need: Units{CPU: -1}}},
		"no job":         {{Team: "red", Tasks: 1, Need: Units{CPU: 1}}},
		"too many tasks": {{Job: "wk-000001", Team: "red", Tasks: 1 << 20, Need: Units{CPU: 1}}},
	} {
		r, err := NewReserved(3, all)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := msgpack.Marshal(r)
		if _, _, err := DecodeReserved(data); err == nil {
			t.Errorf("%s: taken", what)
		}
	}
	r, _ := NewReserved(3, []Reservation{{Job: "wk-000001", Team: "red", Tasks: 2, Need: Units{CPU: 500}}})
	r.Units["red"] = Units{CPU: 10}
	data, _ := msgpack.Marshal(r)
	if _, _, err := DecodeReserved(data); !errors.Is(err, ErrRecord) {
		t.Errorf("sums that differ: %v", err)
	}
	for _, junk := range [][]byte{nil, {0xc1}, []byte("\x81\xa1v\xa1x"), data[:len(data)/2]} {
		if _, err := DecodeTeam(junk); err == nil {
			t.Errorf("%q is a team's record", junk)
		}
	}
}

// TestDamagedRecordIsReplaced: a team's record that can't be read is replaced only in
// one transaction with the end of all holders; one of a later version stops the leader.
func TestDamagedRecordIsReplaced(t *testing.T) {
	g := newGroup(1, oneTeam)
	m := g.holders[0]
	g.take(m, g.now, Submitted{Job: "wk-000001", Team: "red", Tasks: 1, Need: Units{CPU: 1000}})
	g.take(m, g.now, Tick{})
	stamp := m.holder.stamp
	g.state.Commit(statestore.Txn{Operations: []statestore.Operation{{SetKey: TeamKey("red"), Value: "damaged"}}})
	for range 4 {
		g.now = g.now.Add(time.Second)
		g.lead(g.now, func(Reply) {})
	}
	if g.stamp(HolderKey(m.node)) != 0 || g.ledger.Status(g.now, g.use())["red"].Damaged {
		t.Error("not replaced, or the holder is still one")
	}
	if asks := g.take(m, g.now, Tick{}); len(asks) == 1 {
		g.ledger.Ask(g.now, asks[0], "n0")
		for range 3 {
			g.now = g.now.Add(time.Second)
			g.lead(g.now, func(r Reply) { g.take(m, g.now, Answered{&r.Answer}) })
		}
	}
	if m.holder.stamp == stamp {
		t.Error("the holder was not told")
	}
	g.state.Commit(statestore.Txn{Operations: []statestore.Operation{{SetKey: TeamKey("red"), Value: TeamRecord{Schema: 2}}}})
	if err := g.ledger.Take(g.now, g.ledger.epoch, g.list(), true); !errors.Is(err, ErrSchema) {
		t.Errorf("a later schema: %v", err)
	}
}

// TestLoweredLimit: while more is in use than a limit that was lowered, nothing is
// allotted, and what is idle is wanted back.
func TestLoweredLimit(t *testing.T) {
	g := newGroup(1, oneTeam)
	m := g.holders[0]
	work := func(seconds int) {
		for range seconds {
			g.now = g.now.Add(1100 * time.Millisecond)
			for _, ask := range g.take(m, g.now, Tick{}) {
				g.ledger.Ask(g.now, ask, m.node)
			}
			g.lead(g.now, func(r Reply) { g.take(m, g.now, Answered{&r.Answer}) })
			m.holder.asking = false
		}
	}
	for i := range 4 {
		g.take(m, g.now, Submitted{Job: unit.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 1, Need: Units{CPU: 1000}})
		work(2)
	}
	if got := g.ledger.Allotted("red"); got.CPU < 3000 {
		t.Fatalf("%v allotted of 4 CPUs", got)
	}
	g.teams = map[unit.Team]config.Team{"red": {Name: "red", CPUsMax: 1}}
	g.elect()
	g.wrong = nil // what is stored is beyond the new limit
	work(20)
	before := g.ledger.Allotted("red")
	g.take(m, g.now, Submitted{Job: "wk-000077", Team: "red", Tasks: 1, Need: Units{CPU: 1000}})
	work(5)
	if after := g.ledger.Allotted("red"); !after.Within(before) || before.CPU > 3000 {
		t.Errorf("allotted %v, then %v, of 1 CPU", before, after)
	}
}

func TestAmounts(t *testing.T) {
	need, err := NeedOf(&checkpoint.Spec{CPUs: 0.25 + 1e-12, GPUs: 0.0001})
	if err != nil || need != (Units{250, 1}) {
		t.Errorf("%v, %v", need, err)
	}
	limit, err := LimitOf(config.Team{CPUsMax: 1.9999, GPUsMax: 0})
	if err != nil || limit.CPU != 1999 || limit.GPU != Unlimited {
		t.Errorf("%v, %v", limit, err)
	}
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		if _, err := NeedOf(&checkpoint.Spec{CPUs: bad}); !errors.Is(err, ErrUnits) {
			t.Errorf("%v CPUs: %v", bad, err)
		}
	}
}
