package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// tickInterval is the time between two Tick inputs to the core.
const tickInterval = 50 * time.Millisecond

// minQueuedRequests is the minimum capacity of the queue of the core and of the relay queue.
const minQueuedRequests = 1024

// maxQueuedRequests returns the capacity of the queue of the core and of the relay queue, which hold requests of
// workers and users. A connection has one request in flight at a time, so one request of every connection that can be
// open fits, however many machines reconnect at the same time.
func maxQueuedRequests(settings *config.Settings) int {
	return max(minQueuedRequests, settings.Params.MachineLimits.MaxSockets)
}

// errCoreOverloaded is returned when the queue of the core is full.
var errCoreOverloaded = errors.New("core queue is full")

// coreView is the part of the core's state that other goroutines read without sending the core a request.
type coreView struct {
	leader       string
	machineTypes []*fleet.MachineType
	epoch        ident.Epoch // under which this node leads; 0 if it does not lead
	// standby is the status of this node as a standby; the zero value if it leads.
	standby election.StandbyStatus
}

// equal reports whether v and o are the same. It compares only the number of machine types.
func (v *coreView) equal(o *coreView) bool {
	return v.leader == o.leader && v.epoch == o.epoch && len(v.machineTypes) == len(o.machineTypes) && v.standby == o.standby
}

// leads reports whether this node leads.
func (v *coreView) leads() bool { return v.epoch != 0 }

// coreActor runs the core in a single goroutine, which alone accesses it. Other goroutines send it inputs and read the
// view that it publishes.
type coreActor struct {
	core  *controller.Core
	clock clock.Clock
	// execute starts an effect. It returns an error if the node must stop. It must not block: effects that take time
	// run in goroutines of their own and post their results to the core.
	execute func(context.Context, controller.Effect) error

	inbox             chan controller.Input
	published         atomic.Pointer[coreView]
	delegateIdleSince atomic.Int64 // clock.Instant; see leasedelegation.Delegate
}

func newCoreActor(core *controller.Core, c clock.Clock, queueCapacity int) *coreActor {
	a := &coreActor{core: core, clock: c, inbox: make(chan controller.Input, queueCapacity)}
	a.published.Store(&coreView{})
	a.delegateIdleSince.Store(int64(core.DelegateIdleSince()))
	return a
}

// view returns the latest published view of the core.
func (a *coreActor) view() *coreView { return a.published.Load() }

// leadsInTerm reports whether this node leads in the term that began with the epoch, or did so a moment ago, as the
// view may be slightly out of date. Advancing the epoch does not end the term.
func (a *coreActor) leadsInTerm(epoch ident.Epoch) bool { return a.view().epoch >= epoch }

// run passes inputs and ticks to the core until ctx ends or an effect stops the node.
func (a *coreActor) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var in controller.Input = controller.Tick{}
	for {
		if err := a.step(ctx, in); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case in = <-a.inbox:
		case <-ticker.C:
			in = controller.Tick{}
		}
	}
}

// step applies one input to the core and starts the resulting effects.
func (a *coreActor) step(ctx context.Context, in controller.Input) error {
	effects := a.core.Step(a.clock.Now(), in)
	a.publish()
	for _, e := range effects {
		if err := a.execute(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// publish updates what other goroutines read of the core's state.
func (a *coreActor) publish() {
	a.delegateIdleSince.Store(int64(a.core.DelegateIdleSince()))
	view := &coreView{leader: a.core.Leader(), machineTypes: a.core.MachineTypes(), epoch: a.core.Epoch(), standby: a.core.Standby()}
	if !view.equal(a.view()) {
		a.published.Store(view)
	}
}

// tryPost queues an external input for the core. It reports whether the input was queued: it does not block if the
// queue is full.
func (a *coreActor) tryPost(in controller.Input) bool {
	select {
	case a.inbox <- in:
		return true
	default:
		return false
	}
}

// post queues the result of an effect for the core. The core waits for this result, so post blocks while the queue is
// full and drops the result only when ctx ends. The number of effects in flight is bounded.
func (a *coreActor) post(ctx context.Context, in controller.Input) {
	select {
	case a.inbox <- in:
	case <-ctx.Done():
	}
}

// replyChannel receives the reply to one request. It is buffered for that reply, so that the core never blocks on a
// handler that has stopped waiting.
type replyChannel[T any] chan T

// Respond implements controller.Responder.
func (c replyChannel[T]) Respond(reply T) { c <- reply }

// startRequest sends a request to the core and returns the channel on which the reply arrives. It returns
// errCoreOverloaded if the queue of the core is full.
func startRequest[T any](a *coreActor, newInput func(controller.Responder[T]) controller.Input) (<-chan T, error) {
	replies := make(replyChannel[T], 1)
	if !a.tryPost(newInput(replies)) {
		return nil, errCoreOverloaded
	}
	return replies, nil
}

// request sends a request to the core and waits for the reply. It returns errCoreOverloaded if the queue of the core is
// full, and the error of ctx if ctx ends before the reply arrives.
func request[T any](ctx context.Context, a *coreActor, newInput func(controller.Responder[T]) controller.Input) (T, error) {
	var zero T
	replies, err := startRequest(a, newInput)
	if err != nil {
		return zero, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
