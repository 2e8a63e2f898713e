package node

import (
	"context"
	"strconv"
	"time"

	"badgerbay/internal/clock"

	"badgerbay/internal/kvstore"
	"badgerbay/internal/peer"
	"badgerbay/internal/relay"
)

// runRelayUplink is the actor that carries what waits to the leader through the state
// service, one batch at a time.
func (n *Node) runRelayUplink(ctx context.Context) {
	var queue []relay.PendingRequest
	nonce := strconv.FormatInt(time.Now().UnixNano(), 36)
	answered := ""
	for number := 1; ; number++ {
		if len(queue) == 0 {
			select {
			case item := <-n.relayQueue:
				queue = append(queue, item)
			case <-ctx.Done():
				return
			}
		}
		begun := n.clock.Now()
		n.sleep(ctx, relayBatchInterval/4) // for others to join
		queue = n.drainRelayQueue(queue)
		id := nonce + "-" + strconv.Itoa(number)
		batch := n.nextRelayBatch(id, answered, queue)
		queue = batch.Remaining
		if len(batch.Sent) > 0 && n.exchangeBatch(ctx, id, batch) {
			answered = id
		}
		if left := relayBatchInterval - n.clock.Now().Sub(begun); left > 0 && !n.sleep(ctx, left) {
			return
		}
	}
}

func (n *Node) drainRelayQueue(queue []relay.PendingRequest) []relay.PendingRequest {
	for {
		select {
		case item := <-n.relayQueue:
			queue = append(queue, item)
		default:
			return queue
		}
	}
}

// nextRelayBatch makes the next batch of the queue.
func (n *Node) nextRelayBatch(id, answered string, queue []relay.PendingRequest) relay.Batch {
	now := n.clock.Now()
	header := relay.BatchHeader{ID: id, Node: n.settings.NodeName, AckedBatchID: answered, IdleFor: now.Sub(clock.Instant(n.delegateIdleSince.Load()))}
	batch, err := relay.NewBatch(now, header, queue, n.relayValueLimit())
	if err != nil {
		n.log.Error("batch can't be made", "err", err)
	}
	return batch
}

// relayValueLimit is how large a batch or its answers may be: below the limits of the
// state service that hold now, and below those to come.
func (n *Node) relayValueLimit() int {
	return relay.MaxBatchBytes(n.settings.Params.StateService.Strictest().MaxValueBytes())
}

// exchangeBatch writes a batch and waits for the leader's answers to it; it tells
// whether they came.
func (n *Node) exchangeBatch(ctx context.Context, id string, batch relay.Batch) bool {
	if !n.budget.TakeWrites(n.clock.Now(), kvstore.PurposeSubmission, 1) {
		return false
	}
	key := peer.BatchKeyPrefix + n.settings.NodeName
	since, err := n.store.Commit(ctx, kvstore.Txn{Operations: []kvstore.Operation{{SetKey: key, Value: batch.Value}}})
	if n.noteStoreResult(err) != nil {
		return false
	}
	until := n.clock.Now().Add(relayAnswerTimeout)
	for n.clock.Now().Before(until) && ctx.Err() == nil {
		log, next, err := n.store.Watch(ctx, peer.ReplyKeyPrefix+n.settings.NodeName, since, until.Sub(n.clock.Now()))
		if n.noteStoreResult(err) != nil {
			return false
		}
		since = max(since, next)
		for _, c := range log {
			a, err := peer.DecompressReply(c.Value)
			if err != nil {
				n.metrics.MalformedBatches.Inc()
				continue
			}
			if a.ID == id {
				relay.DeliverReplies(a, batch.Sent)
				return true
			}
		}
	}
	return false
}
