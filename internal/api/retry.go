package api

import (
	"math/rand/v2"
	"sync"
	"time"
)

// RetryPacer tells users who are refused for want of changes when to come back. In a
// flood they are spread out: those who come back together are refused together.
// It is safe for concurrent use.
type RetryPacer struct {
	mu            sync.Mutex
	rng           *rand.Rand
	rejectedShare float64 // of the last submissions, about, that were refused
}

const (
	// rejectionWeight is the weight of the last submission.
	rejectionWeight = 0.05
	// maxRetrySpread is over how long users are spread if nearly all are refused.
	// It is short beside the minute for which they try.
	maxRetrySpread = 4 * time.Second
	// overloadThreshold is the share from which it is of no use to ask other nodes.
	overloadThreshold = 0.5
)

// NewRetryPacer returns the pace of a node that has refused nobody.
func NewRetryPacer(rng *rand.Rand) *RetryPacer { return &RetryPacer{rng: rng} }

// Accepted notes that a submission was stored.
func (p *RetryPacer) Accepted() { p.observe(0) }

// Rejected notes that one was not, and tells how much later than the next change
// its user should come back.
func (p *RetryPacer) Rejected() time.Duration {
	share := p.observe(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Float64() * share * float64(maxRetrySpread))
}

// Overloaded tells whether most submissions are being refused.
func (p *RetryPacer) Overloaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectedShare > overloadThreshold
}

func (p *RetryPacer) observe(refused float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectedShare += rejectionWeight * (refused - p.rejectedShare)
	return p.rejectedShare
}
