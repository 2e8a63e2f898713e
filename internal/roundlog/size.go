package roundlog

import "badgerbay/internal/wire"

// Sizes of the parts of a record, in bytes, with the longest numbers that occur.
const (
	maxRecordHeadJSONSize   = 160
	startOverheadBytes      = 12 // packed
	attemptBytes            = 9  // packed
	deprovisionJSONOverhead = 4

	// MaxProvisionJSONSize bounds the JSON size of a provision without its names, in bytes.
	MaxProvisionJSONSize = 120
)

// MaxJSONSize bounds the JSON size, in bytes, of a start that does not follow one of its job.
func (s *Start) MaxJSONSize() int { return wire.PackedLen(len(s.Job)) + s.MaxJSONSizeSameJob() }

// MaxJSONSizeSameJob bounds the JSON size, in bytes, of a start that follows one of its job.
func (s *Start) MaxJSONSizeSameJob() int {
	n := startOverheadBytes + len(s.Machine) + s.Tasks.DeltaSizeBound()
	if s.Attempt != 0 {
		n += attemptBytes
	}
	return wire.PackedLen(n)
}

// MaxJSONSize bounds the JSON size of the record, in bytes.
func (r *Record) MaxJSONSize() int {
	n := r.MaxHeadJSONSize()
	for i := range r.Starts {
		n += r.Starts[i].MaxJSONSize()
	}
	return n
}

// MaxHeadJSONSize bounds the JSON size of the record without its starts, in bytes.
func (r *Record) MaxHeadJSONSize() int {
	n := maxRecordHeadJSONSize
	for _, p := range r.Provisions {
		n += MaxProvisionJSONSize + len(p.Name) + len(p.Offer.Type) + len(p.Offer.Zone)
	}
	for _, id := range r.Deprovisions {
		n += deprovisionJSONOverhead + len(id)
	}
	return n
}
