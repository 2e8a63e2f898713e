package scheduler

import (
	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/wire"
)

// provisionReserve is the room in a round's record that starts leave to a provision.
const provisionReserve = 2 * roundlog.MaxProvisionJSONSize

// recordBuilder fills the round's record, and keeps it and the records of the jobs within
// what the state service stores.
type recordBuilder struct {
	record *roundlog.Record
	size   int
	full   bool // no start fits any more

	valueBytes     int
	maxJobValues   int
	maxRoundValues int
	specJSONSize   func(*jobs.Job) int
	spareBytes     map[*jobs.Job]jobs.SpareBytes // of the jobs' records
}

func newRecordBuilder(s *Snapshot, record *roundlog.Record) *recordBuilder {
	*record = roundlog.Record{SchemaVersion: roundlog.SchemaPlain, RoundNo: s.RoundNo, Epoch: s.Epoch}
	return &recordBuilder{
		record:         record,
		size:           record.MaxJSONSize(),
		valueBytes:     s.ValueBytes,
		maxJobValues:   s.MaxJobValues,
		maxRoundValues: s.MaxRoundValues,
		specJSONSize:   s.SpecJSONSize,
		spareBytes:     map[*jobs.Job]jobs.SpareBytes{},
	}
}

// jobSpareBytes is what the job's record still holds beside what this plan has started.
func (b *recordBuilder) jobSpareBytes(job *jobs.Job) jobs.SpareBytes {
	spare, ok := b.spareBytes[job]
	if !ok {
		spare = job.SpareBytes(b.valueBytes, b.maxJobValues, b.specJSONSize(job))
		b.spareBytes[job] = spare
	}
	return spare
}

func newStart(job *jobs.Job, m *candidateMachine, tasks []ident.TaskIndex) roundlog.Start {
	start := roundlog.Start{Job: job.ID, Machine: m.machine.ID, Session: m.machine.Session}
	for _, task := range tasks {
		start.Tasks.Add(task)
	}
	return start
}

// fits tells whether the record has room for one more start. If not, it is full.
func (b *recordBuilder) fits(start *roundlog.Start) bool {
	b.full = b.full || b.size+start.MaxJSONSize()+provisionReserve > b.valueBytes
	return !b.full
}

// fitsGang tells whether the record has room for all starts of a gang, in one value where
// they fit into one, else in as many as a transaction holds. If not, it is full: a new
// round takes them. They always fit into a record that has no other starts.
func (b *recordBuilder) fitsGang(id ident.JobID, starts []roundlog.Start) bool {
	size := wire.PackedLen(len(id)) + provisionReserve
	for i := range starts {
		size += starts[i].MaxJSONSizeSameJob()
	}
	limit := b.valueBytes
	if b.record.MaxHeadJSONSize()+size > limit {
		limit = b.maxGangRecordSize()
	}
	if b.size+size > limit && len(b.record.Starts) > 0 {
		b.full = true
	}
	return !b.full
}

// maxGangRecordSize is how large the record of a round may be that starts a gang: as large
// as all values that one transaction holds, where all nodes know chunks.
func (b *recordBuilder) maxGangRecordSize() int {
	return b.valueBytes + chunk.Capacity(b.valueBytes, b.maxRoundValues-1)
}

// add adds a start of n tasks.
func (b *recordBuilder) add(job *jobs.Job, start roundlog.Start, n int) {
	b.size += start.MaxJSONSize()
	b.record.Starts = append(b.record.Starts, start)
	b.spareBytes[job] -= job.GroupBytes(start.Machine, n)
}
