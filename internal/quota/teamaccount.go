package quota

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/config"
	"badgerbay/internal/ident"
)

// teamAccount is the leader's state of a team's quota.
type teamAccount struct {
	limit         Quantity
	guarantee     Quantity
	record        TeamRecord
	revision      ident.Revision // of the stored record; 0: there is none
	damaged       bool           // the stored record cannot be decoded
	blockedDemand Quantity       // demand that did not fit into the unallocated part of the limit
	blockedAt     clock.Instant  // when blockedDemand was recorded; 0: never
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

// recallTarget returns how much holders of the team should release: the allocations beyond the limit, or the blocked
// demand where that is larger.
func (t *teamAccount) recallTarget(now clock.Instant) Quantity {
	excess := t.record.Allocated().Sub(t.limit).Max(Quantity{})
	if t.blockedAt != 0 && now.Sub(t.blockedAt) <= blockedDemandTTL {
		return excess.Max(t.blockedDemand)
	}
	return excess
}

// allocationFor returns the allocation that is stored for a holder, as the response to its request.
func (t *teamAccount) allocationFor(now clock.Instant, holder HolderID, request TeamRequest) TeamAllocation {
	out := TeamAllocation{Team: request.Team, ReleaseSeq: request.ReleaseSeq}
	if allocation := t.record.allocationOf(holder.Node); allocation != nil && allocation.Holder == holder {
		out.ReleaseSeq, out.Allocated = allocation.ReleaseSeq, allocation.Quantity
	}
	out.Recall = t.recallTarget(now).Min(out.Allocated)
	return out
}
