package relay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/peer"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/wire"
)

// A batch or a reply leaves a part of a value free: maxReservedBytes or the fraction
// 1/reservedDivisor of the value, whichever is smaller.
const (
	maxReservedBytes = 1024
	reservedDivisor  = 8
)

// MaxBatchBytes returns the maximum size of a batch or a reply if the state service
// accepts values of up to valueBytes.
func MaxBatchBytes(valueBytes int) int {
	return valueBytes - min(maxReservedBytes, valueBytes/reservedDivisor)
}

// BatchHeader holds the fields of a batch other than its requests.
type BatchHeader struct {
	ID           string
	Node         string
	AckedBatchID string        // the ID of the last batch whose reply was received
	IdleFor      time.Duration // time since the node last renewed a lease under a delegation grant
}

// Batch is an encoded batch that fits into one value of the state service.
type Batch struct {
	Value     wire.Packed
	Sent      []PendingRequest // the requests in Value
	Remaining []PendingRequest // the requests for the next batch
}

// NewBatch returns a batch of as many requests of the queue as fit into maxBytes when
// compressed, with users' requests first. Requests past their deadline are dropped. If not
// even the first request fits, the batch is empty and the whole queue is dropped.
func NewBatch(now clock.Instant, header BatchHeader, queue []PendingRequest, maxBytes int) (Batch, error) {
	waiting := slices.DeleteFunc(slices.Clone(queue), func(r PendingRequest) bool { return !now.Before(r.Deadline) })
	slices.SortStableFunc(waiting, func(a, b PendingRequest) int { return cmp.Compare(a.sendOrder(), b.sendOrder()) })
	for count := len(waiting); count > 0; {
		value, err := wire.CompressMessage(newPeerBatch(header, waiting[:count]))
		switch {
		case err != nil:
			return Batch{}, fmt.Errorf("encoding batch %s: %w", header.ID, err)
		case len(value) <= maxBytes:
			return Batch{Value: value, Sent: waiting[:count], Remaining: waiting[count:]}, nil
		case count == 1:
			return Batch{}, nil
		}
		estimate := count * maxBytes / len(value)
		count = max(1, min(count-1, estimate))
	}
	return Batch{}, nil
}

func newPeerBatch(header BatchHeader, requests []PendingRequest) *peer.Batch {
	batch := &peer.Batch{
		ID:            header.ID,
		Node:          header.Node,
		AckedBatchID:  header.AckedBatchID,
		IdleMs:        header.IdleFor.Milliseconds(),
		SchemaVersion: schemaversion.Latest,
	}
	for _, r := range requests {
		if r.Heartbeat != nil {
			batch.Heartbeats = append(batch.Heartbeats, peer.PackHeartbeat(r.Heartbeat))
		} else {
			batch.CancelRequests = append(batch.CancelRequests, peer.CancelRequest{Job: r.Job})
		}
	}
	return batch
}

// CompressReply compresses the reply to a batch into a value of at most maxBytes. It
// removes half of the heartbeat replies at a time until the value fits: workers without a
// reply send another heartbeat, which goes into a later batch.
func CompressReply(reply *peer.BatchReply, maxBytes int) (wire.Packed, error) {
	value, err := wire.CompressMessage(reply)
	for err == nil && len(reply.Heartbeats) > 0 && len(value) > maxBytes {
		reply.Heartbeats = reply.Heartbeats[:len(reply.Heartbeats)/2]
		value, err = wire.CompressMessage(reply)
	}
	if err != nil {
		return "", fmt.Errorf("encoding reply to batch %s: %w", reply.ID, err)
	}
	return value, nil
}
