package leasedelegation

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

const now = clock.Instant(time.Hour)

func instantAt(s float64) clock.Instant { return now.Add(clock.Seconds(s)) }

func testSettings() *config.Settings {
	return &config.Settings{NodeName: "n0", Zone: "a",
		Peers:  []config.Peer{{NodeName: "n1", Zone: "b"}, {NodeName: "n2", Zone: "b"}},
		Params: config.Params{Workers: config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}}}
}

// TestDelegateDuringPartition checks which leases a node renews under a grant during a network partition, and for how
// long.
func TestDelegateDuringPartition(t *testing.T) {
	heartbeat := func(id ident.MachineID, zone ident.Zone, token ident.Epoch) *fleet.Heartbeat {
		return &fleet.Heartbeat{Machine: id, Zone: zone, FencingToken: token}
	}
	own := heartbeat("m1", "a", 7)
	d := NewDelegate("a", testSettings().Params.Workers, now)
	if d.Decide(instantAt(60), NodeIsolated, own) != ForwardToLeader {
		t.Error("a node that never held a grant did not forward the heartbeat to the leader")
	}
	d.AcceptStatus(instantAt(60), Status{Epoch: 7, GrantDuration: 20 * time.Second, ExcludedMachines: []ident.MachineID{"m2"}})
	d.AcceptStatus(instantAt(59), Status{Epoch: 6, GrantDuration: time.Hour}) // delayed status of an earlier leader
	if d.Decide(instantAt(62), NodeIsolated, own) != ForwardToLeader || d.Decide(instantAt(70), Connected, own) != ForwardToLeader {
		t.Error("a node that is not isolated did not forward the heartbeat to the leader")
	}
	if d.Decide(instantAt(63), NodeIsolated, own) != RedirectToOtherZone || d.Decide(instantAt(70), NodeIsolated, own) != RenewLease {
		t.Error("a worker must try one other node first and have its lease renewed when it returns")
	}
	if d.Decide(instantAt(71), StateServiceOutage, heartbeat("m3", "a", 7)) != RenewLease {
		t.Error("the lease was not renewed at once although no other node can help during an outage of the state service")
	}
	for reason, h := range map[string]*fleet.Heartbeat{"must end a task": heartbeat("m2", "a", 7),
		"is in another zone": heartbeat("m5", "b", 7), "has seen a later epoch": heartbeat("m6", "a", 8)} {
		if d.Decide(instantAt(72), StateServiceOutage, h) == RenewLease {
			t.Errorf("renewed the lease of a worker that %s", reason)
		}
	}
	if d.Decide(instantAt(73.9), NodeIsolated, heartbeat("m4", "a", 7)) != RedirectToOtherZone || d.Decide(instantAt(74.1), NodeIsolated, heartbeat("m7", "a", 7)) != RenewLease {
		t.Error("a worker must try another node only if it can return before the grant expires")
	}
	if idle := d.IdleFor(instantAt(78)); idle != 3900*time.Millisecond {
		t.Errorf("last renewal %v ago, want 3.9 s", idle)
	}
	if d.Decide(instantAt(80), NodeIsolated, own) != RefuseHeartbeat {
		t.Error("the heartbeat was not refused after the grant had expired")
	}
}

// TestDelegateRenewsShortLeaseBeforeProbe checks that a lease that would expire during a second wait for an
// unresponsive node is renewed before its worker probes another node, and again afterwards.
func TestDelegateRenewsShortLeaseBeforeProbe(t *testing.T) {
	d := NewDelegate("a", config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40}, now)
	d.AcceptStatus(instantAt(60), Status{Epoch: 7, GrantDuration: 27 * time.Second})
	for i, want := range []Disposition{RenewLease, RedirectToOtherZone, RenewLease, RenewLease} {
		at := []float64{65, 66, 71.5, 72.5}[i]
		if got := d.Decide(instantAt(at), NodeIsolated, &fleet.Heartbeat{Machine: "m1", Zone: "a", FencingToken: 7}); got != want {
			t.Errorf("at %v s: disposition %v, want %v", at, got, want)
		}
	}
}
