package featuregate

import (
	"fmt"

	"badgerbay/internal/config"
	"badgerbay/internal/quota"
)

// checkTeamQuotas returns an error if the teams' limits can't be allocated to quota holders.
// Every node counts as a holder.
func checkTeamQuotas(p config.Params) error {
	if p.Nodes > quota.MaxHolders {
		return config.FieldErrorf("params.nodes", "%d holders are more than a team's record can name: at most %d", p.Nodes, quota.MaxHolders)
	}
	for i, team := range p.Teams {
		if err := checkTeamLimits(fmt.Sprintf("params.teams[%d]", i), team); err != nil {
			return err
		}
	}
	return nil
}

func checkTeamLimits(field string, team config.Team) error {
	if team.CPULimit > 0 && team.CPUGuarantee > team.CPULimit {
		return config.FieldErrorf(field+".cpus", "a guarantee of %v is beyond the limit of %v", team.CPUGuarantee, team.CPULimit)
	}
	if team.GPULimit > 0 && team.GPUGuarantee > team.GPULimit {
		return config.FieldErrorf(field+".gpus", "a guarantee of %v is beyond the limit of %v", team.GPUGuarantee, team.GPULimit)
	}
	if _, err := quota.LimitOf(team); err != nil {
		return config.FieldErrorf(field+".cpus_max", "%w", err)
	}
	return nil
}
