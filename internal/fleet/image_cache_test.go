package fleet

import (
	"testing"

	"badgerbay/internal/jobs"
)

func TestImagesAreEvictedAsCacheFills(t *testing.T) {
	f := newFixture(1)
	f.fleet.recordImageUse(t0, f.machine, &jobs.Spec{Image: "a", ImageGB: 2})
	f.fleet.recordImageUse(t0+1, f.machine, &jobs.Spec{Image: "b", ImageGB: 2})
	if f.machine.HasImage("a") || !f.machine.HasImage("b") {
		t.Error("the cache holds more than fits, or evicted the wrong image")
	}
}
