package kvstore

import (
	"time"

	"badgerbay/internal/clock"
)

// TokenBucket is a token-bucket rate limiter. It is pure: time comes in with every call. It is
// not safe for concurrent use.
type TokenBucket struct {
	rate, burst, tokens float64
	lastRefill          clock.Instant
}

// NewTokenBucket returns a full bucket that gains rate tokens a second and holds
// at most burst.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

func (b *TokenBucket) refill(now clock.Instant) {
	if b.lastRefill.Before(now) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
		b.lastRefill = now
	}
}

// Take takes n tokens if at least reserve remain after it, and tells whether it did.
func (b *TokenBucket) Take(now clock.Instant, n, reserve float64) bool {
	b.refill(now)
	if b.tokens < n+reserve {
		return false
	}
	b.tokens -= n
	return true
}

// Delay is how long until n tokens above reserve will be there; 0 if they are.
func (b *TokenBucket) Delay(now clock.Instant, n, reserve float64) time.Duration {
	b.refill(now)
	missing := min(n+reserve, b.burst) - b.tokens
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

// SetLimit gives the bucket another rate and burst, keeping what tokens it holds.
func (b *TokenBucket) SetLimit(now clock.Instant, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}
