package scheduler

import (
	"badgerbay/internal/chunk"
	"badgerbay/internal/ident"
	"badgerbay/internal/jobs"
	"badgerbay/internal/roundlog"
	"badgerbay/internal/wire"
)

// provisionReserve is the space, in bytes, that starts leave free in a round record for a
// provision.
const provisionReserve = 2 * roundlog.MaxProvisionJSONSize

// recordBuilder builds the round record. It keeps this record and the records of the jobs
// within the sizes that the state service can store.
type recordBuilder struct {
	record *roundlog.Record
	size   int
	full   bool // no further start fits

	valueBytes     int
	maxJobValues   int
	maxRoundValues int
	specJSONSize   func(*jobs.Job) int
	spareBytes     map[*jobs.Job]jobs.SpareBytes // free space in the jobs' records
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

// jobSpareBytes returns the free space in the job's record after the starts of this plan.
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

// fits reports whether the record has space for one more start. If not, it marks the record as
// full.
func (b *recordBuilder) fits(start *roundlog.Start) bool {
	b.full = b.full || b.size+start.MaxJSONSize()+provisionReserve > b.valueBytes
	return !b.full
}

// fitsGang reports whether the record has space for all starts of a gang: in one value if they
// fit into one, otherwise in as many values as a transaction may contain. If not, it marks the
// record as full, and a new round starts the gang. The starts always fit into a record without
// other starts.
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

// maxGangRecordSize returns the maximum size, in bytes, of the record of a round that starts a
// gang: the size of all values that one transaction may contain, if all nodes support chunks.
func (b *recordBuilder) maxGangRecordSize() int {
	return b.valueBytes + chunk.Capacity(b.valueBytes, b.maxRoundValues-1)
}

// add adds a start of n tasks of the job to the record.
func (b *recordBuilder) add(job *jobs.Job, start roundlog.Start, n int) {
	b.size += start.MaxJSONSize()
	b.record.Starts = append(b.record.Starts, start)
	b.spareBytes[job] -= job.GroupBytes(start.Machine, n)
}
