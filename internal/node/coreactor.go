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

// tickInterval is the time between two ticks of the core.
const tickInterval = 50 * time.Millisecond

// minQueuedRequests is how many requests may wait for the core, or to be relayed, at
// least.
const minQueuedRequests = 1024

// maxQueuedRequests is how many requests of workers and users may wait for the core, or
// to be relayed. A connection has one request under way at a time, so all that can be
// open fit, however many machines reconnect at once.
func maxQueuedRequests(settings *config.Settings) int {
	return max(minQueuedRequests, settings.Params.MachineLimits.MaxSockets)
}

// errCoreOverloaded says that the queue of the core is full.
var errCoreOverloaded = errors.New("queue of the core is full")

// coreView is what other goroutines may know of the core without asking it.
type coreView struct {
	leader       string
	machineTypes []*fleet.MachineType
	epoch        ident.Epoch // of this node, 0 if it does not lead
	// standby is how this node stands to the leader.
	standby election.StandbyStatus
}

// equal tells whether nothing has changed.
func (v *coreView) equal(o *coreView) bool {
	return v.leader == o.leader && v.epoch == o.epoch && len(v.machineTypes) == len(o.machineTypes) && v.standby == o.standby
}

// leads tells whether this node leads.
func (v *coreView) leads() bool { return v.epoch != 0 }

// coreActor runs the core: it alone touches it. Others hand it inputs, and see the view
// that it publishes.
type coreActor struct {
	core  *controller.Core
	clock clock.Clock
	// execute starts an effect, and returns an error if the node must end. It must not
	// block: calls run in goroutines of their own and post what comes of them.
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

// view is the latest view of the core.
func (a *coreActor) view() *coreView { return a.published.Load() }

// leadsInTerm tells whether this node still leads in the term that began with the
// epoch, or has done so a moment ago; advances of the epoch keep the term.
func (a *coreActor) leadsInTerm(epoch ident.Epoch) bool { return a.view().epoch >= epoch }

// run feeds the core until ctx ends, or an effect ends the node.
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

// step hands one input to the core and starts its effects.
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

func (a *coreActor) publish() {
	a.delegateIdleSince.Store(int64(a.core.DelegateIdleSince()))
	view := &coreView{leader: a.core.Leader(), machineTypes: a.core.MachineTypes(), epoch: a.core.Epoch(), standby: a.core.Standby()}
	if !view.equal(a.view()) {
		a.published.Store(view)
	}
}

// tryPost hands an input from outside to the core, unless it is overloaded.
func (a *coreActor) tryPost(in controller.Input) bool {
	select {
	case a.inbox <- in:
		return true
	default:
		return false
	}
}

// post hands the answer to an effect to the core. The core waits for it, so it is never
// dropped before ctx ends; the number of calls under way is bounded.
func (a *coreActor) post(ctx context.Context, in controller.Input) {
	select {
	case a.inbox <- in:
	case <-ctx.Done():
	}
}

// replyChannel receives the reply to one request. It has room for that reply, so that the
// actor never waits for a handler that has given up.
type replyChannel[T any] chan T

// Respond implements controller.Responder.
func (c replyChannel[T]) Respond(reply T) { c <- reply }

// startRequest hands a request to the core; the reply comes through the channel. The
// error is errCoreOverloaded.
func startRequest[T any](a *coreActor, newInput func(controller.Responder[T]) controller.Input) (<-chan T, error) {
	replies := make(replyChannel[T], 1)
	if !a.tryPost(newInput(replies)) {
		return nil, errCoreOverloaded
	}
	return replies, nil
}

// request hands a request to the core and waits for the reply. The error is
// errCoreOverloaded, or that of ctx if it ends first.
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
