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

// TestLeaderAnswersRelayedBatch checks that the leader replies, through the state service, to a batch that is stored
// there, that it counts a malformed batch without answering it, and that the reply is conditional on the epoch: a
// former leader must not answer.
func TestLeaderAnswersRelayedBatch(t *testing.T) {
	f := newNodeFixture(t)
	f.becomeLeader(t)
	leaderTxn := kvstore.Txn{Operations: []kvstore.Operation{{SetKey: election.LeaderKey, Value: election.LeaderRecord{Node: "n0"}}}}
	// Raise the revision of the leader key to the epoch that becomeLeader sets.
	for v := ident.Revision(0); v < 77; {
		var err error
		if v, err = f.node.store.client.Commit(context.Background(), leaderTxn); err != nil {
			t.Fatal(err)
		}
	}
	heartbeat := &fleet.Heartbeat{Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 1}
	batch, err := wire.CompressMessage(peer.Batch{ID: "b-1", Heartbeats: []peer.Heartbeat{peer.PackHeartbeat(heartbeat)}, CancelRequests: []peer.CancelRequest{{Job: "wk-000001"}}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := msgpack.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: data}, relay.AnsweredBatches{})
	item, _ := f.node.store.client.Get(context.Background(), peer.ReplyKeyPrefix+"n1")
	reply, err := peer.DecompressReply(item.Value)
	if err != nil || reply.ID != "b-1" || len(reply.Heartbeats) != 1 || reply.Heartbeats[0].Code != 200 || reply.Heartbeats[0].Epoch != 77 {
		t.Fatalf("reply %+v, error %v; want one accepted heartbeat in epoch 77, for batch b-1", reply, err)
	}
	if len(reply.Cancellations) != 1 || reply.Cancellations[0].State != "" {
		t.Errorf("cancellations %+v, want one without a state for the unknown job", reply.Cancellations)
	}
	// A malformed batch is counted and not answered.
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: []byte{0xa3, 'n', 'o', '!'}}, relay.AnsweredBatches{})
	if malformed := testutil.ToFloat64(f.node.metrics.MalformedBatches); malformed != 1 {
		t.Errorf("%v malformed batches counted, want 1", malformed)
	}
	if again, _ := f.node.store.client.Get(context.Background(), peer.ReplyKeyPrefix+"n1"); again.ModRevision != item.ModRevision {
		t.Error("malformed batch was answered")
	}
	// Once the leader key has a later epoch, no reply is written.
	f.node.store.client.Commit(context.Background(), leaderTxn)
	before := item.ModRevision
	f.node.batches.serveStoredBatch(context.Background(), "n1", kvstore.WatchEvent{SetKey: peer.BatchKeyPrefix + "n1", Value: data}, relay.AnsweredBatches{})
	if item, _ := f.node.store.client.Get(context.Background(), peer.ReplyKeyPrefix+"n1"); item.ModRevision != before {
		t.Error("a former leader answered")
	}
}

// TestAttestationCountsFromReplyTime checks which time the leader assumes for an attestation that is relayed through
// the state service. The attestation says how long a node has not used its delegation grant. The batch may have been
// delayed, so the leader assumes the time at which it sent the reply that the batch acknowledges, not the time at which
// the batch arrived. An attestation is ignored if the batch does not acknowledge the last reply to that node, or if the
// idle time is out of range.
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
	for _, invalid := range []peer.Batch{{Node: "n1"}, {Node: "n1", AckedBatchID: "y"}, {Node: "n2", AckedBatchID: "x"}, {Node: "n1", AckedBatchID: "x", IdleMs: -1}, {Node: "n1", AckedBatchID: "x", IdleMs: 1 << 60}} {
		f.node.batches.postAttestation(context.Background(), answered, &invalid)
	}
	if len(f.node.core.inbox) != 0 {
		t.Fatalf("invalid attestation was posted: %v", <-f.node.core.inbox)
	}
	f.node.batches.postAttestation(context.Background(), answered, &peer.Batch{Node: "n1", AckedBatchID: "x", IdleMs: 5000})
	if in, ok := (<-f.node.core.inbox).(controller.PeerStatusReceived); !ok || in.Node != "n1" || in.SentAt != repliedAt || in.Status.IdleFor != 5*time.Second || in.Status.GrantDuration != 0 {
		t.Errorf("attestation was posted as %+v, want an idle time of 5s as of %v", in, repliedAt)
	}
}
