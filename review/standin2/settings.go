package main

// The types below are the settings of a controller, as the page on the deployment describes them.

type settings struct {
	Label        string   `json:"label"`
	Location     string   `json:"location"`
	ClientListen string   `json:"client_listen"`
	MeshAddr     string   `json:"mesh_addr"`
	Peers        []peer   `json:"peers"`
	External     external `json:"external"`
	Params       params   `json:"params"`
}

type peer struct {
	Label    string `json:"label"`
	Location string `json:"location"`
	PeerAddr string `json:"peer_addr"`
}

type external struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

type params struct {
	Nodes      int           `json:"nodes"`
	Zones      []string      `json:"zones"`
	Teams      []team        `json:"teams"`
	Objectives []objective   `json:"objectives"`
	Workers    workerParams  `json:"workers"`
	State      stateParams   `json:"state"`
	Cloud      cloudParams   `json:"cloud"`
	Machine    machineLimits `json:"machine_limits"`
	ClockError float64       `json:"clock_error_ms"`
}

type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

type objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s,omitempty"`
	Share   float64 `json:"share"`
}

type workerParams struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

type stateParams struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`

	Next *stateLimits `json:"next,omitempty"`
}

type stateLimits struct {
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

type cloudParams struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

type machineLimits struct {
	CPU        float64 `json:"cpu"`
	MemMB      float64 `json:"mem_mb"`
	MaxSockets int     `json:"max_sockets"`
}
