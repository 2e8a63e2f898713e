package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
)

var quotaSteps = flag.Int("quotasteps", 6, "number of steps in the orders that TestLimitHoldsInEveryActionOrder runs with two holders")

// TestLimitHoldsInEveryActionOrder runs a leader with two holders, then with three, through every sequence of a fixed
// number of actions. Among the actions, responses are lost, delayed and delivered twice, a holder restarts under the
// same name, and the leader changes. The test guards against allocations or reservations beyond the limit at any time.
func TestLimitHoldsInEveryActionOrder(t *testing.T) {
	for holders := 2; holders <= 3; holders++ {
		steps := *quotaSteps + 2 - holders
		admitted, contended := 0, 0
		forEachOrder(holders, steps, func(order int, c *cluster) {
			c.runOrder(order, holders+4, steps)
			if c.violation != nil {
				t.Fatalf("order %d of %d holders: %v", order, holders, c.violation)
			}
			if n := c.admitted(); n > 0 {
				admitted++
			}
			if c.allocator.Allocated("red").MilliCPU >= 3000 {
				contended++
			}
		})
		if admitted == 0 || contended == 0 {
			t.Errorf("%d holders: jobs were admitted in %d orders, and at least 3 of 4 CPUs allocated in %d; want at least 1 each", holders, admitted, contended)
		}
	}
}

// forEachOrder calls run with a new cluster for each order of the steps.
func forEachOrder(holders, steps int, run func(order int, c *cluster)) {
	orders := 1
	for range steps {
		orders *= holders + 4
	}
	for order := range orders {
		run(order, newCluster(holders, oneTeam))
	}
}

// TestCheckInvariantsReportsOverAllocation checks that CheckInvariants reports a leader that allocates more than the
// limit. Otherwise the tests that rely on it would pass with such a leader.
func TestCheckInvariantsReportsOverAllocation(t *testing.T) {
	found := 0
	forEachOrder(2, 4, func(order int, c *cluster) {
		c.teams = map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 1}} // the leader still allocates up to 4 CPUs
		c.runOrder(order, 6, 4)
		if c.violation != nil {
			found++
		}
	})
	if found == 0 {
		t.Error("CheckInvariants reported no allocation beyond the limit")
	}
}

// runOrder executes one action in each step. The digits of order, in base actions, determine which.
func (c *cluster) runOrder(order, actions, steps int) {
	var delivered []*AllocationResponse
	requests := map[string]AllocationRequest{}
	for i, node := range c.nodes {
		c.stepHolder(node, c.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 4, TaskDemand: Quantity{MilliCPU: 1000}})
		c.stepHolder(node, c.now, Tick{})
	}
	for range steps {
		c.now = c.now.Add(1100 * time.Millisecond)
		action := order % actions
		order /= actions
		switch action - len(c.nodes) {
		case 0: // the leader acts
			for _, request := range requests {
				c.allocator.Receive(c.now, request, nil)
			}
			c.stepLeader(c.now, func(r Reply) { c.pendingResponses[r.Response.Holder.Node] = &r.Response })
		case 1: // responses are lost
			clear(c.pendingResponses)
		case 2: // earlier responses are delivered again
			for _, response := range delivered {
				c.stepHolder(c.nodes[0], c.now, ResponseReceived{response})
			}
		case 3: // the leader changes, and a holder restarts as a new incarnation
			c.elect()
			c.restart(0)
		default:
			node := c.nodes[action]
			if response := c.pendingResponses[node.name]; response != nil {
				c.stepHolder(node, c.now, ResponseReceived{response})
				delivered = append(delivered, response)
				delete(c.pendingResponses, node.name)
			} else {
				c.stepHolder(node, c.now, ResponseReceived{})
			}
			job := ident.JobID(fmt.Sprintf("wk-%06d", 100+int(c.now.Sub(0)/time.Millisecond)))
			c.stepHolder(node, c.now, JobSubmitted{Job: job, Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
			for _, request := range c.stepHolder(node, c.now, Tick{}) {
				requests[node.name] = request
			}
		}
	}
}
