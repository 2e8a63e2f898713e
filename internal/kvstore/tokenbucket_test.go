package kvstore_test

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/kvstore"
)

// TestTokenBucket checks the reserve, the delay, the refill up to the burst, and a change of the limit.
func TestTokenBucket(t *testing.T) {
	now := clock.Instant(time.Hour)
	bucket := kvstore.NewTokenBucket(2, 4)
	if !bucket.Take(now, 3, 1) || bucket.Take(now, 1, 1) {
		t.Error("Take does not keep the reserve")
	}
	if d := bucket.Delay(now, 1, 1); d != 500*time.Millisecond {
		t.Errorf("a token above the reserve is available in %v, want 0.5 s", d)
	}
	now = now.Add(500 * time.Millisecond)
	if n := bucket.Available(now); n != 2 || bucket.Delay(now, 1, 1) != 0 {
		t.Errorf("%v tokens after 0.5 s, want 2", n)
	}
	if n := bucket.Available(now.Add(-time.Minute)); n != 2 {
		t.Errorf("%v tokens at an earlier instant, want 2", n)
	}
	now = now.Add(time.Minute)
	if n := bucket.Available(now); n != 4 {
		t.Errorf("%v tokens after a minute, want the burst of 4", n)
	}
	bucket.SetLimit(now, 1, 2)
	if n := bucket.Available(now.Add(time.Second)); n != 2 {
		t.Errorf("%v tokens under the lower limit, want 2", n)
	}
	// A demand above the burst has a delay only until the bucket is full.
	if d := bucket.Delay(now.Add(time.Second), 10, 0); d != 0 {
		t.Errorf("delay of %v at a full bucket for more tokens than the burst", d)
	}
}
