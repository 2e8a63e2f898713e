package cloud

import (
	"testing"
	"time"
)

// TestMachineListerReadsPageByPage checks that a list is complete with its last page, that its time is that of the
// request for its first page, and that it is discarded if a page fails.
func TestMachineListerReadsPageByPage(t *testing.T) {
	const pause = 5 * time.Second
	var lister MachineLister
	if after := lister.RequestPage(t0); after != "" || lister.PageDue(t0) {
		t.Fatalf("first page follows %q, or a second page is due while the first is in flight", after)
	}
	now := t0.Add(time.Second)
	first := Page{OK: true, Machines: []Machine{{ID: "host-1"}, {ID: "host-2"}}, More: true}
	if _, complete := lister.AddPage(now, first, pause); complete || !lister.PageDue(now) {
		t.Fatal("the list is complete without its last page, or the next page is not due")
	}
	if after := lister.RequestPage(now); after != "host-2" {
		t.Errorf("next page follows %q, want host-2", after)
	}
	list, complete := lister.AddPage(now, Page{OK: true, Machines: []Machine{{ID: "host-3"}}}, pause)
	if !complete || list.RequestedAt != t0 || len(list.Machines) != 3 {
		t.Errorf("list %+v, complete %v; want a complete list of three machines, requested at %v", list, complete, t0)
	}
	if lister.PageDue(now.Add(pause-1)) || !lister.PageDue(now.Add(pause)) {
		t.Error("the next list is not due exactly when the pause has passed")
	}
	now = now.Add(pause)
	lister.RequestPage(now)
	if _, complete := lister.AddPage(now, Page{}, pause); complete || lister.PageDue(now) {
		t.Error("the list is complete although a page failed, or the next one is due without a pause")
	}
}
