package roundlog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"badgerbay/internal/ident"
)

// ringModel tracks a ring together with the records that are stored and the rounds that are not
// settled.
type ringModel struct {
	slots        int
	ring         *Ring
	stored       map[string]StoredRecord
	unsettled    map[ident.RoundNo]ident.JobID
	lastRevision ident.Revision
}

// TestRingKeepsUnsettledRounds runs random sequences of rounds, checkpoint writes and failovers. It
// checks that no record is overwritten before its decisions are settled, and that a new leader
// finds every round that is not settled.
func TestRingKeepsUnsettledRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ringModel{slots: 4, ring: NewRing(4), stored: map[string]StoredRecord{}, unsettled: map[ident.RoundNo]ident.JobID{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				m.storeRound(t)
			case 1:
				m.writeCheckpoint(t)
			case 2:
				m.failOver(t)
			}
		}
	})
}

func drawJob(t *rapid.T, label string) ident.JobID {
	return ident.JobID(fmt.Sprintf("wk-%06d", rapid.IntRange(0, 2).Draw(t, label)))
}

// storeRound stores a round that starts tasks of a job, if a slot is free.
func (m *ringModel) storeRound(t *rapid.T) {
	roundNo, free := m.ring.Next()
	if !free {
		return
	}
	key := m.ring.Key(roundNo)
	if old, ok := m.stored[key]; ok && m.unsettled[old.Record.RoundNo] != "" {
		t.Fatalf("round %d would overwrite round %d, which is not settled", roundNo, old.Record.RoundNo)
	}
	job := drawJob(t, "job")
	record := &Record{RoundNo: roundNo, LowWatermark: min(m.ring.LowWatermark(), roundNo), Starts: []Start{{Job: job}}}
	m.lastRevision++
	m.ring.Add(record, m.lastRevision)
	m.stored[key] = StoredRecord{Key: key, Record: record, Revision: m.lastRevision}
	m.unsettled[roundNo] = job
}

// writeCheckpoint settles a job in all rounds, as its stored checkpoint does.
func (m *ringModel) writeCheckpoint(t *rapid.T) {
	checkpointed := drawJob(t, "checkpointed")
	next, _ := m.ring.Next()
	m.ring.SettleJob(checkpointed, next-1)
	for roundNo, job := range m.unsettled {
		if job == checkpointed && roundNo < next {
			delete(m.unsettled, roundNo)
		}
	}
}

// failOver checks the state that a new leader restores.
func (m *ringModel) failOver(t *rapid.T) {
	var stored []StoredRecord
	for _, record := range m.stored {
		stored = append(stored, record)
	}
	next, _ := m.ring.Next()
	restored, found := RestoreRing(m.slots, stored)
	if got, _ := restored.Next(); got != next {
		t.Fatalf("next round of a new leader is %d, want %d", got, next)
	}
	seen := map[ident.RoundNo]bool{}
	for _, record := range found {
		seen[record.RoundNo] = true
	}
	for roundNo := range m.unsettled {
		if !seen[roundNo] {
			t.Fatalf("new leader does not find unsettled round %d", roundNo)
		}
	}
}
