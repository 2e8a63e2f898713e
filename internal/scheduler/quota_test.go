package scheduler

import (
	"math"
	"testing"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestReservationsCountAgainstLimit checks that the part of a team's limit that other nodes have reserved is
// available only to the jobs that the reservations cover.
func TestReservationsCountAgainstLimit(t *testing.T) {
	covered := newQueuedJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 9, 1), 0)
	other := newQueuedJob("wk-000002", taskSpec("red", jobs.PriorityStandard, 9, 1), 0)
	quotas := newQuotaTracker(&Snapshot{
		Teams:    map[ident.Team]config.Team{"red": {CPULimit: 10}},
		Reserved: map[ident.Team]jobs.Resources{"red": {CPUs: 6}},
		ReservedTasks: func(job *jobs.Job) int {
			if job == covered {
				return 6
			}
			return 0
		},
	})
	if n := quotas.tasksWithinQuota(other); n != 4 {
		t.Errorf("%d tasks of the other job within the limit, want 4", n)
	}
	if n := quotas.tasksWithinQuota(covered); n != 10 {
		t.Errorf("%d tasks of the covered job within the limit, want 10", n)
	}
	quotas.recordReservationBlocked(other, 9)
	if blocked := quotas.reservationBlocked["red"].CPUs; blocked != 5 {
		t.Errorf("%v CPUs are blocked by reservations, want 5", blocked)
	}
	quotas.addUsage(covered, 6)
	quotas.consumeReservation(covered, 6)
	if n := quotas.tasksWithinQuota(other); n != 4 {
		t.Errorf("%d tasks of the other job once the reserved ones are placed, want 4", n)
	}
}

// TestEvictedUsageCountsForLimitNotGuarantee checks that evicted tasks count against their team's limit until they
// have ended, but no longer count as usage that other teams can reclaim.
func TestEvictedUsageCountsForLimitNotGuarantee(t *testing.T) {
	victim := newQueuedJob("wk-000001", taskSpec("blue", jobs.PriorityStandard, 2, 4), 0)
	preemptor := newQueuedJob("wk-000002", taskSpec("red", jobs.PriorityStandard, 1, 4), 0)
	quotas := newQuotaTracker(&Snapshot{Teams: map[ident.Team]config.Team{
		"red":  {CPUGuarantee: 4},
		"blue": {CPUGuarantee: 4, CPULimit: 12},
	}})
	quotas.addUsage(victim, 2)
	if !quotas.mayReclaim(preemptor) {
		t.Error("mayReclaim is false, want true: another team is beyond its guarantee")
	}
	placement := &jobs.Placement{Job: victim}
	if !quotas.keepsFullGuarantee(placement, 1) || quotas.keepsFullGuarantee(placement, 2) {
		t.Error("want the team to keep its full guarantee if one task ends, but not if two end")
	}
	quotas.addEvictedUsage(placement)
	if quotas.mayReclaim(preemptor) {
		t.Error("mayReclaim is true, want false: after the eviction no team is beyond its guarantee")
	}
	if n := quotas.tasksWithinQuota(victim); n != 1 {
		t.Errorf("%d more tasks within the limit, want 1: the evicted task still counts", n)
	}
}

// TestTeamWithoutLimit checks that the number of tasks of a team without limits is not bounded.
func TestTeamWithoutLimit(t *testing.T) {
	quotas := newQuotaTracker(&Snapshot{})
	job := newQueuedJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 9, 1), 0)
	if n := quotas.tasksWithinQuota(job); n != math.MaxInt32 {
		t.Errorf("%d tasks within the quota of a team without limits, want %d", n, math.MaxInt32)
	}
}
