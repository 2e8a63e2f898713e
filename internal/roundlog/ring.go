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

// slot is the state of one key of the ring: which round is stored there, and which of its
// decisions are not settled yet.
type slot struct {
	revision            ident.Revision
	roundNo             ident.RoundNo
	pendingJobs         map[ident.JobID]bool
	pendingProvisions   map[string]bool
	pendingDeprovisions map[ident.MachineID]bool
}

// isOpen reports whether the round has decisions that are not settled.
func (s *slot) isOpen() bool {
	return len(s.pendingJobs)+len(s.pendingProvisions)+len(s.pendingDeprovisions) > 0
}

// Ring tracks the slots, a small fixed number of keys, that round records are stored in. A slot is
// reused once all decisions of its round are settled elsewhere.
type Ring struct {
	slots []slot
	next  ident.RoundNo
}

// NewRing returns an empty ring of n slots.
func NewRing(n int) *Ring { return &Ring{slots: make([]slot, n), next: 1} }

// StoredRecord is a record that was read from the state service, with its key and revision.
type StoredRecord struct {
	Key      string
	Record   *Record
	Revision ident.Revision
}

// RestoreRing returns a ring of n slots that is rebuilt from the records that a new leader reads,
// and those of the records that may not be settled, sorted by round number. Rounds below the
// highest low watermark among the records are settled.
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

// Key returns the key of the slot that a round is stored in.
func (r *Ring) Key(roundNo ident.RoundNo) string {
	return KeyPrefix + strconv.Itoa(int(roundNo%ident.RoundNo(len(r.slots))))
}

// ChunkKey returns the key of the n-th chunk of the record that is stored under a slot's key. A
// slot's key is not a job name, so the key does not collide with that of a chunk of a job record.
func ChunkKey(slot string, n int) string { return chunk.Key(slot, n) }

func (r *Ring) slotOf(roundNo ident.RoundNo) *slot {
	return &r.slots[roundNo%ident.RoundNo(len(r.slots))]
}

// Next returns the number of the next round and reports whether its slot is free.
func (r *Ring) Next() (roundNo ident.RoundNo, free bool) { return r.next, !r.slotOf(r.next).isOpen() }

// IsUnused reports whether no round was ever recorded, which means that no leader has provisioned
// or placed anything.
func (r *Ring) IsUnused() bool { return r.next == 1 }

// Revision returns the revision of the key that a round is stored under; 0: the key is absent.
func (r *Ring) Revision(roundNo ident.RoundNo) ident.Revision { return r.slotOf(roundNo).revision }

// LowWatermark returns the number of the lowest round that is not settled, or that of the next
// round if all are settled.
func (r *Ring) LowWatermark() ident.RoundNo {
	low := r.next
	for i := range r.slots {
		if r.slots[i].isOpen() {
			low = min(low, r.slots[i].roundNo)
		}
	}
	return low
}

// FreeSlots returns the number of free slots.
func (r *Ring) FreeSlots() int {
	n := 0
	for i := range r.slots {
		if !r.slots[i].isOpen() {
			n++
		}
	}
	return n
}

// Add tracks a record that is stored under its key with the given revision.
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

// SkipUnreadable tracks a stored record that can't be decoded. Its slot may be overwritten at the
// given revision. Its round number is unknown, so the next round number is advanced by the number
// of slots, which skips it: round numbers identify attempts and must not repeat.
func (r *Ring) SkipUnreadable(key string, revision ident.Revision) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, KeyPrefix))
	if err != nil || n < 0 || n >= len(r.slots) {
		return
	}
	r.slots[n].revision = revision
	r.next += ident.RoundNo(len(r.slots))
}

// SettleJob settles the decisions on a job in all rounds up to lastRound, because the job's stored
// checkpoint includes them.
func (r *Ring) SettleJob(job ident.JobID, lastRound ident.RoundNo) {
	for i := range r.slots {
		if s := &r.slots[i]; s.roundNo <= lastRound {
			delete(s.pendingJobs, job)
		}
	}
}

// SettleProvision settles a provision, to which the cloud has given its final response.
func (r *Ring) SettleProvision(name string) {
	for i := range r.slots {
		delete(r.slots[i].pendingProvisions, name)
	}
}

// SettleDeprovision settles the deprovision of a machine, which no longer exists.
func (r *Ring) SettleDeprovision(id ident.MachineID) {
	for i := range r.slots {
		delete(r.slots[i].pendingDeprovisions, id)
	}
}

// OldestOpenJobs returns the jobs whose starts in the oldest open slot are not settled, sorted by
// name.
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
