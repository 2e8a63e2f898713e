package node

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
)

// TestHeartbeatsAcceptedOnlyWhileLeaseValid checks that a follower, and a leader whose lease has expired, never accept a
// heartbeat, up to the moment at which the response is sent. A node that accepted one would keep renewing workers'
// leases that must expire.
func TestHeartbeatsAcceptedOnlyWhileLeaseValid(t *testing.T) {
	f := newNodeFixture(t)
	f.node.core.core.Step(f.clock.now, controller.ElectionInput{Input: election.LeaderKeysRead{OK: true, Leader: election.LeaderRecord{Node: "n1"}, Epoch: 5}})
	replies := make(replyChannel[controller.HeartbeatReply], 1)
	heartbeat := &fleet.Heartbeat{Machine: "host-000001", Session: 1, HeartbeatSeq: 1}
	f.node.core.step(context.Background(), controller.HeartbeatReceived{Responder: replies, Heartbeat: heartbeat})
	if got := <-replies; httpStatusOf(got.Outcome) != 421 || got.Leader != "n1" {
		t.Errorf("follower answers %+v, want status 421 and leader n1", got)
	}

	f = newNodeFixture(t)
	f.becomeLeader(t)
	if w := f.call("POST", "/agent/beat", heartbeatBody(0)); w.Code != 200 {
		t.Fatalf("leader answers %d, want 200", w.Code)
	}
	w := httptest.NewRecorder()
	f.node.workers.write(w, controller.HeartbeatReply{Outcome: controller.HeartbeatAccepted, Epoch: 77, ValidUntil: f.clock.now})
	if w.Code != 503 {
		t.Errorf("answer sent after its expiry: status %d, want 503", w.Code)
	}
	f.clock.now = f.clock.now.Add(time.Minute)
	if w := f.call("POST", "/agent/beat", heartbeatBody(0)); w.Code != 503 {
		t.Errorf("leader with an expired lease answers %d, want 503", w.Code)
	}
	if w := f.call("GET", "/submissions/wk-000009", nil); w.Code != 404 {
		t.Errorf("status query of an unknown job: %d, want 404 from the state service", w.Code)
	}
}

// TestHigherFencingTokenEndsLeadership checks that a leader steps down when a worker reports a higher fencing token than its
// own, which proves that another leader was elected.
func TestHigherFencingTokenEndsLeadership(t *testing.T) {
	f := newNodeFixture(t)
	f.kv.Store.Down = true // prevents another election of this node
	f.becomeLeader(t)
	if w := f.call("POST", "/agent/beat", heartbeatBody(78)); w.Code != 503 {
		t.Errorf("heartbeat with a higher fencing token: %d, want 503", w.Code)
	}
	if w := f.call("POST", "/agent/beat", heartbeatBody(0)); w.Code == 200 {
		t.Error("node still accepts heartbeats as leader")
	}
}
