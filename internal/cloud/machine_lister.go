package cloud

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// MachineLister reads the machine list page by page, each page a call of its own within
// the cloud's call rate: at 4,000 machines the eight pages sent at once were throttled by
// a cloud that takes two calls a second, and no list was ever read. It is pure; the zero
// value is ready for use.
type MachineLister struct {
	nextListAt   clock.Instant
	inProgress   bool // some page of the present list was requested
	awaitingPage bool
	startedAt    clock.Instant // when the first page was requested
	after        ident.MachineID
	machines     []Machine
}

// Page is the answer to the request for one page, or, if not OK, its failure.
type Page struct {
	OK       bool
	Machines []Machine
	More     bool
}

// MachineList is a machine list that was read whole.
type MachineList struct {
	RequestedAt clock.Instant // when the first page was requested
	Machines    []Machine
}

// PageDue tells whether a page should be requested now.
func (l *MachineLister) PageDue(now clock.Instant) bool {
	return !l.awaitingPage && (l.inProgress || !now.Before(l.nextListAt))
}

// RequestPage notes that a page is being requested, and returns the machine that it
// follows.
func (l *MachineLister) RequestPage(now clock.Instant) ident.MachineID {
	if !l.inProgress {
		l.inProgress, l.startedAt, l.after, l.machines = true, now, "", nil
	}
	l.awaitingPage = true
	return l.after
}

// AddPage adds a page, and returns the list and true once it is complete. A list of which a
// page failed is given up. The next list is due after the pause.
func (l *MachineLister) AddPage(now clock.Instant, page Page, pause time.Duration) (list MachineList, complete bool) {
	l.awaitingPage = false
	if page.OK {
		l.machines = append(l.machines, page.Machines...)
		if page.More && len(page.Machines) > 0 {
			l.after = page.Machines[len(page.Machines)-1].ID
			return MachineList{}, false
		}
	}
	list = MachineList{RequestedAt: l.startedAt, Machines: l.machines}
	l.inProgress, l.nextListAt, l.machines = false, now.Add(pause), nil
	return list, page.OK
}
