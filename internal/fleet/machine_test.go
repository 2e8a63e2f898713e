package fleet

import (
	"testing"
	"time"

	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

// TestRemovedMachinesAreRemembered checks that the placements of a removed machine end, and that the machine counts as
// removed for the retention time, so that an outdated list that names it is not mistaken for a new machine.
func TestRemovedMachinesAreRemembered(t *testing.T) {
	const retention = time.Minute
	f := newFixture(1)
	p := f.place(0, 5)
	changes := f.fleet.Remove(f.now, "host-1")
	if p.State != jobs.PlacementEnded || len(changes.Ended) != 1 || changes.Ended[0].Cause != ExitMachineLost {
		t.Errorf("changes %+v, want the end of the placement because its machine is lost", changes)
	}
	if f.fleet.Len() != 0 || f.fleet.TombstoneCount() != 0 || !f.fleet.WasRemoved("host-1") || !f.machine.Removed {
		t.Error("not removed, or not recorded as removed")
	}
	if changes := f.fleet.Remove(f.now, "host-1"); len(changes.Ended) != 0 {
		t.Errorf("removed twice: %+v", changes)
	}
	f.fleet.PruneRemoved(f.now.Add(retention), retention)
	if !f.fleet.WasRemoved("host-1") {
		t.Error("pruned before the retention time has passed")
	}
	f.fleet.PruneRemoved(f.now.Add(retention+1), retention)
	if f.fleet.WasRemoved("host-1") {
		t.Error("not pruned after the retention time")
	}
}

// TestFailedMachinesAreNotActive checks that the placements of a failed machine end and that it gets no tasks, and that
// neither a failed machine nor one that is being deprovisioned counts as active.
func TestFailedMachinesAreNotActive(t *testing.T) {
	f := newFixture(1)
	f.fleet.Ensure(f.now, "host-2").Up = true
	if n := f.fleet.ActiveCount(); n != 2 {
		t.Fatalf("%d active machines, want 2", n)
	}
	p := f.place(0, 5)
	changes := f.fleet.MarkFailed(f.now, f.machine)
	if p.State != jobs.PlacementEnded || len(changes.Ended) != 1 || f.fleet.Schedulable(f.machine) {
		t.Errorf("changes %+v, want the end of the placement and a machine that is not schedulable", changes)
	}
	f.fleet.Machine("host-2").Deprovisioning = true
	if n := f.fleet.ActiveCount(); n != 0 {
		t.Errorf("%d active machines, want 0", n)
	}
}

// TestZoneCountsFollowMachineZone checks that a placement that was restored before the zone of its machine was known is
// counted in that zone as soon as it is known.
func TestZoneCountsFollowMachineZone(t *testing.T) {
	f := newFixture(1)
	m := f.fleet.Ensure(f.now, "host-2")
	m.Session = 1 // as in the record
	f.fleet.AddPlacement(f.now, &jobs.Placement{Job: f.job, Task: 0, Machine: m.ID, Session: 1, Attempt: 5})
	m.SetAttributes("m", "b", true)
	if f.job.PlacementsByZone[""] != 0 || f.job.PlacementsByZone["b"] != 1 || !m.Spot || m.Type != "m" {
		t.Errorf("placements by zone %v, want one in zone b, on a spot machine of type m", f.job.PlacementsByZone)
	}
	f.fleet.ApplyHeartbeat(f.now, &Heartbeat{Machine: m.ID, Type: "m", Zone: "c", Session: 1, HeartbeatSeq: 1})
	if f.job.PlacementsByZone["b"] != 0 || f.job.PlacementsByZone["c"] != 1 {
		t.Errorf("placements by zone %v, want one in zone c", f.job.PlacementsByZone)
	}
}

// TestLoadFollowsPlacements checks that the load and the free capacity of a machine are updated with its placements.
func TestLoadFollowsPlacements(t *testing.T) {
	f := newFixture(2)
	f.place(0, 5)
	q := f.place(1, 6)
	load := f.machine.Load()
	if load.Tasks != 2 || load.TasksBelow(f.job.Spec.Priority+1) != 2 || load.TasksBelow(f.job.Spec.Priority) != 0 {
		t.Errorf("load %+v, want two tasks of the job's priority", load)
	}
	if free := f.fleet.FreeCapacity(f.machine); free.CPUs != 2 || free.MemoryGB != 6 {
		t.Errorf("free capacity %+v, want 2 CPUs and 6 GB of memory", free)
	}
	f.fleet.Commands(f.machine, false) // marks the start commands as sent
	f.fleet.StopPlacement(f.now, q, time.Second)
	if load.Stopping != 1 || !f.machine.HasAttempt(f.job.ID, 6) || f.machine.HasAttempt(f.job.ID, 7) {
		t.Errorf("load %+v, want one stopping task; or HasAttempt is wrong for attempt 6 or 7", load)
	}
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskExited, ExitError), taskStatus(1, 6, TaskExited, ExitStopped))
	if *load != (Load{}) || f.machine.Busy() {
		t.Errorf("load %+v of a machine whose tasks have exited, want none", load)
	}
}

// TestInterruptionNoticeIsReportedOnce checks that an interruption notice is reported as new only once, and that a
// machine that the cloud will reclaim gets no tasks until the notice is withdrawn.
func TestInterruptionNoticeIsReportedOnce(t *testing.T) {
	f := newFixture(1)
	seq := ident.HeartbeatSeq(1)
	heartbeat := func(noticed bool) Changes {
		seq++
		return f.fleet.ApplyHeartbeat(f.now, &Heartbeat{Machine: "host-1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: seq,
			FencingToken: epoch, InterruptionNoticed: noticed, InterruptionIn: 30 * time.Second})
	}
	if !heartbeat(true).InterruptionNoticed || f.machine.InterruptionAt != f.now.Add(30*time.Second) || f.fleet.Schedulable(f.machine) {
		t.Errorf("the notice was not reported, the interruption at %v is not 30 s away, or the machine is schedulable", f.machine.InterruptionAt)
	}
	if heartbeat(true).InterruptionNoticed {
		t.Error("the notice was reported twice")
	}
	if heartbeat(false).InterruptionNoticed || f.machine.InterruptionAt != 0 || !f.fleet.Schedulable(f.machine) {
		t.Error("the notice still applies after it was withdrawn")
	}
}
