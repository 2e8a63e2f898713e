package fleet

import (
	"testing"

	"badgerbay/internal/jobs"
)

// TestImagesAreEvictedAsCacheFills checks that the least recently used image is evicted when the images exceed the
// capacity of the cache.
func TestImagesAreEvictedAsCacheFills(t *testing.T) {
	f := newFixture(1)
	f.fleet.recordImageUse(t0, f.machine, &jobs.Spec{Image: "a", ImageGB: 2})
	f.fleet.recordImageUse(t0+1, f.machine, &jobs.Spec{Image: "b", ImageGB: 2})
	if f.machine.HasImage("a") || !f.machine.HasImage("b") {
		t.Error("the images exceed the capacity of the cache, or the wrong image was evicted")
	}
}
