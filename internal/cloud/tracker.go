package cloud

import (
	"sort"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// ProvisionRequest is a rental that is recorded and not settled.
type ProvisionRequest struct {
	Name           string
	Offer          Offer
	Count          int
	Since          clock.Instant
	outcomeUnknown bool
	inFlight       bool
	retryAt        clock.Instant
}

// ProvisionResult says what became of a rental request.
type ProvisionResult int

// Verdicts.
const (
	ProvisionGranted        ProvisionResult = iota // with the names of the machines
	ProvisionNoCapacity                            // refused for want of capacity
	ProvisionDeferred                              // not executed; the cloud is in trouble
	ProvisionOutcomeUnknown                        // may have been executed, or may be later
	ProvisionRejected                              // refused as malformed
)

// Tracker keeps the rentals and releases that are under way. It is pure.
type Tracker struct {
	provisions          map[string]*ProvisionRequest
	deprovisionRetryAt  map[ident.MachineID]clock.Instant // next try
	blockedUntil        map[Offer]clock.Instant
	capacityBackoff     time.Duration
	deprovisionInFlight bool // a release is under way
}

const (
	provisionRetryDelay   = 2 * time.Second
	deprovisionRetryDelay = time.Second
)

// NewTracker returns an empty tracker; an offer that was refused is not asked for
// again for backoff.
func NewTracker(backoff time.Duration) *Tracker {
	return &Tracker{provisions: map[string]*ProvisionRequest{}, deprovisionRetryAt: map[ident.MachineID]clock.Instant{},
		blockedUntil: map[Offer]clock.Instant{}, capacityBackoff: backoff}
}

// AddProvision takes in a rental that has been recorded. An old one, of an earlier
// leader, may have been executed already.
func (d *Tracker) AddProvision(now clock.Instant, name string, o Offer, count int, old bool) {
	if d.provisions[name] == nil {
		d.provisions[name] = &ProvisionRequest{Name: name, Offer: o, Count: count, Since: now, outcomeUnknown: old}
	}
}

// AddDeprovision takes in machines whose release has been recorded.
func (d *Tracker) AddDeprovision(ids ...ident.MachineID) {
	for _, id := range ids {
		if _, ok := d.deprovisionRetryAt[id]; !ok {
			d.deprovisionRetryAt[id] = 0
		}
	}
}

// PendingProvisions lists the rentals that are not settled.
func (d *Tracker) PendingProvisions() []*ProvisionRequest {
	out := make([]*ProvisionRequest, 0, len(d.provisions))
	for _, h := range d.provisions {
		out = append(out, h)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// UnknownOutcomeCount counts rentals that may or may not have been executed.
func (d *Tracker) UnknownOutcomeCount() int {
	n := 0
	for _, h := range d.provisions {
		if h.outcomeUnknown {
			n++
		}
	}
	return n
}

// Blocked tells whether the cloud was out of the offer a moment ago.
func (d *Tracker) Blocked(now clock.Instant, o Offer) bool { return now.Before(d.blockedUntil[o]) }

// NextProvision returns a rental that should be sent now, marked as under way, or nil.
func (d *Tracker) NextProvision(now clock.Instant) *ProvisionRequest {
	for _, h := range d.PendingProvisions() {
		if !h.inFlight && !now.Before(h.retryAt) {
			h.inFlight = true
			return h
		}
	}
	return nil
}

// NextDeprovision returns machines whose release should be sent now.
func (d *Tracker) NextDeprovision(now clock.Instant) []ident.MachineID {
	if d.deprovisionInFlight {
		return nil
	}
	var out []ident.MachineID
	for id, next := range d.deprovisionRetryAt {
		if !now.Before(next) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	if len(out) > MaxDeprovisionCount {
		out = out[:MaxDeprovisionCount]
	}
	d.deprovisionInFlight = len(out) > 0
	return out
}

// FinishProvision takes in the answer to a rental, and tells whether it is settled.
// An uncertain one is repeated under its name: the repeat is the receipt.
func (d *Tracker) FinishProvision(now clock.Instant, name string, v ProvisionResult, got int) bool {
	h := d.provisions[name]
	if h == nil {
		return false
	}
	h.inFlight = false
	switch v {
	case ProvisionGranted:
		if got < h.Count {
			d.blockedUntil[h.Offer] = now.Add(d.capacityBackoff)
		}
	case ProvisionNoCapacity:
		d.blockedUntil[h.Offer] = now.Add(d.capacityBackoff)
	case ProvisionDeferred:
		if h.outcomeUnknown {
			h.retryAt = now.Add(provisionRetryDelay)
			return false
		}
		d.blockedUntil[h.Offer] = now.Add(provisionRetryDelay)
	case ProvisionOutcomeUnknown:
		h.outcomeUnknown, h.retryAt = true, now.Add(provisionRetryDelay)
		return false
	}
	delete(d.provisions, name)
	return true
}

// FinishDeprovision takes in the answer to a release.
func (d *Tracker) FinishDeprovision(now clock.Instant, ids []ident.MachineID, ok bool) {
	d.deprovisionInFlight = false
	for _, id := range ids {
		if ok {
			delete(d.deprovisionRetryAt, id)
		} else if _, there := d.deprovisionRetryAt[id]; there {
			d.deprovisionRetryAt[id] = now.Add(deprovisionRetryDelay)
		}
	}
}
