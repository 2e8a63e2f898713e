package rental

import (
	"time"

	"badgerbay/internal/unit"
)

// Listing reads the machine list page by page, each page a call of its own within
// the cloud's call rate: at 4,000 machines the eight pages sent at once were
// throttled by a cloud that takes two calls a second, and no list was ever read.
// It is pure. The zero value is ready for use.
type Listing struct {
	next     unit.Instant // when the next list is due
	reading  bool
	waiting  bool         // for the answer to a page
	sent     unit.Instant // when the first page was asked for
	since    unit.MachineID
	machines []Listed
}

// Page is the answer to the request for one page.
type Page struct {
	OK       bool
	Machines []Listed
	More     bool
}

// Due tells whether a page should be asked for now.
func (l *Listing) Due(now unit.Instant) bool {
	return !l.waiting && (l.reading || !now.Before(l.next))
}

// Ask notes that the page is being asked for, and returns the machine that it
// starts after.
func (l *Listing) Ask(now unit.Instant) unit.MachineID {
	if !l.reading {
		l.reading, l.sent, l.since, l.machines = true, now, "", nil
	}
	l.waiting = true
	return l.since
}

// Answered takes in a page. Once the list is whole it returns the machines and
// when the first page was asked for. The next list is due pause later.
func (l *Listing) Answered(now unit.Instant, p Page, pause time.Duration) (machines []Listed, sent unit.Instant, whole bool) {
	l.waiting = false
	if p.OK {
		l.machines = append(l.machines, p.Machines...)
		if p.More && len(p.Machines) > 0 {
			l.since = p.Machines[len(p.Machines)-1].ID
			return nil, 0, false
		}
	}
	machines, l.machines = l.machines, nil
	l.reading, l.next = false, now.Add(pause)
	return machines, l.sent, p.OK
}
