package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"badgerbay/internal/config"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
)

// newLeaderAndFollower returns a leader n0 with a gRPC server for its peers, its follower n1, and a function that
// stops that server. Both use the same state service, and the leader serves the batches that are stored there.
func newLeaderAndFollower(t *testing.T) (*nodeFixture, *nodeFixture, func()) {
	t.Helper()
	leader, follower := newNodeFixture(t), newNodeFixture(t)
	const epoch = 77 // as set by becomeLeader
	key := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: election.LeaderRecord{Node: "n0"}}}}
	for revision := ident.Revision(0); revision < epoch; {
		var err error
		revision, err = leader.kv.Store.Commit(key)
		if err != nil {
			t.Fatal(err)
		}
	}
	leader.becomeLeader(t)
	go leader.node.batches.serveStoredBatches(t.Context(), epoch, epoch)

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- peer.Serve(ctx, listener, leader.node.newPeerServer(), minQueuedRequests) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if failure := <-served; failure != nil {
			t.Errorf("peer server: %v", failure)
		}
	})

	n := follower.node
	n.settings.NodeName = "n1"
	n.store.client = kvstore.NewClient("10.2.0.1:1", leader.kv)
	if n.peers.Clients, err = peer.Dial([]config.Peer{{NodeName: "n0", Addr: listener.Addr().String()}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.peers.Close)
	n.core.core.Step(follower.clock.now, controller.ElectionInput{
		Input: election.LeaderKeysRead{OK: true, Leader: election.LeaderRecord{Node: "n0"}, Epoch: epoch}})
	follower.runCore(t)
	go n.uplink.run(t.Context())
	return leader, follower, stop
}

// TestFollowerRedirectsThenRelaysHeartbeats checks that a follower redirects a worker to the leader, and relays its
// heartbeat if the worker returns, which shows that it could not reach the leader. The heartbeat is relayed over gRPC
// or, if the leader does not answer the follower either, through the state service.
func TestFollowerRedirectsThenRelaysHeartbeats(t *testing.T) {
	leader, follower, stopPeerServer := newLeaderAndFollower(t)
	defer stopPeerServer()
	sequence := 0
	send := func() int {
		sequence++
		body := heartbeatBody(0)
		body["tally"] = sequence
		return follower.call(http.MethodPost, heartbeatPath, body).Code
	}
	if code := send(); code != http.StatusMisdirectedRequest {
		t.Errorf("first heartbeat: status %d, want 421 (a redirect to the leader)", code)
	}
	if code := send(); code != http.StatusOK {
		t.Errorf("heartbeat relayed directly: status %d, want 200", code)
	}
	if item, _ := leader.kv.Store.Get(peer.BatchKeyPrefix + "n1"); item.ModRevision != 0 {
		t.Error("a batch was written to the state service although the leader answers directly")
	}
	stopPeerServer()
	if code := send(); code != http.StatusOK {
		t.Errorf("heartbeat relayed through the state service: status %d, want 200", code)
	}
	if item, _ := leader.kv.Store.Get(peer.BatchKeyPrefix + "n1"); item.ModRevision == 0 {
		t.Error("no batch was written to the state service")
	}
}

// TestFollowerForwardsJobRequestsToLeader checks that a follower forwards a status query to the leader. It also checks
// that a cancel request for an unknown job fails if the leader does not answer the follower, so that the request is
// relayed through the state service.
func TestFollowerForwardsJobRequestsToLeader(t *testing.T) {
	_, follower, stopPeerServer := newLeaderAndFollower(t)
	defer stopPeerServer()
	if w := follower.call(http.MethodGet, "/submissions/wk-000001", nil); w.Code != http.StatusNotFound {
		t.Errorf("status query for an unknown job: status %d, want 404", w.Code)
	}
	if !follower.node.peers.reachable("n0") {
		t.Error("the leader was not queried, or did not answer")
	}
	stopPeerServer()
	if w := follower.call(http.MethodPost, "/submissions/wk-000001/withdraw", nil); w.Code == http.StatusOK {
		t.Errorf("cancel request for an unknown job: status %d, want any status but 200", w.Code)
	}
}
