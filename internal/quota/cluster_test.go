package quota

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/fake"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

var oneTeam = map[ident.Team]config.Team{"red": {Name: "red", CPUGuarantee: 2, CPULimit: 4}}

// cluster consists of holders and a leader that share one state service. Its lock makes each request to the service
// atomic. The invariants are checked after every stored change.
type cluster struct {
	mu               sync.Mutex
	store            *fake.KVStore
	teams            map[ident.Team]config.Team
	now              clock.Instant
	finishedJobs     map[ident.JobID]bool
	violation        error
	nodes            []*testNode
	allocator        *Allocator
	pendingResponses map[string]*AllocationResponse // not yet delivered to their holders
	// awaitingReply contains the nodes whose requests a concurrent leader has not answered yet.
	awaitingReply map[string]bool
}

type testNode struct {
	name   string
	holder *Holder
}

func newCluster(holders int, teams map[ident.Team]config.Team) *cluster {
	c := &cluster{
		store:            fake.NewKVStore(),
		teams:            teams,
		now:              clock.Instant(time.Hour),
		finishedJobs:     map[ident.JobID]bool{},
		pendingResponses: map[string]*AllocationResponse{},
		awaitingReply:    map[string]bool{},
	}
	for i := range holders {
		c.nodes = append(c.nodes, &testNode{name: fmt.Sprintf("n%d", i)})
		c.restart(i)
	}
	c.elect()
	return c
}

func (c *cluster) restart(i int) {
	c.nodes[i].holder = NewHolder(c.nodes[i].name, 8<<10)
}

// elect replaces the leader by a new one.
func (c *cluster) elect() {
	epoch, _ := c.commit(kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: "leader"}}})
	allocator, err := NewAllocator(c.teams, true, ident.Epoch(epoch))
	if err != nil {
		panic(err)
	}
	c.allocator = allocator
}

// commit executes a transaction and checks the records that are stored after it.
func (c *cluster) commit(t kvstore.Txn) (ident.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, err := c.store.Commit(t)
	if err == nil && c.violation == nil {
		items, _, _ := c.store.List(KeyPrefix)
		c.violation = CheckInvariants(items, c.teams)
	}
	return revision, err
}

func (c *cluster) list() []kvstore.KeyValue {
	c.mu.Lock()
	defer c.mu.Unlock()
	items, _, _ := c.store.List(KeyPrefix)
	return items
}

func (c *cluster) revisionOf(key string) ident.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	item, _ := c.store.Get(key)
	return item.ModRevision
}

// stepHolder passes an input to a holder and executes its effects, except for requests, which it returns.
func (c *cluster) stepHolder(node *testNode, now clock.Instant, in HolderInput) (requests []AllocationRequest) {
	for _, e := range node.holder.Step(now, in) {
		switch e := e.(type) {
		case Register:
			revision, _ := c.commit(e.Txn(c.revisionOf(HolderKey(e.Node))))
			requests = append(requests, c.stepHolder(node, now, RegistrationDone{ModRevision: revision})...)
		case StoreReservations:
			revision, err := c.commit(e.Txn())
			done := StoreDone{ModRevision: revision}
			if conflict := (*kvstore.ConflictError)(nil); errors.As(err, &conflict) {
				done.Outcome = e.OutcomeOf(conflict)
			}
			requests = append(requests, c.stepHolder(node, now, done)...)
		case SendRequest:
			requests = append(requests, e.Request)
		}
	}
	return requests
}

func (c *cluster) usage() JobUsage {
	return JobUsage{
		Uncovered: func(ident.Team) Quantity { return Quantity{} },
		RemainingTasks: func(id ident.JobID) (int, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.finishedJobs[id] {
				return 0, true
			}
			return 100, true
		},
	}
}

// stepLeader reads the records if that is due, executes one step of the leader, and passes its replies to deliver.
func (c *cluster) stepLeader(now clock.Instant, deliver func(Reply)) {
	if c.allocator.BeginReadIfDue(now) {
		if err := c.allocator.Load(now, c.allocator.epoch, c.list()); err != nil {
			panic(err)
		}
	}
	txn, replies := c.allocator.Step(now, c.usage(), true, 6)
	if txn != nil {
		revision, err := c.commit(*txn)
		replies = append(replies, c.allocator.CompleteChange(now, err == nil, revision, c.usage())...)
	}
	for _, r := range replies {
		deliver(r)
	}
}

func (c *cluster) admitted() int {
	sum := 0
	for _, node := range c.nodes {
		sum += node.holder.admitted
	}
	return sum
}

// finishJobs marks all jobs with reservations as finished.
func (c *cluster) finishJobs() {
	for _, item := range c.list() {
		if _, reservations, err := DecodeReservationRecord(item.Value); err == nil {
			c.mu.Lock()
			for _, r := range reservations {
				c.finishedJobs[r.Job] = true
			}
			c.mu.Unlock()
		}
	}
}
