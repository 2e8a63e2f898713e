package userapi

import (
	"math/rand/v2"
	"sync"
	"time"
)

// RetryPacer tells users who are refused for want of changes when to come back. In a
// flood they are spread out: those who come back together are refused together.
// It is safe for concurrent use.
type RetryPacer struct {
	mu    sync.Mutex
	rng   *rand.Rand
	share float64 // of the last submissions, about, that were refused
}

const (
	// paceMemory is the weight of the last submission.
	paceMemory = 0.05
	// paceSpread is over how long users are spread if nearly all are refused.
	// It is short beside the minute for which they try.
	paceSpread = 4 * time.Second
	// flooded is the share from which it is of no use to ask other nodes.
	flooded = 0.5
)

// NewRetryPacer returns the pace of a node that has refused nobody.
func NewRetryPacer(rng *rand.Rand) *RetryPacer { return &RetryPacer{rng: rng} }

// Took notes that a submission was stored.
func (p *RetryPacer) Took() { p.note(0) }

// Refused notes that one was not, and tells how much later than the next change
// its user should come back.
func (p *RetryPacer) Refused() time.Duration {
	share := p.note(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Float64() * share * float64(paceSpread))
}

// Flooded tells whether most submissions are being refused.
func (p *RetryPacer) Flooded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share > flooded
}

func (p *RetryPacer) note(refused float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share += paceMemory * (refused - p.share)
	return p.share
}
