package clock

import (
	"math"
	"testing"
	"time"
)

// TestSeconds checks the conversion and its bounds. Without the bounds, a negative number would become
// a negative duration, and the result for NaN or for a number that is too large would depend on the
// platform.
func TestSeconds(t *testing.T) {
	for _, test := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0, 0}, {-1, 0}, {math.NaN(), 0}, {math.Inf(-1), 0},
		{0.25, 250 * time.Millisecond}, {90, 90 * time.Second},
		{1 << 40, (1 << 31) * time.Second}, {math.Inf(1), (1 << 31) * time.Second},
	} {
		if got := Seconds(test.seconds); got != test.want {
			t.Errorf("%v seconds: %v, want %v", test.seconds, got, test.want)
		}
	}
}
