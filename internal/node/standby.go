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

// standbyTickInterval is how often the actor looks whether something is due.
const standbyTickInterval = 100 * time.Millisecond

// errRequestBudgetExhausted says that the node's share of the requests to the state
// service is used up.
var errRequestBudgetExhausted = errors.New("request budget exhausted")

// standbyActor follows the leader's decisions while this node does not lead. Its run
// alone touches the follower; others see what it publishes.
type standbyActor struct {
	*environment
	core      *coreActor
	store     *stateService
	cloud     *cloud.Client
	follower  *standby.Follower
	ready     bool // as the core knows it
	published atomic.Pointer[standbySnapshot]
	machines  atomic.Pointer[controller.MachineSnapshot]
}

// standbySnapshot is what the actor publishes after each look. It does not change any
// more.
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
		follower:    standby.NewFollower(options.SyncInterval, options.ReplicaBytes()),
	}
	a.publish()
	a.machines.Store(&controller.MachineSnapshot{})
	return a
}

// publish lets others see the follower as it is now.
func (a *standbyActor) publish() {
	snapshot := *a.follower
	a.published.Store(&standbySnapshot{replica: snapshot.Replica(), status: snapshot.Status})
}

// replica is the latest replica; it does not change any more.
func (a *standbyActor) replica() *standby.Replica { return a.published.Load().replica }

// knownMachines are those that this node has listed as a standby; none without one, when
// the actor is nil.
func (a *standbyActor) knownMachines() controller.MachineSnapshot {
	if a == nil {
		return controller.MachineSnapshot{}
	}
	return *a.machines.Load()
}

// run follows the records until ctx ends.
func (a *standbyActor) run(ctx context.Context) {
	for sleep(ctx, standbyTickInterval) {
		a.step(ctx, standby.LeadershipChanged{Leading: a.core.view().leads()})
		a.step(ctx, standby.Tick{})
		a.publish()
		a.reportState(ctx)
	}
}

// step hands an input to the follower, carries out what it asks for, and hands it the
// results.
func (a *standbyActor) step(ctx context.Context, in standby.Input) {
	for _, e := range a.follower.Step(a.clock.Now(), in) {
		a.step(ctx, a.read(ctx, e))
	}
}

// read carries out an effect, as far as this node's share of the requests goes.
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

func (a *standbyActor) takeRequest() error {
	if !a.store.takeRequest() {
		return errRequestBudgetExhausted
	}
	return nil
}

// reportState tells the core and the metrics how the replica is.
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

// pollMachineList reads the machine list again and again while this node does not lead,
// within what the leader leaves of the cloud's call rate, until ctx ends.
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

// readMachineList reads all pages of the list; nil: some page can't be read.
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
