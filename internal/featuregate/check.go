package featuregate

import (
	"fmt"

	"badgerbay/internal/config"
	"badgerbay/internal/election"
	"badgerbay/internal/kvstore"
	"badgerbay/internal/quota"
)

// maxHeartbeatWriteShare is the part of the state service's changes that heartbeats may
// take.
const maxHeartbeatWriteShare = 0.1

// Check tells whether the features can work with the settings of the deployment.
func (s Features) Check(p config.Params) error {
	if s.TeamQuotas {
		if err := checkTeams(p); err != nil {
			return err
		}
	}
	if s.WarmStandby == nil {
		return nil
	}
	return s.WarmStandby.check(p)
}

// checkTeams refuses limits that can't be shared out.
func checkTeams(p config.Params) error {
	if p.Nodes > quota.MaxHolders {
		return config.FieldErrorf("params.nodes", "%d holders are more than a team's record can name: at most %d", p.Nodes, quota.MaxHolders)
	}
	for i, t := range p.Teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		if t.CPULimit > 0 && t.CPUGuarantee > t.CPULimit {
			return config.FieldErrorf(field+"cpus", "a guarantee of %v is beyond the limit of %v", t.CPUGuarantee, t.CPULimit)
		}
		if t.GPULimit > 0 && t.GPUGuarantee > t.GPULimit {
			return config.FieldErrorf(field+"gpus", "a guarantee of %v is beyond the limit of %v", t.GPUGuarantee, t.GPULimit)
		}
		if _, err := quota.LimitOf(t); err != nil {
			return config.FieldErrorf(field+"cpus_max", "%w", err)
		}
	}
	return nil
}

func (w *WarmStandby) check(p config.Params) error {
	wrong := func(field, format string, args ...any) error {
		return config.FieldErrorf("policy.warm_standby."+field, format, args...)
	}
	if least := election.MinHeartbeatTTL(w.HeartbeatInterval, kvstore.RequestTimeout); w.HeartbeatTTL < least {
		return wrong("takeover_s", "%v leaves no room for a heartbeat every %v that takes up to %v: at least %v", w.HeartbeatTTL, w.HeartbeatInterval, kvstore.RequestTimeout, least)
	}
	if 3*w.PollInterval > w.HeartbeatTTL {
		return wrong("poll_s", "%v is too seldom to see a leader silent for %v: a third of that at most", w.PollInterval, w.HeartbeatTTL)
	}
	if rate, most := 1/w.HeartbeatInterval.Seconds(), maxHeartbeatWriteShare*p.StateService.Strictest().WriteRPS; rate > most {
		return wrong("heartbeat_s", "%.2f changes a second are more than a tenth of the state service's %v", rate, p.StateService.Strictest().WriteRPS)
	}
	if most := p.MachineLimits.MemoryMB / 3; w.MaxReplicaMB > most {
		return wrong("replica_mb", "%v MB are more than a third of the %v MB that the node has", w.MaxReplicaMB, p.MachineLimits.MemoryMB)
	}
	return nil
}
