package quota

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
)

// teamAccount is what the leader knows of a team.
type teamAccount struct {
	limit         Quantity
	guarantee     Quantity
	record        TeamRecord
	revision      ident.Revision // of the stored record; 0: there is none
	damaged       bool           // the stored record can't be read
	blockedDemand Quantity       // what found no room in what is not allocated
	blockedAt     clock.Instant  // 0: never
}

func newTeamAccount(team config.Team) (*teamAccount, error) {
	limit, err := LimitOf(team)
	if err != nil {
		return nil, err
	}
	guarantee, err := LimitOf(config.Team{CPULimit: team.CPUGuarantee, GPULimit: team.GPUGuarantee})
	if err != nil {
		return nil, err
	}
	if !guarantee.IsLimited() {
		guarantee = Quantity{}
	}
	return &teamAccount{limit: limit, guarantee: guarantee.Min(limit)}, nil
}

// recallTarget is what holders of the team should give back: what is allocated beyond
// the limit, or what work that found no room needs.
func (t *teamAccount) recallTarget(now clock.Instant) Quantity {
	excess := t.record.Allocated().Sub(t.limit).Max(Quantity{})
	if t.blockedAt != 0 && now.Sub(t.blockedAt) <= blockedDemandTTL {
		return excess.Max(t.blockedDemand)
	}
	return excess
}

// allocationFor is what is stored for a holder, in answer to its request.
func (t *teamAccount) allocationFor(now clock.Instant, holder HolderID, request TeamRequest) TeamAllocation {
	out := TeamAllocation{Team: request.Team, ReleaseSeq: request.ReleaseSeq}
	if allocation := t.record.allocationOf(holder.Node); allocation != nil && allocation.Holder == holder {
		out.ReleaseSeq, out.Allocated = allocation.ReleaseSeq, allocation.Quantity
	}
	out.Recall = t.recallTarget(now).Min(out.Allocated)
	return out
}
