package roundlog

import (
	"sort"
	"strconv"
	"strings"

	"badgerbay/internal/ident"

	"badgerbay/internal/chunk"
)

type slot struct {
	revision            ident.Revision
	roundNo             ident.RoundNo
	pendingJobs         map[ident.JobID]bool
	pendingProvisions   map[string]bool
	pendingDeprovisions map[ident.MachineID]bool
}

func (s *slot) isOpen() bool {
	return len(s.pendingJobs)+len(s.pendingProvisions)+len(s.pendingDeprovisions) > 0
}

// Ring is the small ring of round records. A slot is used again once all that
// its round decided is settled elsewhere.
type Ring struct {
	slots []slot
	next  ident.RoundNo
}

// NewRing returns an empty ring of n slots.
func NewRing(n int) *Ring { return &Ring{slots: make([]slot, n), next: 1} }

// Key is the key of the slot that round no goes to.
func (g *Ring) Key(no ident.RoundNo) string {
	return KeyPrefix + strconv.Itoa(int(no%ident.RoundNo(len(g.slots))))
}

// ChunkKey is the key of part n of the record in the slot with a key. The keys of
// slots name no job, so they don't meet those of jobs' parts.
func ChunkKey(slot string, n int) string { return chunk.Key(slot, n) }

func (g *Ring) slotOf(no ident.RoundNo) *slot { return &g.slots[no%ident.RoundNo(len(g.slots))] }

// Next is the number of the next round, and whether its slot is free.
func (g *Ring) Next() (ident.RoundNo, bool) { return g.next, !g.slotOf(g.next).isOpen() }

// IsUnused tells whether no round was ever recorded: nothing has been rented or
// placed by anybody.
func (g *Ring) IsUnused() bool { return g.next == 1 }

// Revision is the version of the slot that round no goes to.
func (g *Ring) Revision(no ident.RoundNo) ident.Revision { return g.slotOf(no).revision }

// LowWatermark is the lowest round that is not settled.
func (g *Ring) LowWatermark() ident.RoundNo {
	low := g.next
	for i := range g.slots {
		if g.slots[i].isOpen() {
			low = min(low, g.slots[i].roundNo)
		}
	}
	return low
}

// FreeSlots counts the free slots.
func (g *Ring) FreeSlots() int {
	n := 0
	for i := range g.slots {
		if !g.slots[i].isOpen() {
			n++
		}
	}
	return n
}

// Add takes in a record that is stored with the version.
func (g *Ring) Add(r *Record, v ident.Revision) {
	s := slot{revision: v, roundNo: r.RoundNo, pendingJobs: map[ident.JobID]bool{}, pendingProvisions: map[string]bool{}, pendingDeprovisions: map[ident.MachineID]bool{}}
	for _, st := range r.Starts {
		s.pendingJobs[st.Job] = true
	}
	for _, h := range r.Provisions {
		s.pendingProvisions[h.Name] = true
	}
	for _, m := range r.Deprovisions {
		s.pendingDeprovisions[m] = true
	}
	*g.slotOf(r.RoundNo) = s
	g.next = max(g.next, r.RoundNo+1)
}

// SkipUnreadable takes in that the record under a key can't be read. Its slot may be used
// again under that version, and its number, whatever it was, is passed over: a
// number names attempts, and must not come twice.
func (g *Ring) SkipUnreadable(key string, v ident.Revision) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, KeyPrefix))
	if err != nil || n < 0 || n >= len(g.slots) {
		return
	}
	g.slots[n].revision = v
	g.next += ident.RoundNo(len(g.slots))
}

// StoredRecord is a record read back with its version.
type StoredRecord struct {
	Key      string
	Record   *Record
	Revision ident.Revision
}

// RestoreRing makes a ring from what a successor reads: records in the order of
// their rounds. Those below the Low of the newest are settled already.
func RestoreRing(n int, stored []StoredRecord) (*Ring, []*Record) {
	g := NewRing(n)
	sort.Slice(stored, func(a, b int) bool { return stored[a].Record.RoundNo < stored[b].Record.RoundNo })
	var open []*Record
	low := ident.RoundNo(0)
	for _, s := range stored {
		low = max(low, s.Record.LowWatermark)
	}
	for _, s := range stored {
		if s.Record.RoundNo >= low {
			g.Add(s.Record, s.Revision)
			open = append(open, s.Record)
			continue
		}
		g.Add(&Record{RoundNo: s.Record.RoundNo}, s.Revision)
	}
	return g, open
}

// JobFolded notes that the checkpoint of a job holds all rounds up to through.
func (g *Ring) JobFolded(job ident.JobID, through ident.RoundNo) {
	for i := range g.slots {
		if s := &g.slots[i]; s.roundNo <= through {
			delete(s.pendingJobs, job)
		}
	}
}

// SettleProvision notes that a rental has been answered for good.
func (g *Ring) SettleProvision(name string) {
	for i := range g.slots {
		delete(g.slots[i].pendingProvisions, name)
	}
}

// SettleDeprovision notes that a machine is gone.
func (g *Ring) SettleDeprovision(m ident.MachineID) {
	for i := range g.slots {
		delete(g.slots[i].pendingDeprovisions, m)
	}
}

// OldestOpenJobs returns the jobs that keep the oldest open slot open.
func (g *Ring) OldestOpenJobs() []ident.JobID {
	var s *slot
	for i := range g.slots {
		if g.slots[i].isOpen() && (s == nil || g.slots[i].roundNo < s.roundNo) {
			s = &g.slots[i]
		}
	}
	if s == nil {
		return nil
	}
	var out []ident.JobID
	for j := range s.pendingJobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}
