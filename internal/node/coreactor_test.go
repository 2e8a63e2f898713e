package node

import "testing"

// TestQueuesFitOneRequestPerConnection checks that the queue of the core and the relay queue each hold one request of
// every connection that may be open. Smaller queues reject requests when all machines reconnect at the same time.
func TestQueuesFitOneRequestPerConnection(t *testing.T) {
	for _, maxSockets := range []int{32, 800, 6000} {
		settings := testSettings()
		settings.Params.MachineLimits.MaxSockets = maxSockets
		if n := maxQueuedRequests(settings); n < maxSockets || n < minQueuedRequests {
			t.Errorf("queue capacity %d with %d sockets", n, maxSockets)
		}
	}
}
