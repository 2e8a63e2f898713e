package kvstore

import (
	"sync"
	"time"

	"badgerbay/internal/clock"
)

// TokenBucket is a token bucket. It is pure: time comes in with every call.
type TokenBucket struct {
	rate, burst, tokens float64
	lastRefill          clock.Instant
}

// NewTokenBucket returns a full bucket that gains rate tokens a second and holds
// at most size.
func NewTokenBucket(rate, size float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: size, tokens: size}
}

func (b *TokenBucket) refill(now clock.Instant) {
	if b.lastRefill.Before(now) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
		b.lastRefill = now
	}
}

// Take takes n tokens if at least floor remain after it.
func (b *TokenBucket) Take(now clock.Instant, n, floor float64) bool {
	b.refill(now)
	if b.tokens < n+floor {
		return false
	}
	b.tokens -= n
	return true
}

// Delay tells how long until n tokens above floor will be there.
func (b *TokenBucket) Delay(now clock.Instant, n, floor float64) time.Duration {
	b.refill(now)
	missing := min(n+floor, b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// Available is the number of tokens at now.
func (b *TokenBucket) Available(now clock.Instant) float64 {
	b.refill(now)
	return b.tokens
}

// SetLimit gives the bucket another rate and size, keeping what it holds.
func (b *TokenBucket) SetLimit(now clock.Instant, rate, size float64) {
	b.refill(now)
	b.rate, b.burst = rate, size
	b.tokens = min(b.tokens, size)
}

// Purpose says what a change is for. Each use leaves a part of the bucket to the
// uses before it, so that folds never starve submissions or rounds.
type Purpose int

// The uses of the write budget, most urgent first.
const (
	PurposeLeadership Purpose = iota
	PurposeSubmission
	PurposeRound
	PurposeUrgentFold // that a user or the ring of rounds waits for
	PurposeFold
)

// leaderShare is the part of the write rate that belongs to the leader's
// node; the other nodes share the rest equally, for the submissions they take.
const leaderShare = 0.6

// usableFraction is the part of a limit that the shares hand out: the service's
// bucket and ours never tick alike.
const usableFraction = 0.9

// Budget is this node's share of the limits of the state service. It is safe
// for concurrent use.
type Budget struct {
	mu               sync.Mutex
	nodes            int
	requestRate      float64
	writeRate        float64
	writes, requests *TokenBucket
	// roundStarved: rounds were left without a change by submissions. These wait
	// until one is through, so that neither starves the other.
	roundStarved bool
}

// NewBudget returns the budget of a follower among nodes.
func NewBudget(nodes int, requestsPerS, writesPerS float64) *Budget {
	b := &Budget{nodes: max(1, nodes), requestRate: requestsPerS * usableFraction, writeRate: writesPerS * usableFraction}
	w, r := b.shares(false)
	b.writes = NewTokenBucket(w, max(1, w))
	b.requests = NewTokenBucket(r, max(1, r))
	return b
}

func (b *Budget) shares(leads bool) (writes, requests float64) {
	if b.nodes == 1 {
		return b.writeRate, b.requestRate
	}
	part := leaderShare
	if !leads {
		part = (1 - leaderShare) / float64(b.nodes-1)
	}
	return b.writeRate * part, b.requestRate * part
}

// SetLeader sets the share for a node that leads, or stops leading.
func (b *Budget) SetLeader(now clock.Instant, leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, r := b.shares(leads)
	b.writes.SetLimit(now, w, max(1, w))
	b.requests.SetLimit(now, r, max(1, r))
}

func (b *Budget) reserveFor(use Purpose) float64 {
	switch use {
	case PurposeLeadership:
		return -1 // may overdraw by one: leadership must not starve
	case PurposeSubmission:
		// In a flood of submissions, which took every change as it came, no
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
		return b.writes.burst / 3
	}
}

// submissionReserve is what rounds and urgent folds leave to a submission that comes now:
// a leader whose rounds took the last change refused a fifth of them.
func (b *Budget) submissionReserve() float64 { return min(1, b.writes.burst/4) }

// TakeWrites takes n changes for the use.
func (b *Budget) TakeWrites(now clock.Instant, use Purpose, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.writes.Take(now, float64(n), b.reserveFor(use))
	if use == PurposeRound {
		b.roundStarved = !ok
	}
	return ok
}

// ForceTakeWrites takes n changes that are made whether or not they are there, so that
// later ones wait for them: those of a record that takes several values.
func (b *Budget) ForceTakeWrites(now clock.Instant, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes.Take(now, float64(n), -float64(n))
}

// AvailableWrites tells how many changes the use may make now.
func (b *Budget) AvailableWrites(now clock.Instant, use Purpose) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := max(0, int(b.writes.Available(now)-b.reserveFor(use)))
	if use == PurposeRound && n == 0 {
		b.roundStarved = true
	}
	return n
}

// WriteDelay tells how long until a change for the use may be made.
func (b *Budget) WriteDelay(now clock.Instant, use Purpose) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writes.Delay(now, 1, b.reserveFor(use))
}

// TakeRequest takes one request.
func (b *Budget) TakeRequest(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.Take(now, 1, 0)
}
