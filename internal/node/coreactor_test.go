package node

import "testing"

// TestQueuesHoldARequestOfEachConnection: a request of each connection that may be open fits
// into the queue of the core, and into that of the relay.
func TestQueuesHoldARequestOfEachConnection(t *testing.T) {
	for _, maxSockets := range []int{32, 800, 6000} {
		settings := testSettings()
		settings.Params.MachineLimits.MaxSockets = maxSockets
		if n := maxQueuedRequests(settings); n < maxSockets || n < minQueuedRequests {
			t.Errorf("%d requests may wait, with %d sockets", n, maxSockets)
		}
	}
}
