package quota

import (
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// TeamStatus is what an operator may know of a team.
type TeamStatus struct {
	Limit        Quantity
	Guarantee    Quantity
	Allocated    Quantity
	Uncovered    Quantity // placed without a reservation
	RecallTarget Quantity // what holders should give back
	Allocations  []Allocation
	Damaged      bool // the record can't be read and is being replaced
}

// Status tells how the teams with limits are.
func (a *Allocator) Status(now clock.Instant, usage JobUsage) map[ident.Team]TeamStatus {
	out := map[ident.Team]TeamStatus{}
	for team, account := range a.teams {
		if !account.limit.IsLimited() {
			continue
		}
		out[team] = TeamStatus{
			Limit:        account.limit,
			Guarantee:    account.guarantee,
			Allocated:    account.record.Allocated(),
			Uncovered:    usage.Uncovered(team),
			RecallTarget: account.recallTarget(now),
			Allocations:  slices.Clone(account.record.Allocations),
			Damaged:      account.damaged,
		}
	}
	return out
}

// HolderStatus is what an operator may know of a holder.
type HolderStatus struct {
	ModRevision ident.Revision // of its key; 0: it is no holder
	Jobs        int            // with reservations
	Admitted    int            // jobs, since the start
	Refused     int            // jobs left to the leader, since the start
	Teams       map[ident.Team]TeamUsage
}

// TeamUsage is what a holder has of a team's limit.
type TeamUsage struct{ Allocated, Reserved Quantity }

// Status tells how the holder is.
func (h *Holder) Status() HolderStatus {
	out := HolderStatus{
		ModRevision: h.modRevision,
		Jobs:        len(h.reservations),
		Admitted:    h.admitted,
		Refused:     h.refused,
		Teams:       make(map[ident.Team]TeamUsage, len(h.teams)),
	}
	for name, team := range h.teams {
		out.Teams[name] = TeamUsage{team.allocated, h.reservedQuantity(name)}
	}
	return out
}
