package quota

import (
	"fmt"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// snapshot holds the records as they are stored at one revision.
type snapshot struct {
	holders      map[string]ident.Revision
	teams        map[ident.Team]*TeamRecord
	reservations map[string]*ReservationRecord
}

// CheckInvariants checks the records as they are stored at one revision: that no team's
// allocations exceed its limit, and that no holder whose key is there has reserved more
// than it was allocated.
func CheckInvariants(items []kvstore.KeyValue, teams map[ident.Team]config.Team) error {
	stored, err := readSnapshot(items)
	if err != nil {
		return err
	}
	for team, record := range stored.teams {
		limit, err := LimitOf(teams[team])
		if err != nil {
			return fmt.Errorf("limit of %s: %w", team, err)
		}
		if allocated := record.Allocated(); !allocated.Within(limit) {
			return fmt.Errorf("%s: %v are allocated of %v", team, allocated, limit)
		}
	}
	for node, record := range stored.reservations {
		if record.HolderRevision != stored.holders[node] {
			continue // its holder is gone: a leader is about to remove it
		}
		for team, reserved := range record.TeamTotals {
			allocated := stored.allocated(team, node, record.HolderRevision)
			if !reserved.Within(allocated) {
				return fmt.Errorf("%s: %s has reserved %v of %v", team, node, reserved, allocated)
			}
		}
	}
	return nil
}

func readSnapshot(items []kvstore.KeyValue) (*snapshot, error) {
	out := &snapshot{
		holders:      map[string]ident.Revision{},
		teams:        map[ident.Team]*TeamRecord{},
		reservations: map[string]*ReservationRecord{},
	}
	for _, item := range items {
		if node, ok := nameFromKey(item.Key, holderPrefix); ok {
			out.holders[node] = item.ModRevision
		}
		if team, ok := nameFromKey(item.Key, teamPrefix); ok {
			record, err := DecodeTeamRecord(item.Value)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", item.Key, err)
			}
			out.teams[ident.Team(team)] = record
		}
		if node, ok := nameFromKey(item.Key, reservationPrefix); ok {
			record, _, err := DecodeReservationRecord(item.Value)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", item.Key, err)
			}
			out.reservations[node] = record
		}
	}
	return out, nil
}

// allocated is what a holder's incarnation may reserve of a team's limit.
func (s *snapshot) allocated(team ident.Team, node string, holder ident.Revision) Quantity {
	record := s.teams[team]
	if record == nil {
		return Quantity{}
	}
	allocation := record.allocationOf(node)
	if allocation == nil || allocation.Holder.ModRevision != holder {
		return Quantity{}
	}
	return allocation.Quantity
}
