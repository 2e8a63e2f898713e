package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"github.com/julienschmidt/httprouter"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/election"
	"badgerbay/internal/featuregate"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/standby"
	"badgerbay/internal/wire"
)

// standbyActor follows the leader's decisions while this node does not lead. It
// alone touches the follower; others see what it publishes.
type standbyActor struct {
	n         *Node
	follower  *standby.Follower
	published atomic.Pointer[standbySnapshot]
	ready     bool // as the core was told last
	machines  atomic.Pointer[controller.MachineSnapshot]
}

// standbySnapshot is what the actor publishes after each look.
type standbySnapshot struct {
	replica *standby.Replica
	status  func(now clock.Instant) standby.Status
}

// errRequestBudgetExhausted: the node's share of the requests to the state service is used up.
var errRequestBudgetExhausted = errors.New("no share of the requests is left")

// standbyTickInterval is how often the actor looks whether something is due.
const standbyTickInterval = 100 * time.Millisecond

func newStandbyActor(n *Node, w *featuregate.WarmStandby) *standbyActor {
	a := &standbyActor{n: n, follower: standby.NewFollower(w.SyncInterval, w.ReplicaBytes())}
	a.publish()
	a.machines.Store(&controller.MachineSnapshot{})
	return a
}

// listMachines reads the machine list again and again while this node does not lead,
// within what the leader leaves of the cloud's call rate.
func (a *standbyActor) listMachines(ctx context.Context) {
	cloud := a.n.settings.Params.Cloud
	calls := kvstore.NewTokenBucket(cloud.RPS*(1-controller.LeaderCloudShare)/float64(max(1, len(a.n.settings.Peers))), 1)
	for a.n.sleep(ctx, standby.MachineListInterval) {
		if a.n.view.Load().epoch != 0 {
			continue
		}
		if known, ok := a.readList(ctx, calls); ok {
			a.machines.Store(known)
		}
	}
}

// readList reads all pages of the list.
func (a *standbyActor) readList(ctx context.Context, calls *kvstore.TokenBucket) (*controller.MachineSnapshot, bool) {
	known := &controller.MachineSnapshot{RequestedAt: a.n.clock.Now()}
	var since ident.MachineID
	for {
		for !calls.Take(a.n.clock.Now(), 1, 0) {
			if !a.n.sleep(ctx, calls.Delay(a.n.clock.Now(), 1, 0)) {
				return nil, false
			}
		}
		page, more, err := a.n.cloud.ListMachines(ctx, since)
		if err != nil {
			return nil, false
		}
		known.Machines = append(known.Machines, page...)
		if !more || len(page) == 0 {
			return known, true
		}
		since = page[len(page)-1].ID
	}
}

// knownMachines are those that this node has listed as a standby.
func (n *Node) knownMachines() controller.MachineSnapshot {
	if n.standby == nil {
		return controller.MachineSnapshot{}
	}
	return *n.standby.machines.Load()
}

// replica is the latest replica; it does not change any more.
func (a *standbyActor) replica() *standby.Replica { return a.published.Load().replica }

// publish lets others see the follower as it is now.
func (a *standbyActor) publish() {
	snapshot := *a.follower
	a.published.Store(&standbySnapshot{replica: snapshot.Replica(), status: snapshot.Status})
}

// run follows until the context ends.
func (a *standbyActor) run(ctx context.Context) {
	for a.n.sleep(ctx, standbyTickInterval) {
		a.step(ctx, standby.LeadershipChanged{Leading: a.n.view.Load().epoch != 0})
		a.step(ctx, standby.Tick{})
		a.publish()
		a.reportState(ctx)
	}
}

func (a *standbyActor) step(ctx context.Context, in standby.Input) {
	for _, e := range a.follower.Step(a.n.clock.Now(), in) {
		a.step(ctx, a.read(ctx, e))
	}
}

// read carries out an effect, as far as this node's share of the requests goes.
func (a *standbyActor) read(ctx context.Context, e standby.Effect) standby.Input {
	switch e := e.(type) {
	case standby.List:
		in := standby.ListDone{Prefix: e.Prefix, Err: a.takeRequest()}
		if in.Err == nil {
			in.Items, in.Revision, in.Err = a.n.store.List(ctx, e.Prefix)
			a.n.noteStoreResult(in.Err)
		}
		return in
	case standby.Watch:
		in := standby.WatchDone{Prefix: e.Prefix, Err: a.takeRequest()}
		if in.Err == nil {
			in.Changes, in.Revision, in.Err = a.n.store.Watch(ctx, e.Prefix, e.Since, 0)
			a.n.noteStoreResult(in.Err)
		}
		return in
	}
	return standby.Tick{}
}

func (a *standbyActor) takeRequest() error {
	if !a.n.budget.TakeRequest(a.n.clock.Now()) {
		return errRequestBudgetExhausted
	}
	return nil
}

// reportState tells the core and the metrics how the replica is.
func (a *standbyActor) reportState(ctx context.Context) {
	status := a.follower.Status(a.n.clock.Now())
	a.n.metrics.ObserveStandby(status)
	ready := status.State == standby.StateReady
	if ready == a.ready {
		return
	}
	a.ready = ready
	a.n.log.Info("standby", "state", status.State, "records", status.Records, "bytes", status.Bytes, "reason", status.Reason)
	a.n.enqueue(ctx, controller.ElectionInput{Input: election.ReplicaState{Ready: ready}})
}

// standbyStatus is what the node tells operators of itself as a standby.
type standbyStatus struct {
	Node       string  `msgpack:"node"`
	Enabled    bool    `msgpack:"enabled"`
	State      string  `msgpack:"state"`
	Ready      bool    `msgpack:"ready"`
	Reason     string  `msgpack:"reason,omitempty"`
	Leader     string  `msgpack:"leader"`
	SilentS    float64 `msgpack:"leader_silent_s"`
	Hindrance  string  `msgpack:"not_taking_over_because,omitempty"`
	Records    int     `msgpack:"records"`
	Bytes      int     `msgpack:"bytes"`
	Revision   uint64  `msgpack:"revision"`
	LagS       float64 `msgpack:"lag_s"`
	LagRecords int     `msgpack:"lag_records"`
	Rereads    int     `msgpack:"rereads"`
}

// handleStandby answers an operator who asks how this node would take over.
func (n *Node) handleStandby(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now, v := n.clock.Now(), n.view.Load()
	answer := standbyStatus{Node: n.settings.NodeName, Leader: v.leader, State: "off"}
	if v.epoch != 0 {
		answer.Leader, answer.State = n.settings.NodeName, standby.StateLeading.String()
	}
	if n.standby != nil {
		n.standby.describe(now, v, &answer)
	}
	writeMsgpack(w, &answer)
}

// writeMsgpack answers an operator.
func writeMsgpack(w http.ResponseWriter, view any) {
	data, err := msgpack.Marshal(view)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.Write(data)
}

func (a *standbyActor) describe(now clock.Instant, v *coreView, answer *standbyStatus) {
	status := a.published.Load().status(now)
	answer.Enabled = true
	if v.epoch == 0 {
		answer.State = status.State.String()
		answer.Hindrance = v.standby.BlockReason.String()
		answer.SilentS = v.standby.SilentFor(now).Seconds()
	}
	answer.Ready = v.epoch == 0 && status.State == standby.StateReady
	if status.Reason != nil {
		answer.Reason = status.Reason.Error()
	}
	answer.Records, answer.Bytes, answer.Revision = status.Records, status.Bytes, uint64(status.Revision)
	answer.LagS, answer.LagRecords, answer.Rereads = status.Lag.Seconds(), status.LagRecords, status.Reloads
}
