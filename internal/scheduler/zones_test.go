package scheduler

import (
	"math"
	"testing"

	"badgerbay/internal/jobs"
)

// TestZoneRoom: zone affinity binds a job to the zone of its first task, zone spread bounds
// its tasks in each; both wait while the zone of a task is not known.
func TestZoneRoom(t *testing.T) {
	affinity := taskSpec("red", jobs.PriorityStandard, 9, 1)
	affinity.ZoneAffinity = true
	spread := taskSpec("red", jobs.PriorityStandard, 9, 1)
	spread.ZoneSpread = true

	zones := newZoneTracker()
	bound := newQueuedJob("wk-000001", affinity, 0)
	if zones.room(bound, "a") != math.MaxInt32 || zones.room(bound, "b") != math.MaxInt32 {
		t.Error("a job without tasks is bound to a zone")
	}
	zones.add(bound, "a", 1)
	if zones.room(bound, "a") != math.MaxInt32 || zones.room(bound, "b") != 0 {
		t.Error("a job with a task in zone a may go to another")
	}

	wide := newQueuedJob("wk-000002", spread, 0)
	wide.PlacementsByZone["a"] = 2
	zones.add(wide, "a", 1)
	if a, b := zones.room(wide, "a"), zones.room(wide, "b"); a != 2 || b != 5 {
		t.Errorf("room for %d and %d tasks of nine, of which three are in zone a, want 2 and 5", a, b)
	}
	wide.PlacementsByZone[""] = 1
	if n := zones.room(wide, "b"); n != 0 {
		t.Errorf("room for %d tasks while the zone of one is not known", n)
	}
}
