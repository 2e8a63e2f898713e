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

// TestHeartbeatsAnsweredOnlyWhileEntitled: whoever is not entitled must refuse workers,
// up to the moment the answer leaves, so that their leases do expire.
func TestHeartbeatsAnsweredOnlyWhileEntitled(t *testing.T) {
	f := newNodeFixture(t)
	f.node.core.core.Step(f.clock.now, controller.ElectionInput{Input: election.LeaderKeysRead{OK: true, Leader: election.LeaderRecord{Node: "n1"}, Epoch: 5}})
	replies := make(replyChannel[controller.HeartbeatReply], 1)
	heartbeat := &fleet.Heartbeat{Machine: "host-000001", Session: 1, HeartbeatSeq: 1}
	f.node.core.step(context.Background(), controller.HeartbeatReceived{Responder: replies, Heartbeat: heartbeat})
	if got := <-replies; httpStatusOf(got.Outcome) != 421 || got.Leader != "n1" {
		t.Errorf("follower answers %+v", got)
	}

	f = newNodeFixture(t)
	f.becomeLeader(t)
	if w := f.call("POST", "/agent/beat", heartbeatBody(0)); w.Code != 200 {
		t.Fatalf("leader answers %d", w.Code)
	}
	w := httptest.NewRecorder()
	f.node.workers.write(w, controller.HeartbeatReply{Outcome: controller.HeartbeatAccepted, Epoch: 77, ValidUntil: f.clock.now})
	if w.Code != 503 {
		t.Errorf("an answer that leaves too late has status %d", w.Code)
	}
	f.clock.now = f.clock.now.Add(time.Minute)
	if w := f.call("POST", "/agent/beat", heartbeatBody(0)); w.Code != 503 {
		t.Errorf("a leader that lost its entitlement answers %d", w.Code)
	}
	if w := f.call("GET", "/submissions/wk-000009", nil); w.Code != 404 {
		t.Errorf("poll of an unknown job: %d, want 404 from the state service", w.Code)
	}
}

// TestHigherFencingTokenDeposes: a worker that has seen a higher token proves that
// somebody else was elected.
func TestHigherFencingTokenDeposes(t *testing.T) {
	f := newNodeFixture(t)
	f.kv.Store.Down = true // it can't be elected again
	f.becomeLeader(t)
	if w := f.call("POST", "/agent/beat", heartbeatBody(78)); w.Code != 503 {
		t.Errorf("%d, want 503", w.Code)
	}
	if w := f.call("POST", "/agent/beat", heartbeatBody(0)); w.Code == 200 {
		t.Error("still answers as leader")
	}
}
