package quota

import (
	"errors"
	"math"
	"testing"

	"badgerbay/internal/config"
	"badgerbay/internal/jobs"
)

// TestQuantityRounding checks that demands are rounded up and limits down, apart from tiny rounding errors, and that
// amounts out of range are rejected. Rounding the other way would allow more than a limit.
func TestQuantityRounding(t *testing.T) {
	demand, err := DemandOf(&jobs.Spec{CPUs: 0.25 + 1e-12, GPUs: 0.0001})
	if err != nil || demand != (Quantity{250, 1}) {
		t.Errorf("demand %v, error %v, want 250 milli-CPU and 1 milli-GPU", demand, err)
	}
	limit, err := LimitOf(config.Team{CPULimit: 1.9999, GPULimit: 0})
	if err != nil || limit.MilliCPU != 1999 || limit.MilliGPU != Unlimited {
		t.Errorf("limit %v, error %v, want 1999 milli-CPU and unlimited GPUs", limit, err)
	}
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		if _, err := DemandOf(&jobs.Spec{CPUs: bad}); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("demand of %v CPUs: error %v, want %v", bad, err, ErrOutOfRange)
		}
	}
}
