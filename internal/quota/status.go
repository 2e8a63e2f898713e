package quota

import (
	"slices"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// TeamStatus is the state of a team's quota that is shown to operators.
type TeamStatus struct {
	Limit        Quantity
	Guarantee    Quantity
	Allocated    Quantity
	Uncovered    Quantity // placed without a reservation
	RecallTarget Quantity // what holders should release
	Allocations  []Allocation
	Damaged      bool // the record cannot be decoded and is being replaced
}

// Status returns the state of the teams that have limits.
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

// HolderStatus is the state of a holder that is shown to operators.
type HolderStatus struct {
	ModRevision ident.Revision // of the holder key; 0: not registered
	Jobs        int            // number of jobs with reservations
	Admitted    int            // number of jobs admitted since the start
	Refused     int            // number of jobs left to the leader since the start
	Teams       map[ident.Team]TeamUsage
}

// TeamUsage is a holder's part of a team's limit.
type TeamUsage struct{ Allocated, Reserved Quantity }

// Status returns the state of the holder.
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
