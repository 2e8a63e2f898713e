package cloud

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// MachineLister reads the machine list page by page. Each page is a separate call within the cloud's rate limit: at
// 4,000 machines, eight pages requested at once were throttled by a cloud that accepts two calls per second, and no
// list was ever completed. The lister does no I/O itself, and its zero value is ready to use.
type MachineLister struct {
	nextListAt   clock.Instant
	inProgress   bool // a page of the current list was requested
	awaitingPage bool
	startedAt    clock.Instant   // when the first page was requested
	after        ident.MachineID // last machine of the previous page; empty for the first page
	machines     []Machine
}

// Page is the response to the request for one page. OK is false if the request failed.
type Page struct {
	OK       bool
	Machines []Machine
	More     bool
}

// MachineList is the list of all machines that the cloud reports, joined from its pages.
type MachineList struct {
	RequestedAt clock.Instant // when the first page was requested
	Machines    []Machine
}

// PageDue reports whether a page should be requested now.
func (l *MachineLister) PageDue(now clock.Instant) bool {
	return !l.awaitingPage && (l.inProgress || !now.Before(l.nextListAt))
}

// RequestPage records that the next page is being requested. It returns the ID of the last machine of the previous
// page, after which the page begins, or an empty ID for the first page.
func (l *MachineLister) RequestPage(now clock.Instant) ident.MachineID {
	if !l.inProgress {
		l.inProgress, l.startedAt, l.after, l.machines = true, now, "", nil
	}
	l.awaitingPage = true
	return l.after
}

// AddPage adds a page, and returns the list and true once the list is complete. If the request for a page failed, the
// list is discarded. In both cases the next list is due after the given pause.
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
