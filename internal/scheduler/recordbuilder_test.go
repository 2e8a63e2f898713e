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

// TestRecordFillsUp: starts are added until the record would not fit into a value beside a
// provision; then it is full, for small starts too.
func TestRecordFillsUp(t *testing.T) {
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
		t.Errorf("%d starts, a record of %d bytes", added, size)
	}
	if small := (roundlog.Start{}); builder.fits(&small) {
		t.Error("a full record takes one more start")
	}
}

// TestGangTakesMoreValues: the starts of a gang that fit into no value go into as many as a
// transaction holds; behind other starts that leave no room they wait for a new record.
func TestGangTakesMoreValues(t *testing.T) {
	gang := newQueuedJob("wk-000001", gangSpec(40, 1), 0)
	var starts []roundlog.Start
	for task := range ident.TaskIndex(40) {
		m := &candidateMachine{machine: &fleet.Machine{ID: "host-000001", Session: 1}}
		starts = append(starts, newStart(gang, m, []ident.TaskIndex{task}))
	}
	if builder := newTestRecordBuilder(1024, 4); !builder.fitsGang(gang.ID, starts) || builder.full {
		t.Error("a gang does not fit into four values")
	}
	builder := newTestRecordBuilder(1024, 1)
	builder.add(gang, starts[0], 1)
	if builder.fitsGang(gang.ID, starts) || !builder.full {
		t.Error("a gang fits into one value behind other starts")
	}
}
