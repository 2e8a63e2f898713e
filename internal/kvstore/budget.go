package kvstore

import (
	"sync"
	"time"

	"badgerbay/internal/clock"
)

// Purpose says what a write is for. Each purpose leaves a part of the budget to those before
// it, so that folds never starve submissions or rounds.
type Purpose int

// The purposes of writes, most urgent first.
const (
	PurposeLeadership Purpose = iota
	PurposeSubmission
	PurposeRound
	PurposeUrgentFold // that a user or the ring of rounds waits for
	PurposeFold
)

const (
	// leaderShare is the part of the limits that belongs to the leader's node; the other
	// nodes share the rest equally, for the submissions they take.
	leaderShare = 0.6
	// usableFraction is the part of a limit that the shares hand out: the service's
	// bucket and ours never tick alike.
	usableFraction = 0.9
	// foldReserveDivisor is by what a full write bucket is divided for the part that folds
	// leave to others.
	foldReserveDivisor = 3
)

// Budget is this node's share of the rate limits of the state service. It is safe
// for concurrent use.
type Budget struct {
	mu               sync.Mutex
	nodes            int
	requestRate      float64 // a second, of all nodes
	writeRate        float64 // a second, of all nodes
	writes, requests *TokenBucket
	// roundStarved: submissions left no write to a round. They and urgent folds wait
	// until one is through, so that neither starves the other.
	roundStarved bool
}

// NewBudget returns the budget of a follower among so many nodes, at a service with limits on
// requests and on writes a second.
func NewBudget(nodes int, requestsPerSecond, writesPerSecond float64) *Budget {
	b := &Budget{nodes: max(1, nodes), requestRate: requestsPerSecond * usableFraction, writeRate: writesPerSecond * usableFraction}
	share := b.shareOf(false)
	b.writes = NewTokenBucket(b.writeRate*share, burstAt(b.writeRate*share))
	b.requests = NewTokenBucket(b.requestRate*share, burstAt(b.requestRate*share))
	return b
}

// burstAt is the size of a bucket that gains rate tokens a second: a second's worth, and one
// token at least.
func burstAt(rate float64) float64 { return max(1, rate) }

func (b *Budget) shareOf(leader bool) float64 {
	switch {
	case b.nodes == 1:
		return 1
	case leader:
		return leaderShare
	}
	return (1 - leaderShare) / float64(b.nodes-1)
}

// SetLeader sets the share of a node that becomes the leader, or ceases to be.
func (b *Budget) SetLeader(now clock.Instant, leader bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.shareOf(leader)
	b.writes.SetLimit(now, b.writeRate*share, burstAt(b.writeRate*share))
	b.requests.SetLimit(now, b.requestRate*share, burstAt(b.requestRate*share))
}

// reserveFor is how many writes must be left after one for the purpose.
func (b *Budget) reserveFor(purpose Purpose) float64 {
	switch purpose {
	case PurposeLeadership:
		return -1 // may overdraw by one: leadership must not starve
	case PurposeSubmission:
		// In a flood of submissions, which took every write as it came, no
		// round was written for 20 s.
		if b.roundStarved {
			return 1 + b.submissionReserve()
		}
		return 0
	case PurposeRound:
		return b.submissionReserve()
	case PurposeUrgentFold:
		// Folds wait for a round like submissions do; and what many of them
		// would take at once is left for both.
		if b.roundStarved {
			return 1 + b.submissionReserve()
		}
		return b.submissionReserve()
	default:
		return b.writes.burst / foldReserveDivisor
	}
}

// submissionReserve is what rounds and urgent folds leave to a submission that comes now:
// a leader whose rounds took the last write refused a fifth of them.
func (b *Budget) submissionReserve() float64 { return min(1, b.writes.burst/4) }

// TakeWrites takes n writes for the purpose, and tells whether it did.
func (b *Budget) TakeWrites(now clock.Instant, purpose Purpose, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.writes.Take(now, float64(n), b.reserveFor(purpose))
	if purpose == PurposeRound {
		b.roundStarved = !ok
	}
	return ok
}

// ForceTakeWrites takes n writes that are made whether or not they are there, so that
// later ones wait for them: those of a record that takes several values.
func (b *Budget) ForceTakeWrites(now clock.Instant, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes.Take(now, float64(n), -float64(n))
}

// AvailableWrites is how many writes for the purpose may be made now.
func (b *Budget) AvailableWrites(now clock.Instant, purpose Purpose) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := max(0, int(b.writes.Available(now)-b.reserveFor(purpose)))
	if purpose == PurposeRound && n == 0 {
		b.roundStarved = true
	}
	return n
}

// WriteDelay is how long until a write for the purpose may be made.
func (b *Budget) WriteDelay(now clock.Instant, purpose Purpose) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writes.Delay(now, 1, b.reserveFor(purpose))
}

// TakeRequest takes one request, and tells whether it did.
func (b *Budget) TakeRequest(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.Take(now, 1, 0)
}
