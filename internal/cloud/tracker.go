package cloud

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// ProvisionRequest is a recorded request for machines that is not settled yet.
type ProvisionRequest struct {
	Name  string
	Offer Offer
	Count int
	Since clock.Instant // when this leader learned of it

	outcomeUnknown bool // it may have been executed
	inFlight       bool
	retryAt        clock.Instant
}

// ProvisionResult is the result of a provision request.
type ProvisionResult int

// Results of a provision request.
const (
	ProvisionGranted        ProvisionResult = iota // the response contains the IDs of the machines
	ProvisionNoCapacity                            // refused for lack of capacity
	ProvisionDeferred                              // not executed: the cloud is unavailable or throttles calls
	ProvisionOutcomeUnknown                        // may have been executed, or may still be executed
	ProvisionRejected                              // refused as malformed
)

// String returns the name of the result in the logs.
func (r ProvisionResult) String() string {
	switch r {
	case ProvisionGranted:
		return "granted"
	case ProvisionNoCapacity:
		return "no capacity"
	case ProvisionDeferred:
		return "deferred"
	case ProvisionOutcomeUnknown:
		return "outcome unknown"
	case ProvisionRejected:
		return "rejected"
	}
	return "invalid"
}

const (
	provisionRetryDelay   = 2 * time.Second
	deprovisionRetryDelay = time.Second
)

// Tracker tracks the recorded provision requests and deprovisions until responses of the cloud settle them. It does no
// I/O: the caller sends the requests and passes in their results.
type Tracker struct {
	provisions          map[string]*ProvisionRequest
	deprovisionRetryAt  map[ident.MachineID]clock.Instant
	deprovisionInFlight bool
	blockedUntil        map[Offer]clock.Instant
	capacityBackoff     time.Duration
}

// NewTracker returns an empty tracker. An offer for which the cloud has no capacity is blocked for capacityBackoff.
func NewTracker(capacityBackoff time.Duration) *Tracker {
	return &Tracker{
		provisions:         map[string]*ProvisionRequest{},
		deprovisionRetryAt: map[ident.MachineID]clock.Instant{},
		blockedUntil:       map[Offer]clock.Instant{},
		capacityBackoff:    capacityBackoff,
	}
}

// AddProvision adds a recorded provision request. A request of an earlier leader may already have been executed.
func (t *Tracker) AddProvision(now clock.Instant, name string, offer Offer, count int, ofEarlierLeader bool) {
	if t.provisions[name] == nil {
		t.provisions[name] = &ProvisionRequest{Name: name, Offer: offer, Count: count, Since: now, outcomeUnknown: ofEarlierLeader}
	}
}

// PendingProvisions returns the requests that are not settled, sorted by name.
func (t *Tracker) PendingProvisions() []*ProvisionRequest {
	return slices.SortedFunc(maps.Values(t.provisions), func(a, b *ProvisionRequest) int { return cmp.Compare(a.Name, b.Name) })
}

// UnknownOutcomeCount returns the number of requests that may or may not have been executed.
func (t *Tracker) UnknownOutcomeCount() int {
	n := 0
	for _, request := range t.provisions {
		if request.outcomeUnknown {
			n++
		}
	}
	return n
}

// Blocked reports whether the offer must not be requested now, because the cloud has just refused a request for it or
// granted only a part.
func (t *Tracker) Blocked(now clock.Instant, offer Offer) bool {
	return now.Before(t.blockedUntil[offer])
}

// NextProvision returns a request to send now and marks it as in flight. It returns nil if none is due.
func (t *Tracker) NextProvision(now clock.Instant) *ProvisionRequest {
	for _, request := range t.PendingProvisions() {
		if !request.inFlight && !now.Before(request.retryAt) {
			request.inFlight = true
			return request
		}
	}
	return nil
}

// FinishProvision applies the result of a request and the number of machines that were granted, and reports whether the
// request is settled. A request with unknown outcome is retried under the same name until a response shows the outcome.
func (t *Tracker) FinishProvision(now clock.Instant, name string, result ProvisionResult, granted int) (settled bool) {
	request := t.provisions[name]
	if request == nil {
		return false
	}
	request.inFlight = false
	switch result {
	case ProvisionGranted:
		if granted < request.Count {
			t.blockedUntil[request.Offer] = now.Add(t.capacityBackoff)
		}
	case ProvisionNoCapacity:
		t.blockedUntil[request.Offer] = now.Add(t.capacityBackoff)
	case ProvisionDeferred:
		if request.outcomeUnknown {
			request.retryAt = now.Add(provisionRetryDelay)
			return false
		}
		t.blockedUntil[request.Offer] = now.Add(provisionRetryDelay)
	case ProvisionOutcomeUnknown:
		request.outcomeUnknown, request.retryAt = true, now.Add(provisionRetryDelay)
		return false
	}
	delete(t.provisions, name)
	return true
}

// AddDeprovision adds machines whose deprovisioning is recorded.
func (t *Tracker) AddDeprovision(ids ...ident.MachineID) {
	for _, id := range ids {
		if _, added := t.deprovisionRetryAt[id]; !added {
			t.deprovisionRetryAt[id] = 0
		}
	}
}

// NextDeprovision returns the machines to deprovision now, sorted, at most
// MaxDeprovisionCount. It returns none while a call is in flight.
func (t *Tracker) NextDeprovision(now clock.Instant) []ident.MachineID {
	if t.deprovisionInFlight {
		return nil
	}
	var due []ident.MachineID
	for id, retryAt := range t.deprovisionRetryAt {
		if !now.Before(retryAt) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	due = due[:min(len(due), MaxDeprovisionCount)]
	t.deprovisionInFlight = len(due) > 0
	return due
}

// FinishDeprovision records that the machines were deprovisioned or, if ok is false, that the call is to be retried.
func (t *Tracker) FinishDeprovision(now clock.Instant, ids []ident.MachineID, ok bool) {
	t.deprovisionInFlight = false
	for _, id := range ids {
		if ok {
			delete(t.deprovisionRetryAt, id)
		} else if _, tracked := t.deprovisionRetryAt[id]; tracked {
			t.deprovisionRetryAt[id] = now.Add(deprovisionRetryDelay)
		}
	}
}
