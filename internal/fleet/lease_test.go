package fleet

import (
	"testing"
	"time"

	"badgerbay/internal/jobs"
)

// TestLeaseCountsFromLastRenewal checks that the placements of a machine that sends no heartbeats end only when its
// lease, counted from the last renewal, is certain to have expired. Later messages of the expired session are stale.
func TestLeaseCountsFromLastRenewal(t *testing.T) {
	f := newFixture(1)
	p := f.place(0, 5)
	f.now = t0.Add(20 * time.Second)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskRunning, ""))
	if c := f.fleet.ExpireLeases(f.now.Add(27 * time.Second)); len(c.Ended) != 0 {
		t.Fatal("the placement ended before the lease expired")
	}
	if c := f.fleet.ExpireLeases(f.now.Add(28 * time.Second)); len(c.Ended) != 1 || p.State != jobs.PlacementEnded {
		t.Fatal("the placement did not end after the lease expired")
	}
	if c := f.sendHeartbeat(1, 3, epoch, taskStatus(0, 5, TaskRunning, "")); !c.Stale {
		t.Error("a heartbeat of the expired session was applied")
	}
}

// TestNewSessionHasFullLease checks that the lease of a new session lasts for its full duration even if none of its
// heartbeats was answered, because the session became known from the refusal of a direct command. It guards against a
// fault in which such a session was considered expired too early, so that a task ran twice.
func TestNewSessionHasFullLease(t *testing.T) {
	f := newFixture(1)
	f.now = t0.Add(40 * time.Second)
	f.fleet.ApplyCommandResponse(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 2, HeartbeatSeq: 1, FencingToken: epoch})
	p := f.place(0, 7)
	if c := f.fleet.ExpireLeases(f.now.Add(5 * time.Second)); len(c.Ended) != 0 || p.State == jobs.PlacementEnded {
		t.Error("the lease of the new session was considered expired")
	}
}

// TestStaleHeartbeatsDoNotExtendLease checks that copies of heartbeats that arrive after the machine has failed do not
// delay the expiry of its lease, after which its tasks are certain to have ended.
func TestStaleHeartbeatsDoNotExtendLease(t *testing.T) {
	f := newFixture(1)
	f.sendHeartbeat(1, 20, epoch)
	last := f.now
	for range 8 {
		f.now = f.now.Add(5 * time.Second)
		if !f.sendHeartbeat(1, 5, epoch).Stale {
			t.Fatal("a copy of an old heartbeat was applied")
		}
	}
	if !f.fleet.LeaseExpired(f.now, f.machine) {
		t.Errorf("the lease has not expired %v after the last heartbeat", f.now.Sub(last))
	}
	// If the response to a direct command arrives before an older heartbeat, the response to that heartbeat renews the
	// lease too, but only from the time of the command's response.
	f.now = f.now.Add(time.Second)
	f.fleet.ApplyCommandResponse(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 22, FencingToken: epoch})
	commandResponseAt := f.now
	f.now = f.now.Add(time.Second)
	f.sendHeartbeat(1, 21, epoch)
	if f.machine.LastRenewal != commandResponseAt {
		t.Errorf("the lease counts from %v, want %v", f.machine.LastRenewal, commandResponseAt)
	}
}
