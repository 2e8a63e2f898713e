// Package config reads the settings file that the platform hands to every
// controller node, and checks it.
package config

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"badgerbay/internal/unit"
)

// maxFile bounds the settings file.
const maxFile = 4 << 20

// Settings are the settings of one controller node.
type Settings struct {
	Label        string   `json:"label"`
	Location     string   `json:"location"`
	ClientListen string   `json:"client_listen"`
	MeshAddr     string   `json:"mesh_addr"`
	Peers        []Peer   `json:"peers"`
	External     External `json:"external"`
	Params       Params   `json:"params"`
}

// Peer is another controller node.
type Peer struct {
	Label    string `json:"label"`
	Location string `json:"location"`
	PeerAddr string `json:"peer_addr"`
}

// External holds the addresses of the regional services.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Params describe the deployment.
type Params struct {
	Nodes         int         `json:"nodes"`
	Zones         []unit.Zone `json:"zones"`
	Teams         []Team      `json:"teams"`
	Objectives    []Objective `json:"objectives"`
	Workers       Workers     `json:"workers"`
	State         State       `json:"state"`
	Cloud         Cloud       `json:"cloud"`
	MachineLimits Limits      `json:"machine_limits"`
	ClockErrorMs  float64     `json:"clock_error_ms"`
}

// Team holds the guarantee and the limit of one team; 0 means none.
type Team struct {
	Name    unit.Team `json:"name"`
	CPUs    float64   `json:"cpus"`
	CPUsMax float64   `json:"cpus_max"`
	GPUs    float64   `json:"gpus"`
	GPUsMax float64   `json:"gpus_max"`
}

// Objective says what is expected for a class of jobs.
type Objective struct {
	Kind    string     `json:"kind"`
	Class   unit.Class `json:"class"`
	WithinS float64    `json:"within_s"`
	Share   float64    `json:"share"`
}

// Workers hold the times that workers keep to.
type Workers struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	CancelS   float64 `json:"cancel_s"`
	GangWaitS float64 `json:"gang_wait_s"` // 0: not given
	GangPeerS float64 `json:"gang_peer_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next holds the limits that it will have from some moment on, once all
	// nodes have the version that knows them.
	Next *StateLimits `json:"next"`
}

// StateLimits are limits of the state service that change.
type StateLimits struct {
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Tight returns the limits that hold now and later: the smaller of each.
func (s State) Tight() State {
	if n := s.Next; n != nil {
		s.WriteRPS, s.ValueKB, s.TxnOps = min(s.WriteRPS, n.WriteRPS), min(s.ValueKB, n.ValueKB), min(s.TxnOps, n.TxnOps)
	}
	return s
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits are what this node's machine grants the process.
type Limits struct {
	CPU        float64 `json:"cpu"`
	MemMB      float64 `json:"mem_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// TeamsByName returns the teams by their names.
func (p *Params) TeamsByName() map[unit.Team]Team {
	out := make(map[unit.Team]Team, len(p.Teams))
	for _, t := range p.Teams {
		out[t.Name] = t
	}
	return out
}

// PeerLabels lists the names of the other nodes.
func (s *Settings) PeerLabels() []string {
	out := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		out = append(out, p.Label)
	}
	return out
}

// ReportInterval is the nominal time between two reports of a worker.
func (w Workers) ReportInterval() time.Duration { return unit.Seconds(w.ReportS) }

// Lease is how long a worker keeps its tasks without an answer.
func (w Workers) Lease() time.Duration { return unit.Seconds(w.LeaseS) }

const (
	// reportTimeout is how long a worker waits for the answer to a report, and
	// nextNodePause how long before it tries the next node.
	reportTimeout = 4 * time.Second
	nextNodePause = time.Second
)

// LongestReportGap is how long a worker that reaches a node may be without a report:
// reports may be a quarter late.
func (w Workers) LongestReportGap() time.Duration {
	interval := w.ReportInterval()
	return interval + interval/4
}

// ReturnTime is how long a worker may be without an answer that reports to a node
// which is lost, until it has tried the next.
func (w Workers) ReturnTime() time.Duration {
	return w.LongestReportGap() + reportTimeout + nextNodePause
}

// TakeoverTime is how long all nodes may leave a worker without an answer: its
// last answered report was sent up to the longest gap before, and after one that a
// lost leader never answers it finds the successor with its first try elsewhere.
func (w Workers) TakeoverTime() time.Duration {
	return w.Lease() - w.ReturnTime()
}

// Cancel is how long the tasks of a cancelled job may stay.
func (w Workers) Cancel() time.Duration { return unit.Seconds(w.CancelS) }

// ListLag is the usual delay of the machine list.
func (c Cloud) ListLag() time.Duration { return unit.Seconds(c.ListLagS) }

// ValueBytes is the largest value the state service takes.
func (s State) ValueBytes() int { return int(s.ValueKB * 1024) }

// txnBytes is how much a transaction of the state service may hold in all, and
// txnOverhead what of that is left to its guards and keys.
const (
	txnBytes    = 64 << 10
	txnOverhead = 4 << 10
)

// TxnValues is how many values of the largest size one transaction holds.
func (s State) TxnValues() int {
	return max(1, min(s.TxnOps, (txnBytes-txnOverhead)/max(1, s.ValueBytes())))
}

// FieldError names the setting that is wrong.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func wrong(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, wrong("config", "%v", err)
	}
	defer f.Close()
	return Read(f)
}

// Read reads and checks settings. Unknown fields are ignored.
func Read(r io.Reader) (*Settings, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return nil, wrong("config", "%v", err)
	}
	if len(data) > maxFile {
		return nil, wrong("config", "larger than %d bytes", maxFile)
	}
	s := new(Settings)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, jsonError(err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func jsonError(err error) error {
	if te, ok := err.(*json.UnmarshalTypeError); ok && te.Field != "" {
		return wrong(te.Field, "a %s can't be used as %s", te.Value, te.Type)
	}
	return wrong("config", "not a JSON object of settings: %v", err)
}

func (s *Settings) check() error {
	if s.Label == "" {
		return wrong("label", "missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"client_listen", s.ClientListen}, {"mesh_addr", s.MeshAddr},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State},
	} {
		if err := checkAddr(a.field, a.addr); err != nil {
			return err
		}
	}
	if err := s.checkPeers(); err != nil {
		return err
	}
	if err := s.Params.check(); err != nil {
		return err
	}
	return s.checkRoom()
}

const (
	// leastSockets serve the state service, the cloud and a few workers and
	// users; each peer takes some more.
	leastSockets     = 16
	leastSocketsPeer = 4
	// leastMemMB holds the program with nothing to do.
	leastMemMB = 16
)

// checkRoom refuses a machine on which the program could not serve at all.
func (s *Settings) checkRoom() error {
	l := s.Params.MachineLimits
	if least := leastSockets + leastSocketsPeer*len(s.Peers); l.MaxSockets < least {
		return wrong("params.machine_limits.max_sockets", "%d are too few to serve with %d peers: at least %d", l.MaxSockets, len(s.Peers), least)
	}
	if l.MemMB < leastMemMB {
		return wrong("params.machine_limits.mem_mb", "%v is too little to serve: at least %d", l.MemMB, leastMemMB)
	}
	return nil
}

func (s *Settings) checkPeers() error {
	seen := map[string]bool{s.Label: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		if p.Label == "" || seen[p.Label] {
			return wrong(field+".label", "%q is missing or used twice", p.Label)
		}
		seen[p.Label] = true
		if err := checkAddr(field+".peer_addr", p.PeerAddr); err != nil {
			return err
		}
	}
	return nil
}

func checkAddr(field, addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || !ap.Addr().Is4() {
		return wrong(field, "%q is not an IPv4 address with a port", addr)
	}
	return nil
}
