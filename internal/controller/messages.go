// Package controller is the state machine of one node: inputs go in, effects come out, and nothing else happens in it.
// It owns what a leader decides (scheduling, checkpoints, provisioning, quotas) and how a follower answers on its own.
// Clocks, sockets and goroutines belong to package node, which feeds the core and carries its effects out.
package controller

// Input is an event that the core handles. Each input type is declared beside the code that handles it.
type Input interface{ input() }

// Effect is an action that the core asks its caller to carry out. Each effect type is declared beside the code that
// emits it.
type Effect interface{ effect() }

// Reply is an effect that answers a request.
type Reply interface {
	Effect
	// Deliver hands the answer to whoever made the request.
	Deliver()
}

// Responder receives the answer to one request. The core hands it back within the reply and never calls it.
type Responder[T any] interface {
	// Respond takes the answer. It must not block.
	Respond(answer T)
}

// ResponderFunc is a function that serves as a Responder.
type ResponderFunc[T any] func(T)

// Respond calls the function.
func (f ResponderFunc[T]) Respond(answer T) { f(answer) }

// Tick lets time pass.
type Tick struct{}

// StopNode ends the process: the node cannot go on.
type StopNode struct{ Err error }

func (Tick) input()      {}
func (StopNode) effect() {}
