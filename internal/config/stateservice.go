package config

// State holds the limits of the state service.
type State struct {
	RPS        float64 `json:"rps"`       // maximum number of requests per second
	WriteRPS   float64 `json:"write_rps"` // maximum number of changes per second
	MaxValueKB float64 `json:"value_kb"`  // maximum size of one value, in KiB
	MaxTxnOps  int     `json:"txn_ops"`   // maximum number of operations in one transaction
	// Next holds announced limits. They come into force at an unspecified time after all
	// nodes run a version that supports them. Nil means that the limits stay as they are.
	Next *StateLimits `json:"next"`
}

// StateLimits holds announced limits of the state service; see State.Next. The request rate
// is not among them.
type StateLimits struct {
	WriteRPS   float64 `json:"write_rps"`
	MaxValueKB float64 `json:"value_kb"`
	MaxTxnOps  int     `json:"txn_ops"`
}

const (
	kibibyte = 1 << 10
	// maxTxnBytes is the maximum total size of a transaction of the state service.
	// txnOverheadBytes is the part of it that is reserved for conditions and keys.
	maxTxnBytes      = 64 * kibibyte
	txnOverheadBytes = 4 * kibibyte
	// minValueKB is a value size that fits the record of any job and one chunk of its tasks.
	minValueKB = 1
)

// Strictest returns limits that comply with both the current and the announced limits: the
// smaller of each pair.
func (s State) Strictest() State {
	if next := s.Next; next != nil {
		s.WriteRPS = min(s.WriteRPS, next.WriteRPS)
		s.MaxValueKB = min(s.MaxValueKB, next.MaxValueKB)
		s.MaxTxnOps = min(s.MaxTxnOps, next.MaxTxnOps)
	}
	return s
}

// MaxValueBytes returns the size of the largest value that the state service accepts.
func (s State) MaxValueBytes() int { return int(s.MaxValueKB * kibibyte) }

// MaxTxnValues returns how many values of the largest size fit in one transaction; it
// returns at least 1.
func (s State) MaxTxnValues() int {
	return max(1, min(s.MaxTxnOps, (maxTxnBytes-txnOverheadBytes)/max(1, s.MaxValueBytes())))
}

// validateNext validates the announced limits.
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
