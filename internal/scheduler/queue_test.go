package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// newQueuedJob is a queued job that was accepted some seconds before queueNowMs.
func newQueuedJob(id ident.JobID, spec jobs.Spec, waitedSeconds int64) *jobs.Job {
	return jobs.NewJob(id, jobs.NewRecord(spec, queueNowMs-waitedSeconds*1000), 1, leaderStart)
}

const queueNowMs = 1_000_000

// TestQueueOrder: priority decides, then guarantees, then arrival, then the name; aged work
// stands between PriorityHigh and the others, and keeps its entry among these.
func TestQueueOrder(t *testing.T) {
	snapshot := &Snapshot{WallMs: queueNowMs, Teams: map[ident.Team]config.Team{"red": {CPUGuarantee: 4}, "blue": {}}}
	queued := []*jobs.Job{
		newQueuedJob("wk-000001", taskSpec("blue", jobs.PriorityStandard, 2, 1), 10),
		newQueuedJob("wk-000002", taskSpec("red", jobs.PriorityStandard, 2, 1), 5),
		newQueuedJob("wk-000003", taskSpec("blue", jobs.PriorityBestEffort, 2, 1), agingThresholdSeconds),
		newQueuedJob("wk-000004", taskSpec("blue", jobs.PriorityHigh, 2, 1), 0),
		newQueuedJob("wk-000005", taskSpec("blue", jobs.PriorityStandard, 2, 1), 10),
		newQueuedJob("wk-000006", gangSpec(2, 1), 20),
	}
	type place struct {
		Job              ident.JobID
		Guaranteed, Aged bool
	}
	var got []place
	for _, entry := range buildQueue(queued, newQuotaTracker(snapshot), newUrgency(snapshot)) {
		got = append(got, place{entry.job.ID, entry.guaranteed, entry.aged})
	}
	want := []place{
		{"wk-000004", false, false},
		{"wk-000003", false, true},
		{"wk-000006", true, false},
		{"wk-000002", true, false},
		{"wk-000001", false, false},
		{"wk-000005", false, false},
		{"wk-000002", false, false},
		{"wk-000003", false, false},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestAgingBudgetIsSpent: aged jobs start as many tasks before others as their share of the
// machines holds, at least one if they run none, and all once they have waited too long.
func TestAgingBudgetIsSpent(t *testing.T) {
	snapshot := &Snapshot{WallMs: queueNowMs}
	budget := &agingBudget{urgency: newUrgency(snapshot), left: jobs.Resources{CPUs: 3, MemoryGB: 100}}
	for _, c := range []struct {
		waitedSeconds int64
		want          int
	}{
		{agingThresholdSeconds, 3},
		{agingThresholdSeconds, 1}, // nothing is left
		{agingDeadlineSeconds, 8},
	} {
		job := newQueuedJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 8, 1), c.waitedSeconds)
		if got := budget.take(job); got != c.want {
			t.Errorf("after %d s: %d tasks, want %d", c.waitedSeconds, got, c.want)
		}
	}
}
