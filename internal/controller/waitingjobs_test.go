package controller

import (
	"testing"
	"time"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestWaitingJobIsExplained checks that the counts of machines by obstacle tell a job that waits for quarantined
// machines from one that avoids them and one that does not fit.
func TestWaitingJobIsExplained(t *testing.T) {
	t.Parallel()
	g := newCoreFixture(t, 8)
	tm := g.core.term
	spec := arraySpec
	spec.MachineTypes = []ident.MachineType{"large"}
	spec.Spot, spec.Tasks = true, 1000
	spec.Team = "red"
	j := jobs.NewJob("wk-000001", jobs.NewRecord(spec, 0), 1, g.now)
	machines := tm.fleet.Machines()
	machines[0].Quarantined = true
	avoidMachine(j, machines[4].ID, g.now.Add(time.Second))
	machines[1].Draining = true
	machines[2].Up = false
	got := tm.machineObstacles(g.now, j)
	for obstacle, want := range map[fleet.Obstacle]int{"quarantined": 1, "avoided": 1, "leaving": 1, "unreachable": 1, "not_allowed": 4} {
		if got[obstacle] != want {
			t.Errorf("%d machines are %s, want %d (all: %v)", got[obstacle], obstacle, want, got)
		}
	}
}
