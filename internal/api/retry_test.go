package api

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRetryPacerSpreadsRetries: in an overload the retries are spread, well within the
// minute for which users retry; after a single rejection the retry comes soon.
func TestRetryPacerSpreadsRetries(t *testing.T) {
	pacer := NewRetryPacer(rand.New(rand.NewPCG(1, 2)))
	if d := pacer.Rejected(); d > time.Second || pacer.Overloaded() {
		t.Errorf("a single rejection delays the retry by %v", d)
	}
	early, late := 0, 0
	for range 400 {
		switch d := pacer.Rejected(); {
		case d > maxRetryJitter:
			t.Fatalf("retry delay %v beyond %v", d, maxRetryJitter)
		case d < maxRetryJitter/4:
			early++
		case d > maxRetryJitter*3/4:
			late++
		}
	}
	if early < 50 || late < 30 || !pacer.Overloaded() {
		t.Errorf("%d retries early and %d late, of 400", early, late)
	}
	for range 100 {
		pacer.Accepted()
	}
	if pacer.Overloaded() {
		t.Error("still overloaded when all are accepted")
	}
}
