package api

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestRetryPacerSpreadsRetries: users who are refused in a flood come back at different
// times, well within the minute for which they try; one who is refused alone
// comes back soon.
func TestRetryPacerSpreadsRetries(t *testing.T) {
	p := NewRetryPacer(rand.New(rand.NewPCG(1, 2)))
	if d := p.Rejected(); d > time.Second || p.Overloaded() {
		t.Errorf("refused alone, one is told to wait %v more", d)
	}
	early, late := 0, 0
	for range 400 {
		switch d := p.Rejected(); {
		case d > maxRetrySpread:
			t.Fatalf("told to wait %v", d)
		case d < maxRetrySpread/4:
			early++
		case d > maxRetrySpread*3/4:
			late++
		}
	}
	if early < 50 || late < 30 || !p.Overloaded() {
		t.Errorf("%d come early and %d late, of 400", early, late)
	}
	for range 100 {
		p.Accepted()
	}
	if p.Overloaded() {
		t.Error("still flooded when all are taken")
	}
}
