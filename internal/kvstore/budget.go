package kvstore

import (
	"sync"
	"time"

	"badgerbay/internal/clock"
)

// Purpose is the purpose of a write and determines its priority. Writes of a purpose leave a part
// of the budget to the more urgent purposes, so that writes of job checkpoints never starve
// submissions or scheduling rounds.
type Purpose int

// The purposes of writes, in order of decreasing urgency.
const (
	PurposeLeadership Purpose = iota
	PurposeSubmission
	PurposeRound
	PurposeUrgentCheckpoint // a user waits for the checkpoint, or it frees a slot in the ring of round records
	PurposeCheckpoint       // checkpoints that nobody waits for, and other background writes
)

const (
	// leaderShare is the fraction of the rate limits that the leader gets. The other nodes
	// share the rest equally, for the submissions that they accept.
	leaderShare = 0.6
	// usableFraction is the fraction of a rate limit that is divided among the nodes. The
	// rest is a margin, because the token buckets of the service and of the nodes never
	// refill in step.
	usableFraction = 0.9
	// checkpointReserveDivisor sets the reserve of PurposeCheckpoint: its writes leave one part in
	// checkpointReserveDivisor of a full write bucket to the other purposes.
	checkpointReserveDivisor = 3
)

// Budget limits the requests and writes of this node to its share of the rate limits of the
// state service. It is safe for concurrent use.
type Budget struct {
	mu               sync.Mutex
	nodes            int
	requestRate      float64 // requests per second of all nodes together
	writeRate        float64 // writes per second of all nodes together
	writes, requests *TokenBucket
	// roundStarved is set when no write was available for a scheduling round. Submissions
	// and urgent checkpoints then wait until a round has been written, so that they and rounds
	// don't starve each other.
	roundStarved bool
}

// NewBudget returns the budget of a follower in a cluster of the given number of nodes. The rate
// limits are those of the service, for all nodes together.
func NewBudget(nodes int, requestsPerSecond, writesPerSecond float64) *Budget {
	b := &Budget{nodes: max(1, nodes), requestRate: requestsPerSecond * usableFraction, writeRate: writesPerSecond * usableFraction}
	share := b.shareOf(false)
	b.writes = NewTokenBucket(b.writeRate*share, burstFor(b.writeRate*share))
	b.requests = NewTokenBucket(b.requestRate*share, burstFor(b.requestRate*share))
	return b
}

// burstFor returns the burst of a token bucket with the rate in tokens per second: the tokens of
// one second, but at least one.
func burstFor(rate float64) float64 { return max(1, rate) }

// shareOf returns the fraction of the rate limits that a node gets, as the leader or as a follower.
func (b *Budget) shareOf(leader bool) float64 {
	switch {
	case b.nodes == 1:
		return 1
	case leader:
		return leaderShare
	}
	return (1 - leaderShare) / float64(b.nodes-1)
}

// SetLeader adapts the limits when this node becomes the leader or ceases to be the leader.
func (b *Budget) SetLeader(now clock.Instant, leader bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.shareOf(leader)
	b.writes.SetLimit(now, b.writeRate*share, burstFor(b.writeRate*share))
	b.requests.SetLimit(now, b.requestRate*share, burstFor(b.requestRate*share))
}

// reserveFor returns how many writes must remain available after a write for the purpose.
func (b *Budget) reserveFor(purpose Purpose) float64 {
	switch purpose {
	case PurposeLeadership:
		return -1 // may overdraw the bucket by one write, so that leadership is never starved
	case PurposeSubmission:
		// Without this reserve a flood of submissions took each write as soon as it was
		// available, and no round was written for 20 s.
		if b.roundStarved {
			return 1 + b.submissionReserve()
		}
		return 0
	case PurposeRound:
		return b.submissionReserve()
	case PurposeUrgentCheckpoint:
		// Urgent checkpoints wait for a starved round as submissions do. Otherwise they
		// leave a reserve to submissions and rounds, because many checkpoints at once
		// would use up all writes.
		if b.roundStarved {
			return 1 + b.submissionReserve()
		}
		return b.submissionReserve()
	default:
		return b.writes.burst / checkpointReserveDivisor
	}
}

// submissionReserve returns the number of writes that rounds and urgent checkpoints leave to the
// next submission. A leader whose rounds took the last write refused a fifth of the submissions.
func (b *Budget) submissionReserve() float64 { return min(1, b.writes.burst/4) }

// TakeWrites takes n writes for the purpose if the budget permits, and reports whether it did.
func (b *Budget) TakeWrites(now clock.Instant, purpose Purpose, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.writes.Take(now, float64(n), b.reserveFor(purpose))
	if purpose == PurposeRound {
		b.roundStarved = !ok
	}
	return ok
}

// ForceTakeWrites takes n writes from the budget even if fewer are available, so that later writes
// wait until the deficit has been refilled. It is for writes that are sent in any case, such as
// those of a record that is stored in several values. It takes nothing while the bucket is already
// overdrawn.
func (b *Budget) ForceTakeWrites(now clock.Instant, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes.Take(now, float64(n), -float64(n))
}

// AvailableWrites returns how many writes for the purpose the budget permits now.
func (b *Budget) AvailableWrites(now clock.Instant, purpose Purpose) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := max(0, int(b.writes.Available(now)-b.reserveFor(purpose)))
	if purpose == PurposeRound && n == 0 {
		b.roundStarved = true
	}
	return n
}

// WriteDelay returns how long it takes until the budget permits a write for the purpose.
func (b *Budget) WriteDelay(now clock.Instant, purpose Purpose) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writes.Delay(now, 1, b.reserveFor(purpose))
}

// TakeRequest takes one request if the budget permits, and reports whether it did.
func (b *Budget) TakeRequest(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.Take(now, 1, 0)
}
