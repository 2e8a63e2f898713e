package relay

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/peer"
)

// TestDeliverReplies passes each reply to its request, and nothing to the others.
func TestDeliverReplies(t *testing.T) {
	now := clock.Instant(time.Hour)
	answered := NewHeartbeatRequest(&fleet.Heartbeat{Machine: "m1"}, now)
	omitted := NewHeartbeatRequest(&fleet.Heartbeat{Machine: "m2"}, now)
	cancelled := NewCancelRequest("wk-000001", now)
	DeliverReplies(&peer.BatchReply{Heartbeats: []peer.HeartbeatReply{{Machine: "m1", Code: 200, Epoch: 7}}, Cancellations: []peer.CancelReply{{Job: "wk-000001", State: "cancelled"}}},
		[]PendingRequest{answered, omitted, cancelled})
	if a := <-answered.HeartbeatReply; a.Epoch != 7 {
		t.Errorf("answered %+v", a)
	}
	if s := <-cancelled.CancelReply; s.State != "cancelled" {
		t.Errorf("cancelled %+v", s)
	}
	if len(omitted.HeartbeatReply) != 0 {
		t.Error("a heartbeat was answered that the leader left out")
	}
}
