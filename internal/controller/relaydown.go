package controller

import (
	"context"
	"errors"
	"net/http"

	"badgerbay/internal/delegation"
	"badgerbay/internal/leadership"
	"badgerbay/internal/mesh"
	"badgerbay/internal/relay"
	"badgerbay/internal/statestore"
	"badgerbay/internal/unit"
	"badgerbay/internal/userapi"
)

// serveStoredBatches serves the batches of cut-off nodes while this node leads. The
// answers are guarded by the epoch like every write of the leader.
func (n *Node) serveStoredBatches(ctx context.Context, epoch unit.Epoch, since unit.Revision) {
	answered := relay.AnsweredBatches{}
	for n.leadsInTerm(epoch) && ctx.Err() == nil {
		log, next, err := n.store.Watch(ctx, mesh.BatchKeyPrefix, since, watchHoldTime)
		if errors.Is(err, statestore.ErrCompacted) {
			log, next, err = n.readBatches(ctx)
		}
		if err != nil {
			n.sleep(ctx, watchPause)
			continue
		}
		since = max(since, next)
		latest := map[string]statestore.WatchEvent{}
		for _, c := range log {
			if c.SetKey != "" {
				latest[c.SetKey] = c
			}
		}
		for key, c := range latest {
			n.serveStoredBatch(ctx, key[len(mesh.BatchKeyPrefix):], c, answered)
		}
	}
}

// readBatches reads the batches that are stored, when the changes since the last
// look are not kept any more, and returns the revision to go on from.
func (n *Node) readBatches(ctx context.Context) ([]statestore.WatchEvent, unit.Revision, error) {
	items, revision, err := n.store.List(ctx, mesh.BatchKeyPrefix)
	changes := make([]statestore.WatchEvent, 0, len(items))
	for _, item := range items {
		changes = append(changes, statestore.WatchEvent{SetKey: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	return changes, revision, err
}

// noteAttestation takes in what a node that is out of reach over the mesh says of its grant.
func (n *Node) noteAttestation(ctx context.Context, answered relay.AnsweredBatches, b *mesh.Batch) {
	if a, ok := answered.Attestation(b); ok {
		n.enqueue(ctx, PeerStatusReceived{Node: b.Node, SentAt: a.Since, Status: delegation.Status{IdleFor: a.IdleFor}, SchemaVersion: b.SchemaVersion})
	}
}

func (n *Node) serveStoredBatch(ctx context.Context, node string, c statestore.WatchEvent, answered relay.AnsweredBatches) {
	if node == n.settings.NodeName {
		return
	}
	b, err := mesh.DecompressBatch(c.Value)
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
	n.budget.TakeWrites(n.clock.Now(), statestore.PurposeLeadership, 1)
	_, err = n.store.Commit(ctx, statestore.Txn{
		Conditions: []statestore.Condition{{Key: leadership.LeaderKey, ModRevision: unit.Revision(n.view.Load().epoch)}},
		Operations: []statestore.Operation{{SetKey: mesh.ReplyKeyPrefix + node, Value: value}},
	})
	if n.noteStoreResult(err) != nil {
		n.log.Debug("relayed answers not stored", "node", node, "err", err)
	}
}

// serveBatch lets the core answer what another node hands over. An answer may
// reach its worker late; that is safe, since a lease counts from when the
// report was sent, and that was before the core took it in.
func (n *Node) serveBatch(ctx context.Context, b *mesh.Batch) *mesh.BatchReply {
	ctx, cancel := context.WithTimeout(ctx, relayServeTimeout)
	defer cancel()
	out := &mesh.BatchReply{ID: b.ID}
	tickets := make([]chan HeartbeatReply, len(b.Heartbeats))
	if b.Node == "" {
		b.Node = "?" // of a node that does not say
	}
	for i := range b.Heartbeats {
		if r, err := b.Heartbeats[i].Unpack(); err == nil {
			tickets[i] = make(chan HeartbeatReply, 1)
			if !n.tryEnqueue(HeartbeatReceived{Ticket: tickets[i], Heartbeat: r, RelayedBy: b.Node}) {
				tickets[i] = nil
			}
		}
	}
	states := make([]chan mesh.CancelReply, len(b.CancelRequests))
	for i, a := range b.CancelRequests {
		states[i] = make(chan mesh.CancelReply, 1)
		go func() {
			s := mesh.CancelReply{Job: a.Job}
			if t := n.queryCore(ctx, a.Job, true); t.Outcome == userapi.JobFound {
				s.State, s.DoneTasks = string(t.Status.State), t.Status.DoneTasks
			}
			states[i] <- s
		}()
	}
	for i, ticket := range tickets {
		a := mesh.HeartbeatReply{Machine: b.Heartbeats[i].Machine, Code: http.StatusServiceUnavailable}
		if ticket != nil {
			select {
			case reply := <-ticket:
				if reply.Code == http.StatusOK && n.clock.Now().Before(reply.ValidUntil) {
					a.Code, a.Epoch, a.Commands = http.StatusOK, reply.Epoch, mesh.PackCommands(reply.Commands)
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
