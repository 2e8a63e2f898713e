package node

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/controller"
	"badgerbay/internal/election"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/leasedelegation"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
)

// relayServeTimeout bounds the leader's wait for the core to answer a batch.
const relayServeTimeout = 400 * time.Millisecond

// unnamedNode stands for a node that does not say its name.
const unnamedNode = "?"

// batchServer lets the core answer what other nodes relay, directly or through the state
// service.
type batchServer struct {
	*environment
	core  *coreActor
	store *stateService
}

// serveStoredBatches serves the batches that nodes write to the state service, from a revision
// on, until the term that began with the epoch ends.
func (s *batchServer) serveStoredBatches(ctx context.Context, epoch ident.Epoch, since ident.Revision) {
	answered := relay.AnsweredBatches{}
	for s.core.leadsInTerm(epoch) && ctx.Err() == nil {
		events, revision, err := s.store.client.Watch(ctx, peer.BatchKeyPrefix, since, longPollTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			events, revision, err = s.listStoredBatches(ctx)
		}
		if err != nil {
			sleep(ctx, longPollInterval)
			continue
		}
		since = max(since, revision)
		latest := map[string]kvstore.WatchEvent{}
		for _, e := range events {
			if e.SetKey != "" {
				latest[e.SetKey] = e
			}
		}
		for key, e := range latest {
			s.serveStoredBatch(ctx, strings.TrimPrefix(key, peer.BatchKeyPrefix), e, answered)
		}
	}
}

// listStoredBatches reads the batches that are stored, when the changes since the last look are
// not kept any more, and returns the revision to go on from.
func (s *batchServer) listStoredBatches(ctx context.Context) ([]kvstore.WatchEvent, ident.Revision, error) {
	items, revision, err := s.store.client.List(ctx, peer.BatchKeyPrefix)
	events := make([]kvstore.WatchEvent, 0, len(items))
	for _, item := range items {
		events = append(events, kvstore.WatchEvent{SetKey: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	return events, revision, err
}

// serveStoredBatch answers one stored batch. Like every write of the leader, the reply is
// conditioned on the epoch.
func (s *batchServer) serveStoredBatch(ctx context.Context, node string, e kvstore.WatchEvent, answered relay.AnsweredBatches) {
	if node == s.settings.NodeName {
		return
	}
	batch, err := peer.DecompressBatch(e.Value)
	if err != nil {
		s.metrics.MalformedBatches.Inc()
		s.log.Warn("relay batch unreadable", "node", node, "err", err)
		return
	}
	batch.Node = node
	s.postAttestation(ctx, answered, batch)
	reply := s.serve(ctx, batch)
	value, err := relay.CompressReply(reply, s.maxRelayBytes())
	if err != nil {
		s.log.Error("encoding the reply to a relay batch failed", "node", node, "err", err)
		return
	}
	s.metrics.RelayedHeartbeats.Add(float64(len(reply.Heartbeats)))
	answered.Record(node, batch.ID, s.clock.Now())
	s.store.takeWrite(kvstore.PurposeLeadership) // written even if there is none: a worker's lease waits for it
	_, err = s.store.commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(s.core.view().epoch)},
		Operations: []kvstore.Operation{{SetKey: peer.ReplyKeyPrefix + node, Value: value}},
	})
	if err != nil {
		s.log.Debug("reply to a relay batch not stored", "node", node, "err", err)
	}
}

// postAttestation tells the core what a node that is not reached says of its use of a lease delegation.
func (s *batchServer) postAttestation(ctx context.Context, answered relay.AnsweredBatches, batch *peer.Batch) {
	attestation, ok := answered.Attestation(batch)
	if !ok {
		return
	}
	s.core.post(ctx, controller.PeerStatusReceived{Node: batch.Node, SentAt: attestation.Since,
		Status: leasedelegation.Status{IdleFor: attestation.IdleFor}, SchemaVersion: batch.SchemaVersion})
}

// serve lets the core answer what another node hands over. An answer may
// reach its worker late; that is safe, since a lease counts from when the
// heartbeat was sent, and that was before the core took it in.
func (s *batchServer) serve(ctx context.Context, batch *peer.Batch) *peer.BatchReply {
	ctx, cancel := context.WithTimeout(ctx, relayServeTimeout)
	defer cancel()
	if batch.Node == "" {
		batch.Node = unnamedNode
	}
	heartbeats := make([]<-chan controller.HeartbeatReply, len(batch.Heartbeats))
	for i := range batch.Heartbeats {
		heartbeats[i] = s.startHeartbeat(batch.Node, &batch.Heartbeats[i])
	}
	cancellations := make([]<-chan peer.CancelReply, len(batch.CancelRequests))
	for i, c := range batch.CancelRequests {
		cancellations[i] = s.startCancel(ctx, c.Job)
	}
	reply := &peer.BatchReply{ID: batch.ID}
	for i, pending := range heartbeats {
		reply.Heartbeats = append(reply.Heartbeats, s.awaitHeartbeat(ctx, batch.Heartbeats[i].Machine, pending))
	}
	for _, pending := range cancellations {
		reply.Cancellations = append(reply.Cancellations, <-pending)
	}
	return reply
}

// startHeartbeat hands a relayed heartbeat to the core; nil: it can't be answered.
func (s *batchServer) startHeartbeat(node string, packed *peer.Heartbeat) <-chan controller.HeartbeatReply {
	heartbeat, err := packed.Unpack()
	if err != nil {
		return nil
	}
	pending, err := startRequest(s.core, func(to controller.Responder[controller.HeartbeatReply]) controller.Input {
		return controller.HeartbeatReceived{Responder: to, Heartbeat: heartbeat, RelayedBy: node}
	})
	if err != nil {
		return nil
	}
	return pending
}

// awaitHeartbeat waits for the core's answer to a relayed heartbeat.
func (s *batchServer) awaitHeartbeat(ctx context.Context, machine ident.MachineID,
	pending <-chan controller.HeartbeatReply) peer.HeartbeatReply {
	out := peer.HeartbeatReply{Machine: machine, Code: http.StatusServiceUnavailable}
	if pending == nil {
		return out
	}
	select {
	case reply := <-pending:
		if reply.Outcome == controller.HeartbeatAccepted && s.clock.Now().Before(reply.ValidUntil) {
			out.Code, out.Epoch, out.Commands = http.StatusOK, reply.Epoch, peer.PackCommands(reply.Commands)
		}
	case <-ctx.Done():
	}
	return out
}

// startCancel cancels a job; the reply comes when the core has answered or ctx ends.
func (s *batchServer) startCancel(ctx context.Context, id ident.JobID) <-chan peer.CancelReply {
	pending := make(chan peer.CancelReply, 1)
	go func() {
		reply := peer.CancelReply{Job: id}
		if r := s.core.queryJob(ctx, id, true); r.Outcome == api.JobFound {
			reply.State, reply.DoneTasks = string(r.Status.State), r.Status.DoneTasks
		}
		pending <- reply
	}()
	return pending
}
