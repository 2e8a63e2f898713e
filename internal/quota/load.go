package quota

import (
	"errors"
	"fmt"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// nodeReservations are the reservations of one node as they were last read.
type nodeReservations struct {
	holderRevision ident.Revision // of the holder key that they were stored under
	revision       ident.Revision // of the reservation record
	jobs           []Reservation
}

// BeginReadIfDue reports whether the records should be read now. If so, it marks a read as in flight
// until Load or ReadFailed is called.
func (a *Allocator) BeginReadIfDue(now clock.Instant) bool {
	if a.readInFlight || now.Before(a.nextRead) || !a.needsReads() {
		return false
	}
	a.readInFlight, a.readStarted, a.nextRead = true, now, now.Add(readInterval)
	return true
}

// needsReads reports whether any node may hold or request quota, or the records have not been read yet.
func (a *Allocator) needsReads() bool {
	if !a.loaded || len(a.holderRevisions)+len(a.reservations)+len(a.pendingRequests) > 0 {
		return true
	}
	for _, account := range a.teams {
		if len(account.record.Allocations) > 0 || account.damaged {
			return true
		}
	}
	return false
}

// ReadFailed ends the read in flight after it has failed. A failure from an earlier term, by its epoch, is ignored.
func (a *Allocator) ReadFailed(epoch ident.Epoch) {
	if epoch >= a.firstEpoch {
		a.readInFlight = false
	}
}

// Load updates the allocator from all records as they were read in the epoch. The error wraps ErrNewerSchema: a
// version that cannot decode a record must not make decisions.
func (a *Allocator) Load(now clock.Instant, epoch ident.Epoch, items []kvstore.KeyValue) error {
	if epoch < a.firstEpoch {
		return nil // read in an earlier term; holders may have changed the records since
	}
	a.readInFlight = false
	if a.changeInFlight != nil {
		return nil // the records are read again after the change in flight
	}
	holders, reservations := map[string]ident.Revision{}, map[string]nodeReservations{}
	for _, item := range items {
		if node, ok := nameFromKey(item.Key, holderPrefix); ok {
			holders[node] = item.ModRevision
			a.startHolderTimeout(now, node)
		}
		if node, ok := nameFromKey(item.Key, reservationPrefix); ok {
			read, err := readReservations(item)
			if err != nil {
				return err
			}
			reservations[node] = read
		}
		if team, ok := nameFromKey(item.Key, teamPrefix); ok {
			if err := a.loadTeam(ident.Team(team), item); err != nil {
				return err
			}
		}
	}
	a.loaded, a.loadedReadStarted = true, a.readStarted
	a.holderRevisions, a.reservations = holders, reservations
	for node := range a.lastRequestAt {
		if holders[node] == 0 {
			delete(a.lastRequestAt, node)
		}
	}
	a.updateCoverage()
	return nil
}

// startHolderTimeout starts the timeout of a holder that is read for the first time.
func (a *Allocator) startHolderTimeout(now clock.Instant, node string) {
	if _, known := a.lastRequestAt[node]; !known {
		a.lastRequestAt[node] = now
	}
}

// readReservations decodes a node's reservations. For a malformed record it returns no reservations and holder
// revision 0, so that the record is removed as stale.
func readReservations(item kvstore.KeyValue) (nodeReservations, error) {
	record, jobs, err := DecodeReservationRecord(item.Value)
	if errors.Is(err, ErrNewerSchema) {
		return nodeReservations{}, fmt.Errorf("%s: %w", item.Key, err)
	}
	if err != nil {
		return nodeReservations{revision: item.ModRevision}, nil
	}
	return nodeReservations{record.HolderRevision, item.ModRevision, jobs}, nil
}

func (a *Allocator) loadTeam(team ident.Team, item kvstore.KeyValue) error {
	account := a.teams[team]
	if account == nil {
		// The settings do not contain the team any more, so no jobs can be submitted for it.
		account = &teamAccount{}
		a.teams[team] = account
	}
	if item.ModRevision < account.revision {
		return nil // read before the last change of the record
	}
	record, err := DecodeTeamRecord(item.Value)
	if errors.Is(err, ErrNewerSchema) {
		return fmt.Errorf("%s: %w", item.Key, err)
	}
	account.revision, account.damaged = item.ModRevision, err != nil
	if err == nil {
		account.record = *record
	} else {
		account.record = TeamRecord{}
	}
	return nil
}
