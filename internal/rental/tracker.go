package rental

import (
	"sort"
	"time"

	"badgerbay/internal/unit"
)

// Hire is a rental that is recorded and not settled.
type Hire struct {
	Name      string
	Offer     Offer
	Count     int
	Since     unit.Instant
	uncertain bool
	busy      bool
	next      unit.Instant
}

// Verdict says what became of a rental request.
type Verdict int

// Verdicts.
const (
	Granted    Verdict = iota // with the names of the machines
	NoneLeft                  // refused for want of capacity
	Deferred                  // not executed; the cloud is in trouble
	Uncertain                 // may have been executed, or may be later
	Impossible                // refused as malformed
)

// Tracker keeps the rentals and releases that are under way. It is pure.
type Tracker struct {
	hires    map[string]*Hire
	releases map[unit.MachineID]unit.Instant // next try
	blocked  map[Offer]unit.Instant
	backoff  time.Duration
	busy     bool // a release is under way
}

const (
	retryHire    = 2 * time.Second
	retryRelease = time.Second
)

// NewTracker returns an empty tracker; an offer that was refused is not asked for
// again for backoff.
func NewTracker(backoff time.Duration) *Tracker {
	return &Tracker{hires: map[string]*Hire{}, releases: map[unit.MachineID]unit.Instant{},
		blocked: map[Offer]unit.Instant{}, backoff: backoff}
}

// Hire takes in a rental that has been recorded. An old one, of an earlier
// leader, may have been executed already.
func (d *Tracker) Hire(now unit.Instant, name string, o Offer, count int, old bool) {
	if d.hires[name] == nil {
		d.hires[name] = &Hire{Name: name, Offer: o, Count: count, Since: now, uncertain: old}
	}
}

// Release takes in machines whose release has been recorded.
func (d *Tracker) Release(ids ...unit.MachineID) {
	for _, id := range ids {
		if _, ok := d.releases[id]; !ok {
			d.releases[id] = 0
		}
	}
}

// Pending lists the rentals that are not settled.
func (d *Tracker) Pending() []*Hire {
	out := make([]*Hire, 0, len(d.hires))
	for _, h := range d.hires {
		out = append(out, h)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// UncertainHires counts rentals that may or may not have been executed.
func (d *Tracker) UncertainHires() int {
	n := 0
	for _, h := range d.hires {
		if h.uncertain {
			n++
		}
	}
	return n
}

// Blocked tells whether the cloud was out of the offer a moment ago.
func (d *Tracker) Blocked(now unit.Instant, o Offer) bool { return now.Before(d.blocked[o]) }

// Due returns a rental that should be sent now, marked as under way, or nil.
func (d *Tracker) Due(now unit.Instant) *Hire {
	for _, h := range d.Pending() {
		if !h.busy && !now.Before(h.next) {
			h.busy = true
			return h
		}
	}
	return nil
}

// DueReleases returns machines whose release should be sent now.
func (d *Tracker) DueReleases(now unit.Instant) []unit.MachineID {
	if d.busy {
		return nil
	}
	var out []unit.MachineID
	for id, next := range d.releases {
		if !now.Before(next) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	if len(out) > MaxRelease {
		out = out[:MaxRelease]
	}
	d.busy = len(out) > 0
	return out
}

// Answered takes in the answer to a rental, and tells whether it is settled.
// An uncertain one is repeated under its name: the repeat is the receipt.
func (d *Tracker) Answered(now unit.Instant, name string, v Verdict, got int) bool {
	h := d.hires[name]
	if h == nil {
		return false
	}
	h.busy = false
	switch v {
	case Granted:
		if got < h.Count {
			d.blocked[h.Offer] = now.Add(d.backoff)
		}
	case NoneLeft:
		d.blocked[h.Offer] = now.Add(d.backoff)
	case Deferred:
		if h.uncertain {
			h.next = now.Add(retryHire)
			return false
		}
		d.blocked[h.Offer] = now.Add(retryHire)
	case Uncertain:
		h.uncertain, h.next = true, now.Add(retryHire)
		return false
	}
	delete(d.hires, name)
	return true
}

// Released takes in the answer to a release.
func (d *Tracker) Released(now unit.Instant, ids []unit.MachineID, ok bool) {
	d.busy = false
	for _, id := range ids {
		if ok {
			delete(d.releases, id)
		} else if _, there := d.releases[id]; there {
			d.releases[id] = now.Add(retryRelease)
		}
	}
}
