package leasedelegation

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// TestGrantTrackerBoundsRenewals checks the bounds on the renewals that the nodes of a zone may have made, both for
// nodes that answer and for nodes that don't.
func TestGrantTrackerBoundsRenewals(t *testing.T) {
	tracker := NewGrantTracker(testSettings(), now)
	if _, ok := tracker.RenewalIn("a"); ok {
		t.Error("the leader's own zone has no other node that can have renewed leases")
	}
	renewalIn := func(zone ident.Zone) fleet.DelegatedRenewal {
		v, _ := tracker.RenewalIn(zone)
		return v
	}
	duration := GrantDuration(testSettings().Params.Workers)
	if v := renewalIn("b"); v.NoRenewalUntil != now || v.GrantsExpireAt < now.Add(duration) {
		t.Errorf("%+v after a failover: grants of earlier leaders may still be in use", v)
	}
	tracker.ConfirmIdle("n1", instantAt(40), instantAt(41), 30*time.Second)
	if v := renewalIn("b"); v.NoRenewalUntil != now || v.LastRenewal != instantAt(11) {
		t.Errorf("%+v: only one of two nodes answered, and its last renewal was at 11 s", v)
	}
	tracker.ConfirmIdle("n2", instantAt(42), instantAt(42), time.Hour)
	tracker.ConfirmIdle("n2", instantAt(3), instantAt(43), time.Hour) // reply to an earlier request, received late
	if v := renewalIn("b"); v.NoRenewalUntil != instantAt(40) {
		t.Errorf("%+v: both nodes reported no renewal up to 40 s", v)
	}
	tracker.Grant(instantAt(50), "n2")
	if v := renewalIn("b"); v.GrantsExpireAt < instantAt(50).Add(duration) {
		t.Errorf("%+v: a grant was given at 50 s", v)
	}
	if v, ok := tracker.RenewalIn("c"); ok {
		t.Errorf("%+v: a zone without a node has no node that renews its leases", v)
	}
	if v, ok := tracker.RenewalIn(""); !ok || v != renewalIn("b") {
		t.Errorf("%+v %v: a machine of unknown zone may be in any zone", v, ok)
	}
}

// TestDelegatedLeaseExpiry checks that the leader does not treat a lease as expired while a node may have renewed it
// under a grant: the node must have reported that it did not, or its grant must have expired.
func TestDelegatedLeaseExpiry(t *testing.T) {
	var renewal fleet.DelegatedRenewal
	f := fleet.New(fleet.Timing{HeartbeatInterval: 5 * time.Second, LeaseTTL: 27 * time.Second}, 7, now, nil)
	f.SetDelegatedRenewals(func(ident.Zone) (fleet.DelegatedRenewal, bool) { return renewal, true })
	m := f.Ensure(now, "m1")
	expired := func(at float64, lastRenewal, noneUntil, grantsExpireAt clock.Instant) bool {
		renewal = fleet.DelegatedRenewal{LastRenewal: lastRenewal, NoRenewalUntil: noneUntil, GrantsExpireAt: grantsExpireAt}
		return f.LeaseExpired(instantAt(at), m)
	}
	switch {
	case expired(27, now, instantAt(27), now):
		t.Error("expired before the end of its TTL")
	case !expired(29, now, instantAt(28.5), instantAt(40)):
		t.Error("not expired although no node renewed it")
	case expired(29, now, instantAt(20), instantAt(40)):
		t.Error("expired although a node that last answered at 20 s may have renewed it")
	case expired(29, instantAt(10), instantAt(28.5), instantAt(40)):
		t.Error("expired although it was renewed at 10 s")
	case !expired(68, now, instantAt(20), instantAt(40)):
		t.Error("not expired although no grant can be in use any more")
	}
}
