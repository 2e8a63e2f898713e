package scheduler

import (
	"testing"
	"time"

	"badgerbay/internal/cloud"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// newGPUFixture returns a fixture with n on-demand machines that are up. The only machine type has 64 CPUs and two
// GPUs, and its spot offers are unavailable.
func newGPUFixture(t *testing.T, n int) *fixture {
	s := newFixture(t)
	capacity := jobs.Resources{CPUs: 64, GPUs: 2, MemoryGB: 64}
	s.snapshot.MachineTypes = []*fleet.MachineType{{Name: "m4", Capacity: capacity, CacheGB: 90, FetchGBps: 0.5,
		HourlyPrice: 4, HourlySpotPrice: 1, BootTime: 30 * time.Second, Zones: []ident.Zone{"a", "b"}}}
	s.snapshot.Fleet.SetMachineTypes(s.snapshot.MachineTypes)
	s.snapshot.Teams = nil
	s.snapshot.OfferUnavailable = func(o cloud.Offer) bool { return o.Spot }
	for i := range n {
		s.addMachine(ident.MachineID("host-"+string(rune('a'+i))), "a", false)
	}
	return s
}

func gpuArraySpec(tasks int, estimate float64) jobs.Spec {
	return jobs.Spec{Class: "arr", Team: "red", Priority: jobs.PriorityBestEffort, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 1,
		Image: "i", ImageGB: 1, EstimatedRunSeconds: estimate, Spot: true}
}

// TestBacklogCountsScarcestResource checks that the backlog is measured by the scarcest resource. 40 tasks with one
// GPU each run in five batches on four machines with two GPUs, however many CPUs the machines have. The test guards
// against a fault in which only CPUs were counted: all tasks seemed to fit at once, and no machine was provisioned.
func TestBacklogCountsScarcestResource(t *testing.T) {
	s := newGPUFixture(t, 4)
	s.snapshot.Objectives = map[ident.Class]Objectives{"arr": Objectives{}.With("finished", 110*time.Second)}
	s.addJob("wk-000001", gpuArraySpec(40, 50))
	if plan := s.plan(); len(plan.Record.Provisions) == 0 {
		t.Error("no machine is provisioned for an array that the existing machines would finish late")
	}
}

// TestShortestReachableObjectiveSetsSlack checks that, of several completion objectives of a class, the shortest that
// the job can still meet determines its slack. It guards against a fault in which the last objective was used, so
// that jobs were planned to finish within the 250 s that are meant for stragglers only.
func TestShortestReachableObjectiveSetsSlack(t *testing.T) {
	s := newGPUFixture(t, 1)
	objectives := Objectives{}.With("finished", 250*time.Second).With("finished", 150*time.Second)
	s.snapshot.Objectives = map[ident.Class]Objectives{"arr": objectives}
	j := s.addJob("wk-000001", gpuArraySpec(1, 50))
	slackAfter := func(waited time.Duration) float64 {
		snapshot := *s.snapshot
		snapshot.WallMs = waited.Milliseconds()
		return newUrgency(&snapshot).slackSeconds(j)
	}
	for _, c := range []struct {
		waited time.Duration
		want   float64
	}{
		{0, 150 - expectedRunRatio*50},
		{80 * time.Second, 150 - 80 - expectedRunRatio*50},
		{119 * time.Second, 0}, // 150 s can be met only at optimisticRunRatio
		{121 * time.Second, 250 - 121 - expectedRunRatio*50},
		{240 * time.Second, 0},
	} {
		if got := slackAfter(c.waited); got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("after %v: slack %v, want %v", c.waited, got, c.want)
		}
	}
}

// TestFastCheckpointsCountAsSpareCapacity checks that tasks of lower priority count as spare capacity for a class if
// they write their checkpoint within a quarter of the class's start objective, and don't if that takes longer.
func TestFastCheckpointsCountAsSpareCapacity(t *testing.T) {
	for checkpointSeconds, provisions := range map[float64]bool{2: false, 4: true} {
		s := newGPUFixture(t, 3)
		s.snapshot.Objectives = map[ident.Class]Objectives{"svc": Objectives{}.With("wait", 12*time.Second)}
		replica := gpuArraySpec(2, 0)
		replica.Class, replica.Service, replica.Spot, replica.Priority = "svc", true, false, jobs.PriorityProd
		s.snapshot.SpareSpecs = []*jobs.Spec{&replica}
		array := gpuArraySpec(6, 100)
		array.CheckpointIntervalSeconds, array.CheckpointSeconds = 10, checkpointSeconds
		j := s.addJob("wk-000001", array)
		for i := range 6 {
			p := s.place(j, ident.TaskIndex(i), ident.MachineID("host-"+string(rune('a'+i/2))))
			p.RunningSince = s.snapshot.Now
		}
		j.Queue = nil
		if plan := s.plan(); (len(plan.Record.Provisions) > 0) != provisions {
			t.Errorf("checkpoint of %v s: provisions %v, want any: %t", checkpointSeconds, plan.Record.Provisions, provisions)
		}
	}
}
