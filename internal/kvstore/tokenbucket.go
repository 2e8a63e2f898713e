package kvstore

import (
	"time"

	"badgerbay/internal/clock"
)

// TokenBucket is a token-bucket rate limiter. It does not read a clock: each call passes the
// current time. It is not safe for concurrent use.
type TokenBucket struct {
	rate, burst, tokens float64
	lastRefill          clock.Instant
}

// NewTokenBucket returns a full bucket that gains rate tokens per second and holds at most burst
// tokens.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill adds the tokens gained since the last refill. It does nothing if now is not later than
// the last refill.
func (b *TokenBucket) refill(now clock.Instant) {
	if b.lastRefill.Before(now) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
		b.lastRefill = now
	}
}

// Take takes n tokens if at least reserve tokens remain afterwards, and reports whether it took
// them.
func (b *TokenBucket) Take(now clock.Instant, n, reserve float64) bool {
	b.refill(now)
	if b.tokens < n+reserve {
		return false
	}
	b.tokens -= n
	return true
}

// Delay returns how long it takes until the bucket holds n+reserve tokens, and 0 if it holds them
// already. If n+reserve exceeds the burst, Delay returns the time until the bucket is full.
func (b *TokenBucket) Delay(now clock.Instant, n, reserve float64) time.Duration {
	b.refill(now)
	missing := min(n+reserve, b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}

// Available returns the number of tokens at now.
func (b *TokenBucket) Available(now clock.Instant) float64 {
	b.refill(now)
	return b.tokens
}

// SetLimit changes the rate and the burst. The bucket keeps its tokens up to the new burst.
func (b *TokenBucket) SetLimit(now clock.Instant, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}
