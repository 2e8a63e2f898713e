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

	"badgerbay/internal/checkpoint"
	"badgerbay/internal/config"
)

// Units are an amount of what a team's limit counts, in thousandths of a CPU and of
// a GPU.
type Units struct {
	CPU int64 `msgpack:"c" json:"c"`
	GPU int64 `msgpack:"g" json:"g"`
}

const (
	perWhole = 1000
	// Unlimited stands for a limit that there is none of, and mostUnits bounds what
	// a record may claim, so that sums of many can't overflow.
	Unlimited = int64(1) << 50
	mostUnits = int64(1) << 50
)

// ErrUnits says that an amount can't be counted.
var ErrUnits = errors.New("amount that can't be counted")

// rounding forgives the rounding of sums of decimal amounts, in thousandths.
const rounding = 1e-6

// whole checks a number of thousandths.
func whole(scaled float64) (int64, error) {
	if math.IsNaN(scaled) || scaled < 0 || scaled > float64(mostUnits) {
		return 0, fmt.Errorf("%w: %v thousandths", ErrUnits, scaled)
	}
	return int64(scaled), nil
}

// NeedOf is what one task takes, rounded up.
func NeedOf(s *checkpoint.Spec) (Units, error) {
	cpu, err := whole(math.Ceil(s.CPUs*perWhole - rounding))
	gpu, err2 := whole(math.Ceil(s.GPUs*perWhole - rounding))
	return Units{cpu, gpu}, errors.Join(err, err2)
}

// LimitOf is the limit of a team, rounded down. Where it has none it is without end.
func LimitOf(t config.Team) (Units, error) {
	cpu, err := limit(t.CPUsMax)
	gpu, err2 := limit(t.GPUsMax)
	return Units{cpu, gpu}, errors.Join(err, err2)
}

func limit(most float64) (int64, error) {
	if most == 0 {
		return Unlimited, nil
	}
	return whole(math.Floor(most*perWhole + rounding))
}

// Limited tells whether a team has any limit to share out.
func (u Units) Limited() bool { return u.CPU < Unlimited || u.GPU < Unlimited }

// Plus returns the sum.
func (u Units) Plus(o Units) Units { return Units{u.CPU + o.CPU, u.GPU + o.GPU} }

// Minus returns the difference, which may be negative.
func (u Units) Minus(o Units) Units { return Units{u.CPU - o.CPU, u.GPU - o.GPU} }

// Times returns n of u.
func (u Units) Times(n int) Units { return Units{u.CPU * int64(n), u.GPU * int64(n)} }

// Min returns the smaller of each amount.
func (u Units) Min(o Units) Units { return Units{min(u.CPU, o.CPU), min(u.GPU, o.GPU)} }

// Max returns the larger of each amount.
func (u Units) Max(o Units) Units { return Units{max(u.CPU, o.CPU), max(u.GPU, o.GPU)} }

// Zero tells whether there is none of anything.
func (u Units) Zero() bool { return u == Units{} }

// Within tells whether u is at most o.
func (u Units) Within(o Units) bool { return u.CPU <= o.CPU && u.GPU <= o.GPU }

// Holds is how many of need fit into u.
func (u Units) Holds(need Units) int {
	n := int64(math.MaxInt32)
	if need.CPU > 0 {
		n = min(n, u.CPU/need.CPU)
	}
	if need.GPU > 0 {
		n = min(n, u.GPU/need.GPU)
	}
	return int(max(0, n))
}

// valid tells whether a record may claim the amount.
func (u Units) valid() bool {
	return u.CPU >= 0 && u.GPU >= 0 && u.CPU <= mostUnits && u.GPU <= mostUnits
}

// Resources is the amount as the planner counts it.
func (u Units) Resources() checkpoint.Resources {
	return checkpoint.Resources{CPUs: float64(u.CPU) / perWhole, GPUs: float64(u.GPU) / perWhole}
}
