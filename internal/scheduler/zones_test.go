package scheduler

import (
	"math"
	"testing"

	"badgerbay/internal/jobs"
)

// TestZoneRoom checks that zone affinity restricts a job to the zone of its first task, and that zone spread limits
// its tasks in each zone. With either, no zone has room while the zone of one of the job's tasks is unknown.
func TestZoneRoom(t *testing.T) {
	affinity := taskSpec("red", jobs.PriorityStandard, 9, 1)
	affinity.ZoneAffinity = true
	spread := taskSpec("red", jobs.PriorityStandard, 9, 1)
	spread.ZoneSpread = true

	zones := newZoneTracker()
	affinityJob := newQueuedJob("wk-000001", affinity, 0)
	if zones.allowedTasks(affinityJob, "a") != math.MaxInt32 || zones.allowedTasks(affinityJob, "b") != math.MaxInt32 {
		t.Error("a job with zone affinity and no placed tasks is restricted to a zone")
	}
	zones.add(affinityJob, "a", 1)
	if zones.allowedTasks(affinityJob, "a") != math.MaxInt32 || zones.allowedTasks(affinityJob, "b") != 0 {
		t.Error("a job with zone affinity and a task in zone a is not restricted to that zone")
	}

	spreadJob := newQueuedJob("wk-000002", spread, 0)
	spreadJob.PlacementsByZone["a"] = 2
	zones.add(spreadJob, "a", 1)
	if a, b := zones.allowedTasks(spreadJob, "a"), zones.allowedTasks(spreadJob, "b"); a != 2 || b != 5 {
		t.Errorf("room for %d tasks in zone a and %d in zone b, with three of nine in zone a; want 2 and 5", a, b)
	}
	spreadJob.PlacementsByZone[""] = 1
	if n := zones.allowedTasks(spreadJob, "b"); n != 0 {
		t.Errorf("room for %d tasks while the zone of one is unknown, want 0", n)
	}
}
