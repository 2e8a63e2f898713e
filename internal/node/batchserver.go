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

// relayServeTimeout bounds how long the leader waits for its core's replies to a batch.
const relayServeTimeout = 400 * time.Millisecond

// unnamedNode replaces the node name in a batch that has none.
const unnamedNode = "?"

// batchServer serves the batches of heartbeats and cancel requests that other nodes relay to the leader, over gRPC or
// through the state service. It passes the requests to the core and sends back the core's replies.
type batchServer struct {
	*environment
	core  *coreActor
	store *stateService
}

// serveStoredBatches serves the batches that other nodes write to the state service after revision since, until the
// term that began with the epoch ends. Of several batches of one node in the same watch response, it serves only the
// latest.
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

// listStoredBatches lists the stored batches and returns the revision from which to continue watching. It is used when
// the state service has compacted the changes since the last watch.
func (s *batchServer) listStoredBatches(ctx context.Context) ([]kvstore.WatchEvent, ident.Revision, error) {
	items, revision, err := s.store.client.List(ctx, peer.BatchKeyPrefix)
	events := make([]kvstore.WatchEvent, 0, len(items))
	for _, item := range items {
		events = append(events, kvstore.WatchEvent{SetKey: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	return events, revision, err
}

// serveStoredBatch serves one stored batch and stores the reply. Like every write of the leader, the reply is
// conditional on the epoch.
func (s *batchServer) serveStoredBatch(ctx context.Context, node string, e kvstore.WatchEvent, answered relay.AnsweredBatches) {
	if node == s.settings.NodeName {
		return
	}
	batch, err := peer.DecompressBatch(e.Value)
	if err != nil {
		s.metrics.MalformedBatches.Inc()
		s.log.Warn("decoding a relay batch failed", "node", node, "err", err)
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
	// The reply is written even if the write budget is exhausted: the renewal of a worker's lease depends on it.
	s.store.takeWrite(kvstore.PurposeLeadership)
	_, err = s.store.commit(ctx, kvstore.Txn{
		Conditions: []kvstore.Condition{election.EpochCondition(s.core.view().epoch)},
		Operations: []kvstore.Operation{{SetKey: peer.ReplyKeyPrefix + node, Value: value}},
	})
	if err != nil {
		s.log.Debug("storing the reply to a relay batch failed", "node", node, "err", err)
	}
}

// postAttestation posts to the core the attestation in a relayed batch, if there is one: for how long the sending node,
// which this node can't reach directly, has renewed no lease under a delegation grant.
func (s *batchServer) postAttestation(ctx context.Context, answered relay.AnsweredBatches, batch *peer.Batch) {
	attestation, ok := answered.Attestation(batch)
	if !ok {
		return
	}
	s.core.post(ctx, controller.PeerStatusReceived{Node: batch.Node, SentAt: attestation.ReplySentAt,
		Status: leasedelegation.Status{IdleFor: attestation.IdleFor}, SchemaVersion: batch.SchemaVersion})
}

// serve passes the requests of a batch to the core and returns the replies. A reply may reach its worker late. That is
// safe: a worker's lease counts from when the worker sent the heartbeat, which was before the core received it.
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

// startHeartbeat passes a relayed heartbeat to the core and returns the channel for the reply, or nil if the heartbeat
// is malformed or the core is overloaded.
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

// awaitHeartbeat waits for the core's reply to a relayed heartbeat. It returns status 200 if the core accepts the
// heartbeat before ctx ends and the acceptance is still valid, and status 503 otherwise.
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

// startCancel passes a relayed cancel request to the core and returns the channel for the reply, which is sent when the
// core has replied or ctx ends.
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
