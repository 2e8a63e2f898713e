package recovery

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
)

const (
	acquiredAt = clock.Instant(time.Hour)
	epoch      = ident.Epoch(10)
)

// busyMachines returns n machines that are up with one task each. The first silent of them have sent no
// heartbeat in the epoch.
func busyMachines(t *testing.T, n, silent int) []*fleet.Machine {
	t.Helper()
	job := jobs.NewJob("wk-000001", jobs.NewRecord(jobs.Spec{Tasks: n, CPUs: 1}, 0), 1, acquiredAt)
	f := fleet.New(fleet.Timing{HeartbeatInterval: 5 * time.Second, LeaseTTL: 27 * time.Second}, epoch, acquiredAt,
		func(ident.JobID) *jobs.Job { return job })
	for i := range n {
		id := ident.MachineID(rune('a' + i))
		token := epoch
		if i < silent {
			token = epoch - 1
		}
		f.ApplyHeartbeat(acquiredAt, &fleet.Heartbeat{Machine: id, Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 1, FencingToken: token})
		f.AddPlacement(acquiredAt, &jobs.Placement{Job: job, Task: ident.TaskIndex(i), Machine: id, Session: 1, Attempt: 1})
	}
	return f.Machines()
}

// TestSchedulingGate checks that a new leader places no tasks until nearly all machines have sent it a heartbeat or
// have had the time to do so, and, if a round is lost, until its tasks have ended.
func TestSchedulingGate(t *testing.T) {
	workers := config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}
	for _, c := range []struct {
		name   string
		gate   SchedulingGate
		silent int
		after  time.Duration
		open   bool
	}{
		{"half are silent", SchedulingGate{}, 10, 6 * time.Second, false},
		{"one of twenty is silent", SchedulingGate{}, 1, time.Second, true},
		{"two of twenty are silent", SchedulingGate{}, 2, time.Second, false},
		{"the maximum heartbeat gap has passed", SchedulingGate{}, 20, 6250 * time.Millisecond, true},
		{"nothing was ever placed", SchedulingGate{Pristine: true}, 20, 0, true},
		{"a round is lost", SchedulingGate{LostRounds: true}, 0, 40 * time.Second, false},
		{"a round is lost, but its tasks have ended", SchedulingGate{LostRounds: true}, 0, 52 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			gate := c.gate
			gate.AcquiredAt, gate.Epoch, gate.Workers = acquiredAt, epoch, workers
			if got := gate.Open(acquiredAt.Add(c.after), busyMachines(t, 20, c.silent)); got != c.open {
				t.Errorf("open %v after %v, want %v", got, c.after, c.open)
			}
		})
	}
}
