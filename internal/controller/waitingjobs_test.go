package controller

import (
	"testing"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestWaitingJobIsExplained checks that the counts of machines by obstacle tell a job that waits for quarantined
// machines from one that avoids them and one for which they are full.
func TestWaitingJobIsExplained(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 12)
	tm := g.core.term
	spec := arraySpec
	spec.MachineTypes = []ident.MachineType{"large"}
	j := jobs.NewJob("wk-000001", jobs.NewRecord(spec, 0), 1, g.now)
	machines := tm.fleet.Machines()
	machines[0].Quarantined = true
	avoidMachine(j, machines[4].ID, g.now.Add(time.Second))
	machines[1].Draining = true
	machines[2].Up = false
	large := spec
	large.CPUs = 16
	filling := jobs.NewJob("wk-000002", jobs.NewRecord(large, 0), 1, g.now)
	tm.fleet.AddPlacement(g.now, &jobs.Placement{Job: filling, Machine: machines[8].ID})
	got := tm.machineObstacles(g.now, j)
	for obstacle, want := range map[fleet.Obstacle]int{"quarantined": 1, "avoided": 1, "leaving": 1, "unreachable": 1, "full": 1, "not_allowed": 7} {
		if got[obstacle] != want {
			t.Errorf("%d machines are %s, want %d (all: %v)", got[obstacle], obstacle, want, got)
		}
	}
}
