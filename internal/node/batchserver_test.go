package node

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/vmihailenco/msgpack/v5"

	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
	"badgerbay/internal/wire"
)

// TestLeaderAnswersRelayedBatch: the answers to a cut-off node's batch are written
// on the condition of the epoch.
func TestLeaderAnswersRelayedBatch(t *testing.T) {
	f := newNodeFixture(t)
	f.becomeLeader(t)
	leaderTxn := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: election.LeaderRecord{Node: "n0"}}}}
	for v := ident.Revision(0); v < 77; { // the epoch that this node leads with
		var err error
		if v, err = f.node.store.client.Commit(context.Background(), leaderTxn); err != nil {
			t.Fatal(err)
		}
	}
	r := &fleet.Heartbeat{Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 1}
	batch, err := wire.CompressMessage(peer.Batch{ID: "b-1", Heartbeats: []peer.Heartbeat{peer.PackHeartbeat(r)}, CancelRequests: []peer.CancelRequest{{Job: "wk-000001"}}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: data}, relay.AnsweredBatches{})
	item, _ := f.node.store.client.Get(context.Background(), peer.ReplyKeyPrefix+"n1")
	a, err := peer.DecompressReply(item.Value)
	if err != nil || a.ID != "b-1" || len(a.Heartbeats) != 1 || a.Heartbeats[0].Code != 200 || a.Heartbeats[0].Epoch != 77 {
		t.Fatalf("answers %+v, %v", a, err)
	}
	if len(a.Cancellations) != 1 || a.Cancellations[0].State != "" {
		t.Errorf("an unknown job was answered: %+v", a.Cancellations)
	}
	// What can't be read is counted, and answered by nothing.
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: []byte{0xa3, 'n', 'o', '!'}}, relay.AnsweredBatches{})
	if bad := testutil.ToFloat64(f.node.metrics.MalformedBatches); bad != 1 {
		t.Errorf("%v malformed batches counted, want 1", bad)
	}
	if again, _ := f.node.store.client.Get(context.Background(), peer.ReplyKeyPrefix+"n1"); again.ModRevision != item.ModRevision {
		t.Error("a batch that can't be read was answered")
	}
	// Once another leads, nothing more is written.
	f.node.store.client.Commit(context.Background(), leaderTxn)
	before := item.ModRevision
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: data}, relay.AnsweredBatches{})
	if item, _ := f.node.store.client.Get(context.Background(), peer.ReplyKeyPrefix+"n1"); item.ModRevision != before {
		t.Error("a deposed leader answered")
	}
}

// TestAttestationCountsFromReplyTime: what a node says of its lease delegation through the state
// service counts from when the answers left that it has seen, never from when
// it arrives; without a known answer it counts for nothing.
func TestAttestationCountsFromReplyTime(t *testing.T) {
	f := newNodeFixture(t)
	answered := relay.AnsweredBatches{}
	data, err := wire.CompressMessage(peer.Batch{ID: "x", Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	value, err := msgpack.Marshal(data)
	if err != nil {
		t.Fatal(err)
	}
	repliedAt := f.clock.now
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: value}, answered)
	f.clock.now = f.clock.now.Add(20 * time.Second)
	for _, bad := range []peer.Batch{{Node: "n1"}, {Node: "n1", AckedBatchID: "y"}, {Node: "n2", AckedBatchID: "x"}, {Node: "n1", AckedBatchID: "x", IdleMs: -1}, {Node: "n1", AckedBatchID: "x", IdleMs: 1 << 60}} {
		f.node.batches.postAttestation(context.Background(), answered, &bad)
	}
	if len(f.node.core.inbox) != 0 {
		t.Fatalf("%v was posted", <-f.node.core.inbox)
	}
	f.node.batches.postAttestation(context.Background(), answered, &peer.Batch{Node: "n1", AckedBatchID: "x", IdleMs: 5000})
	if in, ok := (<-f.node.core.inbox).(controller.PeerStatusReceived); !ok || in.Node != "n1" || in.SentAt != repliedAt || in.Status.IdleFor != 5*time.Second || in.Status.GrantDuration != 0 {
		t.Errorf("posted as %+v", in)
	}
}
