package jobs

import (
	"slices"

	"badgerbay/internal/ident"
	"badgerbay/internal/wire"
)

// Priority is the scheduling priority of a job. Jobs of higher priority are scheduled first.
type Priority int

// Priorities, from the lowest to the highest.
const (
	PriorityBestEffort Priority = iota
	PriorityStandard
	PriorityHigh
	PriorityProd
)

// Spec is the specification that the job's owner submitted. Its encoded field names are short
// because every write of the checkpoint includes it.
type Spec struct {
	Class                     ident.Class                         `msgpack:"c" json:"c"`
	Team                      ident.Team                          `msgpack:"t" json:"t"`
	Service                   bool                                `msgpack:"sv,omitempty" json:"sv,omitempty"` // the tasks run until cancelled
	Gang                      bool                                `msgpack:"ga,omitempty" json:"ga,omitempty"` // the tasks run all together or not at all
	Priority                  Priority                            `msgpack:"p" json:"p"`
	Tasks                     int                                 `msgpack:"n" json:"n"`
	CPUs                      float64                             `msgpack:"cpu" json:"cpu"` // per task, as are the amounts below
	GPUs                      float64                             `msgpack:"gpu,omitempty" json:"gpu,omitempty"`
	MemoryGB                  float64                             `msgpack:"mem" json:"mem"`
	MachineTypes              wire.BoundedList[ident.MachineType] `msgpack:"ty,omitempty" json:"ty,omitempty"` // the types allowed; empty: all
	Zone                      ident.Zone                          `msgpack:"z,omitempty" json:"z,omitempty"`   // the only zone allowed; empty: all
	ZoneAffinity              bool                                `msgpack:"oz,omitempty" json:"oz,omitempty"` // all tasks in one zone
	ZoneSpread                bool                                `msgpack:"sp,omitempty" json:"sp,omitempty"` // at most half of the tasks in one zone
	Spot                      bool                                `msgpack:"spot,omitempty" json:"spot,omitempty"`
	Image                     ident.Image                         `msgpack:"im" json:"im"`
	ImageGB                   float64                             `msgpack:"ig" json:"ig"`
	EstimatedRunSeconds       float64                             `msgpack:"es" json:"es"`
	CheckpointIntervalSeconds float64                             `msgpack:"cs,omitempty" json:"cs,omitempty"` // 0: the tasks write no checkpoints
	CheckpointSeconds         float64                             `msgpack:"ss,omitempty" json:"ss,omitempty"` // duration of one checkpoint
	DeadlineSeconds           float64                             `msgpack:"dl,omitempty" json:"dl,omitempty"` // counted from acceptance; 0: no deadline
}

// TaskResources returns the resources that one task needs.
func (s *Spec) TaskResources() Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// AllowsMachine reports whether a machine of the given type and zone, which may be a spot
// instance, may run the job's tasks. It ignores where the job's other tasks are placed.
func (s *Spec) AllowsMachine(machineType ident.MachineType, zone ident.Zone, spot bool) bool {
	if spot && !s.Spot || s.Zone != "" && s.Zone != zone {
		return false
	}
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, machineType)
}

// MaxTasksPerZone returns how many of the job's tasks may be placed in one zone.
func (s *Spec) MaxTasksPerZone() int {
	if !s.ZoneSpread {
		return s.Tasks
	}
	return (s.Tasks + 1) / 2
}
