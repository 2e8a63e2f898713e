package config

import (
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// Params holds the parameters of the deployment.
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

// Team holds the resource guarantees and limits of one team. A guarantee or limit of 0
// means that there is none.
type Team struct {
	Name         ident.Team `json:"name"`
	CPUGuarantee float64    `json:"cpus"`
	CPULimit     float64    `json:"cpus_max"`
	GPUGuarantee float64    `json:"gpus"`
	GPULimit     float64    `json:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs: the share of the jobs that
// must start, or must finish, within a time limit.
type Objective struct {
	Kind          string      `json:"kind"` // "wait" (until the start) or "finished"; other kinds are ignored
	Class         ident.Class `json:"class"`
	WithinSeconds float64     `json:"within_s"`
	Share         float64     `json:"share"`
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
}

// ListLag returns the usual delay until the cloud's machine list shows a change.
func (c Cloud) ListLag() time.Duration { return clock.Seconds(c.ListLagSeconds) }

// Limits holds the resources that this node's machine grants to the process.
type Limits struct {
	CPUs       float64 `json:"cpu"`
	MemoryMB   float64 `json:"mem_mb"` // MiB
	MaxSockets int     `json:"max_sockets"`
}

// TeamsByName returns the teams, keyed by name.
func (p *Params) TeamsByName() map[ident.Team]Team {
	out := make(map[ident.Team]Team, len(p.Teams))
	for _, t := range p.Teams {
		out[t.Name] = t
	}
	return out
}
