package jobs

import (
	"slices"

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

// Spec is what the owner asked for. Its encoded names are short because every write of
// the checkpoint carries it.
type Spec struct {
	Class                     ident.Class                         `msgpack:"c" json:"c"`
	Team                      ident.Team                          `msgpack:"t" json:"t"`
	Service                   bool                                `msgpack:"sv,omitempty" json:"sv,omitempty"` // its tasks run until cancelled
	Gang                      bool                                `msgpack:"ga,omitempty" json:"ga,omitempty"` // its tasks run all together or not at all
	Priority                  Priority                            `msgpack:"p" json:"p"`
	Tasks                     int                                 `msgpack:"n" json:"n"`
	CPUs                      float64                             `msgpack:"cpu" json:"cpu"` // of each task, as what follows
	GPUs                      float64                             `msgpack:"gpu,omitempty" json:"gpu,omitempty"`
	MemoryGB                  float64                             `msgpack:"mem" json:"mem"`
	MachineTypes              wire.BoundedList[ident.MachineType] `msgpack:"ty,omitempty" json:"ty,omitempty"` // allowed ones; none: all
	Zone                      ident.Zone                          `msgpack:"z,omitempty" json:"z,omitempty"`   // the only one allowed; "": all
	ZoneAffinity              bool                                `msgpack:"oz,omitempty" json:"oz,omitempty"` // all tasks in one zone
	ZoneSpread                bool                                `msgpack:"sp,omitempty" json:"sp,omitempty"` // at most half of the tasks in one zone
	Spot                      bool                                `msgpack:"spot,omitempty" json:"spot,omitempty"`
	Image                     ident.Image                         `msgpack:"im" json:"im"`
	ImageGB                   float64                             `msgpack:"ig" json:"ig"`
	EstimatedRunSeconds       float64                             `msgpack:"es" json:"es"`
	CheckpointIntervalSeconds float64                             `msgpack:"cs,omitempty" json:"cs,omitempty"` // 0: no checkpoints
	CheckpointSeconds         float64                             `msgpack:"ss,omitempty" json:"ss,omitempty"` // that a checkpoint takes
	DeadlineSeconds           float64                             `msgpack:"dl,omitempty" json:"dl,omitempty"` // after acceptance; 0: none
}

// TaskResources is what one task takes.
func (s *Spec) TaskResources() Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// AllowsMachine tells whether a machine of the type, in the zone, may run the job's tasks,
// leaving aside where the other tasks are.
func (s *Spec) AllowsMachine(machineType ident.MachineType, zone ident.Zone, spot bool) bool {
	if spot && !s.Spot || s.Zone != "" && s.Zone != zone {
		return false
	}
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, machineType)
}

// MaxTasksPerZone is the most tasks that may be in one zone.
func (s *Spec) MaxTasksPerZone() int {
	if !s.ZoneSpread {
		return s.Tasks
	}
	return (s.Tasks + 1) / 2
}
