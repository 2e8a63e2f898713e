package scheduler

import (
	"testing"

	"badgerbay/internal/fleet"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
)

func newTestRecordBuilder(valueBytes, maxRoundValues int) *recordBuilder {
	return newRecordBuilder(&Snapshot{
		ValueBytes:     valueBytes,
		MaxJobValues:   1,
		MaxRoundValues: maxRoundValues,
		SpecJSONSize:   func(*jobs.Job) int { return 300 },
	}, new(roundlog.Record))
}

// TestRecordLeavesRoomForProvision checks that starts are added only as long as the record and a provision fit into
// one value. After the first start that does not fit, the record is full, and smaller starts don't fit either.
func TestRecordLeavesRoomForProvision(t *testing.T) {
	builder := newTestRecordBuilder(1024, 1)
	job := newQueuedJob("wk-000001", taskSpec("red", jobs.PriorityStandard, 100, 1), 0)
	m := &candidateMachine{machine: &fleet.Machine{ID: "host-000001", Session: 1}}
	added := 0
	for task := ident.TaskIndex(0); ; task++ {
		start := newStart(job, m, []ident.TaskIndex{task})
		if !builder.fits(&start) {
			break
		}
		builder.add(job, start, 1)
		added++
	}
	if size := builder.record.MaxJSONSize(); added == 0 || size+provisionReserve > 1024 {
		t.Errorf("%d starts in a record of %d bytes, want some, with room left for a provision", added, size)
	}
	if small := (roundlog.Start{}); builder.fits(&small) {
		t.Error("a smaller start fits into a full record")
	}
}

// TestGangStartsSpanValues checks that the starts of a gang that do not fit into one value may use several values.
// If the record has other starts and no room for the gang, the record is full and the gang waits for a new one.
func TestGangStartsSpanValues(t *testing.T) {
	gang := newQueuedJob("wk-000001", gangSpec(40, 1), 0)
	var starts []roundlog.Start
	for task := range ident.TaskIndex(40) {
		m := &candidateMachine{machine: &fleet.Machine{ID: "host-000001", Session: 1}}
		starts = append(starts, newStart(gang, m, []ident.TaskIndex{task}))
	}
	if builder := newTestRecordBuilder(1024, 4); !builder.fitsGang(gang.ID, starts) || builder.full {
		t.Error("a gang does not fit into four values, or the record is full")
	}
	builder := newTestRecordBuilder(1024, 1)
	builder.add(gang, starts[0], 1)
	if builder.fitsGang(gang.ID, starts) || !builder.full {
		t.Error("a gang that exceeds one value fits into it beside another start, or the record is not full")
	}
}
