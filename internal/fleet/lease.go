package fleet

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// DelegatedRenewal bounds the times at which nodes other than the leader may have renewed the leases of a zone's
// workers under grants of this leader or an earlier one.
type DelegatedRenewal struct {
	LastRenewal    clock.Instant // latest time, up to NoRenewalUntil, at which a node may have renewed a lease
	NoRenewalUntil clock.Instant // no node renewed a lease between LastRenewal and this time
	GrantsExpireAt clock.Instant // no node can renew a lease after this time
}

// SetDelegatedRenewals sets the function that returns the delegated renewals of a zone. Its second result is false if
// no other node can have renewed a lease in the zone.
func (f *Fleet) SetDelegatedRenewals(renewalIn func(ident.Zone) (DelegatedRenewal, bool)) {
	f.delegatedRenewal = renewalIn
}

const (
	// leaseMargin is added to the duration of a lease to allow for timers that fire late.
	leaseMargin = 500 * time.Millisecond
	// MaxClockDriftRatio is the maximum error in the rate of a monotonic clock, as a fraction of elapsed time.
	MaxClockDriftRatio = 0.0005
)

// LeaseExpired reports whether the lease of the machine's worker is certain to have expired. The lease counts from the
// latest time at which any entitled node may have renewed it: this leader, an earlier leader until leaderSince, or a
// node that renews leases under a grant.
func (f *Fleet) LeaseExpired(now clock.Instant, m *Machine) bool {
	lastRenewal := max(m.LastRenewal, f.leaderSince)
	ttl := f.maxLeaseTTL()
	if f.delegatedRenewal != nil {
		if delegated, ok := f.delegatedRenewal(m.Zone); ok {
			lastRenewal = max(lastRenewal, delegated.LastRenewal)
			// The lease has expired if its TTL passed
			//  1. before NoRenewalUntil, while no other node renewed it, or
			//  2. after GrantsExpireAt, since when no other node can renew it.
			return min(now, delegated.NoRenewalUntil).Sub(lastRenewal) > ttl ||
				now.Sub(max(lastRenewal, delegated.GrantsExpireAt)) > ttl
		}
	}
	return now.Sub(lastRenewal) > ttl
}

// maxLeaseTTL returns the longest time for which a worker can hold a lease, as measured by the leader. In the worst
// case, the leader's clock runs fast and the worker's runs slow.
func (f *Fleet) maxLeaseTTL() time.Duration {
	return time.Duration(float64(f.timing.LeaseTTL)*(1+2*MaxClockDriftRatio)) + leaseMargin
}

// ExpireLeases ends the placements of machines whose lease is certain to have expired. Their session has ended too: its
// number is advanced, so that later messages of the old session are stale.
func (f *Fleet) ExpireLeases(now clock.Instant) Changes {
	var changes Changes
	for _, m := range f.Machines() {
		if !f.LeaseExpired(now, m) || (!m.Up && !m.Busy()) {
			continue
		}
		f.endAllPlacements(now, m, &changes)
		if m.Session > 0 {
			m.Session, m.HeartbeatSeq = m.Session+1, 0
		}
		m.Up = false
	}
	return changes
}
