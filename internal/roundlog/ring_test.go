package roundlog

import (
	"fmt"
	"testing"

	"badgerbay/internal/ident"

	"pgregory.net/rapid"
)

// TestRingReusesSettledSlots draws rounds, folds and takeovers: a record is
// never overwritten before what it decided is settled, and a successor finds
// every round that is not.
func TestRingReusesSettledSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		ring := NewRing(slots)
		stored := map[string]StoredRecord{}
		open := map[ident.RoundNo]ident.JobID{}
		version := ident.Revision(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				no, free := ring.Next()
				if !free {
					continue
				}
				if old, ok := stored[ring.Key(no)]; ok && open[old.Record.RoundNo] != "" {
					t.Fatalf("round %d would overwrite round %d, which is open", no, old.Record.RoundNo)
				}
				job := ident.JobID(fmt.Sprintf("wk-%06d", rapid.IntRange(0, 2).Draw(t, "job")))
				r := &Record{RoundNo: no, LowWatermark: min(ring.LowWatermark(), no), Starts: []Start{{Job: job}}}
				version++
				ring.Add(r, version)
				stored[ring.Key(no)] = StoredRecord{ring.Key(no), r, version}
				open[no] = job
			case 1:
				job := ident.JobID(fmt.Sprintf("wk-%06d", rapid.IntRange(0, 2).Draw(t, "folded")))
				no, _ := ring.Next()
				ring.JobFolded(job, no-1)
				for r, j := range open {
					if j == job && r < no {
						delete(open, r)
					}
				}
			case 2:
				var all []StoredRecord
				for _, s := range stored {
					all = append(all, s)
				}
				next, _ := ring.Next()
				again, found := RestoreRing(slots, all)
				if got, _ := again.Next(); got != next {
					t.Fatalf("a successor goes on at round %d, not %d", got, next)
				}
				seen := map[ident.RoundNo]bool{}
				for _, r := range found {
					seen[r.RoundNo] = true
				}
				for r := range open {
					if !seen[r] {
						t.Fatalf("a successor does not find round %d", r)
					}
				}
			}
		}
	})
}
