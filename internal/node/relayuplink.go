package node

import (
	"context"
	"strconv"
	"time"

	"badgerbay/internal/api"
	"badgerbay/internal/clock"
	"badgerbay/internal/controller"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
)

const (
	// relayBatchInterval is the minimum time between the starts of two batches through the state service.
	relayBatchInterval = 500 * time.Millisecond
	// relayCollectTime is how long the first request of a batch waits for others to join the batch.
	relayCollectTime = relayBatchInterval / 4
	// relayReplyTimeout bounds how long a batch waits for the leader's reply.
	relayReplyTimeout = 2 * time.Second
)

// relayUplink relays heartbeats and cancel requests through the state service to a leader that this node can't reach
// directly. It sends one batch at a time.
type relayUplink struct {
	*environment
	core  *coreActor
	store *stateService
	queue chan relay.PendingRequest
}

func newRelayUplink(env *environment, core *coreActor, store *stateService) *relayUplink {
	queue := make(chan relay.PendingRequest, maxQueuedRequests(env.settings))
	return &relayUplink{environment: env, core: core, store: store, queue: queue}
}

// tryEnqueue adds a request to the queue and reports whether the queue had room for it.
func (u *relayUplink) tryEnqueue(pending relay.PendingRequest) bool {
	select {
	case u.queue <- pending:
		return true
	default:
		return false
	}
}

// relayHeartbeat relays a heartbeat to the leader and waits for the reply. It returns unavailableReply if the queue is
// full or ctx ends first.
func (u *relayUplink) relayHeartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) controller.HeartbeatReply {
	pending := relay.NewHeartbeatRequest(heartbeat, u.clock.Now().Add(heartbeatTimeout))
	if !u.tryEnqueue(pending) {
		return unavailableReply
	}
	select {
	case reply := <-pending.HeartbeatReply:
		return relayedReply(reply)
	case <-ctx.Done():
		return unavailableReply
	}
}

// cancel relays a cancel request to the leader and waits for the reply. It returns NoLeader if the queue is full, ctx
// ends first, or the reply does not contain the state of the job.
func (u *relayUplink) cancel(ctx context.Context, id ident.JobID) api.LeaderReplied {
	noLeader := api.LeaderReplied{Outcome: api.NoLeader}
	pending := relay.NewCancelRequest(id, u.clock.Now().Add(heartbeatTimeout))
	if !u.tryEnqueue(pending) {
		return noLeader
	}
	select {
	case reply := <-pending.CancelReply:
		if reply.State == "" {
			return noLeader
		}
		return api.LeaderReplied{Outcome: api.JobFound, Status: api.Status{State: api.JobState(reply.State), DoneTasks: reply.DoneTasks}}
	case <-ctx.Done():
		return noLeader
	}
}

// run sends batches until ctx ends.
func (u *relayUplink) run(ctx context.Context) {
	var waiting []relay.PendingRequest
	// The nonce keeps batch IDs distinct from those before a restart of this node.
	nonce := strconv.FormatInt(time.Now().UnixNano(), 36)
	lastAckedID := "" // ID of the last batch that was answered
	for sequence := 1; ; sequence++ {
		if len(waiting) == 0 {
			select {
			case pending := <-u.queue:
				waiting = append(waiting, pending)
			case <-ctx.Done():
				return
			}
		}
		startedAt := u.clock.Now()
		if !sleep(ctx, relayCollectTime) {
			return
		}
		id := nonce + "-" + strconv.Itoa(sequence)
		batch := u.nextBatch(id, lastAckedID, u.drainQueue(waiting))
		waiting = batch.Remaining
		if len(batch.Sent) > 0 && u.exchange(ctx, id, batch) {
			lastAckedID = id
		}
		if remaining := relayBatchInterval - u.clock.Now().Sub(startedAt); remaining > 0 && !sleep(ctx, remaining) {
			return
		}
	}
}

// drainQueue appends the requests in the queue to those that wait, and returns them all.
func (u *relayUplink) drainQueue(waiting []relay.PendingRequest) []relay.PendingRequest {
	for {
		select {
		case pending := <-u.queue:
			waiting = append(waiting, pending)
		default:
			return waiting
		}
	}
}

// nextBatch returns a batch of the waiting requests, whose header also attests how long this node has renewed no lease
// under a delegation grant.
func (u *relayUplink) nextBatch(id, acked string, waiting []relay.PendingRequest) relay.Batch {
	now := u.clock.Now()
	idleSince := clock.Instant(u.core.delegateIdleSince.Load())
	header := relay.BatchHeader{ID: id, Node: u.settings.NodeName, AckedBatchID: acked, IdleFor: now.Sub(idleSince)}
	batch, err := relay.NewBatch(now, header, waiting, u.maxRelayBytes())
	if err != nil {
		u.log.Error("encoding a relay batch failed", "batch", id, "err", err)
	}
	return batch
}

// exchange writes a batch to the state service, waits for the leader's reply and delivers it to the requests. It
// reports whether a reply arrived.
func (u *relayUplink) exchange(ctx context.Context, id string, batch relay.Batch) bool {
	if !u.store.takeWrite(kvstore.PurposeSubmission) {
		return false
	}
	key := peer.BatchKeyPrefix + u.settings.NodeName
	since, err := u.store.commit(ctx, kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: batch.Value}}})
	if err != nil {
		return false
	}
	deadline := u.clock.Now().Add(relayReplyTimeout)
	for u.clock.Now().Before(deadline) && ctx.Err() == nil {
		events, revision, err := u.store.watch(ctx, peer.ReplyKeyPrefix+u.settings.NodeName, since, deadline.Sub(u.clock.Now()))
		if err != nil {
			return false
		}
		since = max(since, revision)
		if reply := u.findReply(events, id); reply != nil {
			relay.DeliverReplies(reply, batch.Sent)
			return true
		}
	}
	return false
}

// findReply returns the reply to the batch with the given ID among the changes of this node's reply key, or nil if
// there is none.
func (u *relayUplink) findReply(events []kvstore.WatchEvent, id string) *peer.BatchReply {
	for _, e := range events {
		reply, err := peer.DecompressReply(e.Value)
		if err != nil {
			u.metrics.MalformedBatches.Inc()
			continue
		}
		if reply.ID == id {
			return reply
		}
	}
	return nil
}
