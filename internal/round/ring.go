package round

import (
	"sort"
	"strconv"
	"strings"

	"badgerbay/internal/parts"
	"badgerbay/internal/unit"
)

type slot struct {
	version  unit.Revision
	no       unit.RoundNo
	jobs     map[unit.JobID]bool
	hires    map[string]bool
	releases map[unit.MachineID]bool
}

func (s *slot) open() bool { return len(s.jobs)+len(s.hires)+len(s.releases) > 0 }

// Ring is the small ring of round records. A slot is used again once all that
// its round decided is settled elsewhere.
type Ring struct {
	slots []slot
	next  unit.RoundNo
}

// NewRing returns an empty ring of n slots.
func NewRing(n int) *Ring { return &Ring{slots: make([]slot, n), next: 1} }

// Key is the key of the slot that round no goes to.
func (g *Ring) Key(no unit.RoundNo) string {
	return KeyPrefix + strconv.Itoa(int(no%unit.RoundNo(len(g.slots))))
}

// PartKey is the key of part n of the record in the slot with a key. The keys of
// slots name no job, so they don't meet those of jobs' parts.
func PartKey(slot string, n int) string { return parts.Key(slot, n) }

func (g *Ring) slotOf(no unit.RoundNo) *slot { return &g.slots[no%unit.RoundNo(len(g.slots))] }

// Next is the number of the next round, and whether its slot is free.
func (g *Ring) Next() (unit.RoundNo, bool) { return g.next, !g.slotOf(g.next).open() }

// Fresh tells whether no round was ever recorded: nothing has been rented or
// placed by anybody.
func (g *Ring) Fresh() bool { return g.next == 1 }

// Version is the version of the slot that round no goes to.
func (g *Ring) Version(no unit.RoundNo) unit.Revision { return g.slotOf(no).version }

// Low is the lowest round that is not settled.
func (g *Ring) Low() unit.RoundNo {
	low := g.next
	for i := range g.slots {
		if g.slots[i].open() {
			low = min(low, g.slots[i].no)
		}
	}
	return low
}

// Free counts the free slots.
func (g *Ring) Free() int {
	n := 0
	for i := range g.slots {
		if !g.slots[i].open() {
			n++
		}
	}
	return n
}

// Put takes in a record that is stored with the version.
func (g *Ring) Put(r *Record, v unit.Revision) {
	s := slot{version: v, no: r.No, jobs: map[unit.JobID]bool{}, hires: map[string]bool{}, releases: map[unit.MachineID]bool{}}
	for _, st := range r.Starts {
		s.jobs[st.Job] = true
	}
	for _, h := range r.Hires {
		s.hires[h.Name] = true
	}
	for _, m := range r.Releases {
		s.releases[m] = true
	}
	*g.slotOf(r.No) = s
	g.next = max(g.next, r.No+1)
}

// Skip takes in that the record under a key can't be read. Its slot may be used
// again under that version, and its number, whatever it was, is passed over: a
// number names attempts, and must not come twice.
func (g *Ring) Skip(key string, v unit.Revision) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, KeyPrefix))
	if err != nil || n < 0 || n >= len(g.slots) {
		return
	}
	g.slots[n].version = v
	g.next += unit.RoundNo(len(g.slots))
}

// Stored is a record read back with its version.
type Stored struct {
	Key     string
	Record  *Record
	Version unit.Revision
}

// Restore makes a ring from what a successor reads: records in the order of
// their rounds. Those below the Low of the newest are settled already.
func Restore(n int, stored []Stored) (*Ring, []*Record) {
	g := NewRing(n)
	sort.Slice(stored, func(a, b int) bool { return stored[a].Record.No < stored[b].Record.No })
	var open []*Record
	low := unit.RoundNo(0)
	for _, s := range stored {
		low = max(low, s.Record.Low)
	}
	for _, s := range stored {
		if s.Record.No >= low {
			g.Put(s.Record, s.Version)
			open = append(open, s.Record)
			continue
		}
		g.Put(&Record{No: s.Record.No}, s.Version)
	}
	return g, open
}

// Folded notes that the checkpoint of a job holds all rounds up to through.
func (g *Ring) Folded(job unit.JobID, through unit.RoundNo) {
	for i := range g.slots {
		if s := &g.slots[i]; s.no <= through {
			delete(s.jobs, job)
		}
	}
}

// SettleHire notes that a rental has been answered for good.
func (g *Ring) SettleHire(name string) {
	for i := range g.slots {
		delete(g.slots[i].hires, name)
	}
}

// SettleRelease notes that a machine is gone.
func (g *Ring) SettleRelease(m unit.MachineID) {
	for i := range g.slots {
		delete(g.slots[i].releases, m)
	}
}

// Oldest returns the jobs that keep the oldest open slot open.
func (g *Ring) Oldest() []unit.JobID {
	var s *slot
	for i := range g.slots {
		if g.slots[i].open() && (s == nil || g.slots[i].no < s.no) {
			s = &g.slots[i]
		}
	}
	if s == nil {
		return nil
	}
	var out []unit.JobID
	for j := range s.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}
