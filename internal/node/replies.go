package node

import (
	"net/http"

	"badgerbay/internal/controller"
)

// replyChannel receives the reply to one request to the core. It has room for that reply, so that the actor never waits
// for a handler that has given up.
type replyChannel[T any] chan T

func newReplyChannel[T any]() replyChannel[T] { return make(replyChannel[T], 1) }

// Respond implements controller.Responder.
func (c replyChannel[T]) Respond(reply T) { c <- reply }

// statusOf is the HTTP status by which a worker learns the outcome of its heartbeat.
func statusOf(outcome controller.HeartbeatOutcome) int {
	switch outcome {
	case controller.HeartbeatAccepted:
		return http.StatusOK
	case controller.HeartbeatRedirected:
		return http.StatusMisdirectedRequest
	}
	return http.StatusServiceUnavailable
}

// outcomeOfStatus is the outcome that another node has reported as an HTTP status.
func outcomeOfStatus(status int) controller.HeartbeatOutcome {
	switch status {
	case http.StatusOK:
		return controller.HeartbeatAccepted
	case http.StatusMisdirectedRequest:
		return controller.HeartbeatRedirected
	}
	return controller.HeartbeatUnavailable
}
