package quota

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// TestDamagedRecordIsReplaced: a team's record that can't be read is replaced only in
// one transaction with the end of all holders; one of a later version stops the leader.
func TestDamagedRecordIsReplaced(t *testing.T) {
	c := newCluster(1, oneTeam)
	node := c.nodes[0]
	c.stepHolder(node, c.now, JobSubmitted{Job: "wk-000001", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
	c.stepHolder(node, c.now, Tick{})
	revision := node.holder.modRevision
	c.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: TeamKey("red"), Value: "damaged"}}})
	for range 4 {
		c.now = c.now.Add(time.Second)
		c.stepLeader(c.now, func(Reply) {})
	}
	if c.revisionOf(HolderKey(node.name)) != 0 || c.allocator.Status(c.now, c.usage())["red"].Damaged {
		t.Error("not replaced, or the holder is still one")
	}
	if requests := c.stepHolder(node, c.now, Tick{}); len(requests) == 1 {
		c.allocator.Receive(c.now, requests[0], nil)
		for range 3 {
			c.now = c.now.Add(time.Second)
			c.stepLeader(c.now, func(r Reply) { c.stepHolder(node, c.now, ResponseReceived{&r.Response}) })
		}
	}
	if node.holder.modRevision == revision {
		t.Error("the holder was not told")
	}
	c.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: TeamKey("red"), Value: TeamRecord{SchemaVersion: 2}}}})
	if err := c.allocator.Load(c.now, c.allocator.epoch, c.list()); !errors.Is(err, ErrNewerSchema) {
		t.Errorf("a later schema: %v", err)
	}
}

// TestLoweredLimitStopsAllocation: while more is in use than a limit that was lowered, nothing is
// allocated, and what is idle is recalled.
func TestLoweredLimitStopsAllocation(t *testing.T) {
	c := newCluster(1, oneTeam)
	node := c.nodes[0]
	work := func(seconds int) {
		for range seconds {
			c.now = c.now.Add(1100 * time.Millisecond)
			for _, request := range c.stepHolder(node, c.now, Tick{}) {
				c.allocator.Receive(c.now, request, nil)
			}
			c.stepLeader(c.now, func(r Reply) { c.stepHolder(node, c.now, ResponseReceived{&r.Response}) })
			node.holder.requestInFlight = false
		}
	}
	for i := range 4 {
		c.stepHolder(node, c.now, JobSubmitted{Job: ident.JobID(fmt.Sprintf("wk-%06d", i)), Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
		work(2)
	}
	if got := c.allocator.Allocated("red"); got.MilliCPU < 3000 {
		t.Fatalf("%v allocated of 4 CPUs", got)
	}
	c.teams = map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 1}}
	c.elect()
	c.violation = nil // what is stored is beyond the new limit
	work(20)
	before := c.allocator.Allocated("red")
	c.stepHolder(node, c.now, JobSubmitted{Job: "wk-000077", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
	work(5)
	if after := c.allocator.Allocated("red"); !after.Within(before) || before.MilliCPU > 3000 {
		t.Errorf("allocated %v, then %v, of 1 CPU", before, after)
	}
}
