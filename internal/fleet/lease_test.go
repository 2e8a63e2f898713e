package fleet

import (
	"testing"
	"time"

	"badgerbay/internal/jobs"
)

// TestLeaseCountsFromLastRenewal: placements on a silent machine end only when
// the lease has surely expired, counted from the last answer, and for a successor from
// the failover.
func TestLeaseCountsFromLastRenewal(t *testing.T) {
	f := newFixture(1)
	p := f.place(0, 5)
	f.now = t0.Add(20 * time.Second)
	f.sendHeartbeat(1, 2, epoch, taskStatus(0, 5, TaskRunning, ""))
	if c := f.fleet.ExpireLeases(f.now.Add(27 * time.Second)); len(c.Ended) != 0 {
		t.Fatal("ended within the lease")
	}
	if c := f.fleet.ExpireLeases(f.now.Add(28 * time.Second)); len(c.Ended) != 1 || p.State != jobs.PlacementEnded {
		t.Fatal("not ended after the lease")
	}
	if c := f.sendHeartbeat(1, 3, epoch, taskStatus(0, 5, TaskRunning, "")); !c.Stale {
		t.Error("a heartbeat of the expired session was applied")
	}
}

// TestNewSessionHasFullLease guards against a task once run twice: a session that becomes
// known by the refusal of a direct command has had no heartbeat answered yet, and its
// lease still lasts in full.
func TestNewSessionHasFullLease(t *testing.T) {
	f := newFixture(1)
	f.now = t0.Add(40 * time.Second)
	f.fleet.ApplyCommandAnswer(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 2, HeartbeatSeq: 1, FencingToken: epoch})
	p := f.place(0, 7)
	if c := f.fleet.ExpireLeases(f.now.Add(5 * time.Second)); len(c.Ended) != 0 || p.State == jobs.PlacementEnded {
		t.Error("the new session was taken for expired")
	}
}

// TestStaleHeartbeatsDoNotExtendLease: copies of heartbeats go on arriving after their machine has
// died. They must not put off the moment at which its tasks are surely gone.
func TestStaleHeartbeatsDoNotExtendLease(t *testing.T) {
	f := newFixture(1)
	f.sendHeartbeat(1, 20, epoch)
	last := f.now
	for range 8 {
		f.now = f.now.Add(5 * time.Second)
		if !f.sendHeartbeat(1, 5, epoch).Stale {
			t.Fatal("a copy was applied")
		}
	}
	if !f.fleet.LeaseExpired(f.now, f.machine) {
		t.Errorf("the lease still runs %v after the last heartbeat", f.now.Sub(last))
	}
	// The answer to a heartbeat that a direct command has overtaken does renew the
	// lease, but from before the command.
	f.now = f.now.Add(time.Second)
	f.fleet.ApplyCommandAnswer(f.now, &Heartbeat{Machine: "host-1", Addr: "10.0.0.1:1", Type: "m", Zone: "a", Session: 1, HeartbeatSeq: 22, FencingToken: epoch})
	commandResponseAt := f.now
	f.now = f.now.Add(time.Second)
	f.sendHeartbeat(1, 21, epoch)
	if f.machine.LastRenewal != commandResponseAt {
		t.Errorf("the answer counts from %v, want %v", f.machine.LastRenewal, commandResponseAt)
	}
}
