package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// newQueuedJob returns a queued job that was accepted waitedSeconds before queueNowMs.
func newQueuedJob(id ident.JobID, spec jobs.Spec, waitedSeconds int64) *jobs.Job {
	return jobs.NewJob(id, jobs.NewRecord(spec, queueNowMs-waitedSeconds*1000), 1, leaderStart)
}

// queueNowMs is the wall-clock time at which the tests plan, in milliseconds since the Unix epoch.
const queueNowMs = 1_000_000

// TestQueueOrder checks that entries are ordered by priority. Entries of equal priority are ordered by whether they
// are within a guarantee, those within it first, then by the time of acceptance, then by job ID. An aged job has an
// additional entry between PriorityHigh and the lower priorities, and keeps its entry at its own priority.
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
	type queuePosition struct {
		Job              ident.JobID
		Guaranteed, Aged bool
	}
	var got []queuePosition
	for _, entry := range buildQueue(queued, newQuotaTracker(snapshot), newUrgency(snapshot)) {
		got = append(got, queuePosition{entry.job.ID, entry.guaranteed, entry.aged})
	}
	want := []queuePosition{
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

// TestAgingBudgetLimitsTasks checks how many tasks an aged job may start before other jobs: as many as fit the aged
// jobs' share of the capacity, at least one if the job has no placement, and all once it has waited for
// agingDeadlineSeconds.
func TestAgingBudgetLimitsTasks(t *testing.T) {
	snapshot := &Snapshot{WallMs: queueNowMs}
	budget := &agingBudget{urgency: newUrgency(snapshot), remaining: jobs.Resources{CPUs: 3, MemoryGB: 100}}
	for _, c := range []struct {
		waitedSeconds int64
		want          int
	}{
		{agingThresholdSeconds, 3},
		{agingThresholdSeconds, 1}, // the budget is used up, and the job has no placement
		{agingDeadlineSeconds, 8},
	} {
		job := newQueuedJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 8, 1), c.waitedSeconds)
		if got := budget.reserve(job); got != c.want {
			t.Errorf("after %d s: %d tasks, want %d", c.waitedSeconds, got, c.want)
		}
	}
}
