package roundlog

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
)

// slot is a key of the ring, with what the round that is stored there has decided and what is
// not settled yet.
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

// Ring is the small ring of round records. A slot is used again once all that its round
// decided is settled elsewhere.
type Ring struct {
	slots []slot
	next  ident.RoundNo
}

// NewRing returns an empty ring of n slots.
func NewRing(n int) *Ring { return &Ring{slots: make([]slot, n), next: 1} }

// StoredRecord is a record read back, with its key and revision.
type StoredRecord struct {
	Key      string
	Record   *Record
	Revision ident.Revision
}

// RestoreRing makes a ring of n slots from the records that a new leader reads, and returns
// those that may not be settled in the order of their rounds. Those below the low watermark
// of the newest are settled.
func RestoreRing(n int, stored []StoredRecord) (*Ring, []*Record) {
	ring := NewRing(n)
	slices.SortFunc(stored, func(x, y StoredRecord) int { return cmp.Compare(x.Record.RoundNo, y.Record.RoundNo) })
	var open []*Record
	low := ident.RoundNo(0)
	for _, s := range stored {
		low = max(low, s.Record.LowWatermark)
	}
	for _, s := range stored {
		if s.Record.RoundNo < low {
			ring.Add(&Record{RoundNo: s.Record.RoundNo}, s.Revision)
			continue
		}
		ring.Add(s.Record, s.Revision)
		open = append(open, s.Record)
	}
	return ring, open
}

// Key is the key of the slot that a round goes to.
func (r *Ring) Key(roundNo ident.RoundNo) string {
	return KeyPrefix + strconv.Itoa(int(roundNo%ident.RoundNo(len(r.slots))))
}

// ChunkKey is the key of the n-th chunk of the record under a slot's key. The keys of slots
// name no job, so they don't meet those of jobs' chunks.
func ChunkKey(slot string, n int) string { return chunk.Key(slot, n) }

func (r *Ring) slotOf(roundNo ident.RoundNo) *slot {
	return &r.slots[roundNo%ident.RoundNo(len(r.slots))]
}

// Next is the number of the next round, and whether its slot is free.
func (r *Ring) Next() (roundNo ident.RoundNo, free bool) { return r.next, !r.slotOf(r.next).isOpen() }

// IsUnused tells whether no round was ever recorded: no leader has provisioned or placed
// anything.
func (r *Ring) IsUnused() bool { return r.next == 1 }

// Revision is the revision of the key that a round goes to; 0: it is absent.
func (r *Ring) Revision(roundNo ident.RoundNo) ident.Revision { return r.slotOf(roundNo).revision }

// LowWatermark is the lowest round that is not settled.
func (r *Ring) LowWatermark() ident.RoundNo {
	low := r.next
	for i := range r.slots {
		if r.slots[i].isOpen() {
			low = min(low, r.slots[i].roundNo)
		}
	}
	return low
}

// FreeSlots counts the free slots.
func (r *Ring) FreeSlots() int {
	n := 0
	for i := range r.slots {
		if !r.slots[i].isOpen() {
			n++
		}
	}
	return n
}

// Add notes that a record is stored under a revision of its key.
func (r *Ring) Add(record *Record, revision ident.Revision) {
	s := slot{
		revision:            revision,
		roundNo:             record.RoundNo,
		pendingJobs:         map[ident.JobID]bool{},
		pendingProvisions:   map[string]bool{},
		pendingDeprovisions: map[ident.MachineID]bool{},
	}
	for _, start := range record.Starts {
		s.pendingJobs[start.Job] = true
	}
	for _, provision := range record.Provisions {
		s.pendingProvisions[provision.Name] = true
	}
	for _, id := range record.Deprovisions {
		s.pendingDeprovisions[id] = true
	}
	*r.slotOf(record.RoundNo) = s
	r.next = max(r.next, record.RoundNo+1)
}

// SkipUnreadable notes that the record under a key can't be read. Its slot may be used again
// under that revision, and its number, whatever it was, is passed over: a number names
// attempts, and must not come twice.
func (r *Ring) SkipUnreadable(key string, revision ident.Revision) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, KeyPrefix))
	if err != nil || n < 0 || n >= len(r.slots) {
		return
	}
	r.slots[n].revision = revision
	r.next += ident.RoundNo(len(r.slots))
}

// JobFolded notes that the checkpoint of a job holds all rounds up to through.
func (r *Ring) JobFolded(job ident.JobID, lastRound ident.RoundNo) {
	for i := range r.slots {
		if s := &r.slots[i]; s.roundNo <= lastRound {
			delete(s.pendingJobs, job)
		}
	}
}

// SettleProvision notes that a provision has been answered for good.
func (r *Ring) SettleProvision(name string) {
	for i := range r.slots {
		delete(r.slots[i].pendingProvisions, name)
	}
}

// SettleDeprovision notes that a machine is gone.
func (r *Ring) SettleDeprovision(id ident.MachineID) {
	for i := range r.slots {
		delete(r.slots[i].pendingDeprovisions, id)
	}
}

// OldestOpenJobs returns the jobs that keep the oldest open slot open, sorted by name.
func (r *Ring) OldestOpenJobs() []ident.JobID {
	var oldest *slot
	for i := range r.slots {
		if s := &r.slots[i]; s.isOpen() && (oldest == nil || s.roundNo < oldest.roundNo) {
			oldest = s
		}
	}
	if oldest == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(oldest.pendingJobs))
}
