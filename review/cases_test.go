//go:build review

// Package review starts the scripts of the review's cases. The build tag keeps them out of the default test run.
package review

import (
	"os/exec"
	"testing"
)

// playCase runs the script of a case, whose exit status is 0 if the rule held.
func playCase(t *testing.T, folder string) {
	t.Helper()
	if out, err := exec.Command("./" + folder + "/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}

// TestReviewChangedRingSlots plays case 4: no round is stored any more after a restart with another ring_slots.
func TestReviewChangedRingSlots(t *testing.T) { playCase(t, "4") }

// TestReviewLostBoot plays case 5: a job whose first machine never comes up gets no other one after its deadline.
func TestReviewLostBoot(t *testing.T) { playCase(t, "5") }

// TestReviewLargeReport plays case 6: a machine with many small tasks cannot send its report.
func TestReviewLargeReport(t *testing.T) { playCase(t, "6") }
