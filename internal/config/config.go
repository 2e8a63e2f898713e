// Package config reads the settings file that the platform hands to every
// controller node, and checks it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 4 << 20

// Settings are the settings of one controller node.
type Settings struct {
	NodeName     string   `json:"label"`
	Zone         string   `json:"location"`
	ClientListen string   `json:"client_listen"`
	PeerListen   string   `json:"mesh_addr"`
	Peers        []Peer   `json:"peers"`
	External     External `json:"external"`
	Params       Params   `json:"params"`
}

// Peer is another controller node.
type Peer struct {
	NodeName string `json:"label"`
	Zone     string `json:"location"`
	Addr     string `json:"peer_addr"`
}

// External holds the addresses of the regional services.
type External struct {
	Cloud        string `json:"cloud"`
	StateService string `json:"state"`
}

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

// Objective says what is expected for a class of jobs.
type Objective struct {
	Kind          string      `json:"kind"`
	Class         ident.Class `json:"class"`
	WithinSeconds float64     `json:"within_s"`
	Share         float64     `json:"share"`
}

// Workers hold the times that workers keep to.
type Workers struct {
	HeartbeatSeconds float64 `json:"report_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	CancelSeconds    float64 `json:"cancel_s"`
	GangWaitSeconds  float64 `json:"gang_wait_s"` // 0: not given
	GangPeerSeconds  float64 `json:"gang_peer_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS        float64 `json:"rps"`
	WriteRPS   float64 `json:"write_rps"`
	MaxValueKB float64 `json:"value_kb"`
	MaxTxnOps  int     `json:"txn_ops"`
	// Next holds the limits that it will have from some moment on, once all
	// nodes have the version that knows them.
	Next *StateLimits `json:"next"`
}

// StateLimits are limits of the state service that change.
type StateLimits struct {
	WriteRPS   float64 `json:"write_rps"`
	MaxValueKB float64 `json:"value_kb"`
	MaxTxnOps  int     `json:"txn_ops"`
}

// Strictest returns the limits that hold now and later: the smaller of each.
func (s State) Strictest() State {
	if n := s.Next; n != nil {
		s.WriteRPS, s.MaxValueKB, s.MaxTxnOps = min(s.WriteRPS, n.WriteRPS), min(s.MaxValueKB, n.MaxValueKB), min(s.MaxTxnOps, n.MaxTxnOps)
	}
	return s
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
}

// Limits are what this node's machine grants the process.
type Limits struct {
	CPUs       float64 `json:"cpu"`
	MemoryMB   float64 `json:"mem_mb"`
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

// PeerNames lists the names of the other nodes.
func (s *Settings) PeerNames() []string {
	out := make([]string, 0, len(s.Peers))
	for _, p := range s.Peers {
		out = append(out, p.NodeName)
	}
	return out
}

// HeartbeatInterval is the nominal time between two reports of a worker.
func (w Workers) HeartbeatInterval() time.Duration { return clock.Seconds(w.HeartbeatSeconds) }

// LeaseTTL is how long a worker keeps its tasks without an answer.
func (w Workers) LeaseTTL() time.Duration { return clock.Seconds(w.LeaseSeconds) }

const (
	// heartbeatTimeout is how long a worker waits for the answer to a report, and
	// nextNodePause how long before it tries the next node.
	heartbeatTimeout = 4 * time.Second
	nextNodeDelay    = time.Second
)

// MaxHeartbeatGap is how long a worker that reaches a node may be without a report:
// reports may be a quarter late.
func (w Workers) MaxHeartbeatGap() time.Duration {
	interval := w.HeartbeatInterval()
	return interval + interval/4
}

// ReconnectTime is how long a worker may be without an answer that reports to a node
// which is lost, until it has tried the next.
func (w Workers) ReconnectTime() time.Duration {
	return w.MaxHeartbeatGap() + heartbeatTimeout + nextNodeDelay
}

// FailoverTime is how long all nodes may leave a worker without an answer: its
// last answered report was sent up to the longest gap before, and after one that a
// lost leader never answers it finds the successor with its first try elsewhere.
func (w Workers) FailoverTime() time.Duration {
	return w.LeaseTTL() - w.ReconnectTime()
}

// CancelTimeout is how long the tasks of a cancelled job may stay.
func (w Workers) CancelTimeout() time.Duration { return clock.Seconds(w.CancelSeconds) }

// ListLag is the usual delay of the machine list.
func (c Cloud) ListLag() time.Duration { return clock.Seconds(c.ListLagSeconds) }

// MaxValueBytes is the largest value the state service takes.
func (s State) MaxValueBytes() int { return int(s.MaxValueKB * 1024) }

// maxTxnBytes is how much a transaction of the state service may hold in all, and
// txnOverhead what of that is left to its guards and keys.
const (
	maxTxnBytes      = 64 << 10
	txnOverheadBytes = 4 << 10
)

// MaxTxnValues is how many values of the largest size one transaction holds.
func (s State) MaxTxnValues() int {
	return max(1, min(s.MaxTxnOps, (maxTxnBytes-txnOverheadBytes)/max(1, s.MaxValueBytes())))
}

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, FieldErrorf("config", "%w", err)
	}
	defer f.Close()
	return Read(f)
}

// Read reads and checks settings. Unknown fields are ignored.
func Read(r io.Reader) (*Settings, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return nil, FieldErrorf("config", "%w", err)
	}
	if len(data) > maxFileBytes {
		return nil, FieldErrorf("config", "larger than %d bytes", maxFileBytes)
	}
	s := new(Settings)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, jsonError(err)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

func jsonError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return FieldErrorf(mismatch.Field, "a %s can't be used as %s", mismatch.Value, mismatch.Type)
	}
	return FieldErrorf("config", "not a JSON object of settings: %w", err)
}

func (s *Settings) validate() error {
	if s.NodeName == "" {
		return FieldErrorf("label", "missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"client_listen", s.ClientListen}, {"mesh_addr", s.PeerListen},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.StateService},
	} {
		if err := validateAddr(a.field, a.addr); err != nil {
			return err
		}
	}
	if err := s.validatePeers(); err != nil {
		return err
	}
	if err := s.Params.validate(); err != nil {
		return err
	}
	return s.validateCapacity()
}

const (
	// minSockets serve the state service, the cloud and a few workers and
	// users; each peer takes some more.
	minSockets        = 16
	minSocketsPerPeer = 4
	// minMemoryMB holds the program with nothing to do.
	minMemoryMB = 16
)

// validateCapacity refuses a machine on which the program could not serve at all.
func (s *Settings) validateCapacity() error {
	l := s.Params.MachineLimits
	if least := minSockets + minSocketsPerPeer*len(s.Peers); l.MaxSockets < least {
		return FieldErrorf("params.machine_limits.max_sockets", "%d are too few to serve with %d peers: at least %d", l.MaxSockets, len(s.Peers), least)
	}
	if l.MemoryMB < minMemoryMB {
		return FieldErrorf("params.machine_limits.mem_mb", "%v is too little to serve: at least %d", l.MemoryMB, minMemoryMB)
	}
	return nil
}

func (s *Settings) validatePeers() error {
	seen := map[string]bool{s.NodeName: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		if p.NodeName == "" || seen[p.NodeName] {
			return FieldErrorf(field+".label", "%q is missing or used twice", p.NodeName)
		}
		seen[p.NodeName] = true
		if err := validateAddr(field+".peer_addr", p.Addr); err != nil {
			return err
		}
	}
	return nil
}

func validateAddr(field, addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || !ap.Addr().Is4() {
		return FieldErrorf(field, "%q is not an IPv4 address with a port", addr)
	}
	return nil
}
