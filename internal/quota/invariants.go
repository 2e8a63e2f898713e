package quota

import (
	"fmt"

	"badgerbay/internal/config"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// snapshot holds the quota records that are stored at one revision.
type snapshot struct {
	holders      map[string]ident.Revision
	teams        map[ident.Team]*TeamRecord
	reservations map[string]*ReservationRecord
}

// CheckInvariants checks the quota records that are stored at one revision. It returns an error if a team's
// allocations exceed its limit, or if a holder whose key exists has reserved more than it was allocated. It also fails
// if a record cannot be decoded or a limit is out of range.
func CheckInvariants(items []kvstore.KeyValue, teams map[ident.Team]config.Team) error {
	stored, err := readSnapshot(items)
	if err != nil {
		return err
	}
	for team, record := range stored.teams {
		limit, err := LimitOf(teams[team])
		if err != nil {
			return fmt.Errorf("limit of team %s: %w", team, err)
		}
		if allocated := record.Allocated(); !allocated.Within(limit) {
			return fmt.Errorf("team %s: allocations of %v exceed the limit of %v", team, allocated, limit)
		}
	}
	for node, record := range stored.reservations {
		if record.HolderRevision != stored.holders[node] {
			continue // the holder key is gone or was written again; a leader will remove the record
		}
		for team, reserved := range record.TeamTotals {
			allocated := stored.allocated(team, node, record.HolderRevision)
			if !reserved.Within(allocated) {
				return fmt.Errorf("team %s: node %s has reserved %v, allocated are %v", team, node, reserved, allocated)
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

// allocated returns how much of a team's limit one incarnation of a holder may reserve.
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
