package statestore

import (
	"sync"
	"time"

	"badgerbay/internal/unit"
)

// Bucket is a token bucket. It is pure: time comes in with every call.
type Bucket struct {
	rate, size, tokens float64
	last               unit.Instant
}

// NewBucket returns a full bucket that gains rate tokens a second and holds
// at most size.
func NewBucket(rate, size float64) *Bucket {
	return &Bucket{rate: rate, size: size, tokens: size}
}

func (b *Bucket) refill(now unit.Instant) {
	if b.last.Before(now) {
		b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.last).Seconds())
		b.last = now
	}
}

// Take takes n tokens if at least floor remain after it.
func (b *Bucket) Take(now unit.Instant, n, floor float64) bool {
	b.refill(now)
	if b.tokens < n+floor {
		return false
	}
	b.tokens -= n
	return true
}

// Wait tells how long until n tokens above floor will be there.
func (b *Bucket) Wait(now unit.Instant, n, floor float64) time.Duration {
	b.refill(now)
	missing := min(n+floor, b.size) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// Level is the number of tokens at now.
func (b *Bucket) Level(now unit.Instant) float64 {
	b.refill(now)
	return b.tokens
}

// Set gives the bucket another rate and size, keeping what it holds.
func (b *Bucket) Set(now unit.Instant, rate, size float64) {
	b.refill(now)
	b.rate, b.size = rate, size
	b.tokens = min(b.tokens, size)
}

// Use says what a change is for. Each use leaves a part of the bucket to the
// uses before it, so that folds never starve submissions or rounds.
type Use int

// The uses of the write budget, most urgent first.
const (
	UseLead Use = iota
	UseSubmit
	UseRound
	UseUrgentFold // that a user or the ring of rounds waits for
	UseFold
)

// leaderShare is the part of the write rate that belongs to the leader's
// node; the other nodes share the rest equally, for the submissions they take.
const leaderShare = 0.6

// safety is the part of a limit that the shares hand out: the service's
// bucket and ours never tick alike.
const safety = 0.9

// Budget is this node's share of the limits of the state service. It is safe
// for concurrent use.
type Budget struct {
	mu              sync.Mutex
	nodes           int
	requestRate     float64
	writeRate       float64
	writes, request *Bucket
	// hungry: rounds were left without a change by submissions. These wait
	// until one is through, so that neither starves the other.
	hungry bool
}

// NewBudget returns the budget of a follower among nodes.
func NewBudget(nodes int, requestsPerS, writesPerS float64) *Budget {
	b := &Budget{nodes: max(1, nodes), requestRate: requestsPerS * safety, writeRate: writesPerS * safety}
	w, r := b.shares(false)
	b.writes = NewBucket(w, max(1, w))
	b.request = NewBucket(r, max(1, r))
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

// Lead sets the share for a node that leads, or stops leading.
func (b *Budget) Lead(now unit.Instant, leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, r := b.shares(leads)
	b.writes.Set(now, w, max(1, w))
	b.request.Set(now, r, max(1, r))
}

func (b *Budget) floor(use Use) float64 {
	switch use {
	case UseLead:
		return -1 // may overdraw by one: leadership must not starve
	case UseSubmit:
		// In a flood of submissions, which took every change as it came, no
		// round was written for 20 s.
		if b.hungry {
			return 1 + b.leave()
		}
		return 0
	case UseRound:
		return b.leave()
	case UseUrgentFold:
		// Folds wait for a round like submissions do; and what many of them
		// would take at once is left for both.
		if b.hungry {
			return 1 + b.leave()
		}
		return b.leave()
	default:
		return b.writes.size / 3
	}
}

// leave is what rounds and urgent folds leave to a submission that comes now:
// a leader whose rounds took the last change refused a fifth of them.
func (b *Budget) leave() float64 { return min(1, b.writes.size/4) }

// TakeWrites takes n changes for the use.
func (b *Budget) TakeWrites(now unit.Instant, use Use, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.writes.Take(now, float64(n), b.floor(use))
	if use == UseRound {
		b.hungry = !ok
	}
	return ok
}

// Spend takes n changes that are made whether or not they are there, so that
// later ones wait for them: those of a record that takes several values.
func (b *Budget) Spend(now unit.Instant, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes.Take(now, float64(n), -float64(n))
}

// WritesFor tells how many changes the use may make now.
func (b *Budget) WritesFor(now unit.Instant, use Use) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := max(0, int(b.writes.Level(now)-b.floor(use)))
	if use == UseRound && n == 0 {
		b.hungry = true
	}
	return n
}

// WriteWait tells how long until a change for the use may be made.
func (b *Budget) WriteWait(now unit.Instant, use Use) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writes.Wait(now, 1, b.floor(use))
}

// TakeRequest takes one request.
func (b *Budget) TakeRequest(now unit.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.request.Take(now, 1, 0)
}
