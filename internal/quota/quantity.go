// Package quota lets any controller admit work of a team without asking the leader,
// while the team's limit holds across all of them at every instant. The leader allots
// units of a team's limit to holders, in one record for each team; a holder reserves
// what it was allotted for jobs, in one record of its own. See docs/quota.md. The
// package does no I/O.
package quota

import (
	"errors"
	"fmt"
	"math"

	"badgerbay/internal/config"
	"badgerbay/internal/jobs"
)

// Quantity are an amount of what a team's limit counts, in thousandths of a CPU and of
// a GPU.
type Quantity struct {
	MilliCPU int64 `msgpack:"c" json:"c"`
	MilliGPU int64 `msgpack:"g" json:"g"`
}

const (
	milliPerUnit = 1000
	// Unlimited stands for a limit that there is none of, and mostUnits bounds what
	// a record may claim, so that sums of many can't overflow.
	Unlimited = int64(1) << 50
	maxMillis = int64(1) << 50
)

// ErrOutOfRange says that an amount can't be counted.
var ErrOutOfRange = errors.New("amount that can't be counted")

// roundingTolerance forgives the rounding of sums of decimal amounts, in thousandths.
const roundingTolerance = 1e-6

// checkedMillis checks a number of thousandths.
func checkedMillis(scaled float64) (int64, error) {
	if math.IsNaN(scaled) || scaled < 0 || scaled > float64(maxMillis) {
		return 0, fmt.Errorf("%w: %v thousandths", ErrOutOfRange, scaled)
	}
	return int64(scaled), nil
}

// DemandOf is what one task takes, rounded up.
func DemandOf(s *jobs.Spec) (Quantity, error) {
	cpu, err := checkedMillis(math.Ceil(s.CPUs*milliPerUnit - roundingTolerance))
	gpu, err2 := checkedMillis(math.Ceil(s.GPUs*milliPerUnit - roundingTolerance))
	return Quantity{cpu, gpu}, errors.Join(err, err2)
}

// LimitOf is the limit of a team, rounded down. Where it has none it is without end.
func LimitOf(t config.Team) (Quantity, error) {
	cpu, err := limitMillis(t.CPULimit)
	gpu, err2 := limitMillis(t.GPULimit)
	return Quantity{cpu, gpu}, errors.Join(err, err2)
}

func limitMillis(most float64) (int64, error) {
	if most == 0 {
		return Unlimited, nil
	}
	return checkedMillis(math.Floor(most*milliPerUnit + roundingTolerance))
}

// IsLimited tells whether a team has any limit to share out.
func (u Quantity) IsLimited() bool { return u.MilliCPU < Unlimited || u.MilliGPU < Unlimited }

// Add returns the sum.
func (u Quantity) Add(o Quantity) Quantity {
	return Quantity{u.MilliCPU + o.MilliCPU, u.MilliGPU + o.MilliGPU}
}

// Sub returns the difference, which may be negative.
func (u Quantity) Sub(o Quantity) Quantity {
	return Quantity{u.MilliCPU - o.MilliCPU, u.MilliGPU - o.MilliGPU}
}

// Mul returns n of u.
func (u Quantity) Mul(n int) Quantity { return Quantity{u.MilliCPU * int64(n), u.MilliGPU * int64(n)} }

// Min returns the smaller of each amount.
func (u Quantity) Min(o Quantity) Quantity {
	return Quantity{min(u.MilliCPU, o.MilliCPU), min(u.MilliGPU, o.MilliGPU)}
}

// Max returns the larger of each amount.
func (u Quantity) Max(o Quantity) Quantity {
	return Quantity{max(u.MilliCPU, o.MilliCPU), max(u.MilliGPU, o.MilliGPU)}
}

// IsZero tells whether there is none of anything.
func (u Quantity) IsZero() bool { return u == Quantity{} }

// Within tells whether u is at most o.
func (u Quantity) Within(o Quantity) bool {
	return u.MilliCPU <= o.MilliCPU && u.MilliGPU <= o.MilliGPU
}

// CapacityFor is how many of need fit into u.
func (u Quantity) CapacityFor(need Quantity) int {
	n := int64(math.MaxInt32)
	if need.MilliCPU > 0 {
		n = min(n, u.MilliCPU/need.MilliCPU)
	}
	if need.MilliGPU > 0 {
		n = min(n, u.MilliGPU/need.MilliGPU)
	}
	return int(max(0, n))
}

// valid tells whether a record may claim the amount.
func (u Quantity) valid() bool {
	return u.MilliCPU >= 0 && u.MilliGPU >= 0 && u.MilliCPU <= maxMillis && u.MilliGPU <= maxMillis
}

// Resources is the amount as the planner counts it.
func (u Quantity) Resources() jobs.Resources {
	return jobs.Resources{CPUs: float64(u.MilliCPU) / milliPerUnit, GPUs: float64(u.MilliGPU) / milliPerUnit}
}
