package config

import (
	"fmt"
	"time"

	"badgerbay/internal/unit"
)

func (p *Params) check() error {
	if err := p.checkZones(); err != nil {
		return err
	}
	if err := p.checkTeams(); err != nil {
		return err
	}
	if err := p.checkNumbers(); err != nil {
		return err
	}
	if err := p.State.checkNext(); err != nil {
		return err
	}
	return p.Workers.checkTimes()
}

func (p *Params) checkZones() error {
	if len(p.Zones) == 0 {
		return wrong("params.zones", "missing")
	}
	seen := map[unit.Zone]bool{}
	for i, z := range p.Zones {
		if z == "" || seen[z] {
			return wrong(fmt.Sprintf("params.zones[%d]", i), "%q is missing or used twice", z)
		}
		seen[z] = true
	}
	return nil
}

func (p *Params) checkTeams() error {
	seen := map[unit.Team]bool{}
	for i, t := range p.Teams {
		field := fmt.Sprintf("params.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return wrong(field+".name", "%q is missing or used twice", t.Name)
		}
		seen[t.Name] = true
		for _, n := range []number{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if err := notNegative(field+"."+n.field, n.value); err != nil {
				return err
			}
		}
	}
	return nil
}

type number struct {
	field string
	value float64
}

const (
	// mostNumber bounds every number of the settings: what is larger can't be
	// meant, and sizes made from it would overflow.
	mostNumber = 1e9
	// mostSockets, mostValueKB and mostTxnOps bound what memory is set aside by.
	mostSockets = 1 << 20
	mostValueKB = 1 << 20
	mostTxnOps  = 1 << 20
)

// positive refuses numbers that are not above 0 and at most most.
func positive(field string, value, most float64) error {
	if !(value > 0) || value > most {
		return wrong(field, "%v is not a number above 0 and up to %v", value, most)
	}
	return nil
}

// notNegative refuses numbers that are below 0 or beyond mostNumber.
func notNegative(field string, value float64) error {
	if !(value >= 0) || value > mostNumber {
		return wrong(field, "%v is not a number from 0 to %v", value, mostNumber)
	}
	return nil
}

// leastValueKB holds the record of any job, with a part of its tasks.
const leastValueKB = 1

// checkNext checks the limits to come.
func (s State) checkNext() error {
	if s.Next == nil {
		return nil
	}
	for _, n := range []number{{"write_rps", s.Next.WriteRPS}, {"value_kb", s.Next.ValueKB}, {"txn_ops", float64(s.Next.TxnOps)}} {
		if err := positive("params.state.next."+n.field, n.value, mostNumber); err != nil {
			return err
		}
	}
	if s.Next.ValueKB < leastValueKB {
		return wrong("params.state.next.value_kb", "%v holds no job: at least %d", s.Next.ValueKB, leastValueKB)
	}
	return nil
}

func (p *Params) checkNumbers() error {
	for _, n := range []struct {
		field string
		value float64
		most  float64
	}{
		{"workers.report_s", p.Workers.ReportS, mostNumber}, {"workers.lease_s", p.Workers.LeaseS, mostNumber},
		{"workers.cancel_s", p.Workers.CancelS, mostNumber}, {"state.rps", p.State.RPS, mostNumber},
		{"state.write_rps", p.State.WriteRPS, mostNumber}, {"state.value_kb", p.State.ValueKB, mostValueKB},
		{"state.txn_ops", float64(p.State.TxnOps), mostTxnOps}, {"cloud.rps", p.Cloud.RPS, mostNumber},
		{"machine_limits.cpu", p.MachineLimits.CPU, mostNumber}, {"machine_limits.mem_mb", p.MachineLimits.MemMB, mostNumber},
		{"machine_limits.max_sockets", float64(p.MachineLimits.MaxSockets), mostSockets},
	} {
		if err := positive("params."+n.field, n.value, n.most); err != nil {
			return err
		}
	}
	for _, n := range []number{{"workers.gang_wait_s", p.Workers.GangWaitS}, {"workers.gang_peer_s", p.Workers.GangPeerS},
		{"cloud.list_lag_s", p.Cloud.ListLagS}, {"clock_error_ms", p.ClockErrorMs}} {
		if err := notNegative("params."+n.field, n.value); err != nil {
			return err
		}
	}
	return nil
}

// leastTakeover is the least time in which another node can take over: the shortest
// lease of a leader.
const leastTakeover = 2 * time.Second

// checkTimes refuses times with which the rules can't be kept.
func (w Workers) checkTimes() error {
	switch {
	case w.LeaseS <= 2*w.ReportS:
		return wrong("params.workers.lease_s", "%v leaves no room for a lost report (report_s %v)", w.LeaseS, w.ReportS)
	case w.Lease() < w.LongestReportGap()+leastTakeover:
		return wrong("params.workers.lease_s", "%v leaves no room for a takeover (report_s %v, and %v)", w.LeaseS, w.ReportS, leastTakeover)
	case w.CancelS <= w.LeaseS:
		return wrong("params.workers.cancel_s", "%v is no longer than lease_s, %v, for which a machine out of reach keeps its tasks", w.CancelS, w.LeaseS)
	}
	return nil
}
