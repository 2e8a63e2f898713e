package node

import "testing"

// TestQueuesHoldARequestOfEachConnection: a request of each connection that may be open fits
// into the queue of the core, and into that of the relay.
func TestQueuesHoldARequestOfEachConnection(t *testing.T) {
	for _, most := range []int{32, 800, 6000} {
		set := testSettings()
		set.Params.MachineLimits.MaxSockets = most
		if n := maxQueuedRequests(set); n < most || n < minQueuedRequests {
			t.Errorf("%d requests may wait, with %d sockets", n, most)
		}
	}
}
