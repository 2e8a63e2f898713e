package quota

import (
	"fmt"

	"badgerbay/internal/ident"

	"badgerbay/internal/config"
	"badgerbay/internal/kvstore"
)

// CheckInvariants checks the records as they are stored at one revision: that no team's
// allotments exceed its limit, and that no holder whose key is there has reserved more
// than it was allotted.
func CheckInvariants(items []kvstore.KeyValue, teams map[ident.Team]config.Team) error {
	holders := map[string]ident.Revision{}
	records := map[ident.Team]*TeamRecord{}
	reserved := map[string]*ReservationRecord{}
	for _, item := range items {
		if node, ok := nameFromKey(item.Key, holderPrefix); ok {
			holders[node] = item.ModRevision
		}
		if team, ok := nameFromKey(item.Key, teamPrefix); ok {
			r, err := DecodeTeamRecord(item.Value)
			if err != nil {
				return fmt.Errorf("%s: %w", item.Key, err)
			}
			records[ident.Team(team)] = r
		}
		if node, ok := nameFromKey(item.Key, reservationPrefix); ok {
			r, _, err := DecodeReservationRecord(item.Value)
			if err != nil {
				return fmt.Errorf("%s: %w", item.Key, err)
			}
			reserved[node] = r
		}
	}
	for team, r := range records {
		limit, err := LimitOf(teams[team])
		if err != nil {
			return err
		}
		if sum := r.Allocated(); !sum.Within(limit) {
			return fmt.Errorf("%s: %v are allotted of %v", team, sum, limit)
		}
	}
	for node, r := range reserved {
		if r.HolderRevision != holders[node] {
			continue // its holder is gone: a leader is about to remove it
		}
		for team, units := range r.TeamTotals {
			allotted := Quantity{}
			if record := records[team]; record != nil {
				if own := record.allocationOf(node); own != nil && own.Holder.ModRevision == r.HolderRevision {
					allotted = own.Quantity
				}
			}
			if !units.Within(allotted) {
				return fmt.Errorf("%s: %s has reserved %v of %v", team, node, units, allotted)
			}
		}
	}
	return nil
}
