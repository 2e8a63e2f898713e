package leasedelegation

import (
	"testing"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
)

// TestGrantTracker: a zone's leases count from the last moment at which a node in it may
// have renewed them, whether or not that node is heard.
func TestGrantTracker(t *testing.T) {
	tracker := NewGrantTracker(testSettings(), now)
	if _, ok := tracker.RenewalIn("a"); ok {
		t.Error("the leader's own zone has no other node, and yet renewals")
	}
	renewalIn := func(zone ident.Zone) fleet.DelegatedRenewal {
		v, _ := tracker.RenewalIn(zone)
		return v
	}
	duration := GrantDuration(testSettings().Params.Workers)
	if v := renewalIn("b"); v.NoneUntil != now || v.GrantsExpireAt < now.Add(duration) {
		t.Errorf("%+v after a failover: grants of earlier leaders may be in use", v)
	}
	tracker.ConfirmIdle("n1", instantAt(40), instantAt(41), 30*time.Second)
	if v := renewalIn("b"); v.NoneUntil != now || v.LastRenewal != instantAt(11) {
		t.Errorf("%+v: one of two nodes was heard, which has renewed leases 11 s in", v)
	}
	tracker.ConfirmIdle("n2", instantAt(42), instantAt(42), time.Hour)
	tracker.ConfirmIdle("n2", instantAt(3), instantAt(43), time.Hour) // an answer that was delayed
	if v := renewalIn("b"); v.NoneUntil != instantAt(40) {
		t.Errorf("%+v: both said that they renew none", v)
	}
	tracker.Grant(instantAt(50), "n2")
	if v := renewalIn("b"); v.GrantsExpireAt < instantAt(50).Add(duration) {
		t.Errorf("%+v: a grant was given at 50 s", v)
	}
	if v, ok := tracker.RenewalIn("c"); ok {
		t.Errorf("%+v: a zone without a node has nobody to renew its leases", v)
	}
	if v, ok := tracker.RenewalIn(""); !ok || v != renewalIn("b") {
		t.Errorf("%+v %v: a machine whose zone is not known may be in any", v, ok)
	}
}

// TestDelegatedLeaseExpiry: a lease that a node may have renewed under a grant has not
// expired before that node said that it did not, or can't any more.
func TestDelegatedLeaseExpiry(t *testing.T) {
	var renewal fleet.DelegatedRenewal
	f := fleet.New(fleet.Timing{HeartbeatInterval: 5 * time.Second, LeaseTTL: 27 * time.Second}, 7, now, nil)
	f.SetDelegatedRenewals(func(ident.Zone) (fleet.DelegatedRenewal, bool) { return renewal, true })
	m := f.Ensure(now, "m1")
	expired := func(at float64, lastRenewal, noneUntil, grantsExpireAt clock.Instant) bool {
		renewal = fleet.DelegatedRenewal{LastRenewal: lastRenewal, NoneUntil: noneUntil, GrantsExpireAt: grantsExpireAt}
		return f.LeaseExpired(instantAt(at), m)
	}
	switch {
	case expired(27, now, instantAt(27), now):
		t.Error("expired before its time")
	case !expired(29, now, instantAt(28.5), instantAt(40)):
		t.Error("not expired although nobody renewed it")
	case expired(29, now, instantAt(20), instantAt(40)):
		t.Error("expired although a node that was last heard 20 s in may renew it")
	case expired(29, instantAt(10), instantAt(28.5), instantAt(40)):
		t.Error("expired although it was renewed 10 s in")
	case !expired(68, now, instantAt(20), instantAt(40)):
		t.Error("not expired although no grant can be in use any more")
	}
}
