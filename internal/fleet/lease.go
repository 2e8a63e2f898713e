package fleet

import (
	"time"

	"badgerbay/internal/unit"
)

// Delegated says what nodes other than the leader may have done to keep the
// leases of a zone's workers, by grants that leaders gave them: at Last one may
// have kept some, from then to Free surely none did, and after End none can.
type Delegated struct{ Last, Free, End unit.Instant }

// SetDelegated tells where to find what others may have done for a zone.
func (f *Fleet) SetDelegated(of func(unit.Zone) (Delegated, bool)) { f.delegated = of }

// leaseMargin is added to a worker's lease for timers that fire late, and
// drift for steady clocks that differ.
const (
	leaseMargin = 500 * time.Millisecond
	drift       = 0.0005
	// maxOrders bounds the orders of one message, so that it stays well below
	// MaxBody.
	maxOrders = 400
)

// LeaseOver tells whether the machine's worker has surely lost its lease: it
// counts from the last answer that anybody entitled can have given, a node that
// keeps leases by a grant included.
func (f *Fleet) LeaseOver(now unit.Instant, m *Machine) bool {
	last := max(m.LastAnswer, f.takeover)
	life := time.Duration(float64(f.times.Lease)*(1+2*drift)) + leaseMargin
	if f.delegated != nil {
		if v, ok := f.delegated(m.Zone); ok {
			// It was over while surely nobody kept it, or it is so since nobody
			// can keep it any more.
			last = max(last, v.Last)
			return min(now, v.Free).Sub(last) > life || now.Sub(max(last, v.End)) > life
		}
	}
	return now.Sub(last) > life
}

// Expire ends the placements of machines whose lease has surely run out. Their
// session is over, so what they say of it from now on is stale.
func (f *Fleet) Expire(now unit.Instant) Changes {
	var c Changes
	for _, m := range f.Machines() {
		if !f.LeaseOver(now, m) || (!m.Up && !m.Busy()) {
			continue
		}
		f.endAll(now, m, &c)
		if m.Session > 0 {
			m.Session, m.Tally = m.Session+1, 0
		}
		m.Up = false
	}
	return c
}
