package leasedelegation

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/fleet"
)

const now = clock.Instant(time.Hour)

func seconds(s float64) clock.Instant { return now.Add(clock.Seconds(s)) }

func settings() *config.Settings {
	return &config.Settings{NodeName: "n0", Zone: "a",
		Peers:  []config.Peer{{NodeName: "n1", Zone: "b"}, {NodeName: "n2", Zone: "b"}},
		Params: config.Params{Workers: config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}}}
}

// TestGrantDuration: what a cancelled job runs under a grant that was given just before
// is gone in time.
func TestGrantDuration(t *testing.T) {
	w := config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 27, CancelSeconds: 52}
	if life := GrantDuration(w); life <= 0 || life+w.LeaseTTL() >= w.CancelTimeout() {
		t.Errorf("a grant lives for %v", life)
	}
	w.CancelSeconds = 30
	if life := GrantDuration(w); life != 0 {
		t.Errorf("a grant lives for %v although there is no time for it", life)
	}
}

// TestDelegate follows a node through a cut: what it keeps, and for how long.
func TestDelegate(t *testing.T) {
	report := func(id ident.MachineID, zone ident.Zone, token ident.Epoch) *fleet.Heartbeat {
		return &fleet.Heartbeat{Machine: id, Zone: zone, FencingToken: token}
	}
	mine := report("m1", "a", 7)
	k := NewDelegate("a", settings().Params.Workers, now)
	if k.Decide(seconds(60), NodeIsolated, mine) != ForwardToLeader {
		t.Error("a node that never had a grant took a decision of its own")
	}
	k.AcceptStatus(seconds(60), Status{Epoch: 7, GrantDuration: 20 * time.Second, ExcludedMachines: []ident.MachineID{"m2"}})
	k.AcceptStatus(seconds(59), Status{Epoch: 6, GrantDuration: time.Hour}) // came late, of an earlier leader
	if k.Decide(seconds(62), NodeIsolated, mine) != ForwardToLeader || k.Decide(seconds(70), Connected, mine) != ForwardToLeader {
		t.Error("a node that is not cut off took a decision of its own")
	}
	if k.Decide(seconds(63), NodeIsolated, mine) != RedirectOutside || k.Decide(seconds(70), NodeIsolated, mine) != RenewLease {
		t.Error("a worker must try one other node, and be kept when it is back")
	}
	if k.Decide(seconds(71), StateServiceOutage, report("m3", "a", 7)) != RenewLease {
		t.Error("in an outage no other node does better by a worker")
	}
	for what, r := range map[string]*fleet.Heartbeat{"owes an exit": report("m2", "a", 7),
		"is of another node's zone": report("m5", "b", 7), "has seen a later leader": report("m6", "a", 8)} {
		if k.Decide(seconds(72), StateServiceOutage, r) == RenewLease {
			t.Errorf("a worker was kept that %s", what)
		}
	}
	if k.Decide(seconds(73.9), NodeIsolated, report("m4", "a", 7)) != RedirectOutside || k.Decide(seconds(74.1), NodeIsolated, report("m7", "a", 7)) != RenewLease {
		t.Error("a worker must try another node only if it is back before the grant ends")
	}
	if q := k.IdleFor(seconds(78)); q != 3900*time.Millisecond {
		t.Errorf("the last worker was kept %v ago, want 3.9 s", q)
	}
	if k.Decide(seconds(80), NodeIsolated, mine) != RefuseHeartbeat {
		t.Error("a worker was kept after the grant had ended")
	}
}

// TestDelegateOfShortLeases: a worker whose lease does not bear a second wait for a
// node that does not answer is kept before it probes one, and after it.
func TestDelegateOfShortLeases(t *testing.T) {
	k := NewDelegate("a", config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40}, now)
	k.AcceptStatus(seconds(60), Status{Epoch: 7, GrantDuration: 27 * time.Second})
	for i, want := range []Disposition{RenewLease, RedirectOutside, RenewLease, RenewLease} {
		at := []float64{65, 66, 71.5, 72.5}[i]
		if got := k.Decide(seconds(at), NodeIsolated, &fleet.Heartbeat{Machine: "m1", Zone: "a", FencingToken: 7}); got != want {
			t.Errorf("at %v s: verdict %v, want %v", at, got, want)
		}
	}
}

// TestGrantTracker: a zone's leases count from the last moment at which a node in it
// may have kept them, whether or not that node is heard.
func TestGrantTracker(t *testing.T) {
	l := NewGrantTracker(settings(), now)
	if _, ok := l.RenewalIn("a"); ok {
		t.Error("the leader's own zone has no other node, and yet leases kept")
	}
	span := func(z ident.Zone) fleet.DelegatedRenewal {
		v, _ := l.RenewalIn(z)
		return v
	}
	life := GrantDuration(settings().Params.Workers)
	if v := span("b"); v.NoneUntil != now || v.GrantsExpireAt < now.Add(life) {
		t.Errorf("%+v after a takeover: grants of earlier leaders may be in use", v)
	}
	l.ConfirmIdle("n1", seconds(40), seconds(41), 30*time.Second)
	if v := span("b"); v.NoneUntil != now || v.LastRenewal != seconds(11) {
		t.Errorf("%+v: one of two nodes was heard, which has kept workers 11 s in", v)
	}
	l.ConfirmIdle("n2", seconds(42), seconds(42), time.Hour)
	l.ConfirmIdle("n2", seconds(3), seconds(43), time.Hour) // an answer that was held
	if v := span("b"); v.NoneUntil != seconds(40) {
		t.Errorf("%+v: both said that they keep none", v)
	}
	l.Grant(seconds(50), "n2")
	if v := span("b"); v.GrantsExpireAt < seconds(50).Add(life) {
		t.Errorf("%+v: a grant was given at 50 s", v)
	}
	if v, ok := l.RenewalIn("c"); ok {
		t.Errorf("%+v: a zone without a node has nobody to keep its workers", v)
	}
	if v, ok := l.RenewalIn(""); !ok || v != span("b") {
		t.Errorf("%+v %v: a machine whose zone is not known may be in any", v, ok)
	}
}

// TestDelegatedLeaseExpiry: a lease that a node may have kept by a grant is not over
// before that node said that it did not, or can't any more.
func TestDelegatedLeaseExpiry(t *testing.T) {
	var v fleet.DelegatedRenewal
	f := fleet.New(fleet.Timing{HeartbeatInterval: 5 * time.Second, LeaseTTL: 27 * time.Second}, 7, now, nil)
	f.SetDelegatedRenewals(func(ident.Zone) (fleet.DelegatedRenewal, bool) { return v, true })
	m := f.Ensure(now, "m1")
	over := func(at float64, last, free, end clock.Instant) bool {
		v = fleet.DelegatedRenewal{LastRenewal: last, NoneUntil: free, GrantsExpireAt: end}
		return f.LeaseExpired(seconds(at), m)
	}
	switch {
	case over(27, now, seconds(27), now):
		t.Error("over before its time")
	case !over(29, now, seconds(28.5), seconds(40)):
		t.Error("not over although nobody kept it")
	case over(29, now, seconds(20), seconds(40)):
		t.Error("over although a node that was last heard 20 s in may keep it")
	case over(29, seconds(10), seconds(28.5), seconds(40)):
		t.Error("over although it was kept 10 s in")
	case !over(68, now, seconds(20), seconds(40)):
		t.Error("not over although no grant can be in use any more")
	}
}
