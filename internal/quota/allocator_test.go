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

// TestDamagedRecordIsReplaced checks that a team's record that cannot be decoded is replaced together with the
// deletion of all holder keys, and that the holder then gives up its registration. Otherwise a holder could go on
// using an allocation that the leader does not know of. A record with a newer schema version must stop the leader.
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
		t.Error("the record was not replaced, or the holder key still exists")
	}
	if requests := c.stepHolder(node, c.now, Tick{}); len(requests) == 1 {
		c.allocator.Receive(c.now, requests[0], nil)
		for range 3 {
			c.now = c.now.Add(time.Second)
			c.stepLeader(c.now, func(r Reply) { c.stepHolder(node, c.now, ResponseReceived{&r.Response}) })
		}
	}
	if node.holder.modRevision == revision {
		t.Error("the holder still uses its deleted key")
	}
	c.store.Commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: TeamKey("red"), Value: TeamRecord{SchemaVersion: 2}}}})
	if err := c.allocator.Load(c.now, c.allocator.epoch, c.list()); !errors.Is(err, ErrNewerSchema) {
		t.Errorf("loading a record with a newer schema version: %v, want %v", err, ErrNewerSchema)
	}
}

// TestLoweredLimitStopsAllocation checks that, while a team uses more than its limit after the limit was lowered,
// nothing more is allocated to holders and unused allocations are recalled.
func TestLoweredLimitStopsAllocation(t *testing.T) {
	c := newCluster(1, oneTeam)
	node := c.nodes[0]
	runSteps := func(steps int) {
		for range steps {
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
		runSteps(2)
	}
	if got := c.allocator.Allocated("red"); got.MilliCPU < 3000 {
		t.Fatalf("allocated %v of 4 CPUs, want at least 3", got)
	}
	c.teams = map[ident.Team]config.Team{"red": {Name: "red", CPULimit: 1}}
	c.elect()
	c.violation = nil // the stored allocations exceed the new limit
	runSteps(20)
	before := c.allocator.Allocated("red")
	c.stepHolder(node, c.now, JobSubmitted{Job: "wk-000077", Team: "red", Tasks: 1, TaskDemand: Quantity{MilliCPU: 1000}})
	runSteps(5)
	if after := c.allocator.Allocated("red"); !after.Within(before) || before.MilliCPU > 3000 {
		t.Errorf("allocated %v, and %v after another submission, with a limit of 1 CPU; want at most 3 CPUs and no increase", before, after)
	}
}
