package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/cloud"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/featuregate"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/standby"
)

// standbyTickInterval is the time between two Tick inputs to the follower.
const standbyTickInterval = 100 * time.Millisecond

// errRequestBudgetExhausted is returned when the node's budget of requests to the state service is exhausted.
var errRequestBudgetExhausted = errors.New("request budget exhausted")

// standbyActor replicates the leader's records while this node does not lead. Only the goroutine of its run method
// accesses the follower; other goroutines read the snapshot that it publishes.
type standbyActor struct {
	*environment
	core      *coreActor
	store     *stateService
	cloud     *cloud.Client
	follower  *standby.Follower
	ready     bool // as last posted to the core
	published atomic.Pointer[standbySnapshot]
	machines  atomic.Pointer[controller.MachineSnapshot]
}

// standbySnapshot is the immutable state that the actor publishes after each tick.
type standbySnapshot struct {
	replica *standby.Replica
	status  func(now clock.Instant) standby.Status
}

func newStandbyActor(env *environment, core *coreActor, store *stateService, client *cloud.Client,
	options *featuregate.WarmStandby) *standbyActor {
	a := &standbyActor{
		environment: env,
		core:        core,
		store:       store,
		cloud:       client,
		follower:    standby.NewFollower(options.SyncInterval, options.MaxReplicaBytes()),
	}
	a.publish()
	a.machines.Store(&controller.MachineSnapshot{})
	return a
}

// publish replaces the published snapshot by one of the current state of the follower.
func (a *standbyActor) publish() {
	snapshot := *a.follower
	a.published.Store(&standbySnapshot{replica: snapshot.Replica(), status: snapshot.Status})
}

// replica returns the latest published replica, which is immutable.
func (a *standbyActor) replica() *standby.Replica { return a.published.Load().replica }

// knownMachines returns the machines that this node has listed as a standby. It returns an empty snapshot if the actor
// is nil, that is, if warm standby is disabled.
func (a *standbyActor) knownMachines() controller.MachineSnapshot {
	if a == nil {
		return controller.MachineSnapshot{}
	}
	return *a.machines.Load()
}

// run keeps the replica up to date until ctx ends.
func (a *standbyActor) run(ctx context.Context) {
	for sleep(ctx, standbyTickInterval) {
		a.step(ctx, standby.LeadershipChanged{Leading: a.core.view().leads()})
		a.step(ctx, standby.Tick{})
		a.publish()
		a.reportState(ctx)
	}
}

// step applies an input to the follower, carries out the resulting effects, and applies their results as inputs in
// turn.
func (a *standbyActor) step(ctx context.Context, in standby.Input) {
	for _, e := range a.follower.Step(a.clock.Now(), in) {
		a.step(ctx, a.read(ctx, e))
	}
}

// read carries out an effect and returns its result. The result's Err is errRequestBudgetExhausted if this node's budget
// of requests to the state service is exhausted.
func (a *standbyActor) read(ctx context.Context, e standby.Effect) standby.Input {
	switch e := e.(type) {
	case standby.List:
		done := standby.ListDone{Prefix: e.Prefix, Err: a.takeRequest()}
		if done.Err == nil {
			done.Items, done.Revision, done.Err = a.store.list(ctx, e.Prefix)
		}
		return done
	case standby.Watch:
		done := standby.WatchDone{Prefix: e.Prefix, Err: a.takeRequest()}
		if done.Err == nil {
			done.Changes, done.Revision, done.Err = a.store.watch(ctx, e.Prefix, e.Since, 0)
		}
		return done
	}
	return standby.Tick{}
}

// takeRequest takes one request from the node's budget. It returns errRequestBudgetExhausted if none is left.
func (a *standbyActor) takeRequest() error {
	if !a.store.takeRequest() {
		return errRequestBudgetExhausted
	}
	return nil
}

// reportState updates the metrics of the replica and posts changes of its readiness to the core.
func (a *standbyActor) reportState(ctx context.Context) {
	status := a.follower.Status(a.clock.Now())
	a.metrics.ObserveStandby(status)
	ready := status.State == standby.StateReady
	if ready == a.ready {
		return
	}
	a.ready = ready
	a.log.Info("standby readiness changed", "ready", ready, "state", status.State,
		"records", status.Records, "bytes", status.Bytes, "reason", status.Reason)
	a.core.post(ctx, controller.ElectionInput{Input: election.ReplicaState{Ready: ready}})
}

// pollMachineList periodically reads the machine list while this node does not lead, until ctx ends. The standbys share
// the part of the cloud's call rate that the leader does not use.
func (a *standbyActor) pollMachineList(ctx context.Context) {
	rate := a.settings.Params.Cloud.RPS * (1 - controller.LeaderCloudShare) / float64(max(1, len(a.settings.Peers)))
	calls := kvstore.NewTokenBucket(rate, 1)
	for sleep(ctx, standby.MachineListInterval) {
		if a.core.view().leads() {
			continue
		}
		if snapshot := a.readMachineList(ctx, calls); snapshot != nil {
			a.machines.Store(snapshot)
		}
	}
}

// readMachineList returns the machines of all pages of the list, or nil if a page cannot be read or ctx ends.
func (a *standbyActor) readMachineList(ctx context.Context, calls *kvstore.TokenBucket) *controller.MachineSnapshot {
	snapshot := &controller.MachineSnapshot{RequestedAt: a.clock.Now()}
	var after ident.MachineID
	for {
		for !calls.Take(a.clock.Now(), 1, 0) {
			if !sleep(ctx, calls.Delay(a.clock.Now(), 1, 0)) {
				return nil
			}
		}
		page, more, err := a.cloud.ListMachines(ctx, after)
		if err != nil {
			a.log.Debug("listing machines failed", "err", err)
			return nil
		}
		snapshot.Machines = append(snapshot.Machines, page...)
		if !more || len(page) == 0 {
			return snapshot
		}
		after = page[len(page)-1].ID
	}
}
