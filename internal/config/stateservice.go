package config

// State holds the limits of the state service.
type State struct {
	RPS        float64 `json:"rps"`       // requests a second
	WriteRPS   float64 `json:"write_rps"` // changes a second, at most
	MaxValueKB float64 `json:"value_kb"`  // of one value, in KiB
	MaxTxnOps  int     `json:"txn_ops"`   // operations of one transaction
	// Next holds the limits that it will have from some moment on, once all nodes have
	// the version that knows them; nil: they stay.
	Next *StateLimits `json:"next"`
}

// StateLimits are limits of the state service that change.
type StateLimits struct {
	WriteRPS   float64 `json:"write_rps"`
	MaxValueKB float64 `json:"value_kb"`
	MaxTxnOps  int     `json:"txn_ops"`
}

const (
	kibibyte = 1 << 10
	// maxTxnBytes is how much a transaction of the state service may hold in all, and
	// txnOverheadBytes what of that is left to its conditions and keys.
	maxTxnBytes      = 64 * kibibyte
	txnOverheadBytes = 4 * kibibyte
	// minValueKB holds the record of any job, with a chunk of its tasks.
	minValueKB = 1
)

// Strictest returns the limits that hold now and later: the smaller of each.
func (s State) Strictest() State {
	if next := s.Next; next != nil {
		s.WriteRPS = min(s.WriteRPS, next.WriteRPS)
		s.MaxValueKB = min(s.MaxValueKB, next.MaxValueKB)
		s.MaxTxnOps = min(s.MaxTxnOps, next.MaxTxnOps)
	}
	return s
}

// MaxValueBytes is the largest value the state service takes.
func (s State) MaxValueBytes() int { return int(s.MaxValueKB * kibibyte) }

// MaxTxnValues is how many values of the largest size one transaction holds.
func (s State) MaxTxnValues() int {
	return max(1, min(s.MaxTxnOps, (maxTxnBytes-txnOverheadBytes)/max(1, s.MaxValueBytes())))
}

// validateNext checks the limits to come.
func (s State) validateNext() error {
	if s.Next == nil {
		return nil
	}
	for _, n := range []numericField{
		{"write_rps", s.Next.WriteRPS},
		{"value_kb", s.Next.MaxValueKB},
		{"txn_ops", float64(s.Next.MaxTxnOps)},
	} {
		if err := requirePositive("params.state.next."+n.field, n.value, maxNumber); err != nil {
			return err
		}
	}
	if s.Next.MaxValueKB < minValueKB {
		return FieldErrorf("params.state.next.value_kb", "%v holds no job: at least %d", s.Next.MaxValueKB, minValueKB)
	}
	return nil
}
