package config

import (
	"fmt"
	"time"

	"badgerbay/internal/ident"
)

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
		for _, n := range []namedNumber{{"cpus", t.CPUGuarantee}, {"cpus_max", t.CPULimit}, {"gpus", t.GPUGuarantee}, {"gpus_max", t.GPULimit}} {
			if err := requireNonNegative(field+"."+n.field, n.value); err != nil {
				return err
			}
		}
	}
	return nil
}

type namedNumber struct {
	field string
	value float64
}

const (
	// maxNumber bounds every number of the settings: what is larger can't be
	// meant, and sizes made from it would overflow.
	maxNumber = 1e9
	// maxSockets, mostValueKB and mostTxnOps bound what memory is set aside by.
	maxSockets = 1 << 20
	maxValueKB = 1 << 20
	maxTxnOps  = 1 << 20
)

// requirePositive refuses numbers that are not above 0 and at most most.
func requirePositive(field string, value, most float64) error {
	if !(value > 0) || value > most {
		return FieldErrorf(field, "%v is not a number above 0 and up to %v", value, most)
	}
	return nil
}

// requireNonNegative refuses numbers that are below 0 or beyond mostNumber.
func requireNonNegative(field string, value float64) error {
	if !(value >= 0) || value > maxNumber {
		return FieldErrorf(field, "%v is not a number from 0 to %v", value, maxNumber)
	}
	return nil
}

// minValueKB holds the record of any job, with a part of its tasks.
const minValueKB = 1

// validateNext checks the limits to come.
func (s State) validateNext() error {
	if s.Next == nil {
		return nil
	}
	for _, n := range []namedNumber{{"write_rps", s.Next.WriteRPS}, {"value_kb", s.Next.MaxValueKB}, {"txn_ops", float64(s.Next.MaxTxnOps)}} {
		if err := requirePositive("params.state.next."+n.field, n.value, maxNumber); err != nil {
			return err
		}
	}
	if s.Next.MaxValueKB < minValueKB {
		return FieldErrorf("params.state.next.value_kb", "%v holds no job: at least %d", s.Next.MaxValueKB, minValueKB)
	}
	return nil
}

func (p *Params) validateNumbers() error {
	for _, n := range []struct {
		field string
		value float64
		most  float64
	}{
		{"workers.report_s", p.Workers.HeartbeatSeconds, maxNumber}, {"workers.lease_s", p.Workers.LeaseSeconds, maxNumber},
		{"workers.cancel_s", p.Workers.CancelSeconds, maxNumber}, {"state.rps", p.StateService.RPS, maxNumber},
		{"state.write_rps", p.StateService.WriteRPS, maxNumber}, {"state.value_kb", p.StateService.MaxValueKB, maxValueKB},
		{"state.txn_ops", float64(p.StateService.MaxTxnOps), maxTxnOps}, {"cloud.rps", p.Cloud.RPS, maxNumber},
		{"machine_limits.cpu", p.MachineLimits.CPUs, maxNumber}, {"machine_limits.mem_mb", p.MachineLimits.MemoryMB, maxNumber},
		{"machine_limits.max_sockets", float64(p.MachineLimits.MaxSockets), maxSockets},
	} {
		if err := requirePositive("params."+n.field, n.value, n.most); err != nil {
			return err
		}
	}
	for _, n := range []namedNumber{{"workers.gang_wait_s", p.Workers.GangWaitSeconds}, {"workers.gang_peer_s", p.Workers.GangPeerSeconds},
		{"cloud.list_lag_s", p.Cloud.ListLagSeconds}, {"clock_error_ms", p.ClockErrorMillis}} {
		if err := requireNonNegative("params."+n.field, n.value); err != nil {
			return err
		}
	}
	return nil
}

// minFailoverTime is the least time in which another node can take over: the shortest
// lease of a leader.
const minFailoverTime = 2 * time.Second

// validateTimes refuses times with which the rules can't be kept.
func (w Workers) validateTimes() error {
	switch {
	case w.LeaseSeconds <= 2*w.HeartbeatSeconds:
		return FieldErrorf("params.workers.lease_s", "%v leaves no room for a lost report (report_s %v)", w.LeaseSeconds, w.HeartbeatSeconds)
	case w.LeaseTTL() < w.MaxHeartbeatGap()+minFailoverTime:
		return FieldErrorf("params.workers.lease_s", "%v leaves no room for a takeover (report_s %v, and %v)", w.LeaseSeconds, w.HeartbeatSeconds, minFailoverTime)
	case w.CancelSeconds <= w.LeaseSeconds:
		return FieldErrorf("params.workers.cancel_s", "%v is no longer than lease_s, %v, for which a machine out of reach keeps its tasks", w.CancelSeconds, w.LeaseSeconds)
	}
	return nil
}
