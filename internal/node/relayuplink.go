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
	// relayBatchInterval is the least time between two batches through the state service.
	relayBatchInterval = 500 * time.Millisecond
	// relayCollectTime is how long the first request of a batch waits for others to join.
	relayCollectTime = relayBatchInterval / 4
	// relayReplyTimeout bounds the wait for the reply to a batch.
	relayReplyTimeout = 2 * time.Second
)

// relayUplink carries heartbeats and cancel requests to a leader that this node does not
// reach, through the state service, one batch at a time.
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

// tryEnqueue hands a request to the actor, unless too many wait.
func (u *relayUplink) tryEnqueue(pending relay.PendingRequest) bool {
	select {
	case u.queue <- pending:
		return true
	default:
		return false
	}
}

// relayHeartbeat brings a heartbeat to the leader.
func (u *relayUplink) relayHeartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) controller.HeartbeatReply {
	pending := relay.NewHeartbeatRequest(heartbeat, u.clock.Now().Add(heartbeatBudget))
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

// cancel brings a cancel request to the leader.
func (u *relayUplink) cancel(ctx context.Context, id ident.JobID) api.LeaderReplied {
	noLeader := api.LeaderReplied{Outcome: api.NoLeader}
	pending := relay.NewCancelRequest(id, u.clock.Now().Add(heartbeatBudget))
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
	nonce := strconv.FormatInt(time.Now().UnixNano(), 36)
	lastAckedID := "" // the last batch that was answered
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

// drainQueue appends what waits in the queue.
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

// nextBatch makes a batch of the requests that wait.
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

// exchange writes a batch and waits for the leader's reply to it; it tells whether that
// came.
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

// findReply returns the reply to a batch among the changes of this node's reply key, or
// nil.
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
