package roundlog

import "badgerbay/internal/wire"

// Upper bounds for the sizes of a record's parts, in bytes. They assume the longest numbers that
// occur.
const (
	maxRecordHeadJSONSize   = 160
	startOverheadBytes      = 12 // before it is packed into text
	attemptBytes            = 9  // before it is packed into text
	deprovisionJSONOverhead = 4

	// MaxProvisionJSONSize bounds the JSON size, in bytes, of a provision without its name, machine
	// type and zone.
	MaxProvisionJSONSize = 120
)

// MaxJSONSize returns an upper bound for the JSON size, in bytes, of a start that does not follow
// a start of the same job.
func (s *Start) MaxJSONSize() int { return wire.PackedLen(len(s.Job)) + s.MaxJSONSizeSameJob() }

// MaxJSONSizeSameJob returns an upper bound for the JSON size, in bytes, of a start that follows
// a start of the same job.
func (s *Start) MaxJSONSizeSameJob() int {
	n := startOverheadBytes + len(s.Machine) + s.Tasks.DeltaSizeBound()
	if s.Attempt != 0 {
		n += attemptBytes
	}
	return wire.PackedLen(n)
}

// MaxJSONSize returns an upper bound for the JSON size of the record, in bytes.
func (r *Record) MaxJSONSize() int {
	n := r.MaxHeadJSONSize()
	for i := range r.Starts {
		n += r.Starts[i].MaxJSONSize()
	}
	return n
}

// MaxHeadJSONSize returns an upper bound for the JSON size of the record without its starts, in
// bytes.
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
