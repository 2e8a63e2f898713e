// Package controller implements the state machine of one node. The core maps inputs to effects and performs no I/O
// itself. It makes the decisions of a leader (scheduling, checkpoints, provisioning, quotas) and those that a follower
// makes without the leader. Package node owns clocks, sockets and goroutines; it passes inputs to the core and executes
// the returned effects.
package controller

// Input is an event that the core handles. Each input type is declared beside the code that handles it.
type Input interface{ input() }

// Effect is an action that the core requests from its caller. Each effect type is declared beside the code that
// emits it.
type Effect interface{ effect() }

// Reply is an effect that delivers the reply to a request.
type Reply interface {
	Effect
	// Deliver passes the reply to the sender of the request.
	Deliver()
}

// Responder receives the reply to one request. The core returns it as part of the reply and never calls it.
type Responder[T any] interface {
	// Respond receives the reply. It must not block.
	Respond(reply T)
}

// ResponderFunc adapts a function to the Responder interface.
type ResponderFunc[T any] func(T)

// Respond calls f with the reply.
func (f ResponderFunc[T]) Respond(reply T) { f(reply) }

// Tick is the periodic input that makes the core run what is due by time.
type Tick struct{}

// StopNode is the effect that ends the process after an error that the node cannot recover from.
type StopNode struct{ Err error }

func (Tick) input()      {}
func (StopNode) effect() {}
