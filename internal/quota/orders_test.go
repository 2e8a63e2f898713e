package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
)

var quotaSteps = flag.Int("quotasteps", 6, "steps of which TestLastUnits plays every order")

// TestLastUnits lets two and three holders, and a leader, act in every order of some
// steps, with responses lost, late and doubled, holders that return under their names and
// leaders that change in between: more than the limit is never allocated or reserved.
func TestLastUnits(t *testing.T) {
	for holders := 2; holders <= 3; holders++ {
		steps := *quotaSteps + 2 - holders
		admitted, contended := 0, 0
		eachOrder(holders, steps, func(order int, c *cluster) {
			c.play(order, holders+4, steps)
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
			t.Errorf("%d holders: something was admitted in %d orders, and most was allocated in %d", holders, admitted, contended)
		}
	}
}

// eachOrder begins anew for each order of the steps.
func eachOrder(holders, steps int, play func(order int, c *cluster)) {
	orders := 1
	for range steps {
		orders *= holders + 4
	}
	for order := range orders {
		play(order, newCluster(holders, oneTeam))
	}
}

// TestCheckInvariantsFindsOvershoot: were the leader to allocate more than the limit, the
// check of what is stored would show it.
func TestCheckInvariantsFindsOvershoot(t *testing.T) {
	found := 0
	eachOrder(2, 4, func(order int, c *cluster) {
		c.teams = map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 1}} // the leader has 4
		c.play(order, 6, 4)
		if c.violation != nil {
			found++
		}
	})
	if found == 0 {
		t.Error("not found")
	}
}

// play lets the members act in the order that the digits of a number say.
func (c *cluster) play(order, actions, steps int) {
	var old []*AllocationResponse
	requests := map[string]AllocationRequest{}
	for i, m := range c.holders {
		c.stepHolder(m, c.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 4, TaskDemand: Quantity{MilliCPU: 1000}})
		c.stepHolder(m, c.now, Tick{})
	}
	for range steps {
		c.now = c.now.Add(1100 * time.Millisecond)
		action := order % actions
		order /= actions
		switch action - len(c.holders) {
		case 0: // the leader acts
			for _, request := range requests {
				c.allocator.Receive(c.now, request, nil)
			}
			c.stepLeader(c.now, func(r Reply) { c.responses[r.Response.Holder.Node] = &r.Response })
		case 1: // responses are lost
			clear(c.responses)
		case 2: // old responses come again
			for _, a := range old {
				c.stepHolder(c.holders[0], c.now, ResponseReceived{a})
			}
		case 3: // the leader changes, and a holder returns as another
			c.elect()
			c.restart(0)
		default:
			m := c.holders[action]
			if a := c.responses[m.node]; a != nil {
				c.stepHolder(m, c.now, ResponseReceived{a})
				old = append(old, a)
				delete(c.responses, m.node)
			} else {
				c.stepHolder(m, c.now, ResponseReceived{})
			}
			job := ident.JobID(fmt.Sprintf("wk-%06d", 100+int(c.now.Sub(0)/time.Millisecond)))
			c.stepHolder(m, c.now, JobSubmitted{Job: job, Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
			for _, request := range c.stepHolder(m, c.now, Tick{}) {
				requests[m.node] = request
			}
		}
	}
}
