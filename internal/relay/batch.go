package relay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/mesh"
	"badgerbay/internal/rollout"
	"badgerbay/internal/unit"
	"badgerbay/internal/wire"
)

// Item waits for the leader's answer through the state service: a worker's report,
// or, if Report is nil, the cancellation of a job.
type Item struct {
	Report *fleet.Heartbeat
	Job    unit.JobID
	Until  unit.Instant // nobody waits for the answer any longer
	// Answer receives the answer to a report, State that to a cancellation.
	Answer chan mesh.Answer
	State  chan mesh.AskState
}

// NewReport returns an item for a worker's report.
func NewReport(r *fleet.Heartbeat, until unit.Instant) Item {
	return Item{Report: r, Until: until, Answer: make(chan mesh.Answer, 1)}
}

// NewCancellation returns an item for the cancellation of a job.
func NewCancellation(id unit.JobID, until unit.Instant) Item {
	return Item{Job: id, Until: until, State: make(chan mesh.AskState, 1)}
}

// rank sorts what users ask before reports.
func (i *Item) rank() int {
	if i.Report != nil {
		return 1
	}
	return 0
}

// Header is what a batch says beside its items.
type Header struct {
	ID      string
	Node    string
	Echo    string        // the last batch that was answered
	IdleFor time.Duration // since the node kept a worker by a grant
}

// Batch is what goes into one value.
type Batch struct {
	Value wire.Packed
	Sent  []Item // in the value
	Rest  []Item // left for the next batch
}

// NewBatch compresses as much of the queue as a value of limit bytes holds, users'
// requests first, and drops what has waited too long, and a single report that is
// too large: it is of no use.
func NewBatch(now unit.Instant, h Header, queue []Item, limit int) (Batch, error) {
	waiting := slices.DeleteFunc(slices.Clone(queue), func(i Item) bool { return !now.Before(i.Until) })
	slices.SortStableFunc(waiting, func(a, b Item) int { return cmp.Compare(a.rank(), b.rank()) })
	for count := len(waiting); count > 0; {
		value, err := wire.CompressMessage(message(h, waiting[:count]))
		switch {
		case err != nil:
			return Batch{}, fmt.Errorf("encoding a batch: %w", err)
		case len(value) <= limit:
			return Batch{Value: value, Sent: waiting[:count], Rest: waiting[count:]}, nil
		case count == 1:
			return Batch{}, nil
		}
		count = max(1, min(count-1, count*limit/len(value)))
	}
	return Batch{}, nil
}

func message(h Header, items []Item) *mesh.Batch {
	b := &mesh.Batch{ID: h.ID, Node: h.Node, Echo: h.Echo, QuietMs: h.IdleFor.Milliseconds(), Form: rollout.Latest}
	for _, item := range items {
		if item.Report != nil {
			b.Reports = append(b.Reports, mesh.Pack(item.Report))
		} else {
			b.Asks = append(b.Asks, mesh.Ask{Job: item.Job})
		}
	}
	return b
}

// Deliver hands the answers of a batch to those who wait for them.
func Deliver(a *mesh.Answers, sent []Item) {
	reports := make(map[unit.MachineID]mesh.Answer, len(a.Reports))
	for _, r := range a.Reports {
		reports[r.Machine] = r
	}
	asks := make(map[unit.JobID]mesh.AskState, len(a.Asks))
	for _, s := range a.Asks {
		asks[s.Job] = s
	}
	for _, item := range sent {
		if item.Report == nil {
			if s, ok := asks[item.Job]; ok {
				item.State <- s
			}
			continue
		}
		if r, ok := reports[item.Report.Machine]; ok {
			item.Answer <- r
		}
	}
}

// SqueezeAnswers compresses the answers to a batch into a value of limit bytes. What
// does not fit is left out, and answered by the next batch.
func SqueezeAnswers(a *mesh.Answers, limit int) (wire.Packed, error) {
	value, err := wire.CompressMessage(a)
	for err == nil && len(a.Reports) > 0 && len(value) > limit {
		a.Reports = a.Reports[:len(a.Reports)/2]
		value, err = wire.CompressMessage(a)
	}
	if err != nil {
		return "", fmt.Errorf("encoding answers: %w", err)
	}
	return value, nil
}

// valueMargin is left free of a value by batches and answers: one eighth at most.
const valueMargin = 1024

// Limit is how large a batch or its answers may be where values have so many bytes.
func Limit(valueBytes int) int { return valueBytes - min(valueMargin, valueBytes/8) }
