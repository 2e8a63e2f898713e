package cloud

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// MachineLister reads the machine list page by page, each page a call of its own within
// the cloud's call rate: at 4,000 machines the eight pages sent at once were
// throttled by a cloud that takes two calls a second, and no list was ever read.
// It is pure. The zero value is ready for use.
type MachineLister struct {
	nextListAt   clock.Instant // when the next list is due
	inProgress   bool
	awaitingPage bool          // for the answer to a page
	startedAt    clock.Instant // when the first page was asked for
	after        ident.MachineID
	machines     []Machine
}

// Page is the answer to the request for one page.
type Page struct {
	OK       bool
	Machines []Machine
	More     bool
}

// PageDue tells whether a page should be asked for now.
func (l *MachineLister) PageDue(now clock.Instant) bool {
	return !l.awaitingPage && (l.inProgress || !now.Before(l.nextListAt))
}

// RequestPage notes that the page is being asked for, and returns the machine that it
// starts after.
func (l *MachineLister) RequestPage(now clock.Instant) ident.MachineID {
	if !l.inProgress {
		l.inProgress, l.startedAt, l.after, l.machines = true, now, "", nil
	}
	l.awaitingPage = true
	return l.after
}

// AddPage takes in a page. Once the list is whole it returns the machines and
// when the first page was asked for. The next list is due pause later.
func (l *MachineLister) AddPage(now clock.Instant, p Page, pause time.Duration) (machines []Machine, sent clock.Instant, whole bool) {
	l.awaitingPage = false
	if p.OK {
		l.machines = append(l.machines, p.Machines...)
		if p.More && len(p.Machines) > 0 {
			l.after = p.Machines[len(p.Machines)-1].ID
			return nil, 0, false
		}
	}
	machines, l.machines = l.machines, nil
	l.inProgress, l.nextListAt = false, now.Add(pause)
	return machines, l.startedAt, p.OK
}
