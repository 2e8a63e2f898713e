package relay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/fleet"
	"badgerbay/internal/peer"
	"badgerbay/internal/schemaversion"
	"badgerbay/internal/wire"
)

// PendingRequest waits for the leader's answer through the state service: a worker's report,
// or, if Report is nil, the cancellation of a job.
type PendingRequest struct {
	Heartbeat *fleet.Heartbeat
	Job       ident.JobID
	Deadline  clock.Instant // nobody waits for the answer any longer
	// HeartbeatReply receives the answer to a report, State that to a cancellation.
	HeartbeatReply chan peer.HeartbeatReply
	CancelReply    chan peer.CancelReply
}

// NewHeartbeatRequest returns an item for a worker's report.
func NewHeartbeatRequest(r *fleet.Heartbeat, until clock.Instant) PendingRequest {
	return PendingRequest{Heartbeat: r, Deadline: until, HeartbeatReply: make(chan peer.HeartbeatReply, 1)}
}

// NewCancelRequest returns an item for the cancellation of a job.
func NewCancelRequest(id ident.JobID, until clock.Instant) PendingRequest {
	return PendingRequest{Job: id, Deadline: until, CancelReply: make(chan peer.CancelReply, 1)}
}

// sendOrder sorts what users ask before reports.
func (i *PendingRequest) sendOrder() int {
	if i.Heartbeat != nil {
		return 1
	}
	return 0
}

// BatchHeader is what a batch says beside its items.
type BatchHeader struct {
	ID           string
	Node         string
	AckedBatchID string        // the last batch that was answered
	IdleFor      time.Duration // since the node kept a worker by a grant
}

// Batch is what goes into one value.
type Batch struct {
	Value     wire.Packed
	Sent      []PendingRequest // in the value
	Remaining []PendingRequest // left for the next batch
}

// NewBatch compresses as much of the queue as a value of limit bytes holds, users'
// requests first, and drops what has waited too long, and a single report that is
// too large: it is of no use.
func NewBatch(now clock.Instant, h BatchHeader, queue []PendingRequest, limit int) (Batch, error) {
	waiting := slices.DeleteFunc(slices.Clone(queue), func(i PendingRequest) bool { return !now.Before(i.Deadline) })
	slices.SortStableFunc(waiting, func(a, b PendingRequest) int { return cmp.Compare(a.sendOrder(), b.sendOrder()) })
	for count := len(waiting); count > 0; {
		value, err := wire.CompressMessage(newMessage(h, waiting[:count]))
		switch {
		case err != nil:
			return Batch{}, fmt.Errorf("encoding a batch: %w", err)
		case len(value) <= limit:
			return Batch{Value: value, Sent: waiting[:count], Remaining: waiting[count:]}, nil
		case count == 1:
			return Batch{}, nil
		}
		count = max(1, min(count-1, count*limit/len(value)))
	}
	return Batch{}, nil
}

func newMessage(h BatchHeader, items []PendingRequest) *peer.Batch {
	b := &peer.Batch{ID: h.ID, Node: h.Node, AckedBatchID: h.AckedBatchID, IdleMs: h.IdleFor.Milliseconds(), SchemaVersion: schemaversion.Latest}
	for _, item := range items {
		if item.Heartbeat != nil {
			b.Heartbeats = append(b.Heartbeats, peer.PackHeartbeat(item.Heartbeat))
		} else {
			b.CancelRequests = append(b.CancelRequests, peer.CancelRequest{Job: item.Job})
		}
	}
	return b
}

// DeliverReplies hands the answers of a batch to those who wait for them.
func DeliverReplies(a *peer.BatchReply, sent []PendingRequest) {
	reports := make(map[ident.MachineID]peer.HeartbeatReply, len(a.Heartbeats))
	for _, r := range a.Heartbeats {
		reports[r.Machine] = r
	}
	asks := make(map[ident.JobID]peer.CancelReply, len(a.Cancellations))
	for _, s := range a.Cancellations {
		asks[s.Job] = s
	}
	for _, item := range sent {
		if item.Heartbeat == nil {
			if s, ok := asks[item.Job]; ok {
				item.CancelReply <- s
			}
			continue
		}
		if r, ok := reports[item.Heartbeat.Machine]; ok {
			item.HeartbeatReply <- r
		}
	}
}

// CompressReply compresses the answers to a batch into a value of limit bytes. What
// does not fit is left out, and answered by the next batch.
func CompressReply(a *peer.BatchReply, limit int) (wire.Packed, error) {
	value, err := wire.CompressMessage(a)
	for err == nil && len(a.Heartbeats) > 0 && len(value) > limit {
		a.Heartbeats = a.Heartbeats[:len(a.Heartbeats)/2]
		value, err = wire.CompressMessage(a)
	}
	if err != nil {
		return "", fmt.Errorf("encoding answers: %w", err)
	}
	return value, nil
}

// maxReservedBytes is left free of a value by batches and answers: one eighth at most.
const maxReservedBytes = 1024

// MaxBatchBytes is how large a batch or its answers may be where values have so many bytes.
func MaxBatchBytes(valueBytes int) int { return valueBytes - min(maxReservedBytes, valueBytes/8) }
