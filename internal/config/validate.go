package config

import (
	"fmt"
	"net/netip"

	"badgerbay/internal/ident"
)

const (
	// maxNumber bounds every number in the settings: a larger number is a mistake, and
	// sizes that are computed from it would overflow.
	maxNumber = 1e9
	// maxSockets, maxValueKB and maxTxnOps bound the settings that determine how much
	// memory is allocated.
	maxSockets = 1 << 20
	maxValueKB = 1 << 20
	maxTxnOps  = 1 << 20
	// minSockets is enough for connections to the state service, the cloud and a few
	// workers and users; each peer requires minSocketsPerPeer more.
	minSockets        = 16
	minSocketsPerPeer = 4
	// minMemoryMB is enough for the program while it is idle.
	minMemoryMB = 16
)

func (s *Settings) validate() error {
	if s.NodeName == "" {
		return FieldErrorf("label", "missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"client_listen", s.ClientListen},
		{"mesh_addr", s.PeerListen},
		{"external.cloud", s.External.Cloud},
		{"external.state", s.External.StateService},
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
	return s.validateMachineLimits()
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

// validateMachineLimits rejects a machine that is too small for the program to serve any
// request.
func (s *Settings) validateMachineLimits() error {
	limits := s.Params.MachineLimits
	if needed := minSockets + minSocketsPerPeer*len(s.Peers); limits.MaxSockets < needed {
		return FieldErrorf("params.machine_limits.max_sockets", "%d are too few to serve with %d peers: at least %d", limits.MaxSockets, len(s.Peers), needed)
	}
	if limits.MemoryMB < minMemoryMB {
		return FieldErrorf("params.machine_limits.mem_mb", "%v is too little to serve: at least %d", limits.MemoryMB, minMemoryMB)
	}
	return nil
}

func (p *Params) validate() error {
	if err := p.validateZones(); err != nil {
		return err
	}
	if err := p.validateTeams(); err != nil {
		return err
	}
	if err := p.validateNumbers(); err != nil {
		return err
	}
	if err := p.StateService.validateNext(); err != nil {
		return err
	}
	return p.Workers.validateTimes()
}

func (p *Params) validateZones() error {
	if len(p.Zones) == 0 {
		return FieldErrorf("params.zones", "missing")
	}
	seen := map[ident.Zone]bool{}
	for i, z := range p.Zones {
		if z == "" || seen[z] {
			return FieldErrorf(fmt.Sprintf("params.zones[%d]", i), "%q is missing or used twice", z)
		}
		seen[z] = true
	}
	return nil
}

func (p *Params) validateTeams() error {
	seen := map[ident.Team]bool{}
	for i, t := range p.Teams {
		field := fmt.Sprintf("params.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return FieldErrorf(field+".name", "%q is missing or used twice", t.Name)
		}
		seen[t.Name] = true
		for _, n := range []numericField{
			{"cpus", t.CPUGuarantee},
			{"cpus_max", t.CPULimit},
			{"gpus", t.GPUGuarantee},
			{"gpus_max", t.GPULimit},
		} {
			if err := requireNonNegative(field+"."+n.field, n.value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Params) validateNumbers() error {
	for _, n := range []struct {
		field string
		value float64
		max   float64
	}{
		{"workers.report_s", p.Workers.HeartbeatSeconds, maxNumber},
		{"workers.lease_s", p.Workers.LeaseSeconds, maxNumber},
		{"workers.cancel_s", p.Workers.CancelSeconds, maxNumber},
		{"state.rps", p.StateService.RPS, maxNumber},
		{"state.write_rps", p.StateService.WriteRPS, maxNumber},
		{"state.value_kb", p.StateService.MaxValueKB, maxValueKB},
		{"state.txn_ops", float64(p.StateService.MaxTxnOps), maxTxnOps},
		{"cloud.rps", p.Cloud.RPS, maxNumber},
		{"machine_limits.cpu", p.MachineLimits.CPUs, maxNumber},
		{"machine_limits.mem_mb", p.MachineLimits.MemoryMB, maxNumber},
		{"machine_limits.max_sockets", float64(p.MachineLimits.MaxSockets), maxSockets},
	} {
		if err := requirePositive("params."+n.field, n.value, n.max); err != nil {
			return err
		}
	}
	for _, n := range []numericField{
		{"workers.gang_wait_s", p.Workers.GangWaitSeconds},
		{"workers.gang_peer_s", p.Workers.GangPeerSeconds},
		{"cloud.list_lag_s", p.Cloud.ListLagSeconds},
		{"clock_error_ms", p.ClockErrorMillis},
	} {
		if err := requireNonNegative("params."+n.field, n.value); err != nil {
			return err
		}
	}
	return nil
}

// numericField is the value of a numeric setting, with the last part of the setting's
// field name.
type numericField struct {
	field string
	value float64
}

// requirePositive returns a FieldError unless value is above 0 and at most limit.
func requirePositive(field string, value, limit float64) error {
	if !(value > 0) || value > limit {
		return FieldErrorf(field, "%v is not a number above 0 and up to %v", value, limit)
	}
	return nil
}

// requireNonNegative returns a FieldError unless value is from 0 to maxNumber.
func requireNonNegative(field string, value float64) error {
	if !(value >= 0) || value > maxNumber {
		return FieldErrorf(field, "%v is not a number from 0 to %v", value, maxNumber)
	}
	return nil
}
