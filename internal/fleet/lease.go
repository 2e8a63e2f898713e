package fleet

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// DelegatedRenewal says what nodes other than the leader may have done to renew the leases
// of a zone's workers under grants of this leader or an earlier one.
type DelegatedRenewal struct {
	LastRenewal    clock.Instant // the latest at which one may have renewed a lease
	NoneUntil      clock.Instant // from LastRenewal until then surely none did
	GrantsExpireAt clock.Instant // after that none can
}

// SetDelegatedRenewals sets the source of what other nodes may have done in a zone; it
// returns false where no other node can have renewed a lease.
func (f *Fleet) SetDelegatedRenewals(renewalIn func(ident.Zone) (DelegatedRenewal, bool)) {
	f.delegatedRenewal = renewalIn
}

const (
	// leaseMargin is added to a lease for timers that fire late.
	leaseMargin = 500 * time.Millisecond
	// MaxClockDrift is the part by which a steady clock may run fast or slow.
	MaxClockDrift = 0.0005
)

// LeaseExpired tells whether the machine's worker has surely lost its lease: it counts
// from the last answer that any entitled node can have given, a node that renews leases
// under a grant included.
func (f *Fleet) LeaseExpired(now clock.Instant, m *Machine) bool {
	lastRenewal := max(m.LastRenewal, f.leaderSince)
	ttl := f.maxLeaseTTL()
	if f.delegatedRenewal != nil {
		if delegated, ok := f.delegatedRenewal(m.Zone); ok {
			lastRenewal = max(lastRenewal, delegated.LastRenewal)
			// It expired while surely no node renewed it, or has expired since no
			// node can renew it any more.
			return min(now, delegated.NoneUntil).Sub(lastRenewal) > ttl ||
				now.Sub(max(lastRenewal, delegated.GrantsExpireAt)) > ttl
		}
	}
	return now.Sub(lastRenewal) > ttl
}

// maxLeaseTTL is how long a lease lasts by a leader's clock that is fast, and a worker's
// that is slow.
func (f *Fleet) maxLeaseTTL() time.Duration {
	return time.Duration(float64(f.timing.LeaseTTL)*(1+2*MaxClockDrift)) + leaseMargin
}

// ExpireLeases ends the placements of machines whose lease has surely expired. Their
// session is over, so whatever comes of it from now on is stale.
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
