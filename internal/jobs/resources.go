package jobs

import "math"

// Resources are an amount of what machines have.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// epsilon forgives the rounding of sums of decimal amounts.
const epsilon = 1e-6

// Fits tells whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemoryGB <= r.MemoryGB+epsilon
}

// MaxCopies is how many times need fits into r.
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

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Max returns the larger of each amount.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUs, o.CPUs), max(r.GPUs, o.GPUs), max(r.MemoryGB, o.MemoryGB)}
}

// Multiply returns r n times.
func (r Resources) Multiply(n int) Resources { return r.Scale(float64(n)) }

// Scale returns r times f.
func (r Resources) Scale(f float64) Resources {
	return Resources{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// DominantShare is the largest share that r takes of any resource of total; +Inf
// if it takes some of which there is none.
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
