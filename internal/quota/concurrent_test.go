package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
)

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
	c := newCluster(holders, teams)
	admitted := c.runConcurrently()
	if c.violation != nil {
		t.Fatal(c.violation)
	}
	sum, least := 0, math.MaxInt
	for _, n := range admitted {
		sum, least = sum+n, min(least, n)
	}
	if sum < 10*holders || least == 0 {
		t.Errorf("%d jobs admitted, the least by one holder %d", sum, least)
	}
	for _, item := range c.list() {
		if r, err := DecodeTeamRecord(item.Value); err == nil && !r.Allocated().IsZero() {
			t.Errorf("%s: %v are left", item.Key, r.Allocated())
		}
	}
	t.Logf("%d jobs admitted, between %d and %v a holder, in %v of simulated time; %d changes", sum, least, admitted, c.now.Sub(clock.Instant(time.Hour)), c.store.OperationCount)
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
	index     int
	rng       *rand.Rand
	waiting   bool
	responses chan *AllocationResponse // nil: none will come
	admitted  int
}

// runConcurrently lets each holder and the leader take a step at every instant, all of
// them side by side, and time pass once all have: so a goroutine that the machine
// starves is not left behind by the others' clock. It returns what each has admitted.
func (c *cluster) runConcurrently() []int {
	requests := make(chan AllocationRequest, len(c.holders))
	members := make([]*concurrentHolder, len(c.holders))
	ticks := make([]chan clock.Instant, len(c.holders))
	var step, running sync.WaitGroup
	for i, m := range c.holders {
		members[i] = &concurrentHolder{testHolder: m, index: i, rng: rand.New(rand.NewPCG(uint64(i), 1)), responses: make(chan *AllocationResponse, 1)}
		ticks[i] = make(chan clock.Instant)
		running.Go(func() {
			for now := range ticks[i] {
				c.runHolder(members[i], now, requests)
				step.Done()
			}
		})
	}
	for n := range stepsInAll {
		now := c.advance(concurrentStep)
		step.Add(len(ticks))
		for _, tick := range ticks {
			tick <- now
		}
		c.runLeader(n, now, requests, members)
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
func (c *cluster) runHolder(m *concurrentHolder, now clock.Instant, requests chan<- AllocationRequest) {
	if m.waiting {
		select {
		case a := <-m.responses:
			m.waiting = false
			if m.rng.IntN(10) == 0 {
				a = nil // it is lost
			}
			c.stepHolder(m.testHolder, now, ResponseReceived{a})
		default:
			return
		}
	}
	submitting := now < clock.Instant(time.Hour).Add(stepsOfSubmissions*concurrentStep)
	if submitting && m.rng.IntN(50) == 0 {
		job := JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%02d%08d", m.index, now.Sub(0)/time.Millisecond)), Team: ident.Team(fmt.Sprintf("team %d", m.rng.IntN(6))),
			Tasks: 1 + m.rng.IntN(8), TaskDemand: Quantity{MilliCPU: 250 * m.rng.Int64N(8), MilliGPU: 250 * m.rng.Int64N(2)}, Gang: m.rng.IntN(5) == 0}
		before := m.holder.admitted
		c.stepHolder(m.testHolder, now, job)
		m.admitted += m.holder.admitted - before
	}
	if submitting && m.rng.IntN(4000) == 0 {
		c.restart(m.index)
	}
	for _, request := range c.stepHolder(m.testHolder, now, Tick{}) {
		m.waiting = true
		requests <- request
	}
}

// advance lets time pass, and returns what time it is.
func (c *cluster) advance(d time.Duration) clock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

// runLeader takes the leader's step: it answers holders, is replaced now and then, and
// lets jobs end.
func (c *cluster) runLeader(step int, now clock.Instant, requests <-chan AllocationRequest, members []*concurrentHolder) {
	for more := true; more; {
		select {
		case request := <-requests:
			c.leaderWaiting[request.Holder.Node] = true
			c.allocator.Receive(now, request, nil)
		default:
			more = false
		}
	}
	answer := func(node string, response *AllocationResponse) {
		if c.leaderWaiting[node] {
			delete(c.leaderWaiting, node)
			members[int(node[1]-'0')].responses <- response
		}
	}
	c.stepLeader(now, func(r Reply) { answer(r.Response.Holder.Node, &r.Response) })
	if step%2000 == 1999 && step < stepsOfSubmissions {
		c.elect()
		for node := range c.leaderWaiting {
			answer(node, nil)
		}
	}
	if step%50 == 0 && step > 0 {
		c.finishJobs()
	}
}
