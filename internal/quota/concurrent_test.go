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

// TestConcurrentAdmission runs ten holders and a leader concurrently, each in a goroutine of its own, while holders
// crash and restart, leaders change and jobs finish. It checks the invariants after every stored change, which guards
// against an allocation or a reservation beyond a limit, and that in the end all quota has been released.
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
		t.Errorf("%d jobs admitted, want at least %d; the fewest by one holder %d, want at least 1", sum, 10*holders, least)
	}
	for _, item := range c.list() {
		if r, err := DecodeTeamRecord(item.Value); err == nil && !r.Allocated().IsZero() {
			t.Errorf("%s: %v still allocated at the end", item.Key, r.Allocated())
		}
	}
	t.Logf("%d jobs admitted, the fewest by one holder %d, by each holder %v, in %v of simulated time; %d changes", sum, least, admitted, c.now.Sub(clock.Instant(time.Hour)), c.store.OperationCount)
}

const (
	// submissionSteps is the number of steps of 20 ms in which jobs are submitted and holders crash. After
	// totalSteps, all quota must have been released.
	submissionSteps = 20_000
	totalSteps      = 30_000
	concurrentStep  = 20 * time.Millisecond
)

// concurrentNode is a holder that runs in a goroutine of its own.
type concurrentNode struct {
	*testNode
	index     int
	rng       *rand.Rand
	waiting   bool
	responses chan *AllocationResponse // nil: no response will arrive
	admitted  int
}

// runConcurrently has each holder and the leader execute one step at every instant, concurrently, and advances the
// time once all have finished, so that a goroutine that gets little CPU time does not fall behind the others.
// It returns how many jobs each holder has admitted.
func (c *cluster) runConcurrently() []int {
	requests := make(chan AllocationRequest, len(c.nodes))
	nodes := make([]*concurrentNode, len(c.nodes))
	ticks := make([]chan clock.Instant, len(c.nodes))
	var step, running sync.WaitGroup
	for i, node := range c.nodes {
		nodes[i] = &concurrentNode{testNode: node, index: i, rng: rand.New(rand.NewPCG(uint64(i), 1)), responses: make(chan *AllocationResponse, 1)}
		ticks[i] = make(chan clock.Instant)
		running.Go(func() {
			for now := range ticks[i] {
				c.runHolder(nodes[i], now, requests)
				step.Done()
			}
		})
	}
	for n := range totalSteps {
		now := c.advance(concurrentStep)
		step.Add(len(ticks))
		for _, tick := range ticks {
			tick <- now
		}
		c.runLeader(n, now, requests, nodes)
		step.Wait()
	}
	for _, tick := range ticks {
		close(tick)
	}
	running.Wait()
	admitted := make([]int, len(nodes))
	for i, node := range nodes {
		admitted[i] = node.admitted
	}
	return admitted
}

// runHolder executes one step of a holder, which submits jobs and now and then crashes and restarts.
func (c *cluster) runHolder(node *concurrentNode, now clock.Instant, requests chan<- AllocationRequest) {
	if node.waiting {
		select {
		case response := <-node.responses:
			node.waiting = false
			if node.rng.IntN(10) == 0 {
				response = nil // the response is lost
			}
			c.stepHolder(node.testNode, now, ResponseReceived{response})
		default:
			return
		}
	}
	submitting := now < clock.Instant(time.Hour).Add(submissionSteps*concurrentStep)
	if submitting && node.rng.IntN(50) == 0 {
		job := JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%02d%08d", node.index, now.Sub(0)/time.Millisecond)), Team: ident.Team(fmt.Sprintf("team %d", node.rng.IntN(6))),
			Tasks: 1 + node.rng.IntN(8), TaskDemand: Quantity{MilliCPU: 250 * node.rng.Int64N(8), MilliGPU: 250 * node.rng.Int64N(2)}, Gang: node.rng.IntN(5) == 0}
		before := node.holder.admitted
		c.stepHolder(node.testNode, now, job)
		node.admitted += node.holder.admitted - before
	}
	if submitting && node.rng.IntN(4000) == 0 {
		c.restart(node.index)
	}
	for _, request := range c.stepHolder(node.testNode, now, Tick{}) {
		node.waiting = true
		requests <- request
	}
}

// advance advances the time and returns the new time.
func (c *cluster) advance(d time.Duration) clock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

// runLeader executes one step of the leader. The leader answers holders, and now and then it is replaced and the jobs
// finish.
func (c *cluster) runLeader(step int, now clock.Instant, requests <-chan AllocationRequest, nodes []*concurrentNode) {
	for more := true; more; {
		select {
		case request := <-requests:
			c.awaitingReply[request.Holder.Node] = true
			c.allocator.Receive(now, request, nil)
		default:
			more = false
		}
	}
	deliver := func(name string, response *AllocationResponse) {
		if c.awaitingReply[name] {
			delete(c.awaitingReply, name)
			nodes[int(name[1]-'0')].responses <- response
		}
	}
	c.stepLeader(now, func(r Reply) { deliver(r.Response.Holder.Node, &r.Response) })
	if step%2000 == 1999 && step < submissionSteps {
		c.elect()
		for node := range c.awaitingReply {
			deliver(node, nil)
		}
	}
	if step%50 == 0 && step > 0 {
		c.finishJobs()
	}
}
