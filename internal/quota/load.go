package quota

import (
	"errors"
	"fmt"

	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
	"badgerbay/internal/kvstore"
)

// nodeReservations are those of one node, as they were last read.
type nodeReservations struct {
	holderRevision ident.Revision
	revision       ident.Revision
	jobs           []Reservation
}

// BeginReadIfDue tells whether the records should be read now, and notes that they are.
func (a *Allocator) BeginReadIfDue(now clock.Instant) bool {
	if a.readInFlight || now.Before(a.nextRead) || !a.needsReads() {
		return false
	}
	a.readInFlight, a.readStarted, a.nextRead = true, now, now.Add(readInterval)
	return true
}

// needsReads tells whether anybody may hold or request anything.
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

// ReadFailed takes in that the records could not be read in the epoch.
func (a *Allocator) ReadFailed(epoch ident.Epoch) {
	if epoch >= a.firstEpoch {
		a.readInFlight = false
	}
}

// Load takes in all records, as they were read in the epoch. The error is an
// ErrNewerSchema: a program that can't read a record must not decide.
func (a *Allocator) Load(now clock.Instant, epoch ident.Epoch, items []kvstore.KeyValue) error {
	if epoch < a.firstEpoch {
		return nil // of an earlier term: holders may have changed them since
	}
	a.readInFlight = false
	if a.changeInFlight != nil {
		return nil // what is being changed is read again
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

// startHolderTimeout lets the timeout of a holder that is read for the first time begin.
func (a *Allocator) startHolderTimeout(now clock.Instant, node string) {
	if _, known := a.lastRequestAt[node]; !known {
		a.lastRequestAt[node] = now
	}
}

// readReservations decodes a node's reservations. A record that can't be read has none,
// and no holder, so that it is removed as stale.
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
		// Of a team that the settings do not name any more. It can submit nothing.
		account = &teamAccount{}
		a.teams[team] = account
	}
	if item.ModRevision < account.revision {
		return nil // it was read before the last change of it
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
