package fleet

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// DelegatedRenewal says what nodes other than the leader may have done to keep the
// leases of a zone's workers, by grants that leaders gave them: at Last one may
// have kept some, from then to Free surely none did, and after End none can.
type DelegatedRenewal struct{ LastRenewal, NoneUntil, GrantsExpireAt clock.Instant }

// SetDelegatedRenewals tells where to find what others may have done for a zone.
func (f *Fleet) SetDelegatedRenewals(of func(ident.Zone) (DelegatedRenewal, bool)) {
	f.delegatedRenewal = of
}

// leaseMargin is added to a worker's lease for timers that fire late, and
// drift for steady clocks that differ.
const (
	leaseMargin   = 500 * time.Millisecond
	maxClockDrift = 0.0005
	// maxCommands bounds the orders of one message, so that it stays well below
	// MaxBody.
	maxCommands = 400
)

// LeaseExpired tells whether the machine's worker has surely lost its lease: it
// counts from the last answer that anybody entitled can have given, a node that
// keeps leases by a grant included.
func (f *Fleet) LeaseExpired(now clock.Instant, m *Machine) bool {
	last := max(m.LastRenewal, f.leaderSince)
	life := time.Duration(float64(f.timing.LeaseDuration)*(1+2*maxClockDrift)) + leaseMargin
	if f.delegatedRenewal != nil {
		if v, ok := f.delegatedRenewal(m.Zone); ok {
			// It was over while surely nobody kept it, or it is so since nobody
			// can keep it any more.
			last = max(last, v.LastRenewal)
			return min(now, v.NoneUntil).Sub(last) > life || now.Sub(max(last, v.GrantsExpireAt)) > life
		}
	}
	return now.Sub(last) > life
}

// ExpireLeases ends the placements of machines whose lease has surely run out. Their
// session is over, so what they say of it from now on is stale.
func (f *Fleet) ExpireLeases(now clock.Instant) Changes {
	var c Changes
	for _, m := range f.Machines() {
		if !f.LeaseExpired(now, m) || (!m.Up && !m.Busy()) {
			continue
		}
		f.endAllPlacements(now, m, &c)
		if m.Session > 0 {
			m.Session, m.HeartbeatSeq = m.Session+1, 0
		}
		m.Up = false
	}
	return c
}
