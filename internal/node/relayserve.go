package node

import (
	"context"
	"errors"
	"net/http"

	"badgerbay/internal/controller"
	"badgerbay/internal/ident"

	"badgerbay/internal/api"
	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
)

// serveStoredBatches serves the batches of cut-off nodes while this node leads. The
// answers are guarded by the epoch like every write of the leader.
func (n *Node) serveStoredBatches(ctx context.Context, epoch ident.Epoch, since ident.Revision) {
	answered := relay.AnsweredBatches{}
	for n.leadsInTerm(epoch) && ctx.Err() == nil {
		log, next, err := n.store.Watch(ctx, peer.BatchKeyPrefix, since, watchHoldTime)
		if errors.Is(err, kvstore.ErrCompacted) {
			log, next, err = n.readBatches(ctx)
		}
		if err != nil {
			n.sleep(ctx, watchPause)
			continue
		}
		since = max(since, next)
		latest := map[string]kvstore.WatchEvent{}
		for _, c := range log {
			if c.SetKey != "" {
				latest[c.SetKey] = c
			}
		}
		for key, c := range latest {
			n.serveStoredBatch(ctx, key[len(peer.BatchKeyPrefix):], c, answered)
		}
	}
}

// readBatches reads the batches that are stored, when the changes since the last
// look are not kept any more, and returns the revision to go on from.
func (n *Node) readBatches(ctx context.Context) ([]kvstore.WatchEvent, ident.Revision, error) {
	items, revision, err := n.store.List(ctx, peer.BatchKeyPrefix)
	changes := make([]kvstore.WatchEvent, 0, len(items))
	for _, item := range items {
		changes = append(changes, kvstore.WatchEvent{SetKey: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	return changes, revision, err
}

// noteAttestation takes in what a node that is out of reach over the mesh says of its grant.
func (n *Node) noteAttestation(ctx context.Context, answered relay.AnsweredBatches, b *peer.Batch) {
	if a, ok := answered.Attestation(b); ok {
		n.enqueue(ctx, controller.PeerStatusReceived{Node: b.Node, SentAt: a.Since, Status: leasedelegation.Status{IdleFor: a.IdleFor}, SchemaVersion: b.SchemaVersion})
	}
}

func (n *Node) serveStoredBatch(ctx context.Context, node string, c kvstore.WatchEvent, answered relay.AnsweredBatches) {
	if node == n.settings.NodeName {
		return
	}
	b, err := peer.DecompressBatch(c.Value)
	if err != nil {
		n.metrics.MalformedBatches.Inc()
		n.log.Warn("batch can't be read", "node", node, "err", err)
		return
	}
	b.Node = node
	n.noteAttestation(ctx, answered, b)
	answers := n.serveBatch(ctx, b)
	value, err := relay.CompressReply(answers, n.relayValueLimit())
	if err != nil {
		n.log.Error("batch can't be answered", "node", node, "err", err)
		return
	}
	n.metrics.RelayedHeartbeats.Add(float64(len(answers.Heartbeats)))
	answered.Record(node, b.ID, n.clock.Now())
	n.budget.TakeWrites(n.clock.Now(), kvstore.PurposeLeadership, 1)
	_, err = n.store.Commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: election.LeaderKey, ModRevision: ident.Revision(n.view.Load().epoch)}},
		Operations: []kvstore.Operation{{SetKey: peer.ReplyKeyPrefix + node, Value: value}},
	})
	if n.noteStoreResult(err) != nil {
		n.log.Debug("relayed answers not stored", "node", node, "err", err)
	}
}

// serveBatch lets the core answer what another node hands over. An answer may
// reach its worker late; that is safe, since a lease counts from when the
// report was sent, and that was before the core took it in.
func (n *Node) serveBatch(ctx context.Context, b *peer.Batch) *peer.BatchReply {
	ctx, cancel := context.WithTimeout(ctx, relayServeTimeout)
	defer cancel()
	out := &peer.BatchReply{ID: b.ID}
	replies := make([]replyChannel[controller.HeartbeatReply], len(b.Heartbeats))
	if b.Node == "" {
		b.Node = "?" // of a node that does not say
	}
	for i := range b.Heartbeats {
		if r, err := b.Heartbeats[i].Unpack(); err == nil {
			replies[i] = newReplyChannel[controller.HeartbeatReply]()
			if !n.tryEnqueue(controller.HeartbeatReceived{Responder: replies[i], Heartbeat: r, RelayedBy: b.Node}) {
				replies[i] = nil
			}
		}
	}
	states := make([]chan peer.CancelReply, len(b.CancelRequests))
	for i, a := range b.CancelRequests {
		states[i] = make(chan peer.CancelReply, 1)
		go func() {
			s := peer.CancelReply{Job: a.Job}
			if t := n.queryCore(ctx, a.Job, true); t.Outcome == api.JobFound {
				s.State, s.DoneTasks = string(t.Status.State), t.Status.DoneTasks
			}
			states[i] <- s
		}()
	}
	for i, replyTo := range replies {
		a := peer.HeartbeatReply{Machine: b.Heartbeats[i].Machine, Code: http.StatusServiceUnavailable}
		if replyTo != nil {
			select {
			case reply := <-replyTo:
				if reply.Outcome == controller.HeartbeatAccepted && n.clock.Now().Before(reply.ValidUntil) {
					a.Code, a.Epoch, a.Commands = http.StatusOK, reply.Epoch, peer.PackCommands(reply.Commands)
				}
			case <-ctx.Done():
			}
		}
		out.Heartbeats = append(out.Heartbeats, a)
	}
	for _, s := range states {
		out.Cancellations = append(out.Cancellations, <-s)
	}
	return out
}
