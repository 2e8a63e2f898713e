package api

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/jobs"
)

// TestDoneOnlyAfterCheckpoint: a job whose last task has just completed is
// not done before its checkpoint says so.
func TestDoneOnlyAfterCheckpoint(t *testing.T) {
	j := jobs.NewJob("wk-000001", jobs.NewRecord(jobs.Spec{Tasks: 1}, 0), 1, 0)
	j.CompleteTask(1, 0)
	if got := StatusOfJob(j); got.State == Done {
		t.Error("done before it is stored")
	}
	j.Stored.Phase = j.Phase
	if diff := cmp.Diff(Status{State: Done, DoneTasks: 1}, StatusOfJob(j)); diff != "" {
		t.Error(diff)
	}
}
