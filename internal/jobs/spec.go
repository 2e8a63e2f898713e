// Package jobs holds what is kept of a job: its spec, and the
// checkpoint from which any leader can go on. The record in the state service
// is the authority; the Job in memory is the leader's working copy of it.
package jobs

import (
	"math"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// Priority orders jobs; the higher goes first.
type Priority int

// Priorities.
const (
	PriorityBestEffort Priority = iota
	PriorityStandard
	PriorityHigh
	PriorityProd
)

// Spec is what the owner asked for. Names are short because every write of
// the checkpoint carries it.
type Spec struct {
	Class                     ident.Class                         `msgpack:"c" json:"c"`
	Team                      ident.Team                          `msgpack:"t" json:"t"`
	Service                   bool                                `msgpack:"sv,omitempty" json:"sv,omitempty"`
	Gang                      bool                                `msgpack:"ga,omitempty" json:"ga,omitempty"`
	Priority                  Priority                            `msgpack:"p" json:"p"`
	Tasks                     int                                 `msgpack:"n" json:"n"`
	CPUs                      float64                             `msgpack:"cpu" json:"cpu"`
	GPUs                      float64                             `msgpack:"gpu,omitempty" json:"gpu,omitempty"`
	MemoryGB                  float64                             `msgpack:"mem" json:"mem"`
	MachineTypes              wire.BoundedList[ident.MachineType] `msgpack:"ty,omitempty" json:"ty,omitempty"`
	Zone                      ident.Zone                          `msgpack:"z,omitempty" json:"z,omitempty"`
	ZoneAffinity              bool                                `msgpack:"oz,omitempty" json:"oz,omitempty"`
	ZoneSpread                bool                                `msgpack:"sp,omitempty" json:"sp,omitempty"`
	Spot                      bool                                `msgpack:"spot,omitempty" json:"spot,omitempty"`
	Image                     ident.Image                         `msgpack:"im" json:"im"`
	ImageGB                   float64                             `msgpack:"ig" json:"ig"`
	EstimatedRunSeconds       float64                             `msgpack:"es" json:"es"`
	CheckpointIntervalSeconds float64                             `msgpack:"cs,omitempty" json:"cs,omitempty"`
	CheckpointSeconds         float64                             `msgpack:"ss,omitempty" json:"ss,omitempty"`
	DeadlineSeconds           float64                             `msgpack:"dl,omitempty" json:"dl,omitempty"`
}

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

// Multiply returns n of r.
func (r Resources) Multiply(n int) Resources { return r.Scale(float64(n)) }

// Scale returns r times f.
func (r Resources) Scale(f float64) Resources {
	return Resources{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// DominantShare is the largest share that r takes of any resource of all; +Inf
// if it takes some of which there is none.
func (r Resources) DominantShare(all Resources) float64 {
	return max(share(r.CPUs, all.CPUs), share(r.GPUs, all.GPUs), share(r.MemoryGB, all.MemoryGB))
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

// TaskResources is what one task takes.
func (s *Spec) TaskResources() Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// AllowsMachine tells whether a machine of the type, zone and kind may run the job's
// tasks, leaving aside where the other tasks are.
func (s *Spec) AllowsMachine(t ident.MachineType, z ident.Zone, spot bool) bool {
	if spot && !s.Spot || s.Zone != "" && s.Zone != z {
		return false
	}
	if len(s.MachineTypes) == 0 {
		return true
	}
	for _, allowed := range s.MachineTypes {
		if allowed == t {
			return true
		}
	}
	return false
}

// MaxTasksPerZone is the most tasks that may be in one zone, for a job that is spread.
func (s *Spec) MaxTasksPerZone() int {
	if !s.ZoneSpread {
		return s.Tasks
	}
	return (s.Tasks + 1) / 2
}
