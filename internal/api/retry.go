package api

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of the latest submission in the moving average.
	smoothingFactor = 0.05
	// maxRetryJitter is the range over which retries are spread if nearly all
	// submissions are rejected. It is short beside the minute for which users retry.
	maxRetryJitter = 4 * time.Second
	// overloadThreshold is the rejected share from which it is of no use to forward
	// submissions to several nodes.
	overloadThreshold = 0.5
)

// RetryPacer computes the retry delay of submissions that are rejected because the
// write budget is exhausted. The more are rejected, the wider it spreads their
// retries: those that come back together are rejected together. It is safe for
// concurrent use.
type RetryPacer struct {
	mu            sync.Mutex
	rng           *rand.Rand
	rejectionRate float64 // moving average of the latest submissions
}

// NewRetryPacer returns a pacer that has seen no rejections. It takes over rng.
func NewRetryPacer(rng *rand.Rand) *RetryPacer { return &RetryPacer{rng: rng} }

// Accepted records that the write of a submission was within the budget.
func (p *RetryPacer) Accepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(0)
}

// Rejected records that a submission was rejected. It returns the delay that the user
// should wait beyond the time at which the budget allows the next write.
func (p *RetryPacer) Rejected() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(1)
	return time.Duration(p.rng.Float64() * p.rejectionRate * float64(maxRetryJitter))
}

// Overloaded reports whether most submissions are being rejected.
func (p *RetryPacer) Overloaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectionRate > overloadThreshold
}

// observe updates the moving average; the caller holds the lock.
func (p *RetryPacer) observe(rejected float64) {
	p.rejectionRate += smoothingFactor * (rejected - p.rejectionRate)
}
