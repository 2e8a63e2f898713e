package quota

import (
	"errors"
	"fmt"
	"math"

	"badgerbay/internal/config"
	"badgerbay/internal/jobs"
)

// Quantity is an amount of what a team's limit counts, in thousandths of a CPU and of a
// GPU.
type Quantity struct {
	MilliCPU int64 `msgpack:"c" json:"c"`
	MilliGPU int64 `msgpack:"g" json:"g"`
}

const (
	milliPerUnit = 1000
	// Unlimited stands for the absence of a limit.
	Unlimited = int64(1) << 50
	// maxMillis bounds what a record may claim, so that sums of many can't overflow.
	maxMillis = int64(1) << 50
	// roundingTolerance forgives the rounding of sums of decimal amounts, in
	// thousandths.
	roundingTolerance = 1e-6
)

// ErrOutOfRange says that an amount is negative, not a number, or too large to count.
var ErrOutOfRange = errors.New("amount that can't be counted")

// checkedMillis checks a number of thousandths.
func checkedMillis(scaled float64) (int64, error) {
	if math.IsNaN(scaled) || scaled < 0 || scaled > float64(maxMillis) {
		return 0, fmt.Errorf("%w: %v thousandths", ErrOutOfRange, scaled)
	}
	return int64(scaled), nil
}

// DemandOf is what one task takes, rounded up. The error is an ErrOutOfRange.
func DemandOf(spec *jobs.Spec) (Quantity, error) {
	cpu, cpuErr := checkedMillis(math.Ceil(spec.CPUs*milliPerUnit - roundingTolerance))
	gpu, gpuErr := checkedMillis(math.Ceil(spec.GPUs*milliPerUnit - roundingTolerance))
	return Quantity{cpu, gpu}, errors.Join(cpuErr, gpuErr)
}

// LimitOf is the limit of a team, rounded down; Unlimited where it has none. The error
// is an ErrOutOfRange.
func LimitOf(team config.Team) (Quantity, error) {
	cpu, cpuErr := limitMillis(team.CPULimit)
	gpu, gpuErr := limitMillis(team.GPULimit)
	return Quantity{cpu, gpu}, errors.Join(cpuErr, gpuErr)
}

func limitMillis(limit float64) (int64, error) {
	if limit == 0 {
		return Unlimited, nil
	}
	return checkedMillis(math.Floor(limit*milliPerUnit + roundingTolerance))
}

// IsLimited tells whether a team has any limit to share out.
func (q Quantity) IsLimited() bool { return q.MilliCPU < Unlimited || q.MilliGPU < Unlimited }

// Add returns the sum.
func (q Quantity) Add(o Quantity) Quantity {
	return Quantity{q.MilliCPU + o.MilliCPU, q.MilliGPU + o.MilliGPU}
}

// Sub returns the difference, which may be negative.
func (q Quantity) Sub(o Quantity) Quantity {
	return Quantity{q.MilliCPU - o.MilliCPU, q.MilliGPU - o.MilliGPU}
}

// Mul returns n times q.
func (q Quantity) Mul(n int) Quantity { return Quantity{q.MilliCPU * int64(n), q.MilliGPU * int64(n)} }

// Min returns the smaller of each amount.
func (q Quantity) Min(o Quantity) Quantity {
	return Quantity{min(q.MilliCPU, o.MilliCPU), min(q.MilliGPU, o.MilliGPU)}
}

// Max returns the larger of each amount.
func (q Quantity) Max(o Quantity) Quantity {
	return Quantity{max(q.MilliCPU, o.MilliCPU), max(q.MilliGPU, o.MilliGPU)}
}

// IsZero tells whether there is none of anything.
func (q Quantity) IsZero() bool { return q == Quantity{} }

// Within tells whether q is at most o in each amount.
func (q Quantity) Within(o Quantity) bool {
	return q.MilliCPU <= o.MilliCPU && q.MilliGPU <= o.MilliGPU
}

// CapacityFor is how many of the demand fit into q.
func (q Quantity) CapacityFor(demand Quantity) int {
	n := int64(math.MaxInt32)
	if demand.MilliCPU > 0 {
		n = min(n, q.MilliCPU/demand.MilliCPU)
	}
	if demand.MilliGPU > 0 {
		n = min(n, q.MilliGPU/demand.MilliGPU)
	}
	return int(max(0, n))
}

// valid tells whether a record may claim the amount.
func (q Quantity) valid() bool {
	return q.MilliCPU >= 0 && q.MilliGPU >= 0 && q.MilliCPU <= maxMillis && q.MilliGPU <= maxMillis
}

// Resources is the quantity in whole CPUs and GPUs, as the scheduler counts it.
func (q Quantity) Resources() jobs.Resources {
	return jobs.Resources{CPUs: float64(q.MilliCPU) / milliPerUnit, GPUs: float64(q.MilliGPU) / milliPerUnit}
}
