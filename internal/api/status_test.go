package api

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"badgerbay/internal/jobs"
)

// TestDoneOnlyAfterPhaseIsStored checks that a job whose last task has completed is reported
// as done only after its final phase has been stored. Otherwise a later leader, which reads
// the stored phase, could report the job as active again.
func TestDoneOnlyAfterPhaseIsStored(t *testing.T) {
	j := jobs.NewJob("wk-000001", jobs.NewRecord(jobs.Spec{Tasks: 1}, 0), 1, 0)
	j.CompleteTask(1, 0)
	if got := StatusOfJob(j); got.State == Done {
		t.Error("job reported as done before its phase was stored")
	}
	j.Stored.Phase = j.Phase
	if diff := cmp.Diff(Status{State: Done, DoneTasks: 1}, StatusOfJob(j)); diff != "" {
		t.Error(diff)
	}
}
