package relay

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/peer"
)

// TestDeliverReplies checks that each reply is delivered to its request, and that a request
// without a reply receives nothing.
func TestDeliverReplies(t *testing.T) {
	now := clock.Instant(time.Hour)
	answered := NewHeartbeatRequest(&fleet.Heartbeat{Machine: "m1"}, now)
	omitted := NewHeartbeatRequest(&fleet.Heartbeat{Machine: "m2"}, now)
	cancelled := NewCancelRequest("wk-000001", now)
	DeliverReplies(&peer.BatchReply{Heartbeats: []peer.HeartbeatReply{{Machine: "m1", Code: 200, Epoch: 7}}, Cancellations: []peer.CancelReply{{Job: "wk-000001", State: "cancelled"}}},
		[]PendingRequest{answered, omitted, cancelled})
	if a := <-answered.HeartbeatReply; a.Epoch != 7 {
		t.Errorf("heartbeat reply %+v, want epoch 7", a)
	}
	if s := <-cancelled.CancelReply; s.State != "cancelled" {
		t.Errorf("cancel reply %+v, want state cancelled", s)
	}
	if len(omitted.HeartbeatReply) != 0 {
		t.Error("a heartbeat without a reply from the leader received one")
	}
}
