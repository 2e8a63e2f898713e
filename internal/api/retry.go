package api

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// smoothingFactor is the weight of the latest submission in the exponential moving
	// average of the rejection rate.
	smoothingFactor = 0.05
	// maxRetryJitter is the interval over which retries are spread when nearly all
	// submissions are rejected. It is short compared with the minute for which users
	// retry.
	maxRetryJitter = 4 * time.Second
	// overloadThreshold is the rejection rate above which it is useless to forward a
	// submission to several nodes.
	overloadThreshold = 0.5
)

// RetryPacer computes random retry delays for submissions that are rejected because the
// write budget is exhausted. The higher the rejection rate, the wider it spreads the
// retries, because submissions that are retried at the same time would be rejected
// together again. It is safe for concurrent use.
type RetryPacer struct {
	mu            sync.Mutex
	rng           *rand.Rand
	rejectionRate float64 // exponential moving average over submissions, 0 to 1
}

// NewRetryPacer returns a pacer with a rejection rate of 0. The caller must not use rng
// afterwards.
func NewRetryPacer(rng *rand.Rand) *RetryPacer { return &RetryPacer{rng: rng} }

// RecordAcceptance records that the write of a submission was within the budget.
func (p *RetryPacer) RecordAcceptance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(0)
}

// RecordRejection records that a submission was rejected. It returns the delay to add to the
// time until the write budget allows the next write; the user should retry after the sum.
func (p *RetryPacer) RecordRejection() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(1)
	return time.Duration(p.rng.Float64() * p.rejectionRate * float64(maxRetryJitter))
}

// Overloaded reports whether more than half of the recent submissions were rejected.
func (p *RetryPacer) Overloaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectionRate > overloadThreshold
}

// observe updates the moving average with 0 for an accepted and 1 for a rejected
// submission. The caller must hold p.mu.
func (p *RetryPacer) observe(rejected float64) {
	p.rejectionRate += smoothingFactor * (rejected - p.rejectionRate)
}
