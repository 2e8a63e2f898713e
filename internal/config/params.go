package config

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// Params describe the deployment.
type Params struct {
	Nodes            int          `json:"nodes"`
	Zones            []ident.Zone `json:"zones"`
	Teams            []Team       `json:"teams"`
	Objectives       []Objective  `json:"objectives"`
	Workers          Workers      `json:"workers"`
	StateService     State        `json:"state"`
	Cloud            Cloud        `json:"cloud"`
	MachineLimits    Limits       `json:"machine_limits"`
	ClockErrorMillis float64      `json:"clock_error_ms"`
}

// Team holds the guarantee and the limit of one team; 0 means none.
type Team struct {
	Name         ident.Team `json:"name"`
	CPUGuarantee float64    `json:"cpus"`
	CPULimit     float64    `json:"cpus_max"`
	GPUGuarantee float64    `json:"gpus"`
	GPULimit     float64    `json:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs: the share of them that is
// to start, or to be done, within a time.
type Objective struct {
	Kind          string      `json:"kind"` // "wait" or "finished"; others are ignored
	Class         ident.Class `json:"class"`
	WithinSeconds float64     `json:"within_s"`
	Share         float64     `json:"share"`
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
}

// ListLag is the usual delay of the machine list.
func (c Cloud) ListLag() time.Duration { return clock.Seconds(c.ListLagSeconds) }

// Limits are what this node's machine grants the process.
type Limits struct {
	CPUs       float64 `json:"cpu"`
	MemoryMB   float64 `json:"mem_mb"` // MiB
	MaxSockets int     `json:"max_sockets"`
}

// TeamsByName returns the teams by their names.
func (p *Params) TeamsByName() map[ident.Team]Team {
	out := make(map[ident.Team]Team, len(p.Teams))
	for _, t := range p.Teams {
		out[t.Name] = t
	}
	return out
}
