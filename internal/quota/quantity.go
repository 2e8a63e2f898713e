package quota

import (
	"errors"
	"fmt"
	"math"

	"badgerbay/internal/config"
	"badgerbay/internal/jobs"
)

// Quantity is an amount of the resources that a team's limit applies to, in thousandths of a CPU and of a GPU.
type Quantity struct {
	MilliCPU int64 `msgpack:"c" json:"c"`
	MilliGPU int64 `msgpack:"g" json:"g"`
}

const (
	milliPerUnit = 1000
	// Unlimited stands for the absence of a limit.
	Unlimited = int64(1) << 50
	// maxMillis is the largest amount that a record or message may contain. Sums of many such amounts cannot
	// overflow.
	maxMillis = int64(1) << 50
	// roundingTolerance is the floating-point error, in thousandths, that is ignored when an amount is rounded.
	roundingTolerance = 1e-6
)

// ErrOutOfRange is returned when an amount is negative, not a number, or too large to count.
var ErrOutOfRange = errors.New("amount that can't be counted")

// checkedMillis converts a number of thousandths to an integer. The error wraps ErrOutOfRange.
func checkedMillis(scaled float64) (int64, error) {
	if math.IsNaN(scaled) || scaled < 0 || scaled > float64(maxMillis) {
		return 0, fmt.Errorf("%w: %v thousandths", ErrOutOfRange, scaled)
	}
	return int64(scaled), nil
}

// DemandOf returns the demand of one task, rounded up to thousandths. The error wraps ErrOutOfRange.
func DemandOf(spec *jobs.Spec) (Quantity, error) {
	cpu, cpuErr := checkedMillis(math.Ceil(spec.CPUs*milliPerUnit - roundingTolerance))
	gpu, gpuErr := checkedMillis(math.Ceil(spec.GPUs*milliPerUnit - roundingTolerance))
	return Quantity{cpu, gpu}, errors.Join(cpuErr, gpuErr)
}

// LimitOf returns the limit of a team, rounded down to thousandths. A resource whose limit is 0 is Unlimited. The error
// wraps ErrOutOfRange.
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

// IsLimited reports whether q, as a limit, limits at least one resource.
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

// IsZero reports whether both amounts are zero.
func (q Quantity) IsZero() bool { return q == Quantity{} }

// Within reports whether q is at most o in each amount.
func (q Quantity) Within(o Quantity) bool {
	return q.MilliCPU <= o.MilliCPU && q.MilliGPU <= o.MilliGPU
}

// CapacityFor returns how many times the demand fits into q.
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

// valid reports whether a record or message may contain q.
func (q Quantity) valid() bool {
	return q.MilliCPU >= 0 && q.MilliGPU >= 0 && q.MilliCPU <= maxMillis && q.MilliGPU <= maxMillis
}

// Resources returns the quantity in CPUs and GPUs, the units of the scheduler.
func (q Quantity) Resources() jobs.Resources {
	return jobs.Resources{CPUs: float64(q.MilliCPU) / milliPerUnit, GPUs: float64(q.MilliGPU) / milliPerUnit}
}
