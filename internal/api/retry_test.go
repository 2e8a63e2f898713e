package api

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRetryPacerSpreadsRetries checks that the delay after a single rejection is short,
// that in an overload the delays are spread over the whole interval, which is far shorter
// than the minute for which users retry, and that the overload ends once submissions are
// accepted again.
func TestRetryPacerSpreadsRetries(t *testing.T) {
	pacer := NewRetryPacer(rand.New(rand.NewPCG(1, 2)))
	if d := pacer.RecordRejection(); d > time.Second || pacer.Overloaded() {
		t.Errorf("delay %v after a single rejection, overloaded %v", d, pacer.Overloaded())
	}
	early, late := 0, 0
	for range 400 {
		switch d := pacer.RecordRejection(); {
		case d > maxRetryJitter:
			t.Fatalf("retry delay %v exceeds %v", d, maxRetryJitter)
		case d < maxRetryJitter/4:
			early++
		case d > maxRetryJitter*3/4:
			late++
		}
	}
	if early < 50 || late < 30 || !pacer.Overloaded() {
		t.Errorf("%d early and %d late retries of 400, overloaded %v", early, late, pacer.Overloaded())
	}
	for range 100 {
		pacer.RecordAcceptance()
	}
	if pacer.Overloaded() {
		t.Error("still overloaded after 100 accepted submissions")
	}
}
