package scheduler

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// zoneTracker enforces zone affinity and zone spread. It counts the tasks that the plan places
// in each zone.
type zoneTracker struct {
	planned map[*jobs.Job]map[ident.Zone]int
}

func newZoneTracker() *zoneTracker {
	return &zoneTracker{planned: map[*jobs.Job]map[ident.Zone]int{}}
}

// add counts n tasks of the job as placed in the zone.
func (z *zoneTracker) add(job *jobs.Job, zone ident.Zone, n int) {
	if z.planned[job] == nil {
		z.planned[job] = map[ident.Zone]int{}
	}
	z.planned[job][zone] += n
}

// allowedTasks returns how many more tasks of the job may be placed in the zone, given the zones of its
// other tasks, placed or planned.
func (z *zoneTracker) allowedTasks(job *jobs.Job, zone ident.Zone) int {
	// A machine whose zone is not known yet may be in any zone.
	if job.PlacementsByZone[""] > 0 && (job.Spec.ZoneAffinity || job.Spec.ZoneSpread) {
		return 0
	}
	if job.Spec.ZoneAffinity && (hasTasksOutside(job.PlacementsByZone, zone) || hasTasksOutside(z.planned[job], zone)) {
		return 0
	}
	if !job.Spec.ZoneSpread {
		return math.MaxInt32
	}
	return max(0, job.Spec.MaxTasksPerZone()-job.PlacementsByZone[zone]-z.planned[job][zone])
}

func hasTasksOutside(byZone map[ident.Zone]int, zone ident.Zone) bool {
	for other, n := range byZone {
		if n > 0 && other != zone {
			return true
		}
	}
	return false
}
