package jobs

import "math"

// Resources is an amount of each resource that machines provide.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// epsilon is the tolerance for rounding errors in sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemoryGB <= r.MemoryGB+epsilon
}

// MaxCopies returns how many times need fits into r; math.MaxInt32 if need is empty.
func (r Resources) MaxCopies(need Resources) int {
	n := math.MaxInt32
	if need.CPUs > 0 {
		n = min(n, int((r.CPUs+epsilon)/need.CPUs))
	}
	if need.GPUs > 0 {
		n = min(n, int((r.GPUs+epsilon)/need.GPUs))
	}
	if need.MemoryGB > 0 {
		n = min(n, int((r.MemoryGB+epsilon)/need.MemoryGB))
	}
	return max(0, n)
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Max returns the larger amount of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUs, o.CPUs), max(r.GPUs, o.GPUs), max(r.MemoryGB, o.MemoryGB)}
}

// Multiply returns r multiplied by n.
func (r Resources) Multiply(n int) Resources { return r.Scale(float64(n)) }

// Scale returns r multiplied by f.
func (r Resources) Scale(f float64) Resources {
	return Resources{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// DominantShare returns the largest share that r has of any resource in total; +Inf if r
// includes a resource that total lacks.
func (r Resources) DominantShare(total Resources) float64 {
	return max(share(r.CPUs, total.CPUs), share(r.GPUs, total.GPUs), share(r.MemoryGB, total.MemoryGB))
}

func share(part, whole float64) float64 {
	switch {
	case part <= epsilon:
		return 0
	case whole <= epsilon:
		return math.Inf(1)
	}
	return part / whole
}
